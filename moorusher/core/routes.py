"""What a customer's own rules say of a request: the seam between the core and whoever knows them.

The core asks once, when a request is read, and the request keeps the answer until its final one. Where there are no
rules, as on the platform, nothing is asked.
"""

from __future__ import annotations

from typing import Protocol

from .requests import Arrival


class Ruling(Protocol):
    """What customers' rules say of one request."""

    @property
    def at(self) -> tuple[int, int]: ...  # the revision: incarnation and number
    @property
    def refusal(self) -> str: ...  # the reason, where it is turned away; "" where not
    @property
    def way(self) -> object: ...  # for the link that makes its calls


class Routes(Protocol):
    """Who rules on requests as they are read."""

    @property
    def ready(self) -> bool: ...  # what there is at other runners is known here, or can't be

    def rule(self, arrival: Arrival, tenant: str | None) -> Ruling | None:
        """Under what is current; None where no customer's rules are for it."""


class NoRoutes:
    """No customer has rules of its own."""

    ready = True

    def rule(self, arrival: Arrival, tenant: str | None) -> Ruling | None:
        return None
