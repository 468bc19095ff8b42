"""The event loop: Twisted's epoll reactor on the monotonic clock, and the one timer behind `Alarms`."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet import epollreactor, main


class MonotonicReactor(epollreactor.EPollReactor):
    """Twisted's own timers follow the Unix clock: a step of it would hold back or hurry every wait."""

    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """Before anything imports `twisted.internet.reactor`."""
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]
    main.installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor


class LoopTimer:
    """Wakes the core at the time of its earliest alarm."""

    def __init__(self, reactor: Any, ring: Callable[[], None]) -> None:
        self._reactor, self._ring = reactor, ring
        self._call: Any = None

    def arm(self, when: int) -> None:
        if self._call is not None:
            self._call.cancel()
        self._call = self._reactor.callLater(max(0.0, when / 1e6 - time.monotonic()), self._due)

    def _due(self) -> None:
        self._call = None
        self._ring()
