"""Plans the configured listeners: the platform's frontend, uwsgi, peers, health checks and the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .server import Service


def plan_listeners(service: Service) -> None:
    """Add every configured listener to `service.listeners.planned`."""
    config = service.config
    planned = service.listeners.planned
    planned["listen"] = config.listen, service.jsonrpc
    if config.uwsgi.listen is not None:
        planned["uwsgi"] = config.uwsgi.listen, service.uwsgi
    if service.cluster.replication is not None and config.fleet.listen is not None:
        from ..cluster_transport.peers import PeerServerFactory

        planned["fleet"] = config.fleet.listen, PeerServerFactory(service.cluster.replication.links)
    _plan_health_checks(service)
    if config.admin.listen is not None:
        planned["admin"] = config.admin.listen, _admin_site(service)


def _plan_health_checks(service: Service) -> None:
    config = service.config
    probes = config.probes
    planned = service.listeners.planned
    if probes.agent is not None:
        from ..frontends.agent import AgentCheckFactory

        service.agent_check = AgentCheckFactory(service.core, service.reporter, probes.maxconn)
        planned["agent"] = probes.agent, service.agent_check
    if probes.health is None and not config.uwsgi.load_report:
        return
    from ..frontends.probes import LoadReport

    load_report = LoadReport(service.core, service.reporter)
    if config.uwsgi.load_report:
        service.uwsgi.load = load_report.text
    if probes.health is not None:
        from ..frontends.health import HealthCheckFactory

        service.health_check = HealthCheckFactory(
            service.core, service.reporter, probes.codes, load_report if probes.load_report else None
        )
        planned["health"] = probes.health, service.health_check


def _admin_site(service: Service) -> object:
    # Imported only if needed: Twisted's web server takes 6 MB, which the platform's configuration does not need.
    from ..admin.site import AdminParts, admin_site

    cluster = service.cluster
    return admin_site(
        AdminParts(
            core=service.core,
            reporter=service.reporter,
            name=service.config.name,
            token=service.config.admin.token,
            drain=service.drain,
            load_condition=service.load_condition,
            server_pool=service.server_pool,
            replication=cluster.replication,
            config_distribution=cluster.config_distribution,
            forecast=cluster.forecast,
            maintenance=cluster.maintenance,
        )
    )
