"""State of a handover, shared by the parts of the hot restart, and the interface to the service of this process."""

from __future__ import annotations

from typing import Any, Protocol

from ...hot_restart.process_role import ProcessRole
from ...hot_restart.shared_budget import ProcessLoad
from .peer_connection import PeerConnection, close_descriptors


class RunnerProcess(Protocol):
    """The service that runs in this process. Sockets are file descriptors by label."""

    def usable_sockets(self, handed_over: dict[str, int]) -> dict[str, int]:
        """Return the received sockets that are bound to addresses of this runner."""

    def accept(self, handed_over: dict[str, int]) -> None:
        """Accept clients on the received sockets, and on new ones for the runner's other addresses."""

    def listening_sockets(self) -> dict[str, int]:
        """Return the sockets that this process listens on."""

    def pause(self, shared: set[str]) -> None:
        """Stop accepting. `shared`: labels of the sockets that the new process listens on, too."""

    def resume(self) -> None:
        """Accept again."""

    def drain(self) -> None:
        """Drain and shut down, with no other process to serve in its place."""

    def finish(self) -> None:
        """Answer the requests that were read, and exit while another process serves."""

    def load(self) -> ProcessLoad:
        """Return the share of the runner's limits that this process uses."""

    def set_peer_load(self, load: ProcessLoad) -> None:
        """Limit this process to the share of the runner's limits that the other process leaves."""

    def maintenance_fields(self) -> dict[str, Any] | None:
        """Return the maintenance that an operator has set, as fields of a frame; None if there is none."""

    def follow_maintenance(self, fields: dict[str, Any] | None) -> None:
        """Adopt the maintenance state of the other process."""

    def incarnation(self) -> int:
        """Return this process's incarnation as a member of a cluster; 0 without a cluster."""

    def set_predecessor(self, incarnation: int) -> None:
        """Store the incarnation of the process that this one replaces."""


class Handover:
    """State of the handover in one process.

    Attributes:
        role: State machine that decides what this process does.
        peer: Connection to the other process; None while there is none.
        sockets: Sockets received from the other process, by label, that this process doesn't listen on yet.
        shared_labels: Labels of the sockets that the new process listens on, too.
        maintenance_changed_us: Time at which an operator last set or ended maintenance at this process; None if the
            state was taken over from the other process, or nobody has changed it.
        peer_unknown_until_us: Time until which the other process's key table may lack keys that have run.
    """

    def __init__(self) -> None:
        self.role = ProcessRole()
        self.peer: PeerConnection | None = None
        self.sockets: dict[str, int] = {}
        self.shared_labels: set[str] = set()
        self.maintenance_changed_us: int | None = None
        self.peer_unknown_until_us = 0

    def pop_sockets(self) -> dict[str, int]:
        """Return the sockets that were received, and forget them."""
        sockets = self.sockets
        self.sockets = {}
        return sockets

    def close_sockets(self) -> None:
        """Close the sockets that were received and are not used."""
        close_descriptors(list(self.pop_sockets().values()))
