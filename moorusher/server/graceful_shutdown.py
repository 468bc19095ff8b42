"""Graceful shutdown: the notice to front ends, the time in which requests are still served, the last answers, the end.

SIGTERM leads to `GracefulShutdown.drain`, or to `finish` where another process of the runner serves on:

1. Announcing ends and health checks answer no at once.
2. Clients are still accepted for a part of the time, since front ends learn of the notice late (`drain` alone).
3. The listening sockets close; what was read is answered.
4. Once nothing is owed and the connections are quiet, or just before the process would be killed, it ends.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from moorusher.scheduling.draining import SERVE_FRACTION

from ..time_units import MS

if TYPE_CHECKING:
    from .server import Service

log = logging.getLogger("moorusher")

QUIET_US = 250 * MS  # silence on all connections after which those that are left are closed
KILL_MARGIN_US = 60 * MS  # the process has ended so long before the time at which it would be killed
FLUSH_S = 0.03  # for bytes written last to leave the process
# SIGKILL may come this long after SIGTERM: the longest deadline, bounded by the first, and the second.
MAX_KILL_DEADLINE_MS = 3_000.0
KILL_GRACE_MS = 700.0
CLIENT_LISTENERS = ("listen", "uwsgi")  # health checks and administration are answered to the end


class GracefulShutdown:
    """Shuts one process of a runner down, once."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._ended = False
        self._active_at_us = 0  # when a request was last owed an answer, or clients were still accepted

    def drain(self) -> None:
        """Begin to leave with nobody who serves on. No effect where the process leaves already."""
        service = self._service
        core = service.core
        if core.drain_state.shutting_down:
            return
        stop_ms = min(service.config.stop_ms, self._earliest_kill_ms())
        log.info("leaving within %.0f ms", stop_ms)
        core.drain(stop_ms)
        if service.announcer is not None:
            service.announcer.stop()
        # Front ends learn of it seconds late, and whoever takes over is cold: connections are still accepted.
        accept_ms = min(core.settings.drain_grace_ms, SERVE_FRACTION * stop_ms)
        core.alarms.at(core.clock.now + round(accept_ms * MS), self._close_client_listeners)
        self._end_within(stop_ms)

    def finish(self) -> None:
        """Begin to leave as another process serves on. No effect where the process leaves already."""
        core = self._service.core
        if core.drain_state.shutting_down:
            return
        stop_ms = self._earliest_kill_ms()
        log.info("replaced: ends within %.0f ms", stop_ms)
        core.drain(stop_ms, replaced=True)
        self._end_within(stop_ms)

    def _earliest_kill_ms(self) -> float:
        """The shortest time from SIGTERM to SIGKILL."""
        longest_deadline = max(c.deadline_ms for c in self._service.core.settings.classes)
        return min(longest_deadline, MAX_KILL_DEADLINE_MS) + KILL_GRACE_MS

    def _end_within(self, stop_ms: float) -> None:
        core = self._service.core
        self._active_at_us = core.clock.now
        core.hooks.turn_ended_while_draining = self._end_if_quiet
        core.alarms.at(core.clock.now + round(stop_ms * MS) - KILL_MARGIN_US, self.end)
        self._schedule_check()

    def _schedule_check(self) -> None:
        """Keep the core's turns coming: `_end_if_quiet` is called at the end of each."""
        core = self._service.core
        core.alarms.at(core.clock.now + QUIET_US, self._schedule_check)

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
        """Whether answers are owed, clients are accepted, or work is under way that others wait for."""
        service = self._service
        core = service.core
        accepts = bool(service.listeners.accepting() & set(CLIENT_LISTENERS))
        hands_results_over = bool(core.drain_state.replaced and len(core.runs))
        replication = service.cluster.replication
        return bool(
            core.table.unanswered
            or accepts
            or hands_results_over
            or (replication is not None and replication.is_busy)
        )

    def _end_if_quiet(self) -> None:
        """End once all is answered, and front ends have closed their connections or say nothing more on them."""
        now = self._service.core.clock.now
        if self._is_busy():
            self._active_at_us = now
            return
        connections = self._client_connections()
        if not connections:
            self.end()
            return
        is_reading = any(
            c.reading for c in connections
        )  # a message that has begun may still become a request
        heard_at_us = max((c.last_activity_us for c in self._service.jsonrpc.connections), default=0)
        if not is_reading and now - max(self._active_at_us, heard_at_us) >= QUIET_US:
            self.end()

    def end(self) -> None:
        """Answer what has come until now, close everything and stop the event loop."""
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
            connection.read_pending_input()  # a request that came in this moment is not closed over
        service.core.answer_all()
        for connection in connections:
            connection.close()  # after what is written has gone out
        if service.hot_restart is not None:
            service.hot_restart.close()
        if service.cluster.replication is not None:
            service.cluster.replication.close()
        service.kernel.close()
        service.reactor.callLater(FLUSH_S, service.reactor.stop)
