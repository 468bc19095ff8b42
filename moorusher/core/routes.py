"""The seam between the engine and the customers' own rules.

The engine asks once, when a request is read, and the request keeps the ruling until its final answer.
"""

from __future__ import annotations

from typing import Protocol

from .requests import Arrival


class Ruling(Protocol):
    """What customers' rules say of one request."""

    @property
    def revision_id(self) -> tuple[int, int]:
        """The revision of the rules: incarnation and number."""

    @property
    def refusal(self) -> str:
        """Why the request is rejected; "" where it is not."""

    @property
    def path(self) -> object:
        """The route of its calls, in the form that the call transport knows."""


class Routes(Protocol):
    """Applies customers' rules to requests as they are read."""

    @property
    def ready(self) -> bool:
        """The newest revision in the cluster is known here, or can't be had."""

    def rule(self, arrival: Arrival, tenant: str | None) -> Ruling | None:
        """By the current revision; None where no customer's rules apply."""


class NoRoutes:
    """No customer has rules."""

    ready = True

    def rule(self, arrival: Arrival, tenant: str | None) -> Ruling | None:
        """No rules apply."""
        return None
