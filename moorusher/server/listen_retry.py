"""Retries to open listening sockets at the start of a process."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..core.clock import Alarms, Clock
from ..rate_limited_log import RateLimitedLog
from ..time_units import MS, SECOND
from ..transient_errors import is_transient

LISTEN_RETRY_US = 100 * MS
ADDRESS_TIMEOUT_US = (
    4 * SECOND
)  # for an address that is not free: a new process answers health checks within 6 s
CAPACITY_TIMEOUT_US = 20 * SECOND  # for a system that has no capacity for a socket

log = logging.getLogger("moorusher")
_limited = RateLimitedLog(log)


class ListenRetry:
    """Tries again to open a socket, within a timeout.

    Guards against two failures: an older build beside this one does not share its address and ends soon; a system
    out of descriptors or memory may have some soon. A process that never gets its socket must end and say so, rather
    than stay up unreachable.
    """

    def __init__(self, clock: Clock, alarms: Alarms) -> None:
        self._clock = clock
        self._alarms = alarms
        self.failing_since_us: int | None = None  # None while no attempt has failed since the last success

    def succeeded(self) -> None:
        """The sockets are open: a later failure has the whole timeout again."""
        self.failing_since_us = None

    def failed(self, error: OSError, attempt: Callable[[], None]) -> bool:
        """Schedule `attempt`. Returns False, and schedules nothing, once the timeout for this error is over.

        `clock.now` must be that of the present turn.
        """
        now = self._clock.now
        if self.failing_since_us is None:
            self.failing_since_us = now
        timeout = CAPACITY_TIMEOUT_US if is_transient(error) else ADDRESS_TIMEOUT_US
        if now - self.failing_since_us >= timeout:
            log.error("could not start: %s", error)
            return False
        _limited.write(logging.WARNING, "listen", "can't listen yet: %s", error)
        self._alarms.at(now + LISTEN_RETRY_US, attempt)
        return True
