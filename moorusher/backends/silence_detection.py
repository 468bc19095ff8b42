"""Detection of silent connections, which must be replaced: a peer can fail without closing its connection.

A silent peer is first asked for an answer. If it remains silent, its connection is suspected, and checked once more
shortly after: if this process itself was paused, data from the peer is still waiting to be read.
"""

from __future__ import annotations

from enum import Enum

from ..time_units import MS, SECOND

PROBE_AFTER_US = SECOND  # Time without data after which the peer is asked for an answer.
MAX_SILENCE_US = 3 * SECOND  # Time without data after which the connection is suspected.
CONFIRM_AFTER_US = 250 * MS  # Time until a suspected connection is checked again.


class SilenceVerdict(Enum):
    """Result of a check of a connection: whether to keep, probe or replace it."""

    ALIVE = "alive"
    PROBE = "probe"  # Ask the peer for an answer.
    REPLACE = "replace"  # The connection was silent for too long in two consecutive checks.


class SilenceDetection:
    """Monitors one connection at a time. All times are in microseconds."""

    def __init__(self) -> None:
        self._last_data_at = 0
        self._is_suspected = False  # Whether the connection was silent for too long at the last check.

    def restart(self, now: int) -> None:
        """Start monitoring a new connection."""
        self._last_data_at = now
        self._is_suspected = False

    def data_received(self, now: int) -> None:
        """Record that data has arrived."""
        self._last_data_at = now
        self._is_suspected = False

    def silent_for(self, now: int) -> int:
        """Return the time since data last arrived."""
        return now - self._last_data_at

    def check(self, now: int, may_suspect: bool, may_replace: bool) -> SilenceVerdict:
        """Check the connection. The next check is due after `next_check_after`.

        :param may_suspect: False while the peer may legitimately be silent.
        :param may_replace: False while a replacement is being established.
        """
        silence = self.silent_for(now)
        was_suspected = self._is_suspected
        self._is_suspected = may_suspect and silence >= MAX_SILENCE_US
        if self._is_suspected and was_suspected and may_replace:
            return SilenceVerdict.REPLACE
        return SilenceVerdict.PROBE if silence >= PROBE_AFTER_US else SilenceVerdict.ALIVE

    def next_check_after(self) -> int:
        """Return the time until the next check."""
        return CONFIRM_AFTER_US if self._is_suspected else PROBE_AFTER_US
