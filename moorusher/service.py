"""One runner: its core, fronts and links put together, started, drained and ended."""

from __future__ import annotations

import gc
import logging
import os
import random
import signal
import socket
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any

from peattack.balance import SERVE_ON

from .config import Config, Limits
from .core.call import Calls, NoCalls
from .core.clock import MS, SECOND, Alarms, Clock
from .core.decide import Decider
from .core.retune import plan
from .core.watch import Watch
from .fronts.jsonrpc import JsonRpcFront
from .fronts.uwsgi import UwsgiFront
from .links.announce import Announcer
from .links.database import DatabasePool
from .links.kernel import KernelLink
from .links.uwsgi import UwsgiCalls
from .loop import Door, LoopTimer, descriptors, listener, listens_at
from .report import Reporter
from .section import Address, ConfigError
from .standing.observe import Maintenance
from .succession.budget import Load, path_for

log = logging.getLogger("moorusher")

QUIET = 250 * MS  # without a word from any front end, before the connections that are left are closed
LISTEN_AGAIN, LISTEN_WITHIN = (
    100 * MS,
    4 * SECOND,
)  # where an address is not free; a new process says yes in 6 s
LAST = 60 * MS  # before the time at which it would be killed, the program is gone in any case
SPARE_SOCKETS = 160  # descriptors for the calls below, the links, the listening sockets, the console and the
# interpreter
ACCEPTS_SHARE = 8  # and for one in so many of them a listening socket may accept one more client in a turn
LEAST_PLACES = 16  # for clients, whatever else there is
REPLACED_MOST_MS, REPLACED_MORE_MS = (
    3_000.0,
    700.0,
)  # a replaced process is killed so long after SIGTERM: its longest
# deadline, at most the first, and the second
CONSOLE_SHARE = 6  # one in so many of them is the console's: two processes may have one
# What SIGHUP changes; the rest is for the next start, and so are some of the settings (`core/retune.py`).
LIVE = {
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


class Service:
    """The parts of one runner, and its life: started, given new settings, replaced, drained, ended."""

    def __init__(self, config: Config, reactor: Any) -> None:
        self.config, self.reactor = config, reactor
        self.clock = Clock()
        self.timer = LoopTimer(reactor, lambda: self.core.ring())
        self.alarms = Alarms(self.clock, self.timer.arm)
        self.kernel = KernelLink(reactor, config.kernel)
        below: DatabasePool | UwsgiCalls | None = None
        self.tier: Any = None  # many servers below, imported only where they are set
        if config.tier.servers:
            from .links.tier import TierCalls

            self.tier = TierCalls(
                reactor,
                config.tier.servers,
                config.tier.policy,
                config.name,
                random.Random(config.settings.seed).random,
                config.namespaces.grants,
            )
        elif config.uwsgi.below is not None:
            below = UwsgiCalls(reactor, config.uwsgi.below)
        elif config.db is not None:
            below = DatabasePool(reactor, config.db)
        self.below = below
        calls: Calls = self.tier or below or NoCalls()
        self.core = Decider(
            config.settings,
            self.clock,
            self.alarms,
            self.kernel,
            calls,
            lambda f: reactor.callLater(0, f),
            memory_mb=config.limits.memory_mb,
        )
        self.kernel.core = self.core
        if self.tier is not None:
            self.tier.core = self.core
        elif below is not None:
            below.core = self.core
        self.keeper: Any = None  # of what is learnt of the tier
        self.reporter = Reporter(self.core, config.probes.policy, config.name)
        probes = config.probes
        if not (
            probes.agent
            or probes.health
            or config.admin.listen
            or config.uwsgi.load_report
            or self.tier
            or config.fleet.listen
        ):
            self.core.watched_by(
                Watch()
            )  # nobody asks, as on the platform: each run is spared what it would tell
        self.announcer = Announcer(reactor, config.announce, config.name) if config.announce else None
        self._beside = 0  # connections of another process of this runner
        self._size(config.limits)
        self.front = JsonRpcFront(self.core, self._most, self._fit)
        self.uwsgi = UwsgiFront(
            self.core, self._most, config.uwsgi.body_bytes, config.uwsgi.idle_s, self._fit
        )
        self.agent: Any = None  # probes' listeners are imported only where they are set
        self.health: Any = None
        self.console: Any = None
        self.core.trim = self.front.trim
        self.ports: dict[str, Any] = {}  # what listens, but for the console
        self._paused: set[str] = set()  # of them, those on which a further process accepts
        self.succession: Any = None
        self.fleet: Any = None  # other runners, imported only where they are set
        if config.fleet.listen is not None:
            from .links.fleet import FleetLink

            self.fleet = FleetLink(
                reactor,
                self.core,
                config.fleet,
                config.name,
                self._fit_for_more,
                random.Random(config.name).random,
            )
        self.namespaces: Any = None  # customers' rules, imported only where they are set
        if config.namespaces.on:
            from .links.namespaces import NamespaceLink

            self.namespaces = NamespaceLink(self.fleet.duties, config.namespaces, reactor)
        self.forecast: Any = None  # of demand, imported only where it is set
        if config.forecast.on:
            from .links.forecast import ForecastLink

            self.forecast = ForecastLink(self.fleet.duties, config.forecast, reactor)
        self.outage: Any = None  # machines' outages, imported only where they are set
        if config.outage.on:
            from .links.outage import OutageLink

            self.outage = OutageLink(self.fleet, config.outage, self.reporter)
        self.serving = False  # clients are let in, here or by the process that replaces this one
        self.failed = False  # it could not start
        self._listen_by: int | None = None
        self._ended = False
        self._heard = 0

    def start(self) -> None:
        config = self.config
        if config.console is not None:  # first: it tells operators what is still missing
            from .fronts.console import Console

            self.console = Console(
                self.core, self.reporter, max(8, self._spare // CONSOLE_SHARE), lambda: self.serving
            )
            self._adopt(listener(config.console), self.console)
        self._doors: dict[str, tuple[Address, Any]] = {"listen": (config.listen, self.front)}
        if config.uwsgi.listen is not None:
            self._doors["uwsgi"] = config.uwsgi.listen, self.uwsgi
        if self.fleet is not None and config.fleet.listen is not None:
            from .links.peers import Doors

            self._doors["fleet"] = config.fleet.listen, Doors(self.fleet)
        probes = config.probes
        if probes.agent is not None:
            from .fronts.agent import AgentFront

            self.agent = AgentFront(self.core, self.reporter, probes.maxconn)
            self._doors["agent"] = probes.agent, self.agent
        if probes.health is not None or config.uwsgi.load_report:
            from .fronts.probes import LoadReport

            load = LoadReport(self.core, self.reporter)
            if config.uwsgi.load_report:
                self.uwsgi.load = load.text
        if probes.health is not None:
            from .fronts.health import HealthFront

            self.health = HealthFront(
                self.core, self.reporter, probes.codes, load if probes.load_report else None
            )
            self._doors["health"] = probes.health, self.health
        if config.admin.listen is not None:
            from .admin import admin_site  # Twisted's web server: 6 MB that the platform does not need

            site = admin_site(
                self.core,
                self.reporter,
                config.name,
                config.admin.token,
                self.drain,
                self.tier,
                self._condition,
                self.fleet,
                self.namespaces,
                self.forecast,
                self.outage,
            )
            self._doors["admin"] = config.admin.listen, site
        if self.tier is not None and config.tier.knowledge is not None:
            from .links.knowledge import Keeper

            self.keeper = Keeper(self.core, self.tier, config.tier.knowledge, self._condition)
            self.keeper.start()
        self.kernel.start()
        path = None
        if folder := os.environ.get("TMPDIR"):
            from .links.succession import Succession

            path = path_for(folder, config.name, config.listen)
        if path is not None:
            self.succession = Succession(self.reactor, self.core, self, path, config.name)
            self.core.up, self.reporter.told = self.succession.kernel_up, self.succession.say_out
            self.succession.start()
        else:
            log.info("no further process can find this one: TMPDIR is not set, or too long")
            self.accept({})

    def _adopt(self, made: socket.socket, factory: Any) -> Any:
        with made:
            return Door.of(
                self.reactor, made, factory, max(1, self._spare // ACCEPTS_SHARE), self.core.counters.add
            )

    # ---- beside another process of this runner ----

    def usable(self, handed: dict[str, int]) -> dict[str, int]:
        return {
            label: fd
            for label, fd in handed.items()
            if label in self._doors and label not in self.ports and listens_at(fd, self._doors[label][0])
        }

    def accept(self, handed: dict[str, int]) -> None:
        """On the sockets that another process has handed over, and on others that it may share."""
        if self.core.draining:
            return  # an address that became free too late: whoever came in now would only be sent away
        first = not self.serving
        for label, (address, factory) in self._doors.items():
            if label in self.ports:
                continue
            try:
                made = socket.socket(fileno=handed.pop(label)) if label in handed else listener(address)
            except OSError as exc:
                return self._not_free(exc, handed)
            self.ports[label] = self._adopt(made, factory)
        if first and self.announcer is not None:
            self.announcer.core = self.core
            self.announcer.fit = self._fit
            self.announcer.start()
        self.serving = True
        if first and self.fleet is not None:
            self.fleet.start()
        log.info("%s listens on %s:%d", self.config.name, *self.config.listen)

    def _not_free(self, exc: OSError, handed: dict[str, int]) -> None:
        """An older build beside this one does not share its address, and ends soon. Who never gets it must end and say
        so, not stay up unheard."""
        self.core.touch()
        if self._listen_by is None:
            self._listen_by = self.clock.now + LISTEN_WITHIN
        if self.clock.now < self._listen_by:
            log.warning("can't listen yet: %s", exc)
            self.alarms.at(self.clock.now + LISTEN_AGAIN, lambda: self.accept(handed))
        else:
            log.error("could not start: %s", exc)
            self.failed = True
            self.reactor.stop()

    def listeners(self) -> dict[str, int]:
        return {label: port.fileno() for label, port in self.ports.items()}

    def pause(self, shared: set[str]) -> None:
        """Another process accepts from now on: on the same sockets, or on its own."""
        for label in list(self.ports):
            if label in shared:
                self.ports[label].stopReading()  # kept: should that process die, this one accepts again
                self._paused.add(label)
            else:
                self._stop_listening(label)
        self.front.leave()
        if isinstance(self.below, DatabasePool):
            self.below.keep(0)  # its idle connections are the other's to open

    def resume(self) -> None:
        if self.core.leaving:
            return
        if isinstance(self.below, DatabasePool):
            self.below.keep()
        self.front.draining = False
        for label in self._paused:
            self.ports[label].startReading()
        self._paused.clear()
        self.accept({})

    def load(self) -> Load:
        runs = self.core.runs
        return Load(
            runs.on_cores,
            len(runs),
            self.core.memory_kb(),
            len(self.front.connections) + len(self.uwsgi.connections),
        )

    def beside(self, load: Load) -> None:
        """One runner's limits hold for both."""
        self.core.beside(load.on_cores, load.running, load.memory_kb)
        self._beside = load.connections
        self._place()

    def taken_out(self) -> dict[str, Any] | None:
        m = self.reporter.tracker.maintenance
        return None if m is None else {"reason": m.reason, "since": m.since, "until": m.until}

    def take_out(self, told: dict[str, Any] | None) -> None:
        self.reporter.follow(None if told is None else Maintenance(**told))

    def incarnation(self) -> int:
        return 0 if self.fleet is None else int(self.fleet.node.owner.inc)

    def follows(self, incarnation: int) -> None:
        if self.fleet is not None:
            self.fleet.elder = incarnation

    def finish(self) -> None:
        """Replaced: what was read is answered, and nobody is told to keep away."""
        if self.core.leaving:
            return
        longest = max(c.deadline_ms for c in self.core.settings.classes)
        left = min(longest, REPLACED_MOST_MS) + REPLACED_MORE_MS
        log.info("replaced: ends within %.0f ms", left)
        self.core.drain(left, replaced=True)
        self._leave_within(left)

    def _fit(self) -> bool:
        return self.reporter.fit

    def _fit_for_more(self) -> bool:
        """For work that another runner has left: not where there is too much already."""
        from .standing.states import Standing

        return self.reporter.fit and self.reporter.report().standing is not Standing.CROWDED

    def _condition(self) -> Any:
        """How this runner is, for whoever is told what it knows."""
        from .knowledge.value import Condition
        from .standing.states import Standing

        standing = self.reporter.report().standing
        return {Standing.CROWDED: Condition.CROWDED, Standing.WARMING: Condition.COLD}.get(
            standing, Condition.WELL
        )

    # ---- a new configuration ----

    def reload(self, load: Callable[..., Config]) -> None:
        """SIGHUP: read and checked whole, then taken; keys, runs and held requests stay as they are."""
        old = self.config
        try:
            new = load(running=old.raw)
            self._follow(old, new)
        except ConfigError as exc:
            self.core.counters.add("configurations turned down")
            log.error("configuration not changed: %s", exc)

    def _follow(self, old: Config, new: Config) -> None:
        """Raises ConfigError before anything is changed."""
        odd = [
            f.name
            for f in fields(Config)
            if getattr(new, f.name) != getattr(old, f.name) and f.name not in LIVE
        ]
        if "fleet" in odd and old.fleet.but_for_addresses() == new.fleet.but_for_addresses():
            odd.remove("fleet")  # its seats are reached elsewhere: that is followed at once
        odd += [
            f"{name}.listen"
            for name in ("agent", "health")
            if getattr(new.probes, name) != getattr(old.probes, name)
        ]
        below = new.uwsgi.below or new.db if old.uwsgi.below is None else new.uwsgi.below
        if new.namespaces.on != (self.namespaces is not None):
            raise ConfigError("namespaces.on: can't be changed without a restart")
        if new.outage.on != (self.outage is not None):
            raise ConfigError("outage.on: can't be changed without a restart")
        if bool(new.tier.servers) != (self.tier is not None):
            raise ConfigError("tier.server: can't be set or taken away without a restart")
        announced = (new.announce is None) == (self.announcer is None)
        if not announced or (self.tier is None and (below is None) != (self.below is None)):
            raise ConfigError(
                f"{'db' if announced else 'announce'}: can't be set or taken away without a restart"
            )
        self.core.touch()
        retune = plan(self.core.settings, new.settings)
        self.config = replace(
            old,
            **{name: getattr(new, name) for name in LIVE},
            fleet=old.fleet if "fleet" in odd else new.fleet,
        )
        if retune.settings != self.core.settings:
            self.core.retune(retune)
            self.reporter.retune(retune.settings)
        odd += [f"settings.{name}" for name in retune.later]
        self._size(new.limits)
        self._place()
        self._follow_probes(new)
        if self.namespaces is not None:
            self.namespaces.follow(new.namespaces)
        if self.outage is not None:
            self.outage.follow(new.outage)
        if self.tier is not None:
            self.tier.follow(new.tier.servers, new.namespaces.grants)
            if new.tier.policy != old.tier.policy:
                odd.append("tier (all but its servers)")
        self.kernel.move(new.kernel)
        if self.below is not None and below is not None:
            self.below.move(below)
        if self.announcer is not None and new.announce is not None:
            self.announcer.move(new.announce)
        self.core.counters.add("configurations read")
        log.info(
            "configuration read again: kernel %s:%d%s%s",
            *new.kernel,
            retune.words(),
            f"; {', '.join(odd)}: changed, for the next start" if odd else "",
        )

    def _size(self, limits: Limits) -> None:
        """How many places and keys there are follows the limits. What is open stays open."""
        sockets = descriptors(limits.sockets)
        self._spare = min(SPARE_SOCKETS, sockets // 3)
        self._most = max(LEAST_PLACES, sockets - self._spare)
        if self.config.uwsgi.listen is not None:
            self._most //= 2  # the two fronts share the descriptors
        self.core.keys.limit(limits.memory_mb)

    def _place(self) -> None:
        self.front.places.most = max(LEAST_PLACES, self._most - self._beside)
        self.uwsgi.places.most = self._most

    def _follow_probes(self, new: Config) -> None:
        """What is told to balancers, and when; listeners stay where they are until the next start."""
        probes = new.probes
        self.reporter.set_policy(probes.policy)
        if self.fleet is not None:
            self.fleet.follow(self.config.fleet)
        if self.agent is not None:
            self.agent.maxconn = probes.maxconn
        if self.health is not None:
            from .fronts.probes import LoadReport

            self.health.codes = probes.codes
            load = self.health.load or LoadReport(self.core, self.reporter)
            self.health.load = load if probes.load_report else None

    # ---- leaving ----

    def term(self) -> None:
        """SIGTERM: the notice to leave, unless another process serves on."""
        if self.succession is None:
            self.leave()
        else:
            self.succession.term()

    def drain(self) -> None:
        self.leave()

    def leave(self) -> None:
        if self.core.leaving:
            return
        log.info("leaving within %.0f ms", self.config.stop_ms)
        self.core.drain(self.config.stop_ms)
        if self.announcer is not None:
            self.announcer.stop()
        # Front ends learn of it seconds late, and whoever takes over is cold: the doors stay open for a while.
        on = min(self.core.settings.drain_grace_ms, SERVE_ON * self.config.stop_ms)
        self.alarms.at(self.clock.now + round(on * MS), self._close_doors)
        self._leave_within(self.config.stop_ms)

    def _leave_within(self, ms: float) -> None:
        self._heard = self.clock.now
        self.core.settled = self._settled
        self.alarms.at(self.clock.now + round(ms * MS) - LAST, self.end)
        self._look_again()

    def _close_doors(self) -> None:
        self._heard = self.clock.now
        self.reporter.close_doors()
        self.front.leave()
        self.serving = False
        for label in ("listen", "uwsgi"):  # health and administration stay
            self._stop_listening(label)

    def _stop_listening(self, label: str) -> None:
        """A connection that waits to be accepted may have a request on it: closing would lose that one. Where another
        process accepts on the same socket, it stays its."""
        port = self.ports.pop(label, None)
        if port is not None and label not in self._paused:
            port.accept_last()

    def _look_again(self) -> None:
        self.alarms.at(self.clock.now + QUIET, self._look_again)

    def _settled(self) -> None:
        """Once all is answered, and front ends have closed their connections or say nothing more on them."""
        open_doors = {"listen", "uwsgi"} & self.ports.keys() - self._paused
        runs = self.core.replaced and len(self.core.runs)  # their results go to the one that serves on
        if self.core.owed or open_doors or runs or (self.fleet is not None and self.fleet.busy):
            self._heard = self.clock.now
            return
        heard = max((c.active for c in self.front.connections), default=0)
        left: list[Any] = [*self.front.connections, *self.uwsgi.connections]
        reading = any(c.reading for c in left)  # a message that has begun may still become a request
        if not left or (not reading and self.clock.now - max(self._heard, heard) >= QUIET):
            self.end()

    def end(self) -> None:
        if self._ended:
            return
        self._ended = True
        if self.keeper is not None:
            self.keeper.stop()
        if not self.core.replaced:
            self._close_doors()
        connections: list[Any] = [*self.front.connections, *self.uwsgi.connections]
        for connection in connections:
            connection.read_rest()  # a request that came in this moment is not closed over
        self.core.answer_all()
        for connection in connections:
            connection.close()  # what is written goes out first
        if self.succession is not None:
            self.succession.close()
        if self.fleet is not None:
            self.fleet.close()
        self.kernel.close()
        self.reactor.callLater(0.03, self.reactor.stop)

    def counters(self) -> str:
        return "; ".join(self.core.counters.lines())


def serve(config: Config, reactor: Any, load: Callable[[], Config], hangups: list[int]) -> int:
    """Until it has left; the exit code. `hangups` holds the SIGHUPs that came before anyone could follow them."""
    service = Service(config, reactor)

    def start() -> None:
        try:
            service.start()
        except Exception as exc:  # a runner that can't listen must end and say so, not stay up unheard
            log.error("could not start: %s", exc)
            service.failed = True
            reactor.stop()
        if hangups and not service.failed:
            service.reload(load)

    # A signal may come between any two instructions: the loop's own waker brings it into a turn.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(service.term))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(service.reload, load))
    signal.signal(
        signal.SIGUSR1,
        lambda *_: reactor.callFromThread(lambda: log.info("counters: %s", service.counters())),
    )
    reactor.callWhenRunning(start)
    gc.collect()
    gc.freeze()  # what was imported lives as long as the process: no need to walk it again
    reactor.run(installSignalHandlers=False)
    log.info("counters: %s", service.counters())
    return int(service.failed)
