"""Errors of maintenance. Each says what happened, and in `remedy` what an operator can do.

The names of the classes are part of the API: the administration API answers with them as `kind`, and the operators'
page (`docs/operate/outage.md`) lists them.
"""

from __future__ import annotations

from ..errors import Remediable


class OutageError(Remediable):
    """Why an operation was rejected, with the HTTP status and the remedy for operators."""


class NoMajority(OutageError):
    """Too few replicas answer: whether the change comes about is not known."""

    status = 503
    remedy = (
        "Nobody new goes out meanwhile; machines that are out can come back and serve. See "
        "`moorusher fleet show` on several runners: bring back seats that are down or cut off. What was sent may "
        "yet come about: ask again with the same id."
    )


class NoSuchSeat(OutageError):
    """The fleet has no seat of that name."""

    status = 404
    remedy = "`moorusher outage show` lists the seats; they are those of [[fleet.seat]]."


class NoSuchAsk(OutageError):
    """No request of that id is open."""

    status = 404
    remedy = "`moorusher outage show` lists the asks that are open, and those that ended lately."


class OtherAsk(OutageError):
    """Another request has that id."""

    remedy = "An id stands for one ask for good. Take another id, or leave it out: one is made."


class TooMany(OutageError):
    """As many requests are open as the settings allow."""

    status = 413
    remedy = "Wait until some have ended, withdraw some, or raise outage.most_asks on all runners."


class TooLate(OutageError):
    """The machine has been cleared: its slot can't be revoked."""

    remedy = (
        "It was told that it may go, so it counts as out whatever becomes of it. Once it is back, or where it is "
        "not going after all: `moorusher outage done SEAT`."
    )


class NotHere(OutageError):
    """The operation has to be made at the machine itself."""

    remedy = (
        "Wait on the machine itself, at its own runner: its next start ends the turn, and whoever waits there "
        "with it. From elsewhere, ask with --ends done, and say `moorusher outage done SEAT` once it is."
    )


class NotOut(OutageError):
    """The machine is not out of service."""

    remedy = (
        "`moorusher outage show` has what each machine is at. One that only waits is withdrawn with `cancel`."
    )


ERRORS: tuple[type[OutageError], ...] = (
    NoMajority,
    NoSuchSeat,
    NoSuchAsk,
    OtherAsk,
    TooMany,
    TooLate,
    NotHere,
    NotOut,
)
