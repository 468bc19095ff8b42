"""Values of a draft's JSON by their kind; for others the `read` functions raise `MalformedInputError` with the path."""

from __future__ import annotations

from typing import Any

from .errors import MalformedInputError


def read_object(raw: Any, path: str, known_keys: set[str]) -> dict[str, Any]:
    """Return an object that has none but the known keys."""
    if not isinstance(raw, dict):
        raise MalformedInputError(f"{path}: expected an object")
    if unknown := sorted(set(raw) - known_keys):
        raise MalformedInputError(
            f"{path}.{unknown[0]}: no such key; known are {', '.join(sorted(known_keys))}"
        )
    return raw


def read_by_name(raw: Any, path: str) -> dict[str, Any]:
    """Return an object whose keys are names; empty where it is missing."""
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        raise MalformedInputError(f"{path}: expected an object of names")
    return raw


def read_name(raw: Any, path: str) -> str:
    """Return the name of something that the draft or the platform has."""
    if not isinstance(raw, str):
        raise MalformedInputError(f"{path}: expected a name, got {raw!r}")
    return raw


def read_integer(raw: Any, path: str, minimum: int, maximum: int) -> int:
    """Return a whole number within these bounds, both included."""
    if isinstance(raw, bool) or not isinstance(raw, int) or not minimum <= raw <= maximum:
        raise MalformedInputError(f"{path}: expected a whole number from {minimum} to {maximum}, got {raw!r}")
    return raw


def is_number(raw: Any, minimum: float, maximum: float) -> bool:
    """Return whether a value is a number within these bounds, both included."""
    return isinstance(raw, (int, float)) and not isinstance(raw, bool) and minimum <= raw <= maximum
