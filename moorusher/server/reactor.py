"""The event loop: Twisted's epoll reactor with the monotonic clock, and the timer for the core's alarms."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet import epollreactor, main

from ..transient_errors import retry_transient

REACTOR_START_TIMEOUT_S = 15.0


class MonotonicReactor(epollreactor.EPollReactor):
    """An epoll reactor whose timers use the monotonic clock."""

    # By default, Twisted's timers use the system clock, and a step of that clock would delay or advance every timer.
    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """Install the reactor; must be called before any import of `twisted.internet.reactor`.

    :raises OSError: the system had no free descriptor within `REACTOR_START_TIMEOUT_S`.
    """
    reactor = retry_transient(MonotonicReactor, REACTOR_START_TIMEOUT_S)
    main.installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor


class LoopTimer:
    """The single timer of the event loop that serves all alarms of the core.

    :param on_expired: called at the time of the earliest alarm.
    """

    def __init__(self, reactor: Any, on_expired: Callable[[], None]) -> None:
        self._reactor = reactor
        self._on_expired = on_expired
        self._call: Any = None  # The scheduled delayed call, if any.

    def arm(self, when_us: int) -> None:
        """Set the timer to this time of the monotonic clock; replaces an earlier setting."""
        if self._call is not None:
            self._call.cancel()
        self._call = self._reactor.callLater(max(0.0, when_us / 1e6 - time.monotonic()), self._fire)

    def _fire(self) -> None:
        self._call = None
        self._on_expired()
