"""Interface between the engine and the customers' rules.

The engine applies the rules once, when a request is read. The decision remains in force until the final answer.
"""

from __future__ import annotations

from typing import Protocol

from .requests import Arrival


class Ruling(Protocol):
    """Decision of a customer's rules on one request."""

    @property
    def revision_id(self) -> tuple[int, int]:
        """Revision of the rules: incarnation and number."""

    @property
    def refusal(self) -> str:
        """Reason for rejecting the request; "" if it is not rejected."""

    @property
    def path(self) -> object:
        """Route of the request's calls, in the form that the call transport expects."""


class Routes(Protocol):
    """Applies customers' rules to requests as they are read."""

    @property
    def ready(self) -> bool:
        """Whether requests may be accepted: the cluster's newest revision is known here, or can't be obtained."""

    def rule(self, arrival: Arrival, tenant: str | None) -> Ruling | None:
        """Return the decision of the current revision, or None if no customer's rules apply."""


class NoRoutes:
    """Default for a runner without customers' rules."""

    ready = True

    def rule(self, arrival: Arrival, tenant: str | None) -> Ruling | None:
        """Return None: no rules apply."""
        return None
