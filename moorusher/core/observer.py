"""What the core tells of itself as it happens, to whoever judges how it stands. Nobody does on the platform."""

from __future__ import annotations


class Watch:
    """Hears nothing. Times are those of the core's clock, in us."""

    def crowd_is(self, now: int, on_cores: int) -> None:
        """So many runs take a core from now on: those in the kernel that wait for no call."""

    def came(self, now: int) -> None:
        """A request has been read."""

    def ended(self, now: int) -> None:
        """A run is over for good: it comes back from no call."""

    def refused(self, now: int) -> None:
        """One was turned away."""

    def link_up(self, now: int) -> None:
        """The kernel has answered on its link."""

    def link_lost(self, now: int) -> None: ...

    def changed(self) -> None:
        """Something that must be in the very next report: a notice to leave, closed listening sockets."""
