"""Interface between the engine and components that count demand, such as the forecast."""

from __future__ import annotations

from .requests import Request


class DemandObserver:
    """Receives the engine's notifications about demand. This default implementation ignores them."""

    def requested(self, request: Request) -> None:
        """Called for each first attempt, once it is known that no earlier attempt has its key."""

    def rejected(self, request: Request) -> None:
        """Called when a request is answered with `REJECTED`."""

    def run_ended(self, request: Request, core_us: int) -> None:
        """Called when a run has ended; `core_us` is its estimated processor time."""
