"""Errors of publishing: those of namespaces and those of leases, and how they cross the wire."""

from __future__ import annotations

from ..leadership.errors import ERRORS as LEASE_ERRORS
from ..leadership.errors import DutyError, NoMajority
from ..namespaces.errors import ERRORS as NAMESPACE_ERRORS
from ..namespaces.errors import NamespaceError

DistributionError = NamespaceError | DutyError

_ERROR_TYPES: tuple[type[DistributionError], ...] = (*NAMESPACE_ERRORS, *LEASE_ERRORS)
# Class names are on the wire. Where both packages have one of the same name (`Conflict`, `OverBudget`), that of
# `leadership` is raised at the receiver.
ERRORS_BY_NAME = {error_type.__name__: error_type for error_type in _ERROR_TYPES}


def error_from_wire(name: str, text: str) -> DistributionError:
    """Return the error that another runner raised; `NoMajority` where its name is unknown.

    Only its text is carried over: attributes of its own are not set.
    """
    error_type = ERRORS_BY_NAME.get(name, NoMajority)
    error = error_type.__new__(error_type)
    Exception.__init__(error, text)
    return error
