"""A section of a parsed configuration: typed access to values by key, with errors that name the key."""

from __future__ import annotations

import errno
import ipaddress
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar, cast

from ..transient_errors import TRANSIENT

Value = TypeVar("Value")
Address = tuple[str, int]  # Host and port.

MAX_NUMBER = 1e15  # Python's JSON parser accepts NaN, Infinity and integers of any size.
MAX_PORT = 65_535


class ConfigError(ValueError):
    """The configuration is invalid; the message names the key."""


class ConfigUnreadableError(ConfigError):
    """A file of the configuration is temporarily unreadable; a retry may succeed."""


# Errors of a system without capacity or of a failing disk, which don't mean that the file is invalid.
TEMPORARY_READ_ERRORS = TRANSIENT | {errno.EIO}


def unreadable_error(key: str, error: OSError) -> ConfigError:
    """Return the error for an unreadable file; `key` is its name, or the key or variable that refers to it."""
    kind = ConfigUnreadableError if error.errno in TEMPORARY_READ_ERRORS else ConfigError
    return kind(f"{key}: {error}")


class NumericSetting(NamedTuple):
    """A numeric setting: the name of the field that it sets, and its inclusive bounds."""

    field: str
    minimum: float
    maximum: float


class Section:
    """One object of the configuration.

    Methods raise ConfigError with the full path of the key if a value is invalid.

    Attributes:
        data: Values by key.
        path: Key of this section; "" for the whole file.
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
        """Return the value, which must have the type of the default, or the default if the key is missing."""
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
        """Return a number greater than 0."""
        value = self.get(name, default)
        if not cast(float, value) > 0:
            raise ConfigError(f"{self.key(name)}: expected more than 0, got {value!r}")
        return value

    def between(self, name: str, default: Value, minimum: float, maximum: float) -> Value:
        """Return a number within these bounds, both inclusive."""
        value = self.get(name, default)
        if not minimum <= cast(float, value) <= maximum:
            raise ConfigError(f"{self.key(name)}: expected {minimum:g} to {maximum:g}, got {value!r}")
        return value

    def numbers(self, settings: Mapping[str, NumericSetting], defaults: object) -> dict[str, Any]:
        """Return the values of numeric settings by field; missing ones have the value of the field in `defaults`.

        :param settings: numeric settings by key.
        """
        return {
            setting.field: self.between(
                key, getattr(defaults, setting.field), setting.minimum, setting.maximum
            )
            for key, setting in settings.items()
        }

    def section(self, name: str) -> Section:
        """Return the object under this key; it is empty if the key is missing."""
        return Section(self.data.get(name, {}), self.key(name))

    def address(self, name: str) -> Address | None:
        """Return an address given as HOST:PORT, or None if the key is missing."""
        text = self.get(name, "")
        return parse_address(text, self.key(name)) if text else None

    def reject_unknown_keys(self, known: set[str]) -> None:
        """Raise an error for unknown keys. Otherwise a misspelled setting would silently have its default."""
        unknown = sorted(set(self.data) - known)
        if unknown:
            raise ConfigError(f"{self.key(unknown[0])}: no such key; known are {', '.join(sorted(known))}")


def parse_address(text: str, key: str) -> Address:
    """Parse an address given as HOST:PORT; `key` is for the error message.

    :raises ConfigError: the text is not a valid address.
    """
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)


def require_loopback(address: Address | None, key: str) -> Address | None:
    """Return the address, which must be a loopback address or None.

    :raises ConfigError: the address is not a loopback address.
    """
    if address is not None:
        try:
            is_loopback = ipaddress.ip_address(address[0]).is_loopback
        except ValueError:
            is_loopback = address[0] == "localhost"
        if not is_loopback:
            raise ConfigError(f"{key}: expected a loopback address, got {address[0]}")
    return address


def require_private(address: Address | None, key: str) -> Address | None:
    """Return the address, which must be a loopback or private address, or None.

    :raises ConfigError: the address is public or not an IP address.
    """
    # Messages between runners are neither encrypted nor signed, so they must not leave private networks.
    if address is not None and address[0] != "localhost":
        try:
            is_private = ipaddress.ip_address(address[0]).is_private
        except ValueError:
            is_private = False
        if not is_private:
            raise ConfigError(f"{key}: expected a loopback or private address, got {address[0]}")
    return address
