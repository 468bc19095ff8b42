"""Errors of duties. Each says what happened, and in `remedy` what an operator can do.

`kind` is part of the API: runners send them to each other (`config_distribution`), and the
operators' page (`docs/operate/duties.md`) lists them.
"""

from __future__ import annotations

from ..errors import OperatorError
from ..replication.work_record import Owner


class LeadershipError(OperatorError):
    """Why something was not done for a duty, with the HTTP status and the remedy for operators."""


class LeaseSupersededError(LeadershipError):
    """The lease is held by another leader, or in a later term.

    duty: str, its name.
    term: int, that is over.
    by, by_term: the leader that is known now, and its term.
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
    """Too few replicas answer: whether the change comes about is not known."""

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
    """The duty is suspended: it waits for an operator."""

    kind = "SetAside"
    remedy = (
        "Find out why its owners were lost (their logs name the duty); then `moorusher duty resume NAME`."
    )

    def __init__(self, duty: str, reason: str) -> None:
        super().__init__(f"{duty}: put aside: {reason}")


class RevisionConflictError(LeadershipError):
    """It was changed by another meanwhile. `expected`, `found`: revisions."""

    kind = "Conflict"
    remedy = "Read what is there now, and make the change anew on top of it."

    def __init__(self, duty: str, expected: int, found: int) -> None:
        super().__init__(f"{duty}: change {found} is there, and {expected} was expected")
        self.expected = expected
        self.found = found


class LimitExceededError(LeadershipError):
    """A size or a count exceeds the settings."""

    kind = "OverBudget"
    status = 413
    remedy = (
        "Make it smaller, settle what is open, or raise the bound that is named in [duties] on all runners."
    )


class StateDamagedError(LeadershipError):
    """No complete copy of its state can be found."""

    kind = "Damaged"
    status = 503
    remedy = (
        "A copy of the state is missing or does not match its digest at all keepers that answer. Bring back the "
        "seats that are down; they may have a whole one."
    )


class RegistersLostError(LeadershipError):
    """The registers were lost and began anew: a receiver knows of later terms than they do."""

    kind = "Forgotten"
    remedy = (
        "The receiver knows later work than the fleet's registers do: they were lost and began anew. Make sure "
        "that no runner of the earlier fleet is left, then `moorusher duty resume NAME`: it goes on above that."
    )


class IntentUncertainError(LeadershipError):
    """The receiver has not answered whether an intent was done."""

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
    """It can't be done now; nothing was changed. Retry later."""

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
