"""The interface of this runner's link to its fleet, for the parts that build on it.

`replication.ReplicationService` implements it. The parts import this module alone, so that no circle of imports
leads back.
"""

from __future__ import annotations

from typing import Any, Protocol

from ..config.fleet import FleetConfig
from ..core.request_engine import RequestEngine
from ..replication.acceptor import Acceptor
from ..replication.node import Node
from ..storage.journal_files import OpenedJournal


class ClusterMember(Protocol):
    """This runner as a member of its fleet.

    reactor: of Twisted.
    core: of this runner.
    config: settings.
    name: str, this runner's seat.
    node: registers, membership and messages.
    predecessor: int, incarnation of the process that this one replaces; 0 if none.
    namespaces, forecast, maintenance: parts that are started with the fleet; each enters itself.
    """

    reactor: Any
    core: RequestEngine
    config: FleetConfig
    name: str
    node: Node
    predecessor: int
    namespaces: Any
    forecast: Any
    maintenance: Any

    @property
    def is_busy(self) -> bool:
        """Work or duties of the fleet are still here."""

    def can_accept_work(self) -> bool:
        """Whether this runner may take work and duties of the fleet."""

    def open_part_journal(self, part: str) -> OpenedJournal | None:
        """Open the journal of a part; None if the settings have none."""

    def attach_journal(self, journal: OpenedJournal, space: int, acceptor: Acceptor) -> None:
        """Write what this acceptor promises to that journal, before it is said."""
