"""The web site of the administration API, with the pages of all parts that are enabled."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .. import __version__
from ..core.request_engine import RequestEngine
from ..health.formatting import haproxy_agent_state
from ..health_reporting.document import health_document
from ..health_reporting.reporter import Reporter
from .api import ChangePage, JsonPage, Resource, quiet_site
from .maintenance_mode import MaintenanceModePage
from .replication import ReplicationPages
from .servers import ServersPage
from .tenants import TenantsPage


@dataclass(frozen=True, slots=True)
class AdminParts:
    """The parts of a runner that the pages show and change.

    Attributes:
        name: Name of the runner.
        token: Bearer token for changes; "" if no changes are permitted.
        drain: Starts the graceful shutdown.
        load_condition: Returns the load condition under which the pool's latencies were measured.
        server_pool and following: Links of `server/composition.py`; None for disabled parts.
    """

    core: RequestEngine
    reporter: Reporter
    name: str
    token: str
    drain: Callable[[], None]
    load_condition: Callable[[], Any]
    server_pool: Any = None
    replication: Any = None
    config_distribution: Any = None
    forecast: Any = None
    maintenance: Any = None


def admin_site(parts: AdminParts) -> Any:
    """Build the web site."""
    core = parts.core
    root = Resource()
    root.putChild(b"status", JsonPage(lambda: runner_status(core, parts.reporter, parts.name)))
    root.putChild(b"counters", JsonPage(lambda: dict(core.counters.total)))
    root.putChild(b"standing", JsonPage(lambda: health_document(parts.reporter)))
    root.putChild(b"maintenance", MaintenanceModePage(parts.token, parts.reporter))
    root.putChild(b"tenants", TenantsPage(core))
    root.putChild(b"drain", ChangePage(parts.token, lambda: _drain(parts)))
    if parts.server_pool is not None:
        root.putChild(b"servers", ServersPage(parts.token, parts.server_pool, core))
        root.putChild(b"knowledge", JsonPage(lambda: _learned_state(parts)))
    _put_cluster_pages(root, parts)
    return quiet_site(root)


def _put_cluster_pages(root: Any, parts: AdminParts) -> None:
    """Add the pages of the cluster. Pages of disabled parts are not imported."""
    if parts.replication is not None:
        root.putChild(b"fleet", ReplicationPages(parts.token, parts.replication))
        if parts.replication.leadership is not None:
            from .leadership import DutyPages

            root.putChild(b"duties", DutyPages(parts.token, parts.replication.leadership))
    if parts.config_distribution is not None:
        from .namespaces import NamespacePages

        root.putChild(b"namespaces", NamespacePages(parts.token, parts.config_distribution))
    if parts.forecast is not None:
        from .forecast import ForecastPages

        root.putChild(b"forecast", ForecastPages(parts.token, parts.forecast))
    if parts.maintenance is not None:
        from .maintenance import OutagePages

        root.putChild(b"outage", OutagePages(parts.token, parts.maintenance))


def _drain(parts: AdminParts) -> dict[str, bool]:
    parts.drain()
    return {"draining": True}


def _learned_state(parts: AdminParts) -> object:
    from msgspec import to_builtins  # The page shows the same structure as the warm start file.

    parts.core.start_turn()
    return to_builtins(parts.server_pool.learned_state(parts.load_condition()))


def runner_status(core: RequestEngine, reporter: Reporter, name: str) -> dict[str, object]:
    """Return the document of GET /status."""
    return {
        "name": name,
        "version": __version__,
        "state": haproxy_agent_state(reporter.report()),
        "draining": core.drain_state.draining,
        "kernel_up": core.ready,
        "healthy": core.state.healthy,
        "hint": core.state.load_signal,
        "load": core.kernel_status.cpu_busy(),
        "requests": len(core.table),
        "owed": core.table.unanswered,
        "runs": len(core.runs),
        "calls": len(core.calls),
        "keys": len(core.keys),
        "key_bytes": core.keys.result_bytes,
    }
