"""Base class of errors that an operator can act on."""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """An error with a description for operators and a remedy.

    Attributes:
        kind: Name of the error in the administration API and in messages between runners. Each concrete class has its
            own; base classes have none.
        status: HTTP status of the administration API.
        remedy: What an operator can do.
    """

    kind: ClassVar[str]
    status: ClassVar[int] = 409
    remedy: ClassVar[str] = ""
