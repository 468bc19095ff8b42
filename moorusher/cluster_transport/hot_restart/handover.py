"""What the parts of a hot restart share: the service that this process is, and how far the handover has come."""

from __future__ import annotations

from typing import Any, Protocol

from ...hot_restart.process_role import ProcessRole
from ...hot_restart.shared_budget import ProcessLoad
from .peer_connection import PeerConnection, close_descriptors


class RunnerProcess(Protocol):
    """The service that this process is."""

    def usable_sockets(self, handed_over: dict[str, int]) -> dict[str, int]:
        """Of the sockets that were handed over, by label, those at this runner's addresses."""

    def accept(self, handed_over: dict[str, int]) -> None:
        """Accept clients on these sockets, and on others of its own."""

    def listening_sockets(self) -> dict[str, int]:
        """The descriptors of its own sockets, by label."""

    def pause(self, shared: set[str]) -> None:
        """Accept nothing more; `shared` are the labels of the sockets that the new process listens on as well."""

    def resume(self) -> None:
        """Accept again."""

    def drain(self) -> None:
        """Shut the runner down."""

    def finish(self) -> None:
        """Answer what was read and end; another process serves on."""

    def load(self) -> ProcessLoad:
        """What it takes of the runner's limits."""

    def coexist(self, load: ProcessLoad) -> None:
        """Keep within what the other process leaves of the runner's limits."""

    def maintenance_fields(self) -> dict[str, Any] | None:
        """Why an operator has taken the runner out, and until when; None where it is in service."""

    def follow_maintenance(self, fields: dict[str, Any] | None) -> None:
        """An operator has told the other process."""

    def incarnation(self) -> int:
        """Among the runners of a cluster; 0 where there is none."""

    def set_predecessor(self, incarnation: int) -> None:
        """The incarnation of the process that this one replaces."""


class Handover:
    """Of one process.

    Attributes:
        role: decides what is to be done.
        peer: the other process, while there is a connection to it.
        sockets: of the other process, by label, not yet listened on.
        shared_labels: of the sockets that the new process listens on as well.
        peer_unknown_until_us: which keys have run before then, the other process does not know itself.
    """

    def __init__(self) -> None:
        self.role = ProcessRole()
        self.peer: PeerConnection | None = None
        self.sockets: dict[str, int] = {}
        self.shared_labels: set[str] = set()
        self.peer_unknown_until_us = 0

    def take_sockets(self) -> dict[str, int]:
        """The sockets that were handed over, once."""
        sockets = self.sockets
        self.sockets = {}
        return sockets

    def close_sockets(self) -> None:
        """The sockets that were handed over are not listened on."""
        close_descriptors(list(self.take_sockets().values()))
