"""Errors of customers' namespaces. Each says what is wrong, and in `remedy` what helps.

`kind`, `status` and `remedy` are part of the API, and runners send the kinds to each other (`config_distribution`). The
operators' page (`docs/operate/namespaces.md`) lists them.
"""

from __future__ import annotations

from ..errors import OperatorError


class NamespaceError(OperatorError):
    """A draft, or a call about a namespace, is rejected."""


class MalformedInputError(NamespaceError):
    """A key of a draft, or of a query, is missing, unknown or of the wrong kind; the text begins with its path."""

    kind = "Malformed"
    status = 400
    remedy = "Mend the key that is named."


class AmbiguousRulesError(NamespaceError):
    """Two rules match one request, and neither is more specific.

    rules: their labels, sorted.
    example: a request that both match, in words.
    """

    kind = "Ambiguous"
    remedy = "Narrow one of the two, or add a third for what both match."

    def __init__(self, first: str, second: str, example: str) -> None:
        first, second = sorted((first, second))
        super().__init__(f"{first} and {second} are equally specific, and both match {example}")
        self.rules = (first, second)
        self.example = example


class UnreachableRuleError(NamespaceError):
    """A rule that no request can reach.

    rule: its label.
    covered_by: labels of the rules that cover it; none where it matches nothing by itself.
    """

    kind = "Unreachable"
    remedy = "Take it out, or narrow what covers it."

    def __init__(self, rule: str, covered_by: tuple[str, ...]) -> None:
        reason = f": covered by {', '.join(covered_by)}" if covered_by else ""
        super().__init__(f"{rule} can never match{reason}")
        self.rule = rule
        self.covered_by = covered_by


class NotGrantedError(NamespaceError):
    """A draft names what is not this customer's, nor granted to it."""

    kind = "Foreign"
    status = 403
    remedy = "Name one of your own routes, servers or pools; the platform grants further ones."


class BudgetExceededError(NamespaceError):
    """More than the customer may cost; the text names the bound."""

    kind = "OverBudget"
    status = 413
    remedy = "Make it smaller, or ask the platform for a larger bound."


class CircularFallbackError(NamespaceError):
    """A route falls back on itself, directly or by others; the text names all of them."""

    kind = "Circular"
    remedy = "Break the circle of fall-backs that is named."


class PublishConflictError(NamespaceError):
    """Another revision came first.

    expected, found: numbers of the revision that the change was made on top of, and of the current one.
    changes: what changed in between, a line each.
    """

    kind = "Conflict"
    remedy = (
        "Read what is there now (`moorusher namespace show`), make the change on top of it, and publish that."
    )

    def __init__(self, expected: int, found: int, changes: tuple[str, ...]) -> None:
        listed = "; ".join(changes) or "nothing that can be told any more"
        super().__init__(
            f"made on top of revision {expected}, and {found} is there; changed since then: {listed}"
        )
        self.expected = expected
        self.found = found
        self.changes = changes


class RevisionNotRetainedError(NamespaceError):
    """A revision that is not retained any more, or never was there."""

    kind = "Retired"
    status = 404
    remedy = "Publish it anew from a copy of your own: `moorusher namespace show` lists those that are kept."


class UnknownCustomerError(NamespaceError):
    """No customer of that name has a namespace, or may have one."""

    kind = "NoSuchCustomer"
    status = 404
    remedy = "`moorusher namespace list` has those that there are; the platform adds one with [[namespaces.customer]]."


class StaleRevisionError(NamespaceError):
    """A revision is not later than the current one. Not sent: it is in this runner's log only."""

    kind = "Stale"
    remedy = "Nothing: this runner has that revision, or a later one."


# Those that are sent between runners, by their kinds.
ERRORS: tuple[type[NamespaceError], ...] = (
    MalformedInputError,
    AmbiguousRulesError,
    UnreachableRuleError,
    NotGrantedError,
    BudgetExceededError,
    CircularFallbackError,
    PublishConflictError,
    RevisionNotRetainedError,
    UnknownCustomerError,
)
