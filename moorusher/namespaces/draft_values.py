"""Type checks of the JSON values in a draft.

The `read` functions raise `MalformedInputError`, with the path of the value, if its type or range is wrong.
"""

from __future__ import annotations

from typing import Any

from .errors import MalformedInputError


def read_object(raw: Any, path: str, known_keys: set[str]) -> dict[str, Any]:
    """Return the value if it is an object with known keys only."""
    if not isinstance(raw, dict):
        raise MalformedInputError(f"{path}: expected an object")
    if unknown := sorted(set(raw) - known_keys):
        raise MalformedInputError(
            f"{path}.{unknown[0]}: no such key; known are {', '.join(sorted(known_keys))}"
        )
    return raw


def read_mapping(raw: Any, path: str) -> dict[str, Any]:
    """Return the value if it is an object, or an empty object if it is None. Its keys are not checked."""
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        raise MalformedInputError(f"{path}: expected an object of names")
    return raw


def read_name(raw: Any, path: str) -> str:
    """Return the value, the name of a route, server or pool, if it is a string."""
    if not isinstance(raw, str):
        raise MalformedInputError(f"{path}: expected a name, got {raw!r}")
    return raw


def read_integer(raw: Any, path: str, minimum: int, maximum: int) -> int:
    """Return the value if it is an integer within the inclusive bounds."""
    if isinstance(raw, bool) or not isinstance(raw, int) or not minimum <= raw <= maximum:
        raise MalformedInputError(f"{path}: expected a whole number from {minimum} to {maximum}, got {raw!r}")
    return raw


def is_number(raw: Any, minimum: float, maximum: float) -> bool:
    """Return whether a value is a number within the inclusive bounds."""
    return isinstance(raw, (int, float)) and not isinstance(raw, bool) and minimum <= raw <= maximum
