"""The seam between the engine and whoever judges its health."""

from __future__ import annotations


class EngineObserver:
    """Is notified of what happens in the engine. This one, the default, ignores it.

    `now` is the time of the engine's clock, in microseconds.
    """

    def runs_on_cores(self, now: int, on_cores: int) -> None:
        """How many runs compete for the cores from now on: those in the kernel that wait for no call."""

    def request_arrived(self, now: int) -> None:
        """A request has been read."""

    def run_ended(self, now: int) -> None:
        """A run is over."""

    def request_rejected(self, now: int) -> None:
        """The scheduler has rejected a request."""

    def link_up(self, now: int) -> None:
        """The kernel has answered on its connection."""

    def link_lost(self, now: int) -> None:
        """The connection to the kernel is lost."""

    def state_changed(self) -> None:
        """Something that must not wait for a cached load report to expire: the notice to shut down, say."""
