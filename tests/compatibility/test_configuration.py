"""Keys of the platform's file and of the operator's, and what `check-config` prints of them.

Guards against a key that is called otherwise, or is no longer read, after its field in the program was renamed: an
operator's file that has been right would be turned down (`no such key`), or its figures be replaced by defaults.
"""

from __future__ import annotations

import json
import tomllib
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import fields, is_dataclass, replace
from enum import Enum
from pathlib import Path
from typing import Any

import pytest

from moorusher import cli
from moorusher.config import loader as config
from moorusher.config.section import ConfigError

from .golden import FOLDER, assert_golden

# ---- the names of the program, once ----


def read(platform: str, operator: str, folder: Path) -> Any:
    """The configuration, without the file as it was read."""
    (folder / "platform.json").write_text(platform)
    (folder / "operator.toml").write_text(operator)
    (folder / "admin.token").write_text("secret\n")
    made = config.load({"GW_CONFIG": str(folder / "platform.json")}, folder / "operator.toml")
    return replace(made, raw=None)


def command(*arguments: str) -> int:
    return cli.main(list(arguments))


# ---- the files ----

PLATFORM = (FOLDER / "configuration.json").read_text()
OPERATOR = (FOLDER / "fronts.toml").read_text()


def leaves(value: Any) -> Iterator[str]:
    """All figures and words that a value holds, wherever they are."""
    if is_dataclass(value):
        for one in fields(value):
            yield from leaves(getattr(value, one.name))
    elif isinstance(value, Mapping):
        for name, one in value.items():
            yield str(name)
            yield from leaves(one)
    elif isinstance(value, (list, tuple, set, frozenset)):
        for one in value:
            yield from leaves(one)
    elif isinstance(value, Enum):
        yield str(value.value)
    elif isinstance(value, Path):
        yield value.name
    elif isinstance(value, (str, int, float, bool)):
        yield str(value)


def values(value: Any) -> Iterator[str]:
    """Of a file, without the names of its keys."""
    if isinstance(value, dict):
        for one in value.values():
            yield from values(one)
    elif isinstance(value, list):
        for one in value:
            yield from values(one)
    else:
        yield str(value)


def test_every_key_of_both_files_is_read(tmp_path: Path) -> None:
    """Each has a value that no other has, so that one which is passed over is missing here."""
    held = set(leaves(read(PLATFORM, OPERATOR, tmp_path)))
    written = {text for value in tomllib.loads(OPERATOR).values() for text in values(value)}
    assert_golden("configuration_values", {"held": sorted(held), "written, not held": sorted(written - held)})


def test_check_config_prints_the_same(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    read(PLATFORM, OPERATOR, tmp_path)
    monkeypatch.setenv("GW_CONFIG", str(tmp_path / "platform.json"))
    for name in ("GW_CONSOLE", "GW_LISTEN", "GW_NAME"):
        monkeypatch.delenv(name, raising=False)
    operator = str(tmp_path / "operator.toml")
    assert command("check-config", "--fronts", operator, "--json") == 0
    told: dict[str, Any] = {"json": json.loads(capsys.readouterr().out)}
    assert command("check-config", "--fronts", operator) == 0
    told["text"] = capsys.readouterr().out.splitlines()
    assert_golden("configuration_check", told)


# ---- keys that there are ----

SECTIONS = (
    "uwsgi",
    "agent",
    "health",
    "standing",
    "tier",
    "fleet",
    "duties",
    "namespaces",
    "forecast",
    "forecast.scaling",
    "outage",
    "admin",
)
LISTED = (
    "tier.server",
    "fleet.seat",
    "duties.report",
    "namespaces.customer",
    "namespaces.pool",
    "forecast.calendar",
)


def keys() -> Iterator[tuple[str, str, str, str]]:
    """Each key of the operator's file where it stands first: its path, its name, what is before and after it."""
    lines = OPERATOR.splitlines(keepends=True)
    section, seen = "", set[str]()
    for i, line in enumerate(lines):
        if line.startswith("["):
            section = line.strip("[]\n")
        elif " = " in line and (key := f"{section}.{line.split(' = ')[0]}") not in seen:
            seen.add(key)
            yield key, line.split(" = ")[0], "".join(lines[:i]), "".join(lines[i + 1 :])


def refusal(platform: str, operator: str, folder: Path) -> str:
    with pytest.raises(ConfigError) as refused:
        read(platform, operator, folder)
    return str(refused.value)


def test_an_unknown_key_is_answered_with_the_same_known_ones(tmp_path: Path) -> None:
    told = {"": refusal(PLATFORM, "odd_key = 1\n" + OPERATOR, tmp_path)}
    for name in SECTIONS:
        told[name] = refusal(
            PLATFORM, OPERATOR.replace(f"\n[{name}]\n", f"\n[{name}]\nodd_key = 1\n"), tmp_path
        )
    for name in LISTED:
        head = f"\n[[{name}]]\n"
        told[name] = refusal(PLATFORM, OPERATOR.replace(head, f"{head}odd_key = 1\n", 1), tmp_path)
    assert_golden("configuration_keys", told)


def test_a_value_of_the_wrong_kind_is_answered_with_the_same_words(tmp_path: Path) -> None:
    """Each key of the operator's file in its turn: its name and its bounds."""
    told = {}
    for key, name, before, after in keys():
        told[key] = refusal(PLATFORM, f"{before}{name} = -900000000000000\n{after}", tmp_path)
    assert_golden("configuration_bounds", told)


def test_a_key_that_is_left_out_has_the_same_default(tmp_path: Path) -> None:
    """Which values go from the configuration without the key, and which come; or why the key must be there."""
    held = Counter(leaves(read(PLATFORM, OPERATOR, tmp_path)))
    told: dict[str, Any] = {}
    for key, _, before, after in keys():
        try:
            without = Counter(leaves(read(PLATFORM, before + after, tmp_path)))
            told[key] = [sorted((held - without).elements()), sorted((without - held).elements())]
        except ConfigError as exc:
            told[key] = str(exc)
    assert_golden("configuration_defaults", told)


def test_a_key_of_the_platforms_file_of_the_wrong_kind_is_named(tmp_path: Path) -> None:
    whole = json.loads(PLATFORM)
    told: dict[str, str] = {}
    for name in whole:
        told[name] = refusal(json.dumps(whole | {name: -900000000000000}), OPERATOR, tmp_path)
    for name in whole["limits"]:
        limits = whole["limits"] | {name: -900000000000000}
        told[f"limits.{name}"] = refusal(json.dumps(whole | {"limits": limits}), OPERATOR, tmp_path)
    assert_golden("configuration_platform", told)
