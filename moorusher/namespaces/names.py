"""Names of customers, teams, routes and rules: compared exactly, in one normal form.

The form is Unicode's NFC, and nothing else: no folding of case, no stripping, no look-alikes made one. So `acme`,
`Acme`, `acme-eu` and a name with a Cyrillic letter in it are four. A name that is not in that form is refused, not
changed: who typed it learns of it.
"""

from __future__ import annotations

import unicodedata

from .errors import MalformedInputError

MAX_LENGTH = 64  # characters
_REJECTED_CATEGORIES = {
    "Cc",
    "Cf",
    "Cs",
    "Co",
    "Cn",
    "Zl",
    "Zp",
    "Zs",
}  # controls, formats, unassigned, spaces


def is_valid_name(name: str) -> bool:
    """Return whether a string is a valid name in normal form."""
    return (
        0 < len(name) <= MAX_LENGTH
        and unicodedata.is_normalized("NFC", name)
        and not any(unicodedata.category(character) in _REJECTED_CATEGORIES for character in name)
    )


def require_name(name: object, path: str) -> str:
    """Return the name.

    :raises MalformedInputError: it is none, or not in normal form; `path` says where it stands.
    """
    if not isinstance(name, str) or not is_valid_name(name):
        raise MalformedInputError(
            f"{path}: expected a name of 1 to {MAX_LENGTH} characters in Unicode's form NFC, without spaces and "
            f"control characters, got {name!r}"
        )
    return name
