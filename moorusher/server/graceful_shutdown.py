"""How a runner goes: the notice, the time in which it still serves, its last answers, its end."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from moorusher.scheduling.balancer import SERVE_ON

from ..core.clock import MS

if TYPE_CHECKING:
    from .server import Service

log = logging.getLogger("moorusher")

QUIET = 250 * MS  # without a word from any front end, before the connections that are left are closed
LAST = 60 * MS  # before the time at which it would be killed, the program is gone in any case
FLUSH_S = 0.03  # for what was written last to go out
# SIGKILL may come so long after SIGTERM: the longest deadline, at most the first, and the second.
KILL_MOST_MS, KILL_MORE_MS = 3_000.0, 700.0
CLIENT_LISTENERS = ("listen", "uwsgi")  # health and administration stay open to the end


class Departure:
    """One runner's, or that of one process of it where another serves on."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._ended = False
        self._heard = 0  # when something last came, or was owed

    def leave(self) -> None:
        """The notice to leave, for the runner as a whole."""
        service, core = self._service, self._service.core
        if core.leaving:
            return
        stop_ms = min(service.config.stop_ms, self._earliest_kill_ms())
        log.info("leaving within %.0f ms", stop_ms)
        core.drain(stop_ms)
        if service.announcer is not None:
            service.announcer.stop()
        # Front ends learn of it seconds late, and whoever takes over is cold: connections are still accepted.
        on = min(core.settings.drain_grace_ms, SERVE_ON * stop_ms)
        core.alarms.at(core.clock.now + round(on * MS), self._close_listeners)
        self._leave_within(stop_ms)

    def finish(self) -> None:
        """Another process serves on: what was read is answered, and nobody is told to keep away."""
        core = self._service.core
        if core.leaving:
            return
        left = self._earliest_kill_ms()
        log.info("replaced: ends within %.0f ms", left)
        core.drain(left, replaced=True)
        self._leave_within(left)

    def _earliest_kill_ms(self) -> float:
        """After SIGTERM."""
        longest = max(c.deadline_ms for c in self._service.core.settings.classes)
        return min(longest, KILL_MOST_MS) + KILL_MORE_MS

    def _leave_within(self, ms: float) -> None:
        core = self._service.core
        self._heard = core.clock.now
        core.settled = self._settled
        core.alarms.at(core.clock.now + round(ms * MS) - LAST, self.end)
        self._look_again()

    def _look_again(self) -> None:
        core = self._service.core
        core.alarms.at(core.clock.now + QUIET, self._look_again)

    def _close_listeners(self) -> None:
        service = self._service
        self._heard = service.clock.now
        service.reporter.stop_accepting()
        service.front.leave()
        service.serving = False
        for label in CLIENT_LISTENERS:
            service.listeners.close(label)

    def _connections(self) -> list[Any]:
        return [*self._service.front.connections, *self._service.uwsgi.connections]

    def _settled(self) -> None:
        """Once all is answered, and front ends have closed their connections or say nothing more on them."""
        service, core = self._service, self._service.core
        accepting = service.listeners.accepting() & set(CLIENT_LISTENERS)
        runs = core.replaced and len(core.runs)  # their results go to the one that serves on
        if core.owed or accepting or runs or (service.fleet is not None and service.fleet.is_busy):
            self._heard = core.clock.now
            return
        heard = max((c.active for c in service.front.connections), default=0)
        left = self._connections()
        reading = any(c.reading for c in left)  # a message that has begun may still become a request
        if not left or (not reading and core.clock.now - max(self._heard, heard) >= QUIET):
            self.end()

    def end(self) -> None:
        """What has come until now is answered, then everything closes."""
        if self._ended:
            return
        self._ended = True
        service = self._service
        if service.keeper is not None:
            service.keeper.stop()
        if not service.core.replaced:
            self._close_listeners()
        connections = self._connections()
        for connection in connections:
            connection.read_rest()  # a request that came in this moment is not closed over
        service.core.answer_all()
        for connection in connections:
            connection.close()  # what is written goes out first
        if service.succession is not None:
            service.succession.close()
        if service.fleet is not None:
            service.fleet.close()
        service.kernel.close()
        service.reactor.callLater(FLUSH_S, service.reactor.stop)
