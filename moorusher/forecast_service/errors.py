"""What can go wrong with a forecast. Each says what an operator can do."""

from __future__ import annotations

from ..errors import OperatorError


class ForecastError(OperatorError):
    """Why there is no forecast to be had, with its status and remedy for operators."""


class NotYet(ForecastError):
    """It has not been worked out, or has not come here, yet."""

    status = 503
    remedy = "Again in some minutes: its owner has just begun, or too little has been counted."


class Unreadable(ForecastError):
    """The state of the forecast can't be read."""

    status = 503
    remedy = (
        "The state of the duty is damaged, and is left as it is. `moorusher duty show forecast` says who has it; "
        "take the duty away and it begins anew, without a past."
    )


class NoNumpy(ForecastError):
    """The library that works it out is not installed."""

    remedy = "Install the extra on all runners that may own the forecast: moorusher[forecast]."


class BadPast(ForecastError):
    """Hours that were counted elsewhere, and can't be taken."""

    status = 400
    remedy = "Mend what is named; only hours before those that are counted here can be brought."


ERRORS: tuple[type[ForecastError], ...] = (NotYet, Unreadable, NoNumpy, BadPast)
