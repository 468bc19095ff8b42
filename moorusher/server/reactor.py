"""The event loop: Twisted's epoll reactor on the monotonic clock, and the timer behind the core's alarms."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet import epollreactor, main

from ..transient_errors import retry_transient

REACTOR_START_TIMEOUT_S = 15.0


class MonotonicReactor(epollreactor.EPollReactor):
    """Twisted's own timers follow the Unix clock: a step of it would delay or hurry every wait."""

    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """Install the reactor, before anything imports `twisted.internet.reactor`.

    :raises OSError: the system had no descriptor for it within `REACTOR_START_TIMEOUT_S`.
    """
    reactor = retry_transient(MonotonicReactor, REACTOR_START_TIMEOUT_S)
    main.installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor


class LoopTimer:
    """The one timer of the event loop that the core's alarms use.

    :param ring: called at the time of the earliest alarm.
    """

    def __init__(self, reactor: Any, ring: Callable[[], None]) -> None:
        self._reactor = reactor
        self._ring = ring
        self._call: Any = None  # the delayed call, while one is due

    def arm(self, when_us: int) -> None:
        """Call `ring` at this time of the monotonic clock, in microseconds, and at no other."""
        if self._call is not None:
            self._call.cancel()
        self._call = self._reactor.callLater(max(0.0, when_us / 1e6 - time.monotonic()), self._fire)

    def _fire(self) -> None:
        self._call = None
        self._ring()
