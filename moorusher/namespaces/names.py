"""Names of customers, teams, routes and rules: compared exactly, in one normal form.

The form is Unicode's NFC, and nothing else: no folding of case, no stripping, no look-alikes made one. So `acme`,
`Acme`, `acme-eu` and a name with a Cyrillic letter in it are four. A name that is not in that form is refused, not
changed: who typed it learns of it.
"""

from __future__ import annotations

import unicodedata

from .errors import Malformed

MOST = 64  # characters
_BAD = {"Cc", "Cf", "Cs", "Co", "Cn", "Zl", "Zp", "Zs"}


def is_normal(name: str) -> bool:
    """Written the one way in which names are compared."""
    return (
        0 < len(name) <= MOST
        and unicodedata.is_normalized("NFC", name)
        and not any(unicodedata.category(c) in _BAD for c in name)
    )


def checked(name: object, path: str) -> str:
    """Raises Malformed."""
    if not isinstance(name, str) or not is_normal(name):
        raise Malformed(
            f"{path}: expected a name of 1 to {MOST} characters in Unicode's form NFC, without spaces and "
            f"control characters, got {name!r}"
        )
    return name
