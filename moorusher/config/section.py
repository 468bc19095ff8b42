"""A part of a configuration as it was read: values by key, and errors that name the key."""

from __future__ import annotations

import errno
import ipaddress
from collections.abc import Mapping
from typing import Any, TypeVar, cast

from ..transient_errors import TRANSIENT

T = TypeVar("T")
Address = tuple[str, int]


class ConfigError(ValueError):
    """The configuration can't be used; the text names the key."""


class ConfigUnreadable(ConfigError):
    """A file of the configuration could not be read at that moment; a moment later it may be."""


# The system had no room, or the disk failed: neither says anything of the file.
READ_LATER = TRANSIENT | {errno.EIO}


def unreadable(key: str, exc: OSError) -> ConfigError:
    """The error for a file that could not be read; the key names it."""
    kind = ConfigUnreadable if exc.errno in READ_LATER else ConfigError
    return kind(f"{key}: {exc}")


MOST_FIGURE = 1e15


class Section:
    """One object of the configuration; its errors carry the full path of the key."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, Mapping):
            raise ConfigError(f"{path or 'configuration'}: expected an object, got {type(data).__name__}")
        self.data, self.path = data, path

    def key(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def get(self, name: str, default: T) -> T:
        value: Any = self.data.get(name)
        if value is None:
            return default
        kind = type(default)
        wanted = (int, float) if kind is float else (kind,)
        if not isinstance(value, wanted) or (isinstance(value, bool) and kind is not bool):
            raise ConfigError(f"{self.key(name)}: expected {kind.__name__}, got {value!r}")
        # JSON as Python reads it has NaN, Infinity and whole numbers of any size.
        if kind is float and not abs(cast(float, value)) <= MOST_FIGURE:
            raise ConfigError(f"{self.key(name)}: expected a number up to {MOST_FIGURE:g}")
        return cast(T, float(cast(float, value)) if kind is float else value)

    def positive(self, name: str, default: T) -> T:
        value = self.get(name, default)
        if not cast(float, value) > 0:
            raise ConfigError(f"{self.key(name)}: expected more than 0, got {value!r}")
        return value

    def between(self, name: str, default: T, least: float, most: float) -> T:
        value = self.get(name, default)
        if not least <= cast(float, value) <= most:
            raise ConfigError(f"{self.key(name)}: expected {least:g} to {most:g}, got {value!r}")
        return value

    def section(self, name: str) -> Section:
        return Section(self.data.get(name, {}), self.key(name))

    def address(self, name: str) -> Address | None:
        text = self.get(name, "")
        return parse_address(text, self.key(name)) if text else None

    def unknown(self, known: set[str]) -> None:
        if odd := sorted(set(self.data) - known):
            raise ConfigError(f"{self.key(odd[0])}: no such key; known are {', '.join(sorted(known))}")


def parse_address(text: str, key: str) -> Address:
    """HOST:PORT. Raises ConfigError with the key."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)


def loopback(address: Address | None, key: str) -> Address | None:
    """The address, if it is one of this machine alone. Raises ConfigError with the key."""
    if address is not None:
        try:
            inside = ipaddress.ip_address(address[0]).is_loopback
        except ValueError:
            inside = address[0] == "localhost"
        if not inside:
            raise ConfigError(f"{key}: expected a loopback address, got {address[0]}")
    return address


def inside(address: Address | None, key: str) -> Address | None:
    """What runners say to each other is neither sealed nor signed: it stays on networks of one's own."""
    if address is not None and address[0] != "localhost":
        try:
            inside = ipaddress.ip_address(address[0]).is_private
        except ValueError:
            inside = False
        if not inside:
            raise ConfigError(f"{key}: expected a loopback or private address, got {address[0]}")
    return address
