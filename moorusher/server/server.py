"""One runner process: its parts, and its operations for signals, operators and another process of the runner."""

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
from ..unix_addresses import is_addressable
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
    """One runner process: its parts and its lifecycle from start to shutdown.

    Attributes:
        core: Handling of requests, independent of protocols.
        jsonrpc, uwsgi: Frontends that accept requests.
        kernel: Client of the kernel, which executes the runs.
        backend: Answers runs' downstream calls, or None.
        server_pool: `backend` if it is a pool of servers, else None.
        cluster: Parts that need other runners.
        reporter: Health state.
        hot_restart: Link to another process of this runner, or None if no process can find this one.
        serving: Whether clients are accepted, by this process or the one that replaces it.
        failed: Whether the start has failed.
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
        self.core.hooks.trim_connections = self.jsonrpc.set_idle_timeout
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
        """Open the console, connect to the kernel, and accept clients unless another process is in service."""
        config = self.config
        if config.console is not None:  # Opened first, as it shows operators which parts are not ready yet.
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
        """Take over from a process of this runner that is in service, or accept at once if none can be found."""
        folder = os.environ.get("TMPDIR")
        if not folder:
            log.info("hot restart is disabled: TMPDIR is not set")
            self.accept({})
            return
        path = rendezvous_path(folder, self.config.name, self.config.listen)
        if not is_addressable(path):
            log.warning(
                "hot restart is disabled: TMPDIR is too long, and /proc is not mounted: shorten it; until the longest "
                "window has passed, requests with unknown keys are rejected: path=%s",
                path,
            )
            self.core.state.distrust_new_keys()
            self.accept({})
            return
        from ..cluster_transport.hot_restart.coordinator import HotRestart

        self.hot_restart = HotRestart(self.reactor, self.core, self, path, self.config.name)
        self.core.hooks.kernel_up = self.hot_restart.kernel_up
        self.reporter.on_maintenance_changed = self.hot_restart.maintenance_changed
        self.hot_restart.start()

    # ---- operations for another process of this runner ----

    def usable_sockets(self, handed_over: dict[str, int]) -> dict[str, int]:
        """Return the handed-over sockets, by label, that are bound to this runner's addresses."""
        return self.listeners.usable(handed_over)

    def listening_sockets(self) -> dict[str, int]:
        """Return the descriptors of this process's listening sockets, by label."""
        return self.listeners.descriptors()

    def accept(self, handed_over: dict[str, int]) -> None:
        """Accept clients on the sockets that another process has handed over, and on new sockets for the rest."""
        if self.core.drain_state.draining:
            # A retry may succeed only after the drain has begun. A client accepted then would only be rejected.
            return
        is_first = not self.serving
        try:
            self.listeners.open(handed_over)
        except OSError as error:
            self._retry_listening(error, lambda: self.accept(handed_over))
            return
        self._listen_retry.succeeded()
        if is_first and self.announcer is not None:
            self.announcer.core = self.core
            self.announcer.is_fit = self._is_fit
            self.announcer.start()
        self.serving = True
        if is_first and self.cluster.replication is not None:
            self.cluster.replication.start()
        log.info("%s listens on %s:%d", self.config.name, *self.config.listen)

    def _open_console(self, address: Address) -> None:
        try:
            self.listeners.adopt(open_listening_socket(address), self.console)
        except OSError as error:
            self._retry_listening(error, lambda: self._open_console(address))

    def _retry_listening(self, error: OSError, attempt: Callable[[], None]) -> None:
        self.core.start_turn()
        if not self._listen_retry.failed(error, attempt):
            self.failed = True
            self.reactor.stop()

    def pause(self, shared: set[str]) -> None:
        """Stop accepting clients, since another process accepts them from now on.

        :param shared: labels of the listening sockets that the other process shares; it opens the others itself.
        """
        self.listeners.pause(shared)
        self.jsonrpc.start_draining()
        if isinstance(self.backend, DatabasePool):
            # The other process may now use the whole budget of idle connections.
            self.backend.set_max_idle(0)

    def resume(self) -> None:
        """Serve again after the process that was to replace this one has exited."""
        if self.core.drain_state.shutting_down:
            return
        self._bound_backend_connections()
        self.jsonrpc.draining = False
        self.listeners.resume()
        self.accept({})

    def load(self) -> ProcessLoad:
        """Return this process's use of the runner's limits."""
        runs = self.core.runs
        return ProcessLoad(
            runs.on_cores,
            len(runs),
            self.core.table.memory_kb(self.core.settings.run_memory_factor),
            len(self.jsonrpc.connections) + len(self.uwsgi.connections),
        )

    def set_peer_load(self, load: ProcessLoad) -> None:
        """Keep this process within the part of the runner's limits that another process does not use."""
        self.core.coexist(load.on_cores, load.running, load.memory_kb)
        self._peer_process_connections = load.connections
        self.apply_connection_limits()

    def maintenance_fields(self) -> dict[str, Any] | None:
        """Return the maintenance state as it is sent to another process of this runner."""
        state = self.reporter.tracker.maintenance
        return (
            None
            if state is None
            else {"reason": state.reason, "since": state.since_us, "until": state.expires_us}
        )

    def follow_maintenance(self, fields: dict[str, Any] | None) -> None:
        """Copy the maintenance state of another process of this runner."""
        self.reporter.copy_maintenance(
            None if fields is None else Maintenance(fields["reason"], fields["since"], fields["until"])
        )

    def incarnation(self) -> int:
        """Return this process's incarnation in the cluster; 0 without a cluster."""
        replication = self.cluster.replication
        return 0 if replication is None else int(replication.node.owner.incarnation)

    def set_predecessor(self, incarnation: int) -> None:
        """Record the incarnation of the process that this one replaces."""
        if self.cluster.replication is not None:
            self.cluster.replication.predecessor = incarnation

    def _is_fit(self) -> bool:
        return self.reporter.is_fit

    def _accepts_more_work(self) -> bool:
        """Return whether to take over work and leases of other runners: not if replaced, unfit or overloaded."""
        from ..health.states import HealthState

        if self.jsonrpc.draining:
            return False  # Other runners can reach only the process that has replaced this one.
        return self.reporter.is_fit and self.reporter.report().state is not HealthState.OVERLOADED

    def load_condition(self) -> Any:
        """Return the condition under which this runner's latencies were measured, for runners that learn from them."""
        from ..health.states import HealthState
        from ..warm_start.learned_state import DonorCondition

        state = self.reporter.report().state
        return {
            HealthState.OVERLOADED: DonorCondition.OVERLOADED,
            HealthState.WARMING_UP: DonorCondition.WARMING_UP,
        }.get(state, DonorCondition.HEALTHY)

    # ---- limits and new settings ----

    def apply_limits(self, limits: Limits) -> None:
        """Size tables and connection pools by the limits. Open connections are not closed."""
        request_frontends = 1 if self.config.uwsgi.listen is None else 2
        self._budget = ConnectionBudget.from_descriptors(
            raise_descriptor_limit(limits.sockets), request_frontends
        )
        self.core.keys.limits.set_memory_limit(limits.memory_mb)
        self._bound_backend_connections()

    def _bound_backend_connections(self) -> None:
        if isinstance(self.backend, DatabasePool):
            idle = self._budget.idle_backend_connections(MAX_IDLE_CONNECTIONS)
            self.backend.set_max_idle(idle)
            console_listens = self.config.console is not None
            self.backend.max_busy = self._budget.open_backend_connections(idle, console_listens)

    def apply_connection_limits(self) -> None:
        """Limit the frontends' connections, counting those of another process of this runner."""
        clients = self._budget.client_connections
        self.jsonrpc.limiter.max_connections = max(
            MIN_CLIENT_CONNECTIONS, clients - self._peer_process_connections
        )
        self.uwsgi.limiter.max_connections = clients

    def reload(self, load: Callable[..., Config]) -> None:
        """Reload the configuration (SIGHUP) and apply it as a whole; keys, runs and queued requests are retained."""
        self._reloader.reload(load)

    # ---- shutdown ----

    def terminate(self) -> None:
        """Shut down on SIGTERM: drain, unless another process of this runner continues to serve."""
        if self.hot_restart is None:
            self.drain()
        else:
            self.hot_restart.terminate()

    def drain(self) -> None:
        """Drain and exit, since no other process of this runner continues to serve."""
        self.shutdown.drain()

    def finish(self) -> None:
        """Exit after a replacement by another process: answer all read requests, without notifying front ends."""
        self.shutdown.finish()

    def counters(self) -> str:
        """Return all counters as one line."""
        return "; ".join(self.core.counters.lines())
