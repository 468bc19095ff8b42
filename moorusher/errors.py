"""The base of errors that an operator can act on."""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """What went wrong, in words, with what an operator can do.

    Attributes:
        kind: its name in the administration API and between runners; the class's own where this is empty.
        status: of HTTP, for the administration API.
        remedy: what can be done.
    """

    kind: ClassVar[str] = ""
    status: ClassVar[int] = 409
    remedy: ClassVar[str] = ""


def kind_of(error_type: type[Exception]) -> str:
    """Return the name that stands for this type of error in the API and between runners."""
    return getattr(error_type, "kind", "") or error_type.__name__
