"""Graceful shutdown of a runner process.

SIGTERM leads to `GracefulShutdown.drain`, or to `finish` if another process of the runner continues to serve:

1. The runner stops announcing itself, and its health checks fail at once.
2. New clients are still accepted for a part of the drain time, since front ends notice late (only in `drain`).
3. The listening sockets close, and all requests that were read are answered.
4. The process exits once no answer is outstanding and the connections are idle, or just before it would be killed.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from moorusher.scheduling.draining import SERVE_FRACTION

from ..time_units import MS

if TYPE_CHECKING:
    from .server import Service

log = logging.getLogger("moorusher")

IDLE_TIMEOUT_US = 250 * MS  # Time without traffic on all connections after which they are closed.
KILL_MARGIN_US = 60 * MS  # The process exits this long before it would be killed.
FLUSH_S = 0.03  # Time for the last written bytes to leave the process.
# SIGKILL may follow SIGTERM after the longest deadline, at most MAX_KILL_DEADLINE_MS, plus KILL_GRACE_MS.
MAX_KILL_DEADLINE_MS = 3_000.0
KILL_GRACE_MS = 700.0
# The other listeners, for health checks and administration, stay open until the process exits.
CLIENT_LISTENERS = ("listen", "uwsgi")


class GracefulShutdown:
    """Shuts one process of a runner down, once."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._ended = False
        # Last time at which a request was unanswered or clients were accepted.
        self._active_at_us = 0

    def drain(self) -> None:
        """Start a shutdown without a successor process: drain, then exit. Has no effect during a shutdown."""
        service = self._service
        core = service.core
        if core.drain_state.shutting_down:
            return
        stop_ms = min(service.config.stop_ms, self._earliest_kill_ms())
        log.info("draining: exits within %.0f ms", stop_ms)
        core.drain(stop_ms)
        if service.announcer is not None:
            service.announcer.stop()
        # Connections are still accepted: front ends notice the drain seconds late, and the runners that receive
        # the traffic instead are not warmed up.
        accept_ms = min(core.settings.drain_grace_ms, SERVE_FRACTION * stop_ms)
        core.alarms.at(core.clock.now + round(accept_ms * MS), self._close_client_listeners)
        self._end_within(stop_ms)

    def finish(self) -> None:
        """Start to exit after another process has taken over. No effect during a shutdown."""
        core = self._service.core
        if core.drain_state.shutting_down:
            return
        stop_ms = self._earliest_kill_ms()
        log.info("replaced by another process: exits within %.0f ms", stop_ms)
        core.drain(stop_ms, replaced=True)
        self._end_within(stop_ms)

    def _earliest_kill_ms(self) -> float:
        """Return the shortest time from SIGTERM to SIGKILL."""
        longest_deadline = max(c.deadline_ms for c in self._service.core.settings.classes)
        return min(longest_deadline, MAX_KILL_DEADLINE_MS) + KILL_GRACE_MS

    def _end_within(self, stop_ms: float) -> None:
        core = self._service.core
        self._active_at_us = core.clock.now
        core.hooks.turn_ended_while_draining = self._end_if_idle
        core.alarms.at(core.clock.now + round(stop_ms * MS) - KILL_MARGIN_US, self.end)
        self._schedule_check()

    def _schedule_check(self) -> None:
        """Schedule turns of the core periodically: `_end_if_idle` is called at the end of each turn."""
        core = self._service.core
        core.alarms.at(core.clock.now + IDLE_TIMEOUT_US, self._schedule_check)

    def _close_client_listeners(self) -> None:
        service = self._service
        self._active_at_us = service.clock.now
        service.reporter.stop_accepting()
        service.jsonrpc.start_draining()
        service.serving = False
        for label in CLIENT_LISTENERS:
            service.listeners.close(label)

    def _client_connections(self) -> list[Any]:
        return [*self._service.jsonrpc.connections, *self._service.uwsgi.connections]

    def _is_busy(self) -> bool:
        """Return whether requests are unanswered, clients are accepted, or other processes wait for this one's work."""
        service = self._service
        core = service.core
        accepts_clients = bool(service.listeners.accepting() & set(CLIENT_LISTENERS))
        hands_over_results = bool(core.drain_state.replaced and len(core.runs))
        replication = service.cluster.replication
        return bool(
            core.table.unanswered
            or accepts_clients
            or hands_over_results
            or (replication is not None and replication.is_busy)
        )

    def _end_if_idle(self) -> None:
        """Exit if all requests are answered and the front ends' connections are closed or idle."""
        now = self._service.core.clock.now
        if self._is_busy():
            self._active_at_us = now
            return
        connections = self._client_connections()
        if not connections:
            self.end()
            return
        # A partly received message may still become a request.
        is_reading = any(c.reading for c in connections)
        last_received_us = max((c.last_activity_us for c in self._service.jsonrpc.connections), default=0)
        if not is_reading and now - max(self._active_at_us, last_received_us) >= IDLE_TIMEOUT_US:
            self.end()

    def end(self) -> None:
        """Answer all received requests, close all parts and stop the event loop."""
        if self._ended:
            return
        self._ended = True
        service = self._service
        if service.warm_start_store is not None:
            service.warm_start_store.stop()
        if not service.core.drain_state.replaced:
            self._close_client_listeners()
        connections = self._client_connections()
        for connection in connections:
            connection.read_pending_input()  # Reads a request that has just arrived, which the close would lose.
        service.core.answer_all()
        for connection in connections:
            connection.close()  # Takes effect once the written bytes have been sent.
        if service.hot_restart is not None:
            service.hot_restart.close()
        if service.cluster.replication is not None:
            service.cluster.replication.close()
        service.kernel.close()
        service.reactor.callLater(FLUSH_S, service.reactor.stop)
