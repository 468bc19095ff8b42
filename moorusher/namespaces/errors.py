"""Why a customer's rules can't be published, or decide nothing. Each names what is wrong, and says what helps."""

from __future__ import annotations

from ..errors import Remediable


class NamespaceError(Remediable):
    """Why a draft, or a call about a namespace, is turned down."""


class Malformed(NamespaceError):
    """A key is missing, unknown or of the wrong kind; the text begins with its path."""

    status = 400
    remedy = "Mend the key that is named."


class Ambiguous(NamespaceError):
    """Two rules match one request, and neither is more specific."""

    remedy = "Narrow one of the two, or add a third for what both match."

    def __init__(self, first: str, second: str, example: str) -> None:
        first, second = sorted((first, second))
        super().__init__(f"{first} and {second} are equally specific, and both match {example}")
        self.rules, self.example = (first, second), example


class Unreachable(NamespaceError):
    """A rule that no request can reach."""

    remedy = "Take it out, or narrow what covers it."

    def __init__(self, rule: str, by: tuple[str, ...]) -> None:
        super().__init__(
            f"{rule} can never match: covered by {', '.join(by)}" if by else f"{rule} can never match"
        )
        self.rule, self.by = rule, by


class Foreign(NamespaceError):
    """It names what is not this customer's, nor granted to it."""

    status = 403
    remedy = "Name one of your own routes, servers or pools; the platform grants further ones."


class OverBudget(NamespaceError):
    """More than the customer may cost; the bound is named."""

    status = 413
    remedy = "Make it smaller, or ask the platform for a larger bound."


class Circular(NamespaceError):
    """A route that falls back on itself: one of its fall-backs has to go."""

    remedy = "Break the circle of fall-backs that is named."


class Conflict(NamespaceError):
    """Another revision came first."""

    remedy = (
        "Read what is there now (`moorusher namespace show`), make the change on top of it, and publish that."
    )

    def __init__(self, expected: int, found: int, changes: tuple[str, ...]) -> None:
        what = "; ".join(changes) or "nothing that can be told any more"
        super().__init__(
            f"made on top of revision {expected}, and {found} is there; changed since then: {what}"
        )
        self.expected, self.found, self.changes = expected, found, changes


class Retired(NamespaceError):
    """A revision that is kept no longer, or never was."""

    status = 404
    remedy = "Publish it anew from a copy of your own: `moorusher namespace show` lists those that are kept."


class NoSuchCustomer(NamespaceError):
    """No customer of that name has a namespace, or may have one."""

    status = 404
    remedy = "`moorusher namespace list` has those that there are; the platform adds one with [[namespaces.customer]]."


ERRORS: tuple[type[NamespaceError], ...] = (
    Malformed,
    Ambiguous,
    Unreachable,
    Foreign,
    OverBudget,
    Circular,
    Conflict,
    Retired,
    NoSuchCustomer,
)
