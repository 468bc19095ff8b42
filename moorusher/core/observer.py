"""Interface between the engine and the components that derive its health."""

from __future__ import annotations


class EngineObserver:
    """Receives the engine's events. This default implementation ignores them.

    `now` is the time of the engine's clock in us.
    """

    def runs_on_cores(self, now: int, on_cores: int) -> None:
        """Called with the number of runs that compete for the cores, which are those that wait for no call."""

    def request_arrived(self, now: int) -> None:
        """Called when a request has been read."""

    def run_ended(self, now: int) -> None:
        """Called when a run has ended."""

    def request_rejected(self, now: int) -> None:
        """Called when the scheduler has rejected a request."""

    def link_up(self, now: int) -> None:
        """Called when the kernel has answered on its connection."""

    def link_lost(self, now: int) -> None:
        """Called when the connection to the kernel is lost."""

    def state_changed(self) -> None:
        """Called on a change, such as the beginning of a shutdown, that invalidates a cached load report."""
