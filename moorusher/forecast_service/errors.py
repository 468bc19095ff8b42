"""Errors of the forecast. Each says what happened, and in `remedy` what an operator can do.

The names of the classes are on the wire and in the administration API, which answers with them as `kind`; the
operators' page (`docs/operate/forecast.md`) lists them.
"""

from __future__ import annotations

from ..errors import OperatorError


class ForecastError(OperatorError):
    """Why there is no forecast, or why an operation was rejected."""


class NotYet(ForecastError):
    """The forecast has not been worked out, or its leader does not answer, yet."""

    status = 503
    remedy = "Again in some minutes: its owner has just begun, or too little has been counted."


class Unreadable(ForecastError):
    """The replicated state of the duty can't be decoded."""

    status = 503
    remedy = (
        "The state of the duty is damaged, and is left as it is. `moorusher duty show forecast` says who has it; "
        "take the duty away and it begins anew, without a past."
    )


class NoNumpy(ForecastError):
    """The library that works the forecast out is not installed at the leader."""

    remedy = "Install the extra on all runners that may own the forecast: moorusher[forecast]."


class BadPast(ForecastError):
    """A history that can't be imported; nothing of it was."""

    status = 400
    remedy = "Mend what is named; only hours before those that are counted here can be brought."


ERRORS: tuple[type[ForecastError], ...] = (NotYet, Unreadable, NoNumpy, BadPast)
ERRORS_BY_NAME = {error_type.__name__: error_type for error_type in ERRORS}


def error_from_wire(name: str, text: str) -> ForecastError:
    """Return the error that another runner answered with; `NotYet` where its name is unknown."""
    return ERRORS_BY_NAME.get(name, NotYet)(text)
