"""One runner: its core, fronts and links put together, started, drained and ended."""

from __future__ import annotations

import gc
import logging
import os
import random
import signal
from collections.abc import Callable
from typing import Any

from ..backends.announce import Announcer
from ..backends.database import MOST_IDLE, DatabasePool
from ..backends.kernel import KernelLink
from ..backends.uwsgi import UwsgiCalls
from ..config.loader import Config, Limits
from ..config.section import Address
from ..core.call import Calls, NoCalls
from ..core.clock import MS, SECOND, Alarms, Clock
from ..core.observer import Watch
from ..core.request_engine import Decider
from ..frontends.jsonrpc import JsonRpcFront
from ..frontends.uwsgi import UwsgiFront
from ..health.observation import Maintenance
from ..hot_restart.shared_budget import Load, path_for
from ..transient_errors import passes
from .graceful_shutdown import Departure
from .health_report import Reporter
from .listeners import Listeners
from .reactor import LoopTimer, descriptors, limited, listener
from .reload import Reloads

log = logging.getLogger("moorusher")

# Descriptors for the calls below, the links, the listening sockets, the console and the interpreter.
SPARE_SOCKETS, LEAST_SPARE = 160, 40
IDLE_CALLS_SHARE = 4  # one in so many of them is for connections below that are kept without a call
FIXED_SOCKETS = (
    14  # of them: the interpreter's and the loop's, listening sockets, the kernel and the announce service
)
LISTEN_AGAIN = 100 * MS
LISTEN_WITHIN = 4 * SECOND  # where an address is not free: a new process says yes in 6 s
ROOM_WITHIN = 20 * SECOND  # where the system has no room for a socket: it may have some soon
LEAST_PLACES = 16  # for clients, whatever else there is
LEAST_CONSOLE = 8
CONSOLE_SHARE = 6  # one in so many of them is the console's: two processes may have one


class Service:
    """The parts of one runner, and its life: started, given new settings, replaced, drained, ended."""

    def __init__(self, config: Config, reactor: Any) -> None:
        self.config, self.reactor = config, reactor
        self._reloads = Reloads(self, reactor)
        self.clock = Clock()
        self.timer = LoopTimer(reactor, lambda: self.core.ring())
        self.alarms = Alarms(self.clock, self.timer.arm)
        self.kernel = KernelLink(reactor, config.kernel)
        below: DatabasePool | UwsgiCalls | None = None
        self.tier: Any = None  # many servers below, imported only where they are set
        if config.tier.servers:
            from ..backends.server_pool import TierCalls

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
            self.core.watched_by(Watch())  # nobody asks, as on the platform: each run is spared the telling
        self.announcer = Announcer(reactor, config.announce, config.name) if config.announce else None
        self._beside = 0  # connections of another process of this runner
        self.size(config.limits)
        self.front = JsonRpcFront(self.core, self._most, self._fit)
        self.uwsgi = UwsgiFront(
            self.core, self._most, config.uwsgi.body_bytes, config.uwsgi.idle_s, self._fit
        )
        self.agent: Any = None  # probes' listeners are imported only where they are set
        self.health: Any = None
        self.console: Any = None
        self.core.trim = self.front.trim
        self.listeners = Listeners(reactor, self._spare, self.core.counters.add)
        self.departure = Departure(self)
        self.succession: Any = None
        self.fleet: Any = None  # other runners, imported only where they are set
        if config.fleet.listen is not None:
            from ..cluster_transport.replication import ReplicationService

            self.fleet = ReplicationService(
                reactor,
                self.core,
                config.fleet,
                config.name,
                self._fit_for_more,
                random.Random(config.name).random,
            )
        self.namespaces: Any = None  # customers' rules, imported only where they are set
        if config.namespaces.on:
            from ..cluster_transport.config_distribution import NamespaceLink

            self.namespaces = NamespaceLink(self.fleet.leadership, config.namespaces, reactor)
        self.forecast: Any = None  # of demand, imported only where it is set
        if config.forecast.on:
            from ..cluster_transport.forecast import ForecastLink

            self.forecast = ForecastLink(self.fleet.leadership, config.forecast, reactor)
        self.outage: Any = None  # machines' outages, imported only where they are set
        if config.outage.on:
            from ..cluster_transport.maintenance import OutageLink

            self.outage = OutageLink(self.fleet, config.outage, self.reporter)
        self.serving = False  # clients are let in, here or by the process that replaces this one
        self.failed = False  # it could not start
        self._listen_since: int | None = None  # a socket could not be had since then

    def start(self) -> None:
        config = self.config
        if config.console is not None:  # first: it tells operators what is still missing
            from ..frontends.console import Console

            self.console = Console(self.core, self.reporter, self._console_places(), lambda: self.serving)
            self._open_console(config.console)
        planned = self.listeners.planned
        planned["listen"] = config.listen, self.front
        if config.uwsgi.listen is not None:
            planned["uwsgi"] = config.uwsgi.listen, self.uwsgi
        if self.fleet is not None and config.fleet.listen is not None:
            from ..cluster_transport.peers import PeerServerFactory

            planned["fleet"] = config.fleet.listen, PeerServerFactory(self.fleet)
        probes = config.probes
        if probes.agent is not None:
            from ..frontends.agent import AgentFront

            self.agent = AgentFront(self.core, self.reporter, probes.maxconn)
            planned["agent"] = probes.agent, self.agent
        if probes.health is not None or config.uwsgi.load_report:
            from ..frontends.probes import LoadReport

            load = LoadReport(self.core, self.reporter)
            if config.uwsgi.load_report:
                self.uwsgi.load = load.text
        if probes.health is not None:
            from ..frontends.health import HealthFront

            self.health = HealthFront(
                self.core, self.reporter, probes.codes, load if probes.load_report else None
            )
            planned["health"] = probes.health, self.health
        if config.admin.listen is not None:
            from ..admin.api import admin_site  # Twisted's web server: 6 MB that the platform does not need

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
            planned["admin"] = config.admin.listen, site
        if self.tier is not None and config.tier.knowledge is not None:
            from ..storage.warm_start import Keeper

            self.keeper = Keeper(self.core, self.tier, config.tier.knowledge, self._condition)
            self.keeper.start()
        self.kernel.start()
        path = None
        if folder := os.environ.get("TMPDIR"):
            from ..cluster_transport.hot_restart import Succession

            path = path_for(folder, config.name, config.listen)
        if path is not None:
            self.succession = Succession(self.reactor, self.core, self, path, config.name)
            self.core.up, self.reporter.told = self.succession.kernel_up, self.succession.say_out
            self.succession.start()
        else:
            log.info("no further process can find this one: TMPDIR is not set, or too long")
            self.accept({})

    # ---- beside another process of this runner ----

    def usable(self, handed: dict[str, int]) -> dict[str, int]:
        """Of the sockets that another process has handed over, by label, those at this runner's addresses."""
        return self.listeners.usable(handed)

    def handed_over(self) -> dict[str, int]:
        """The descriptors of its own sockets, by label."""
        return self.listeners.descriptors()

    def accept(self, handed: dict[str, int]) -> None:
        """On the sockets that another process has handed over, and on others that it may share."""
        if self.core.draining:
            return  # an address that became free too late: whoever came in now would only be sent away
        first = not self.serving
        try:
            self.listeners.open(handed)
        except OSError as exc:
            return self._listen_again(exc, lambda: self.accept(handed))
        self._listen_since = None
        if first and self.announcer is not None:
            self.announcer.core = self.core
            self.announcer.fit = self._fit
            self.announcer.start()
        self.serving = True
        if first and self.fleet is not None:
            self.fleet.start()
        log.info("%s listens on %s:%d", self.config.name, *self.config.listen)

    def _open_console(self, address: Address) -> None:
        try:
            self.listeners.adopt(listener(address), self.console)
        except OSError as exc:
            self._listen_again(exc, lambda: self._open_console(address))

    def _listen_again(self, exc: OSError, again: Callable[[], None]) -> None:
        """An older build beside this one does not share its address, and ends soon; a system without room may have some
        soon. Who never gets a socket must end and say so, not stay up unheard."""
        self.core.touch()
        if self._listen_since is None:
            self._listen_since = self.clock.now
        waited = self.clock.now - self._listen_since
        if waited < (ROOM_WITHIN if passes(exc) else LISTEN_WITHIN):
            limited.write(logging.WARNING, "listen", "can't listen yet: %s", exc)
            self.alarms.at(self.clock.now + LISTEN_AGAIN, again)
        else:
            log.error("could not start: %s", exc)
            self.failed = True
            self.reactor.stop()

    def pause(self, shared: set[str]) -> None:
        """Another process accepts from now on: on the same sockets, or on its own."""
        self.listeners.pause(shared)
        self.front.leave()
        if isinstance(self.below, DatabasePool):
            self.below.keep(0)  # its idle connections are the other's to open

    def resume(self) -> None:
        """The process that was to replace this one is gone."""
        if self.core.leaving:
            return
        self._keep_idle_calls()
        self.front.draining = False
        self.listeners.resume()
        self.accept({})

    def load(self) -> Load:
        """What this process takes of the runner's limits."""
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
        self.place()

    def taken_out(self) -> dict[str, Any] | None:
        m = self.reporter.tracker.maintenance
        return None if m is None else {"reason": m.reason, "since": m.since, "until": m.until}

    def take_out(self, told: dict[str, Any] | None) -> None:
        self.reporter.follow(None if told is None else Maintenance(**told))

    def incarnation(self) -> int:
        return 0 if self.fleet is None else int(self.fleet.node.owner.incarnation)

    def follows(self, incarnation: int) -> None:
        if self.fleet is not None:
            self.fleet.predecessor = incarnation

    def _fit(self) -> bool:
        return self.reporter.fit

    def _fit_for_more(self) -> bool:
        """For work that another runner has left: not where there is too much already."""
        from ..health.states import Standing

        return self.reporter.fit and self.reporter.report().standing is not Standing.CROWDED

    def _condition(self) -> Any:
        """How this runner is, for whoever is told what it knows."""
        from ..health.states import Standing
        from ..warm_start.learned_state import Condition

        standing = self.reporter.report().standing
        return {Standing.CROWDED: Condition.CROWDED, Standing.WARMING: Condition.COLD}.get(
            standing, Condition.WELL
        )

    # ---- limits and new settings ----

    def size(self, limits: Limits) -> None:
        """How many places and keys there are follows the limits. What is open stays open."""
        sockets = descriptors(limits.sockets)
        # Front ends open at most half of the descriptors, so half are theirs in any case.
        self._spare = min(SPARE_SOCKETS, max(sockets // 3, LEAST_SPARE), sockets // 2)
        self._most = max(LEAST_PLACES, sockets - self._spare)
        if self.config.uwsgi.listen is not None:
            self._most //= 2  # the two fronts share the descriptors
        self.core.keys.limit(limits.memory_mb)
        self._keep_idle_calls()

    def _keep_idle_calls(self) -> None:
        if isinstance(self.below, DatabasePool):
            idle = min(MOST_IDLE, self._spare // IDLE_CALLS_SHARE)
            self.below.keep(idle)
            console = 0 if self.config.console is None else self._console_places()
            self.below.most_open = max(1, self._spare - FIXED_SOCKETS - console - idle)

    def _console_places(self) -> int:
        return max(LEAST_CONSOLE, self._spare // CONSOLE_SHARE)

    def place(self) -> None:
        """Give the fronts their places, beside those of another process."""
        self.front.places.most = max(LEAST_PLACES, self._most - self._beside)
        self.uwsgi.places.most = self._most

    def reload(self, load: Callable[..., Config]) -> None:
        """SIGHUP: read and checked whole, then taken; keys, runs and held requests stay as they are."""
        self._reloads.read(load)

    # ---- leaving ----

    def term(self) -> None:
        """SIGTERM: the notice to leave, unless another process serves on."""
        if self.succession is None:
            self.leave()
        else:
            self.succession.term()

    def drain(self) -> None:
        """An operator's word to leave."""
        self.leave()

    def leave(self) -> None:
        """The notice to leave: nobody serves on."""
        self.departure.leave()

    def finish(self) -> None:
        """Replaced: what was read is answered, and nobody is told to keep away."""
        self.departure.finish()

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
