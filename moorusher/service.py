"""One runner: its core, fronts and links put together, started, drained and ended."""

from __future__ import annotations

import gc
import logging
import signal
from typing import Any

from .config import Config
from .core.call import Calls, NoCalls
from .core.clock import MS, Alarms, Clock
from .core.decide import Decider
from .fronts.jsonrpc import JsonRpcFront
from .links.announce import Announcer
from .links.database import DatabasePool
from .links.kernel import KernelLink
from .loop import LoopTimer

log = logging.getLogger("moorusher")

QUIET = 250 * MS  # without a word from any front end, before the connections that are left are closed
LAST = 60 * MS  # before the time at which it would be killed, the program is gone in any case
SPARE_SOCKETS = 160  # descriptors for the calls below, the links, the listening sockets and the interpreter


class Service:
    def __init__(self, config: Config, reactor: Any) -> None:
        self.config, self.reactor = config, reactor
        self.clock = Clock()
        self.timer = LoopTimer(reactor, lambda: self.core.ring())
        self.alarms = Alarms(self.clock, self.timer.arm)
        self.kernel = KernelLink(reactor, config.kernel)
        self.database = DatabasePool(reactor, config.db) if config.db else None
        calls: Calls = self.database or NoCalls()
        self.core = Decider(config.settings, self.clock, self.alarms, self.kernel, calls,
                            lambda f: reactor.callLater(0, f))
        self.kernel.core = self.core
        if self.database is not None:
            self.database.core = self.core
        self.announcer = Announcer(reactor, config.announce, config.name) if config.announce else None
        self.front = JsonRpcFront(self.core, max(16, config.limits.sockets - SPARE_SOCKETS))
        self.core.trim = self.front.trim
        self.port: Any = None
        self._ended = False
        self._heard = 0

    def start(self) -> None:
        self.port = self.reactor.listenTCP(self.config.listen[1], self.front, backlog=1024,
                                           interface=self.config.listen[0])
        self.kernel.start()
        if self.announcer is not None:
            self.announcer.core = self.core
            self.announcer.start()
        log.info("%s listens on %s:%d", self.config.name, *self.config.listen)

    # ---- leaving ----

    def drain(self) -> None:
        if self.core.draining:
            return
        log.info("leaving within %.0f ms", self.config.stop_ms)
        self.core.drain(self.config.stop_ms)
        self._heard = self.clock.now
        self.core.settled = self._settled
        if self.announcer is not None:
            self.announcer.stop()
        self.front.leave()
        self._stop_listening()
        self.alarms.at(self.clock.now + round(self.config.stop_ms * MS) - LAST, self.end)
        self._look_again()

    def _stop_listening(self) -> None:
        """A connection that waits to be accepted may have a request on it: closing would lose that one."""
        port, self.port = self.port, None
        if port is not None:
            port.numberAccepts = 1024
            port.doRead()
            port.stopListening()

    def _look_again(self) -> None:
        self.alarms.at(self.clock.now + QUIET, self._look_again)

    def _settled(self) -> None:
        """Once all is answered, and front ends have closed their connections or say nothing more on them."""
        if self.core.owed:
            self._heard = self.clock.now
            return
        heard = max((c.active for c in self.front.connections), default=0)
        if not self.front.connections or self.clock.now - max(self._heard, heard) >= QUIET:
            self.end()

    def end(self) -> None:
        if self._ended:
            return
        self._ended = True
        for connection in list(self.front.connections):
            connection.transport.loseConnection()  # what is written goes out first
        self.kernel.close()
        self.reactor.callLater(0.03, self.reactor.stop)

    def counters(self) -> str:
        return "; ".join(self.core.counters.lines())


def serve(config: Config, reactor: Any) -> None:
    service = Service(config, reactor)
    # A signal may come between any two instructions: the loop's own waker brings it into a turn.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(service.drain))
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(
        lambda: log.info("counters: %s", service.counters())))
    reactor.callWhenRunning(service.start)
    gc.collect()
    gc.freeze()  # what was imported lives as long as the process: no need to walk it again
    reactor.run(installSignalHandlers=False)
    log.info("counters: %s", service.counters())
