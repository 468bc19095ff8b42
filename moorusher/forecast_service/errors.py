"""Errors of the forecast. The message describes the failure, and `remedy` tells operators what they can do.

`kind` is sent between runners and shown by the administration API; `docs/operate/forecast.md` lists all kinds.
"""

from __future__ import annotations

from ..errors import OperatorError


class ForecastError(OperatorError):
    """Base of the errors of the forecast: there is no forecast, or an operation was rejected."""


class ForecastNotReadyError(ForecastError):
    """The forecast has not been computed yet, or its leader does not answer."""

    kind = "NotYet"
    status = 503
    remedy = "Again in some minutes: its owner has just begun, or too little has been counted."


class CorruptLedgerError(ForecastError):
    """The replicated state of the duty can't be decoded."""

    kind = "Unreadable"
    status = 503
    remedy = (
        "The state of the duty is damaged, and is left as it is. `moorusher duty show forecast` says who has it; "
        "take the duty away and it begins anew, without a past."
    )


class MissingLibraryError(ForecastError):
    """A library that the leader needs to compute the forecast is not installed."""

    kind = "NoNumpy"
    remedy = "Install the extra on all runners that may own the forecast: moorusher[forecast]."


class InvalidHistoryError(ForecastError):
    """A history can't be imported. None of the histories in the request was imported."""

    kind = "BadPast"
    status = 400
    remedy = "Mend what is named; only hours before those that are counted here can be brought."


ERRORS: tuple[type[ForecastError], ...] = (
    ForecastNotReadyError,
    CorruptLedgerError,
    MissingLibraryError,
    InvalidHistoryError,
)
ERRORS_BY_KIND = {error_type.kind: error_type for error_type in ERRORS}


def error_from_wire(kind: str, text: str) -> ForecastError:
    """Return the error that another runner answered with; `ForecastNotReadyError` if its kind is unknown."""
    return ERRORS_BY_KIND.get(kind, ForecastNotReadyError)(text)
