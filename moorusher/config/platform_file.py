"""Parses the platform's file, which GW_CONFIG names: JSON with addresses, limits and the scheduler's settings."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from moorusher.scheduling.interface import Settings

from .model import Config, Limits, OperatorConfig
from .scheduler_settings import parse_settings
from .section import Address, ConfigError, Section, parse_address

# The platform's documentation makes these keys optional.
OPTIONAL_KEYS = {"aimStretch", "passesDeadline", "fleet"}
DEFAULT_STOP_MS = 3000.0
_NAME_PUNCTUATION = "-_."


def parse_platform_file(
    text: bytes, environment: Mapping[str, str], operator: OperatorConfig, running: Any = None
) -> Config:
    """Parse and validate the file, and combine it with the operator's file.

    :param running: the parsed file now in use, whose keys the new file must have; None at the start.
    :raises ConfigError: the file is not valid JSON, a key is missing or a value is invalid.
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"GW_CONFIG: {environment.get('GW_CONFIG')} is not valid JSON: {error}") from error
    root = Section(raw, "")
    if running is not None and (missing := missing_key(running, raw)) is not None:
        raise ConfigError(f"{missing}: missing, and the running configuration has it")
    name = _read_name(root, environment)
    listen = _listen_address(root, environment)
    kernel = root.address("kernel")
    if kernel is None:
        raise ConfigError("kernel: required, as HOST:PORT")
    console = _console_address(root, environment)
    if console is not None and console == listen:
        raise ConfigError(f"console: the same address as listen, {_listen_text(root, environment)}")
    limits = _read_limits(root.section("limits"))
    settings = _read_settings(root)
    if operator.fleet.listen is not None and all(seat.name != name for seat in operator.fleet.seats):
        raise ConfigError(f"fleet.seat: none has this runner's name, {name}")
    return Config(
        name=name,
        listen=listen,
        kernel=kernel,
        announce=root.address("announce"),
        db=root.address("db"),
        stop_ms=root.positive("stop_ms", DEFAULT_STOP_MS),
        limits=limits,
        settings=settings,
        uwsgi=operator.uwsgi,
        admin=operator.admin,
        probes=operator.probes,
        tier=operator.tier,
        console=console,
        fleet=operator.fleet,
        namespaces=operator.namespaces,
        forecast=operator.forecast,
        outage=operator.outage,
        raw=raw,
    )


def missing_key(running: Any, new: Any, path: str = "") -> str | None:
    """Return the path of the first key that the file in use has and the new file lacks, or None.

    Guards against a truncated or incomplete file, for whose missing keys the runner would use defaults. In a list of
    objects, each object of the new list must have the keys that all objects of the list in use have.
    """
    if isinstance(running, dict) and isinstance(new, dict):
        return _missing_key_of_object(running, new, path)
    if isinstance(running, list) and isinstance(new, list) and running:
        return _missing_key_of_list(running, new, path)
    return None


def _missing_key_of_object(running: dict[str, Any], new: dict[str, Any], path: str) -> str | None:
    for name, value in running.items():
        key = f"{path}.{name}" if path else name
        if name in new:
            missing = missing_key(value, new[name], key)
            if missing is not None:
                return missing
        elif name not in OPTIONAL_KEYS:
            return key
    return None


def _missing_key_of_list(running: list[Any], new: list[Any], path: str) -> str | None:
    if not all(isinstance(item, dict) for item in running):
        return None
    common = [name for name in running[0] if all(name in item for item in running)]
    for index, item in enumerate(new):
        if not isinstance(item, dict):
            continue
        missing = [name for name in common if name not in item and name not in OPTIONAL_KEYS]
        if missing:
            return f"{path}[{index}].{missing[0]}"
    return None


def _read_name(root: Section, environment: Mapping[str, str]) -> str:
    name = root.get("name", "") or environment.get("GW_NAME", "")
    if not name or not all(c.isalnum() or c in _NAME_PUNCTUATION for c in name):
        raise ConfigError(f"name: expected letters, digits, '-', '_' and '.', got {name!r} (or set GW_NAME)")
    return name


def _listen_text(root: Section, environment: Mapping[str, str]) -> str:
    return environment.get("GW_LISTEN") or root.get("listen", "")


def _listen_address(root: Section, environment: Mapping[str, str]) -> Address:
    text = _listen_text(root, environment)
    if not text:
        raise ConfigError("listen: required, as HOST:PORT (or set GW_LISTEN)")
    return parse_address(text, "listen")


def _console_address(root: Section, environment: Mapping[str, str]) -> Address | None:
    text = environment.get("GW_CONSOLE")
    return parse_address(text, "GW_CONSOLE") if text else root.address("console")


def _read_limits(section: Section) -> Limits:
    defaults = Limits()
    return Limits(
        cores=section.positive("cores", defaults.cores),
        memory_mb=section.positive("memory_mb", defaults.memory_mb),
        sockets=section.positive("sockets", defaults.sockets),
    )


def _read_settings(root: Section) -> Settings:
    seed_text = root.get("seed", "0")
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise ConfigError(f"seed: expected hexadecimal digits, got {seed_text!r}") from None
    try:
        settings = parse_settings(json.dumps(root.section("settings").data).encode(), seed)
    except (ValueError, OverflowError) as error:  # The error names the setting.
        raise ConfigError(f"settings: {error}") from error
    _check_unique_names("classes", [request_class.name for request_class in settings.classes])
    _check_unique_names("realms", [tenant.name for tenant in settings.tenants])
    return settings


def _check_unique_names(key: str, names: list[str]) -> None:
    for index, name in enumerate(names):
        if not name or name in names[:index]:
            raise ConfigError(f"settings.{key}[{index}].name: expected one that no other has, got {name!r}")
