"""Errors of publishing: those of namespaces and those of leases, and how they cross the wire."""

from __future__ import annotations

from ..leadership.errors import ERRORS as LEASE_ERRORS
from ..leadership.errors import LeadershipError, NoMajorityError
from ..namespaces.errors import ERRORS as NAMESPACE_ERRORS
from ..namespaces.errors import NamespaceError

DistributionError = NamespaceError | LeadershipError

_ERROR_TYPES: tuple[type[DistributionError], ...] = (*NAMESPACE_ERRORS, *LEASE_ERRORS)
# Their kinds are on the wire. Where both packages have an error of the same kind (`Conflict`, `OverBudget`), that of
# `leadership` is raised at the receiver.
ERRORS_BY_KIND = {error_type.kind: error_type for error_type in _ERROR_TYPES}


def error_from_wire(kind: str, text: str) -> DistributionError:
    """Return the error that another runner raised; `NoMajorityError` where its kind is unknown.

    Only its text is carried over: attributes of its own are not set.
    """
    error_type = ERRORS_BY_KIND.get(kind, NoMajorityError)
    error = error_type.__new__(error_type)
    Exception.__init__(error, text)
    return error
