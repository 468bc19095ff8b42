"""A part of a configuration as it was parsed: values by key, and errors that name the key."""

from __future__ import annotations

import errno
import ipaddress
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar, cast

from ..transient_errors import TRANSIENT

Value = TypeVar("Value")
Address = tuple[str, int]  # host and port

MAX_NUMBER = 1e15  # JSON as Python reads it has NaN, Infinity and whole numbers of any size
MAX_PORT = 65_535


class ConfigError(ValueError):
    """The configuration can't be used; the text names the key."""


class ConfigUnreadableError(ConfigError):
    """A file of the configuration could not be read at that moment; a moment later it may be."""


# The system had no capacity, or the disk failed: neither says anything of the file.
READ_LATER = TRANSIENT | {errno.EIO}


def unreadable(key: str, error: OSError) -> ConfigError:
    """Return the error for a file that could not be read; `key` names the file or who refers to it."""
    kind = ConfigUnreadableError if error.errno in READ_LATER else ConfigError
    return kind(f"{key}: {error}")


class Figure(NamedTuple):
    """A number of a section: the field that its key sets, and what it may be, both bounds included."""

    field: str
    minimum: float
    maximum: float


class Section:
    """One object of the configuration. `data`: its values by key. `path`: its own key, "" for the whole file.

    Each method raises ConfigError, with the full path of the key, where a value can't be used.
    """

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, Mapping):
            raise ConfigError(f"{path or 'configuration'}: expected an object, got {type(data).__name__}")
        self.data = data
        self.path = path

    def key(self, name: str) -> str:
        """Return the full path of a key."""
        return f"{self.path}.{name}" if self.path else name

    def get(self, name: str, default: Value) -> Value:
        """Return the value, which must have the type of the default, or the default where it is missing."""
        value: Any = self.data.get(name)
        if value is None:
            return default
        kind = type(default)
        accepted = (int, float) if kind is float else (kind,)
        if not isinstance(value, accepted) or (isinstance(value, bool) and kind is not bool):
            raise ConfigError(f"{self.key(name)}: expected {kind.__name__}, got {value!r}")
        if kind is not float:
            return cast(Value, value)
        if not abs(cast(float, value)) <= MAX_NUMBER:
            raise ConfigError(f"{self.key(name)}: expected a number up to {MAX_NUMBER:g}")
        return cast(Value, float(cast(float, value)))

    def positive(self, name: str, default: Value) -> Value:
        """Return a number above 0."""
        value = self.get(name, default)
        if not cast(float, value) > 0:
            raise ConfigError(f"{self.key(name)}: expected more than 0, got {value!r}")
        return value

    def between(self, name: str, default: Value, minimum: float, maximum: float) -> Value:
        """Return a number within these bounds, both included."""
        value = self.get(name, default)
        if not minimum <= cast(float, value) <= maximum:
            raise ConfigError(f"{self.key(name)}: expected {minimum:g} to {maximum:g}, got {value!r}")
        return value

    def figures(self, figures: Mapping[str, Figure], defaults: object) -> dict[str, Any]:
        """Return the values of these figures by field; those that are missing are as in `defaults`."""
        return {
            figure.field: self.between(key, getattr(defaults, figure.field), figure.minimum, figure.maximum)
            for key, figure in figures.items()
        }

    def section(self, name: str) -> Section:
        """Return the object under this key, empty where it is missing."""
        return Section(self.data.get(name, {}), self.key(name))

    def address(self, name: str) -> Address | None:
        """Return HOST:PORT parsed, None where it is missing."""
        text = self.get(name, "")
        return parse_address(text, self.key(name)) if text else None

    def unknown(self, known: set[str]) -> None:
        """Refuse keys other than these: a misspelt one would else keep its default unseen."""
        unknown = sorted(set(self.data) - known)
        if unknown:
            raise ConfigError(f"{self.key(unknown[0])}: no such key; known are {', '.join(sorted(known))}")


def parse_address(text: str, key: str) -> Address:
    """Parse HOST:PORT.

    :raises ConfigError: with the key.
    """
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)


def loopback(address: Address | None, key: str) -> Address | None:
    """Return the address if it is one of this machine alone.

    :raises ConfigError: with the key.
    """
    if address is not None:
        try:
            is_loopback = ipaddress.ip_address(address[0]).is_loopback
        except ValueError:
            is_loopback = address[0] == "localhost"
        if not is_loopback:
            raise ConfigError(f"{key}: expected a loopback address, got {address[0]}")
    return address


def inside(address: Address | None, key: str) -> Address | None:
    """Return the address if it is loopback or private: messages between runners are neither encrypted nor signed.

    :raises ConfigError: with the key.
    """
    if address is not None and address[0] != "localhost":
        try:
            is_private = ipaddress.ip_address(address[0]).is_private
        except ValueError:
            is_private = False
        if not is_private:
            raise ConfigError(f"{key}: expected a loopback or private address, got {address[0]}")
    return address
