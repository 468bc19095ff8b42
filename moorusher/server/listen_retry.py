"""Retry of opening listening sockets at the start of a process."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..core.clock import Alarms, Clock
from ..rate_limited_log import RateLimitedLog
from ..time_units import MS, SECOND
from ..transient_errors import is_transient

LISTEN_RETRY_US = 100 * MS
# Timeout for an address in use. A new process must answer health checks within 6 s.
ADDRESS_TIMEOUT_US = 4 * SECOND
CAPACITY_TIMEOUT_US = 20 * SECOND  # Timeout for a system without capacity for a socket.

log = logging.getLogger("moorusher")
_rate_limited_log = RateLimitedLog(log)


class ListenRetry:
    """Retries to open a socket until a timeout.

    Attributes:
        failing_since_us: Time of the first failure since the last success, or None.
    """

    # Two kinds of failure are temporary. If a process of an older build, which does not share its address, has the
    # address, it may exit soon. If the system has no free descriptor or memory, it may soon have some. A process that
    # never gets its socket must exit with an error rather than remain up but unreachable.

    def __init__(self, clock: Clock, alarms: Alarms) -> None:
        self._clock = clock
        self._alarms = alarms
        self.failing_since_us: int | None = None

    def succeeded(self) -> None:
        """Record that the sockets are open, so that a later failure has the whole timeout."""
        self.failing_since_us = None

    def failed(self, error: OSError, attempt: Callable[[], None]) -> bool:
        """Schedule `attempt` after a failure; `clock.now` must be the time of the current turn.

        :returns: whether the attempt was scheduled; False once the timeout for this error has expired.
        """
        now = self._clock.now
        if self.failing_since_us is None:
            self.failing_since_us = now
        timeout = CAPACITY_TIMEOUT_US if is_transient(error) else ADDRESS_TIMEOUT_US
        if now - self.failing_since_us >= timeout:
            log.error("could not start: %s", error)
            return False
        _rate_limited_log.write(logging.WARNING, "listen", "can't listen yet: %s", error)
        self._alarms.at(now + LISTEN_RETRY_US, attempt)
        return True
