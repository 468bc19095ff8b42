"""Errors of publishing: those of namespaces and of leases, and their decoding from messages."""

from __future__ import annotations

from ..leadership.errors import ERRORS as LEASE_ERRORS
from ..leadership.errors import LeadershipError, NoMajorityError
from ..namespaces.errors import ERRORS as NAMESPACE_ERRORS
from ..namespaces.errors import NamespaceError

DistributionError = NamespaceError | LeadershipError

_ERROR_TYPES: tuple[type[DistributionError], ...] = (*NAMESPACE_ERRORS, *LEASE_ERRORS)
# Messages identify errors by their kinds. If `namespaces` and `leadership` both define a kind (`Conflict`,
# `OverBudget`), the receiver decodes it as the error of `leadership`.
ERRORS_BY_KIND = {error_type.kind: error_type for error_type in _ERROR_TYPES}


def error_from_wire(kind: str, text: str) -> DistributionError:
    """Return the error that another runner reported; `NoMajorityError` if its kind is unknown.

    Only the text is restored; attributes that the class defines itself are not set.
    """
    error_type = ERRORS_BY_KIND.get(kind, NoMajorityError)
    error = error_type.__new__(error_type)
    Exception.__init__(error, text)
    return error
