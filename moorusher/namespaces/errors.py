"""Errors of customers' namespaces. Each has a text with the cause and a `remedy` for the operator.

`kind`, `status` and `remedy` are part of the API, and runners send the kinds to each other (`config_distribution`).
`docs/operate/namespaces.md` lists the errors for operators.
"""

from __future__ import annotations

from ..errors import OperatorError


class NamespaceError(OperatorError):
    """A draft, or an API call about a namespace, is rejected."""


class MalformedInputError(NamespaceError):
    """A key of a draft or of a query is missing, unknown or of the wrong type. The text begins with its path."""

    kind = "Malformed"
    status = 400
    remedy = "Mend the key that is named."


class AmbiguousRulesError(NamespaceError):
    """Two rules match the same request, and neither is more specific.

    Attributes:
        rules: Labels of the two rules, sorted.
        example: Description of a request that both match.
    """

    kind = "Ambiguous"
    remedy = "Narrow one of the two, or add a third for what both match."

    def __init__(self, first: str, second: str, example: str) -> None:
        first, second = sorted((first, second))
        super().__init__(f"{first} and {second} are equally specific, and both match {example}")
        self.rules = (first, second)
        self.example = example


class UnreachableRuleError(NamespaceError):
    """A rule never decides for any request.

    Attributes:
        rule: Label of the rule.
        covered_by: Labels of the rules that together cover it; empty if its own matcher matches no request.
    """

    kind = "Unreachable"
    remedy = "Take it out, or narrow what covers it."

    def __init__(self, rule: str, covered_by: tuple[str, ...]) -> None:
        reason = f": covered by {', '.join(covered_by)}" if covered_by else ""
        super().__init__(f"{rule} can never match{reason}")
        self.rule = rule
        self.covered_by = covered_by


class NotGrantedError(NamespaceError):
    """A draft names a route, server or pool that is neither the customer's own nor granted to it."""

    kind = "Foreign"
    status = 403
    remedy = "Name one of your own routes, servers or pools; the platform grants further ones."


class BudgetExceededError(NamespaceError):
    """The customer's budget is exceeded. The text gives the limit."""

    kind = "OverBudget"
    status = 413
    remedy = "Make it smaller, or ask the platform for a larger bound."


class CircularFallbackError(NamespaceError):
    """A route falls back to itself, directly or through other routes. The text names all of them."""

    kind = "Circular"
    remedy = "Break the circle of fall-backs that is named."


class PublishConflictError(NamespaceError):
    """A submission is not based on the current revision, because another one was published first.

    Attributes:
        expected: Number of the revision that the submission is based on.
        found: Number of the current revision.
        changes: Differences between the two revisions, one line each.
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
    """The requested revision is no longer retained, or never existed."""

    kind = "Retired"
    status = 404
    remedy = "Publish it anew from a copy of your own: `moorusher namespace show` lists those that are kept."


class UnknownCustomerError(NamespaceError):
    """No customer of that name is in the settings, or it has no namespace."""

    kind = "NoSuchCustomer"
    status = 404
    remedy = "`moorusher namespace list` has those that there are; the platform adds one with [[namespaces.customer]]."


class StaleRevisionError(NamespaceError):
    """A revision is not later than the latest known one. Never sent to other runners or to clients."""

    kind = "Stale"
    remedy = "Nothing: this runner has that revision, or a later one."


# Errors that runners send to each other, identified by their kinds.
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
