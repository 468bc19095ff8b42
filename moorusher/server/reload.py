"""A new configuration in service: what of it applies at once, and what waits for the next start."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any

from ..backends.database import DatabasePool
from ..backends.uwsgi import UwsgiCalls
from ..config.model import Config
from ..config.section import Address, ConfigError, ConfigUnreadableError
from ..core.reconfiguration import Plan, plan
from ..rate_limited_log import RateLimitedLog
from ..transient_errors import RETRY_INTERVAL_S

if TYPE_CHECKING:
    from .server import Service

log = logging.getLogger("moorusher")

# Fields of Config that SIGHUP changes; the others wait for the next start, as do some of the settings
# (`core/reconfiguration.py`) and the addresses of health checks.
LIVE_FIELDS = frozenset(
    {
        "kernel",
        "announce",
        "db",
        "stop_ms",
        "limits",
        "settings",
        "probes",
        "tier",
        "namespaces",
        "outage",
        "raw",
    }
)


class ConfigReloader:
    """Reads the configuration at SIGHUP, and again where its files could not be read at that moment.

    A file that a transient error keeps from being read must not lose the operator's change: there is no second signal.
    """

    def __init__(self, service: Service, reactor: Any) -> None:
        self._service = service
        self._reactor = reactor
        self._limited = RateLimitedLog(log)
        self._retry: Any = None  # the delayed call of the next attempt, where one is due

    def reload(self, load: Callable[..., Config]) -> None:
        """Read and check the whole configuration, then apply it; on an error nothing changes.

        The files are read as they are by then: a SIGHUP that comes while an attempt is due replaces it.
        """
        self._cancel_retry()
        service = self._service
        try:
            apply(service, load(running=service.config.raw))
        except ConfigUnreadableError as error:
            self._limited.write(
                logging.WARNING,
                "unreadable",
                "configuration: it can't be read for the moment, and is tried again: %s",
                error,
            )
            self._retry = self._reactor.callLater(RETRY_INTERVAL_S, self._run_retry, load)
        except ConfigError as error:
            service.core.counters.add("configurations turned down")
            log.error("configuration not changed: %s", error)

    def _run_retry(self, load: Callable[..., Config]) -> None:
        self._retry = None
        self.reload(load)

    def _cancel_retry(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None


def apply(service: Service, new: Config) -> None:
    """Apply a configuration to a running service.

    :raises ConfigError: it asks for what needs a restart; raised before anything is changed.
    """
    old = service.config
    deferred = _deferred_fields(old, new)
    backend = new.uwsgi.below or new.db if old.uwsgi.below is None else new.uwsgi.below
    _check_no_restart_needed(service, new, backend)
    service.core.begin_turn()
    settings_plan = plan(service.core.settings, new.settings)
    fleet = old.fleet if "fleet" in deferred else new.fleet
    service.config = replace(old, **{name: getattr(new, name) for name in LIVE_FIELDS}, fleet=fleet)
    deferred += _apply_settings(service, settings_plan)
    service.apply_limits(new.limits)
    service.apply_connection_limits()
    _apply_health_checks(service, new)
    deferred += _apply_cluster_parts(service, old, new)
    _move_connections(service, new, backend)
    service.core.counters.add("configurations read")
    waits = f"; {', '.join(deferred)}: changed, for the next start" if deferred else ""
    log.info("configuration read again: kernel %s:%d%s%s", *new.kernel, settings_plan.summary(), waits)


def _deferred_fields(old: Config, new: Config) -> list[str]:
    """Return the names of what has changed and waits for the next start."""
    deferred = [
        field.name
        for field in fields(Config)
        if getattr(new, field.name) != getattr(old, field.name) and field.name not in LIVE_FIELDS
    ]
    if "fleet" in deferred and old.fleet.but_for_addresses() == new.fleet.but_for_addresses():
        deferred.remove("fleet")  # its members are reached elsewhere: that applies at once
    for name in ("agent", "health"):
        if getattr(new.probes, name) != getattr(old.probes, name):
            deferred.append(f"{name}.listen")
    return deferred


def _check_no_restart_needed(service: Service, new: Config, backend: Address | None) -> None:
    cluster = service.cluster
    changed = {
        "namespaces.on": new.namespaces.on != (cluster.config_distribution is not None),
        "outage.on": new.outage.enabled != (cluster.maintenance is not None),
        "tier.server": bool(new.tier.servers) != (service.server_pool is not None),
        "announce": (new.announce is None) != (service.announcer is None),
        "db": service.server_pool is None and (backend is None) != (service.backend is None),
    }
    for key, is_changed in changed.items():
        if is_changed:
            how = "changed" if key.endswith(".on") else "set or taken away"
            raise ConfigError(f"{key}: can't be {how} without a restart")


def _apply_settings(service: Service, settings_plan: Plan) -> list[str]:
    """Return the names of the settings that wait for the next start."""
    if settings_plan.settings != service.core.settings:
        service.core.reconfigure(settings_plan)
        service.reporter.reconfigure(settings_plan.settings)
    return [f"settings.{name}" for name in settings_plan.deferred]


def _apply_health_checks(service: Service, new: Config) -> None:
    """What load balancers are told, and when; listeners stay where they are until the next start."""
    probes = new.probes
    service.reporter.set_policy(probes.policy)
    if service.cluster.replication is not None:
        service.cluster.replication.reconfigure(service.config.fleet)
    if service.agent_check is not None:
        service.agent_check.maxconn = probes.maxconn
    if service.health_check is not None:
        from ..frontends.probes import LoadReport

        service.health_check.codes = probes.codes
        load_report = service.health_check.load or LoadReport(service.core, service.reporter)
        service.health_check.load = load_report if probes.load_report else None


def _apply_cluster_parts(service: Service, old: Config, new: Config) -> list[str]:
    """Return the names of what waits for the next start."""
    if service.cluster.config_distribution is not None:
        service.cluster.config_distribution.reconfigure(new.namespaces)
    if service.cluster.maintenance is not None:
        service.cluster.maintenance.reconfigure(new.outage)
    if service.server_pool is None:
        return []
    service.server_pool.follow(new.tier.servers, new.namespaces.grants)
    return ["tier (all but its servers)"] if new.tier.policy != old.tier.policy else []


def _move_connections(service: Service, new: Config, backend: Address | None) -> None:
    """Connect to the addresses of the new configuration."""
    service.kernel.move(new.kernel)
    if isinstance(service.backend, DatabasePool | UwsgiCalls) and backend is not None:
        service.backend.move(backend)
    if service.announcer is not None and new.announce is not None:
        service.announcer.move(new.announce)
