"""One runner process: its parts, and what signals, operators and another process of the runner ask of them."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from typing import Any

from ..backends.announce import Announcer
from ..backends.database import MAX_IDLE_CONNECTIONS, DatabasePool
from ..backends.kernel import KernelClient
from ..config.model import Config, Limits
from ..config.section import Address
from ..core.call import CallTransport, NoCallTransport
from ..core.clock import Alarms, Clock
from ..core.observer import EngineObserver
from ..core.request_engine import RequestEngine
from ..frontends.jsonrpc import JsonRpcFactory
from ..frontends.uwsgi import UwsgiFactory
from ..health.observation import Maintenance
from ..health_reporting.reporter import Reporter
from ..hot_restart.shared_budget import ProcessLoad, rendezvous_path
from .composition import build_backend, build_cluster_parts, reports_health
from .connection_budget import MIN_CLIENT_CONNECTIONS, ConnectionBudget
from .graceful_shutdown import GracefulShutdown
from .listen_retry import ListenRetry
from .listeners import Listeners
from .reactor import LoopTimer
from .reload import ConfigReloader
from .secondary_listeners import plan_listeners
from .sockets import open_listening_socket, raise_descriptor_limit

log = logging.getLogger("moorusher")


class Service:
    """The parts of one runner process, and its life: started, reconfigured, replaced, drained, stopped.

    `core`: the way of a request, without any wire. `jsonrpc`, `uwsgi`: the frontends that take requests. `kernel`: runs
    them. `backend`: answers runs' downstream calls; `server_pool` is the same object where it is a pool. `cluster`:
    parts that need other runners. `reporter`: the health state. `hot_restart`: the link to another process of this
    runner, None where none can find this one. `serving`: clients are accepted, here or by the replacing process.
    `failed`: it could not start.
    """

    def __init__(self, config: Config, reactor: Any) -> None:
        self.config = config
        self.reactor = reactor
        self._reloader = ConfigReloader(self, reactor)
        self.clock = Clock()
        self.alarms = Alarms(self.clock, LoopTimer(reactor, lambda: self.core.fire_timers()).arm)
        self._listen_retry = ListenRetry(self.clock, self.alarms)
        self.kernel = KernelClient(reactor, config.kernel)
        self.backend = build_backend(config, reactor)
        self.server_pool: Any = self.backend if config.tier.servers else None
        self.core = self._build_core(self.backend or NoCallTransport())
        self.reporter = Reporter(self.core, config.probes.policy, config.name)
        if not reports_health(config):
            self.core.hooks.observer = EngineObserver()
        self.announcer = Announcer(reactor, config.announce, config.name) if config.announce else None
        self._peer_process_connections = 0
        self.apply_limits(config.limits)
        connections = self._budget.client_connections
        self.jsonrpc = JsonRpcFactory(self.core, connections, self._is_fit)
        self.uwsgi = UwsgiFactory(
            self.core, connections, config.uwsgi.body_bytes, config.uwsgi.idle_s, self._is_fit
        )
        self.agent_check: Any = None
        self.health_check: Any = None
        self.console: Any = None
        self.warm_start_store: Any = None
        self.core.hooks.trim_connections = self.jsonrpc.trim
        self.listeners = Listeners(reactor, self._budget.reserved, self.core.counters.add)
        self.shutdown = GracefulShutdown(self)
        self.hot_restart: Any = None
        self.cluster = build_cluster_parts(config, reactor, self.core, self.reporter, self._accepts_more_work)
        self.serving = False
        self.failed = False

    def _build_core(self, calls: CallTransport) -> RequestEngine:
        core = RequestEngine(
            self.config.settings,
            self.clock,
            self.alarms,
            self.kernel.session,
            calls,
            lambda function: self.reactor.callLater(0, function),
            memory_mb=self.config.limits.memory_mb,
        )
        self.kernel.core = core
        if self.backend is not None:
            self.backend.core = core
        return core

    def start(self) -> None:
        """Open the console, begin to talk to kernel and peers, and accept clients unless another process does."""
        config = self.config
        if config.console is not None:  # first: it tells operators what is still missing
            from ..frontends.console import Console

            self.console = Console(self.core, self.reporter, self._budget.console, lambda: self.serving)
            self._open_console(config.console)
        plan_listeners(self)
        if self.server_pool is not None and config.tier.warm_start_file is not None:
            from ..storage.warm_start import WarmStartFile

            self.warm_start_store = WarmStartFile(
                self.core, self.server_pool, config.tier.warm_start_file, self.load_condition
            )
            self.warm_start_store.start()
        self.kernel.start()
        self._join_other_process()

    def _join_other_process(self) -> None:
        """Take over from a process of this runner that is in service, or accept at once where none can be found."""
        path = None
        if folder := os.environ.get("TMPDIR"):
            from ..cluster_transport.hot_restart.coordinator import HotRestart

            path = rendezvous_path(folder, self.config.name, self.config.listen)
        if path is None:
            log.info("no further process can find this one: TMPDIR is not set, or too long")
            self.accept({})
            return
        self.hot_restart = HotRestart(self.reactor, self.core, self, path, self.config.name)
        self.core.hooks.kernel_up = self.hot_restart.kernel_up
        self.reporter.on_maintenance_changed = self.hot_restart.maintenance_changed
        self.hot_restart.start()

    # ---- beside another process of this runner ----

    def usable_sockets(self, handed_over: dict[str, int]) -> dict[str, int]:
        """Of the sockets that another process has handed over, by label, those at this runner's addresses."""
        return self.listeners.usable(handed_over)

    def listening_sockets(self) -> dict[str, int]:
        """The descriptors of its own sockets, by label."""
        return self.listeners.descriptors()

    def accept(self, handed_over: dict[str, int]) -> None:
        """Accept clients on the sockets that another process has handed over, and on others that it may share."""
        if self.core.drain_state.draining:
            return  # an address that became free too late: whoever came in now would only be sent away
        first = not self.serving
        try:
            self.listeners.open(handed_over)
        except OSError as error:
            self._retry_listening(error, lambda: self.accept(handed_over))
            return
        self._listen_retry.succeeded()
        if first and self.announcer is not None:
            self.announcer.core = self.core
            self.announcer.is_fit = self._is_fit
            self.announcer.start()
        self.serving = True
        if first and self.cluster.replication is not None:
            self.cluster.replication.start()
        log.info("%s listens on %s:%d", self.config.name, *self.config.listen)

    def _open_console(self, address: Address) -> None:
        try:
            self.listeners.adopt(open_listening_socket(address), self.console)
        except OSError as error:
            self._retry_listening(error, lambda: self._open_console(address))

    def _retry_listening(self, error: OSError, attempt: Callable[[], None]) -> None:
        self.core.begin_turn()
        if not self._listen_retry.failed(error, attempt):
            self.failed = True
            self.reactor.stop()

    def pause(self, shared: set[str]) -> None:
        """Another process accepts from now on: on the same sockets, or on its own."""
        self.listeners.pause(shared)
        self.jsonrpc.leave()
        if isinstance(self.backend, DatabasePool):
            self.backend.set_max_idle(0)  # idle connections are the other process's to open

    def resume(self) -> None:
        """The process that was to replace this one is gone."""
        if self.core.drain_state.shutting_down:
            return
        self._bound_backend_connections()
        self.jsonrpc.draining = False
        self.listeners.resume()
        self.accept({})

    def load(self) -> ProcessLoad:
        """What this process takes of the runner's limits."""
        runs = self.core.runs
        return ProcessLoad(
            runs.on_cores,
            len(runs),
            self.core.table.memory_kb(self.core.settings.run_memory_factor),
            len(self.jsonrpc.connections) + len(self.uwsgi.connections),
        )

    def set_peer_load(self, load: ProcessLoad) -> None:
        """Keep within what another process of this runner leaves of its limits."""
        self.core.coexist(load.on_cores, load.running, load.memory_kb)
        self._peer_process_connections = load.connections
        self.apply_connection_limits()

    def maintenance_fields(self) -> dict[str, Any] | None:
        """The maintenance state, as another process of this runner is told it."""
        m = self.reporter.tracker.maintenance
        return None if m is None else {"reason": m.reason, "since": m.since_us, "until": m.expires_us}

    def follow_maintenance(self, fields: dict[str, Any] | None) -> None:
        """Take over the maintenance state of another process of this runner."""
        self.reporter.copy_maintenance(
            None if fields is None else Maintenance(fields["reason"], fields["since"], fields["until"])
        )

    def incarnation(self) -> int:
        """Among the runners of the cluster; 0 where there is none."""
        replication = self.cluster.replication
        return 0 if replication is None else int(replication.node.owner.incarnation)

    def set_predecessor(self, incarnation: int) -> None:
        """The incarnation of the process that this one replaces."""
        if self.cluster.replication is not None:
            self.cluster.replication.predecessor = incarnation

    def _is_fit(self) -> bool:
        return self.reporter.is_fit

    def _accepts_more_work(self) -> bool:
        """Whether to take over orphaned work of another runner: not where this one is overloaded itself."""
        from ..health.states import HealthState

        return self.reporter.is_fit and self.reporter.report().state is not HealthState.OVERLOADED

    def load_condition(self) -> Any:
        """The condition under which this runner's latencies were measured, for whoever learns from them."""
        from ..health.states import HealthState
        from ..warm_start.learned_state import DonorCondition

        standing = self.reporter.report().state
        return {
            HealthState.OVERLOADED: DonorCondition.OVERLOADED,
            HealthState.WARMING_UP: DonorCondition.WARMING_UP,
        }.get(standing, DonorCondition.HEALTHY)

    # ---- limits and new settings ----

    def apply_limits(self, limits: Limits) -> None:
        """Size tables and connection pools by the limits. What is open stays open."""
        request_frontends = 1 if self.config.uwsgi.listen is None else 2
        self._budget = ConnectionBudget.of(raise_descriptor_limit(limits.sockets), request_frontends)
        self.core.keys.limits.set_memory_limit(limits.memory_mb)
        self._bound_backend_connections()

    def _bound_backend_connections(self) -> None:
        if isinstance(self.backend, DatabasePool):
            idle = self._budget.idle_backend_connections(MAX_IDLE_CONNECTIONS)
            self.backend.set_max_idle(idle)
            console_listens = self.config.console is not None
            self.backend.max_busy = self._budget.open_backend_connections(idle, console_listens)

    def apply_connection_limits(self) -> None:
        """Bound the frontends' connections, beside those of another process."""
        clients = self._budget.client_connections
        self.jsonrpc.limiter.max_connections = max(
            MIN_CLIENT_CONNECTIONS, clients - self._peer_process_connections
        )
        self.uwsgi.limiter.max_connections = clients

    def reload(self, load: Callable[..., Config]) -> None:
        """Read the configuration again (SIGHUP) and apply it as a whole; keys, runs and queued requests stay."""
        self._reloader.reload(load)

    # ---- shutdown ----

    def terminate(self) -> None:
        """SIGTERM: drain, unless another process of this runner serves on."""
        if self.hot_restart is None:
            self.leave()
        else:
            self.hot_restart.terminate()

    def leave(self) -> None:
        """Drain: nobody serves on in place of this runner."""
        self.shutdown.drain()

    def finish(self) -> None:
        """Replaced by another process: answer what was read, and tell no frontend to keep away."""
        self.shutdown.finish()

    def counters(self) -> str:
        """All counters as one line."""
        return "; ".join(self.core.counters.lines())
