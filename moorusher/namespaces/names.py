"""Validation of the names of customers, teams, routes and rules."""

# Names must be in Unicode's form NFC and are compared exactly. There is no case folding, no stripping and no merging
# of look-alike characters: `acme`, `Acme`, `acme-eu` and `acme` with a Cyrillic letter are four names. A name that is
# not in NFC is rejected rather than normalized, so that its author notices.

from __future__ import annotations

import unicodedata

from .errors import MalformedInputError

MAX_LENGTH = 64  # characters
# Unicode categories of control, format, surrogate, private-use and unassigned characters, and of separators.
_REJECTED_CATEGORIES = {
    "Cc",
    "Cf",
    "Cs",
    "Co",
    "Cn",
    "Zl",
    "Zp",
    "Zs",
}


def is_valid_name(name: str) -> bool:
    """Return whether a string is a valid name in form NFC."""
    return (
        0 < len(name) <= MAX_LENGTH
        and unicodedata.is_normalized("NFC", name)
        and not any(unicodedata.category(character) in _REJECTED_CATEGORIES for character in name)
    )


def require_name(name: object, path: str) -> str:
    """Return the name if it is valid.

    :param path: Path of the name in its document, for the error's text.
    :raises MalformedInputError: it is not a string, not in form NFC, or has rejected characters or a wrong length.
    """
    if not isinstance(name, str) or not is_valid_name(name):
        raise MalformedInputError(
            f"{path}: expected a name of 1 to {MAX_LENGTH} characters in Unicode's form NFC, without spaces and "
            f"control characters, got {name!r}"
        )
    return name
