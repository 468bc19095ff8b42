"""Keys of the platform's and the operator's configuration files, and the output of `check-config`.

Guards against a key that is renamed or no longer read because its field in the program was renamed: a valid operator's
file would be rejected (`no such key`), or its values would be replaced by defaults.
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

# ---- adapters: only this section uses the program's names ----


def load_configuration(platform: str, operator: str, folder: Path) -> Any:
    """Load the configuration from the texts of both files; its copy of the raw file is removed."""
    (folder / "platform.json").write_text(platform)
    (folder / "operator.toml").write_text(operator)
    (folder / "admin.token").write_text("secret\n")
    loaded = config.load({"GW_CONFIG": str(folder / "platform.json")}, folder / "operator.toml")
    return replace(loaded, raw=None)


def run_command(*arguments: str) -> int:
    return cli.main(list(arguments))


# ---- the files ----

PLATFORM = (FOLDER / "configuration.json").read_text()
OPERATOR = (FOLDER / "fronts.toml").read_text()


def leaves(value: Any) -> Iterator[str]:
    """Yield all numbers and strings in a value at any depth, including the keys of mappings."""
    if is_dataclass(value):
        for field in fields(value):
            yield from leaves(getattr(value, field.name))
    elif isinstance(value, Mapping):
        for name, item in value.items():
            yield str(name)
            yield from leaves(item)
    elif isinstance(value, (list, tuple, set, frozenset)):
        for item in value:
            yield from leaves(item)
    elif isinstance(value, Enum):
        yield str(value.value)
    elif isinstance(value, Path):
        yield value.name
    elif isinstance(value, (str, int, float, bool)):
        yield str(value)


def file_values(value: Any) -> Iterator[str]:
    """Yield the values of a parsed file without its keys."""
    if isinstance(value, dict):
        for item in value.values():
            yield from file_values(item)
    elif isinstance(value, list):
        for item in value:
            yield from file_values(item)
    else:
        yield str(value)


def test_every_key_of_both_files_is_read(tmp_path: Path) -> None:
    """Each value in the files is unique, so the value of a key that is not read is missing from the configuration."""
    loaded = set(leaves(load_configuration(PLATFORM, OPERATOR, tmp_path)))
    written = {text for value in tomllib.loads(OPERATOR).values() for text in file_values(value)}
    assert_golden(
        "configuration_values", {"held": sorted(loaded), "written, not held": sorted(written - loaded)}
    )


def test_the_output_of_check_config_is_unchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    load_configuration(PLATFORM, OPERATOR, tmp_path)
    monkeypatch.setenv("GW_CONFIG", str(tmp_path / "platform.json"))
    for name in ("GW_CONSOLE", "GW_LISTEN", "GW_NAME"):
        monkeypatch.delenv(name, raising=False)
    operator = str(tmp_path / "operator.toml")
    assert run_command("check-config", "--fronts", operator, "--json") == 0
    output: dict[str, Any] = {"json": json.loads(capsys.readouterr().out)}
    assert run_command("check-config", "--fronts", operator) == 0
    output["text"] = capsys.readouterr().out.splitlines()
    assert_golden("configuration_check", output)


# ---- known keys, their bounds and defaults ----

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
LIST_SECTIONS = (
    "tier.server",
    "fleet.seat",
    "duties.report",
    "namespaces.customer",
    "namespaces.pool",
    "forecast.calendar",
)


def operator_keys() -> Iterator[tuple[str, str, str, str]]:
    """Yield the path and name of each key in the operator's file, and the text around its first occurrence."""
    lines = OPERATOR.splitlines(keepends=True)
    section, seen = "", set[str]()
    for i, line in enumerate(lines):
        if line.startswith("["):
            section = line.strip("[]\n")
        elif " = " in line and (key := f"{section}.{line.split(' = ')[0]}") not in seen:
            seen.add(key)
            yield key, line.split(" = ")[0], "".join(lines[:i]), "".join(lines[i + 1 :])


def error_message(platform: str, operator: str, folder: Path) -> str:
    with pytest.raises(ConfigError) as raised:
        load_configuration(platform, operator, folder)
    return str(raised.value)


def test_the_error_for_an_unknown_key_names_the_same_known_keys(tmp_path: Path) -> None:
    messages = {"": error_message(PLATFORM, "odd_key = 1\n" + OPERATOR, tmp_path)}
    for name in SECTIONS:
        messages[name] = error_message(
            PLATFORM, OPERATOR.replace(f"\n[{name}]\n", f"\n[{name}]\nodd_key = 1\n"), tmp_path
        )
    for name in LIST_SECTIONS:
        head = f"\n[[{name}]]\n"
        messages[name] = error_message(PLATFORM, OPERATOR.replace(head, f"{head}odd_key = 1\n", 1), tmp_path)
    assert_golden("configuration_keys", messages)


def test_the_error_for_an_invalid_value_is_unchanged(tmp_path: Path) -> None:
    """Each key of the operator's file is set to a number out of bounds; the error states the key and its bounds."""
    messages = {}
    for key, name, before, after in operator_keys():
        messages[key] = error_message(PLATFORM, f"{before}{name} = -900000000000000\n{after}", tmp_path)
    assert_golden("configuration_bounds", messages)


def test_the_default_of_each_key_is_unchanged(tmp_path: Path) -> None:
    """Each key is removed in turn. Compares the values that the configuration loses and gains by that, or the error
    message.
    """
    complete = Counter(leaves(load_configuration(PLATFORM, OPERATOR, tmp_path)))
    results: dict[str, Any] = {}
    for key, _, before, after in operator_keys():
        try:
            without = Counter(leaves(load_configuration(PLATFORM, before + after, tmp_path)))
            results[key] = [
                sorted((complete - without).elements()),
                sorted((without - complete).elements()),
            ]
        except ConfigError as exc:
            results[key] = str(exc)
    assert_golden("configuration_defaults", results)


def test_the_error_for_an_invalid_value_in_the_platforms_file_is_unchanged(tmp_path: Path) -> None:
    document = json.loads(PLATFORM)
    messages: dict[str, str] = {}
    for name in document:
        messages[name] = error_message(json.dumps(document | {name: -900000000000000}), OPERATOR, tmp_path)
    for name in document["limits"]:
        limits = document["limits"] | {name: -900000000000000}
        messages[f"limits.{name}"] = error_message(
            json.dumps(document | {"limits": limits}), OPERATOR, tmp_path
        )
    assert_golden("configuration_platform", messages)
