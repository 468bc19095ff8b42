"""A new configuration in service: what of it counts at once, and what waits for the next start."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any

from ..config.loader import Config
from ..config.section import Address, ConfigError, ConfigUnreadable
from ..core.reconfiguration import Plan, plan
from ..rate_limited_log import LimitedLog
from ..transient_errors import AGAIN_S

if TYPE_CHECKING:
    from .server import Service

log = logging.getLogger("moorusher")

# What SIGHUP changes; the rest is for the next start, and so are some of the settings (`core/reconfiguration.py`).
LIVE = frozenset(
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


class Reloads:
    """Reads the configuration at SIGHUP, and again where its files could not be read at that moment."""

    def __init__(self, service: Service, reactor: Any) -> None:
        self._service, self._reactor = service, reactor
        self._limited = LimitedLog(log)
        self._waiting: Any = None  # the next look, where one is due

    def read(self, load: Callable[..., Config]) -> None:
        """Read and checked whole, then taken; keys, runs and held requests stay as they are. The file is read as it is
        by then: a later SIGHUP adds nothing to a look that is due."""
        self._drop_next_look()
        service = self._service
        try:
            follow(service, load(running=service.config.raw))
        except ConfigUnreadable as exc:
            self._limited.write(
                logging.WARNING,
                "unreadable",
                "configuration: it can't be read for the moment, and is tried again: %s",
                exc,
            )
            self._waiting = self._reactor.callLater(AGAIN_S, self._look_again, load)
        except ConfigError as exc:
            service.core.counters.add("configurations turned down")
            log.error("configuration not changed: %s", exc)

    def _look_again(self, load: Callable[..., Config]) -> None:
        self._waiting = None
        self.read(load)

    def _drop_next_look(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.cancel()


def follow(service: Service, new: Config) -> None:
    """Take it. Raises ConfigError before anything is changed."""
    old = service.config
    later = _for_the_next_start(old, new)
    below = new.uwsgi.below or new.db if old.uwsgi.below is None else new.uwsgi.below
    _refuse_what_needs_a_restart(service, new, below)
    service.core.touch()
    retune = plan(service.core.settings, new.settings)
    fleet = old.fleet if "fleet" in later else new.fleet
    service.config = replace(old, **{name: getattr(new, name) for name in LIVE}, fleet=fleet)
    later += _follow_settings(service, retune)
    service.size(new.limits)
    service.place()
    _follow_probes(service, new)
    if service.namespaces is not None:
        service.namespaces.follow(new.namespaces)
    if service.outage is not None:
        service.outage.follow(new.outage)
    if service.tier is not None:
        service.tier.follow(new.tier.servers, new.namespaces.grants)
        if new.tier.policy != old.tier.policy:
            later.append("tier (all but its servers)")
    _move_links(service, new, below)
    service.core.counters.add("configurations read")
    waits = f"; {', '.join(later)}: changed, for the next start" if later else ""
    log.info("configuration read again: kernel %s:%d%s%s", *new.kernel, retune.words(), waits)


def _for_the_next_start(old: Config, new: Config) -> list[str]:
    later = [
        f.name for f in fields(Config) if getattr(new, f.name) != getattr(old, f.name) and f.name not in LIVE
    ]
    if "fleet" in later and old.fleet.but_for_addresses() == new.fleet.but_for_addresses():
        later.remove("fleet")  # its seats are reached elsewhere: that is followed at once
    for name in ("agent", "health"):
        if getattr(new.probes, name) != getattr(old.probes, name):
            later.append(f"{name}.listen")
    return later


def _refuse_what_needs_a_restart(service: Service, new: Config, below: Address | None) -> None:
    changed = {
        "namespaces.on": new.namespaces.on != (service.namespaces is not None),
        "outage.on": new.outage.on != (service.outage is not None),
        "tier.server": bool(new.tier.servers) != (service.tier is not None),
        "announce": (new.announce is None) != (service.announcer is None),
        "db": service.tier is None and (below is None) != (service.below is None),
    }
    for key, is_changed in changed.items():
        if is_changed:
            how = "changed" if key.endswith(".on") else "set or taken away"
            raise ConfigError(f"{key}: can't be {how} without a restart")


def _follow_settings(service: Service, retune: Plan) -> list[str]:
    """The names of those that wait."""
    if retune.settings != service.core.settings:
        service.core.retune(retune)
        service.reporter.retune(retune.settings)
    return [f"settings.{name}" for name in retune.later]


def _follow_probes(service: Service, new: Config) -> None:
    """What is told to balancers, and when; listeners stay where they are until the next start."""
    probes = new.probes
    service.reporter.set_policy(probes.policy)
    if service.fleet is not None:
        service.fleet.reconfigure(service.config.fleet)
    if service.agent is not None:
        service.agent.maxconn = probes.maxconn
    if service.health is not None:
        from ..frontends.probes import LoadReport

        service.health.codes = probes.codes
        load = service.health.load or LoadReport(service.core, service.reporter)
        service.health.load = load if probes.load_report else None


def _move_links(service: Service, new: Config, below: Address | None) -> None:
    service.kernel.move(new.kernel)
    if service.below is not None and below is not None:
        service.below.move(below)
    if service.announcer is not None and new.announce is not None:
        service.announcer.move(new.announce)
