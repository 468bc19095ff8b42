"""The seam between the engine and whoever counts demand, such as the forecast."""

from __future__ import annotations

from .requests import Request


class DemandObserver:
    """Is notified of demand as the engine learns of it. This one, the default, ignores it."""

    def requested(self, request: Request) -> None:
        """A first attempt, whatever becomes of it. Called once it is known that no earlier attempt has its key."""

    def rejected(self, request: Request) -> None:
        """A request got the answer `REJECTED`."""

    def run_ended(self, request: Request, core_us: int) -> None:
        """A run is over; `core_us` estimates the processor time that it took."""
