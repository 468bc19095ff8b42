"""The base of errors that an operator can act on."""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """What went wrong, in words, with what an operator can do.

    Attributes:
        kind: its name in the administration API and between runners. Each error that is raised has its own; bases
            have none.
        status: of HTTP, for the administration API.
        remedy: what can be done.
    """

    kind: ClassVar[str]
    status: ClassVar[int] = 409
    remedy: ClassVar[str] = ""
