"""Errors of the forecast. Each says what happened, and in `remedy` what an operator can do.

Their `kind` is on the wire and in the administration API; the operators' page (`docs/operate/forecast.md`) lists them.
"""

from __future__ import annotations

from ..errors import OperatorError


class ForecastError(OperatorError):
    """Why there is no forecast, or why an operation was rejected."""


class ForecastNotReadyError(ForecastError):
    """The forecast has not been worked out, or its leader does not answer, yet."""

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
    """The library that works the forecast out is not installed at the leader."""

    kind = "NoNumpy"
    remedy = "Install the extra on all runners that may own the forecast: moorusher[forecast]."


class InvalidHistoryError(ForecastError):
    """A history that can't be imported; nothing of it was."""

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
    """Return the error that another runner answered with; `ForecastNotReadyError` where its kind is unknown."""
    return ERRORS_BY_KIND.get(kind, ForecastNotReadyError)(text)
