"""Errors of operations on duties. The message describes the failure; `remedy` tells operators what they can do.

`kind` is part of the API: runners send it to each other (`config_distribution`), and the operators' page
(`docs/operate/duties.md`) lists the kinds.
"""

from __future__ import annotations

from ..errors import OperatorError
from ..replication.work_record import Owner


class LeadershipError(OperatorError):
    """Base class of the reasons why an operation on a duty failed, with the HTTP status and the remedy."""


class LeaseSupersededError(LeadershipError):
    """The lease is held by another leader or in a later term.

    Attributes:
        duty: Name of the duty.
        term: Term that has ended.
        by: Current leader, or None if unknown.
        by_term: Term of the current leader.
    """

    kind = "Superseded"
    remedy = "Nothing: the owner named here goes on with it. Ask there, or read through the register."

    def __init__(self, duty: str, term: int, by: Owner | None, by_term: int) -> None:
        who = "nobody" if by is None else by.seat
        super().__init__(f"{duty}: term {term} is over; {who} has it in term {by_term}")
        self.duty = duty
        self.term = term
        self.by = by
        self.by_term = by_term


class NoMajorityError(LeadershipError):
    """Too few replicas answered, so it is unknown whether the change will be applied."""

    kind = "NoMajority"
    status = 503
    remedy = (
        "See `moorusher fleet show` on several runners: bring back seats that are down or cut off. Where "
        "all have begun anew without a journal, `moorusher fleet begin`."
    )

    def __init__(self, duty: str) -> None:
        super().__init__(f"{duty}: no majority of its keepers answers; nothing was changed that is known of")


class UnknownLeaseError(LeadershipError):
    """There is no duty of that name."""

    kind = "Unknown"
    status = 404
    remedy = "`moorusher duty show` lists the duties that there are."

    def __init__(self, duty: str) -> None:
        super().__init__(f"{duty}: no such duty")


class LeaseSuspendedError(LeadershipError):
    """The duty is suspended until an operator resumes it."""

    kind = "SetAside"
    remedy = (
        "Find out why its owners were lost (their logs name the duty); then `moorusher duty resume NAME`."
    )

    def __init__(self, duty: str, reason: str) -> None:
        super().__init__(f"{duty}: put aside: {reason}")


class RevisionConflictError(LeadershipError):
    """The duty's state was changed concurrently.

    Attributes:
        expected: Revision that the caller expected.
        found: Revision that was found.
    """

    kind = "Conflict"
    remedy = "Read what is there now, and make the change anew on top of it."

    def __init__(self, duty: str, expected: int, found: int) -> None:
        super().__init__(f"{duty}: change {found} is there, and {expected} was expected")
        self.expected = expected
        self.found = found


class LimitExceededError(LeadershipError):
    """A size or a count exceeds a limit of the settings."""

    kind = "OverBudget"
    status = 413
    remedy = (
        "Make it smaller, settle what is open, or raise the bound that is named in [duties] on all runners."
    )


class StateDamagedError(LeadershipError):
    """No replica that answers has a complete copy of the duty's state."""

    kind = "Damaged"
    status = 503
    remedy = (
        "A copy of the state is missing or does not match its digest at all keepers that answer. Bring back the "
        "seats that are down; they may have a whole one."
    )


class RegistersLostError(LeadershipError):
    """A receiver knows a later token than the registers, which were lost and created again."""

    kind = "Forgotten"
    remedy = (
        "The receiver knows later work than the fleet's registers do: they were lost and began anew. Make sure "
        "that no runner of the earlier fleet is left, then `moorusher duty resume NAME`: it goes on above that."
    )


class IntentUncertainError(LeadershipError):
    """The receiver has not answered, so it is unknown whether an intent was executed."""

    kind = "Uncertain"
    remedy = (
        "Nobody here can tell whether this was done. Look at its receiver, then `moorusher duty settle NAME "
        "NUMBER done` or `undone`."
    )


class ReceiverUnreachableError(LeadershipError):
    """The receiver does not answer."""

    kind = "Unreached"
    status = 503
    remedy = "See whether the receiver named here is up, and whether all runners reach it."


class LeaderBusyError(LeadershipError):
    """The operation is not possible now. It has changed nothing and can be retried later."""

    kind = "Busy"
    status = 503
    remedy = "Again later: its owner is giving it up, or has too much before it."


ERRORS: tuple[type[LeadershipError], ...] = (
    LeaseSupersededError,
    NoMajorityError,
    UnknownLeaseError,
    LeaseSuspendedError,
    RevisionConflictError,
    LimitExceededError,
    StateDamagedError,
    RegistersLostError,
    IntentUncertainError,
    ReceiverUnreachableError,
    LeaderBusyError,
)
