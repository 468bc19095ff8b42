"""Reload of the configuration while serving; some changes are deferred to the next start."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any

from ..backends.database import DatabasePool
from ..backends.uwsgi import UwsgiClient
from ..config.model import Config
from ..config.section import Address, ConfigError, ConfigUnreadableError
from ..core.reconfiguration import Plan, plan
from ..rate_limited_log import RateLimitedLog
from ..transient_errors import RETRY_INTERVAL_S

if TYPE_CHECKING:
    from .server import Service

log = logging.getLogger("moorusher")

# Fields of Config that a reload changes. Changes of the other fields, of some settings (`core/reconfiguration.py`) and
# of the addresses of health checks are deferred to the next start.
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
    """Reloads the configuration at SIGHUP, and retries if a file is temporarily unreadable.

    Without the retry, a transient read error would lose the operator's change, since there is no second signal.
    """

    def __init__(self, service: Service, reactor: Any) -> None:
        self._service = service
        self._reactor = reactor
        self._rate_limited_log = RateLimitedLog(log)
        self._retry: Any = None  # The delayed call of the next attempt, if one is scheduled.

    def reload(self, load: Callable[..., Config]) -> None:
        """Read and check the whole configuration, then apply it; on an error nothing changes.

        Replaces a scheduled retry, since every attempt reads the present content of the files.

        :param load: reads the configuration; its argument `running` is the platform file now in use, parsed.
        """
        self._cancel_retry()
        service = self._service
        try:
            apply(service, load(running=service.config.raw))
        except ConfigUnreadableError as error:
            self._rate_limited_log.write(
                logging.WARNING,
                "unreadable",
                "configuration temporarily unreadable, retrying: %s",
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

    :raises ConfigError: a change needs a restart; raised before anything is changed.
    """
    old = service.config
    deferred = _deferred_fields(old, new)
    backend = new.uwsgi.below or new.db if old.uwsgi.below is None else new.uwsgi.below
    _check_no_restart_needed(service, new, backend)
    service.core.start_turn()
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
    deferral = f"; {', '.join(deferred)}: changed, deferred to the next start" if deferred else ""
    log.info("configuration read again: kernel %s:%d%s%s", *new.kernel, settings_plan.summary(), deferral)


def _deferred_fields(old: Config, new: Config) -> list[str]:
    """Return the names of the changed fields whose change is deferred to the next start."""
    deferred = [
        field.name
        for field in fields(Config)
        if getattr(new, field.name) != getattr(old, field.name) and field.name not in LIVE_FIELDS
    ]
    if "fleet" in deferred and old.fleet.without_addresses() == new.fleet.without_addresses():
        deferred.remove("fleet")  # Only addresses of members differ, which apply at once.
    for name in ("agent", "health"):
        if getattr(new.probes, name) != getattr(old.probes, name):
            deferred.append(f"{name}.listen")
    return deferred


def _check_no_restart_needed(service: Service, new: Config, backend: Address | None) -> None:
    """Raise ConfigError if a part would have to be built or removed, which only a restart can do."""
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
    """Apply the settings; return the names of those deferred to the next start."""
    if settings_plan.settings != service.core.settings:
        service.core.reconfigure(settings_plan)
        service.reporter.reconfigure(settings_plan.settings)
    return [f"settings.{name}" for name in settings_plan.deferred]


def _apply_health_checks(service: Service, new: Config) -> None:
    """Apply the settings of health reports and checks. The listeners keep their addresses until the next start."""
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
    """Apply the settings of the cluster's parts and the servers; return the names of the deferred settings."""
    if service.cluster.config_distribution is not None:
        service.cluster.config_distribution.reconfigure(new.namespaces)
    if service.cluster.maintenance is not None:
        service.cluster.maintenance.reconfigure(new.outage)
    if service.server_pool is None:
        return []
    service.server_pool.update_config(new.tier.servers, new.namespaces.grants)
    return ["tier (all but its servers)"] if new.tier.policy != old.tier.policy else []


def _move_connections(service: Service, new: Config, backend: Address | None) -> None:
    """Connect to the addresses of the new configuration."""
    service.kernel.set_address(new.kernel)
    if isinstance(service.backend, DatabasePool | UwsgiClient) and backend is not None:
        service.backend.set_address(backend)
    if service.announcer is not None and new.announce is not None:
        service.announcer.set_address(new.announce)
