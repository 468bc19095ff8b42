"""The interface of this runner's membership in its fleet, for the components that build on it.

`replication.ReplicationService` implements it. The components import only this module, which avoids a circular import.
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

    Attributes:
        reactor: Twisted's reactor.
        core: Request engine of this runner.
        config: Settings of the fleet.
        name: This runner's seat.
        node: Registers, membership and messages.
        predecessor: Incarnation of the process that this one replaces; 0 if none.
        namespaces, forecast, maintenance: Components that are started with the fleet. Each registers itself here.
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
        """Whether this runner still has work or duties of the fleet."""

    def can_accept_work(self) -> bool:
        """Return whether this runner may take work and duties of the fleet."""

    def open_part_journal(self, part: str) -> OpenedJournal | None:
        """Open the journal of a component; None if the settings have no journal."""

    def attach_journal(self, journal: OpenedJournal, space: int, acceptor: Acceptor) -> None:
        """Make an acceptor write its promises to a journal before it sends them.

        :param space: Number of the acceptor's register space.
        """
