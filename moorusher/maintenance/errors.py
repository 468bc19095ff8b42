"""What can go wrong with an outage. Each says in words what happened, and in `remedy` what an operator can do."""

from __future__ import annotations

from ..errors import Remediable


class OutageError(Remediable):
    """Why an ask, or a word on one, is turned down, with its status and remedy for operators."""


class NoMajority(OutageError):
    """Too few keepers answer: whether the change comes about is not known."""

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
    """No ask of that id is open."""

    status = 404
    remedy = "`moorusher outage show` lists the asks that are open, and those that ended lately."


class OtherAsk(OutageError):
    """Another ask has that id."""

    remedy = "An id stands for one ask for good. Take another id, or leave it out: one is made."


class TooMany(OutageError):
    """As many asks are open as may be."""

    status = 413
    remedy = "Wait until some have ended, withdraw some, or raise outage.most_asks on all runners."


class TooLate(OutageError):
    """The machine has been told to go: its turn can't be taken back."""

    remedy = (
        "It was told that it may go, so it counts as out whatever becomes of it. Once it is back, or where it is "
        "not going after all: `moorusher outage done SEAT`."
    )


class NotHere(OutageError):
    """It has to be said at the machine itself."""

    remedy = (
        "Wait on the machine itself, at its own runner: its next start ends the turn, and whoever waits there "
        "with it. From elsewhere, ask with --ends done, and say `moorusher outage done SEAT` once it is."
    )


class NotOut(OutageError):
    """The machine is not out."""

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
