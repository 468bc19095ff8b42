"""Errors of maintenance. Each has a message for the cause, and a `remedy` that tells an operator what to do.

`kind` and `remedy` are part of the administration API; `docs/operate/outage.md` lists the kinds.
"""

from __future__ import annotations

from ..errors import OperatorError


class MaintenanceError(OperatorError):
    """Base of the errors that reject an operation, with an HTTP status and a remedy for operators."""


class NoMajorityError(MaintenanceError):
    """No majority of the replicas answered: it is unknown whether the change takes effect."""

    kind = "NoMajority"
    status = 503
    remedy = (
        "Nobody new goes out meanwhile; machines that are out can come back and serve. See "
        "`moorusher fleet show` on several runners: bring back seats that are down or cut off. What was sent may "
        "yet come about: ask again with the same id."
    )


class UnknownSeatError(MaintenanceError):
    """The fleet has no seat with that name."""

    kind = "NoSuchSeat"
    status = 404
    remedy = "`moorusher outage show` lists the seats; they are those of [[fleet.seat]]."


class UnknownRequestError(MaintenanceError):
    """No request with that id is open."""

    kind = "NoSuchAsk"
    status = 404
    remedy = "`moorusher outage show` lists the asks that are open, and those that ended lately."


class RequestIdConflictError(MaintenanceError):
    """Another request has that id."""

    kind = "OtherAsk"
    remedy = "An id stands for one ask for good. Take another id, or leave it out: one is made."


class TooManyRequestsError(MaintenanceError):
    """The maximum number of open requests is reached."""

    kind = "TooMany"
    status = 413
    remedy = "Wait until some have ended, withdraw some, or raise outage.most_asks on all runners."


class AlreadyClearedError(MaintenanceError):
    """The machine has been cleared for the work, so its slot can't be revoked."""

    kind = "TooLate"
    remedy = (
        "It was told that it may go, so it counts as out whatever becomes of it. Once it is back, or where it is "
        "not going after all: `moorusher outage done SEAT`."
    )


class NotLocalError(MaintenanceError):
    """The operation must be requested at the runner of the machine itself."""

    kind = "NotHere"
    remedy = (
        "Wait on the machine itself, at its own runner: its next start ends the turn, and whoever waits there "
        "with it. From elsewhere, ask with --ends done, and say `moorusher outage done SEAT` once it is."
    )


class MachineInServiceError(MaintenanceError):
    """The machine is not out of service."""

    kind = "NotOut"
    remedy = (
        "`moorusher outage show` has what each machine is at. One that only waits is withdrawn with `cancel`."
    )


ERRORS: tuple[type[MaintenanceError], ...] = (
    NoMajorityError,
    UnknownSeatError,
    UnknownRequestError,
    RequestIdConflictError,
    TooManyRequestsError,
    AlreadyClearedError,
    NotLocalError,
    MachineInServiceError,
)
