"""Builds the parts of a runner that its configuration enables. Disabled parts are not imported, to save memory."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..backends.database import DatabasePool
from ..backends.uwsgi import UwsgiClient
from ..config.model import Config

if TYPE_CHECKING:
    from ..backends.server_pool import ServerPool
    from ..core.request_engine import RequestEngine
    from ..health_reporting.reporter import Reporter


def build_backend(config: Config, reactor: Any) -> ServerPool | UwsgiClient | DatabasePool | None:
    """Build the backend of runs' downstream calls: a pool of servers, a uwsgi peer, the database, or None."""
    if config.tier.servers:
        from ..backends.server_pool import ServerPool

        return ServerPool(
            reactor,
            config.tier.servers,
            config.tier.policy,
            config.name,
            random.Random(config.settings.seed).random,
            config.namespaces.grants,
        )
    if config.uwsgi.below is not None:
        return UwsgiClient(reactor, config.uwsgi.below)
    if config.db is not None:
        return DatabasePool(reactor, config.db)
    return None


@dataclass(slots=True)
class ClusterParts:
    """Parts that need the other runners of a cluster; each is None if it is disabled.

    Attributes:
        replication: Membership and replication, which the other parts need.
        config_distribution: Distribution of customers' routing rules.
        forecast: Forecast of the demand for one week.
        maintenance: Planned maintenance of machines.
    """

    replication: Any = None
    config_distribution: Any = None
    forecast: Any = None
    maintenance: Any = None


def build_cluster_parts(
    config: Config,
    reactor: Any,
    core: RequestEngine,
    reporter: Reporter,
    accepts_more_work: Callable[[], bool],
) -> ClusterParts:
    """Build the cluster parts that the configuration enables.

    :param accepts_more_work: returns whether this runner may take over orphaned work of another runner.
    """
    parts = ClusterParts()
    if config.fleet.listen is not None:
        from ..cluster_transport.replication import ReplicationService

        parts.replication = ReplicationService(
            reactor,
            core,
            config.fleet,
            config.name,
            accepts_more_work,
            random.Random(config.name).random,
        )
        if config.fleet.duties.enabled:
            from ..cluster_transport.leadership import DutyLink

            parts.replication.leadership = DutyLink(parts.replication, config.fleet.duties)
    if config.namespaces.on:
        from ..cluster_transport.config_distribution import NamespaceService

        parts.config_distribution = NamespaceService(parts.replication.leadership, config.namespaces, reactor)
    if config.forecast.enabled:
        from ..cluster_transport.forecast import ForecastLink

        parts.forecast = ForecastLink(parts.replication.leadership, config.forecast, reactor)
    if config.outage.enabled:
        from ..cluster_transport.maintenance import MaintenanceLink

        parts.maintenance = MaintenanceLink(parts.replication, config.outage, reporter)
    return parts


def reports_health(config: Config) -> bool:
    """Return whether the configuration has a consumer of the health state; without one, runs are not observed."""
    probes = config.probes
    listens = probes.agent or probes.health or config.admin.listen or config.fleet.listen
    return bool(listens or config.uwsgi.load_report or config.tier.servers)
