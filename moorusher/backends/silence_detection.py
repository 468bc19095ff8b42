"""When a connection that has been silent is replaced: a peer can die without a word, and then nothing arrives at it.

Inputs: when data came last, and the time now. A silent connection is asked first. One that stays silent is doubted, and
looked at once more shortly after: where this process itself was paused, what the peer sent waits unread meanwhile.
"""

from __future__ import annotations

from enum import Enum

from ..time_units import MS, SECOND

PROBE_AFTER_US = SECOND  # without data, the peer is asked for an answer
MAX_SILENCE_US = 3 * SECOND  # without data, the connection is doubted
CONFIRM_AFTER_US = 250 * MS  # in doubt, until it is looked at once more


class SilenceVerdict(Enum):
    """What to do about a connection."""

    ALIVE = "alive"
    PROBE = "probe"  # ask for an answer
    REPLACE = "replace"  # it has been silent for too long, twice


class SilenceDetection:
    """Watches one connection at a time; times in microseconds."""

    def __init__(self) -> None:
        """Call `restart` with each new connection."""
        self._last_data_at = 0
        self._is_doubted = False  # it was silent for too long when it was last checked

    def restart(self, now: int) -> None:
        """A new connection was made."""
        self._last_data_at = now
        self._is_doubted = False

    def data_received(self, now: int) -> None:
        """Data have come, whatever they are."""
        self._last_data_at = now
        self._is_doubted = False

    def silent_for(self, now: int) -> int:
        """Return how long no data have come."""
        return now - self._last_data_at

    def check(self, now: int, may_doubt: bool, may_replace: bool) -> SilenceVerdict:
        """Judge the connection; call it again after `next_check_after`.

        `may_doubt`: False while the peer may rightly be silent. `may_replace`: False while a replacement is being made.
        """
        silence = self.silent_for(now)
        was_doubted = self._is_doubted
        self._is_doubted = may_doubt and silence >= MAX_SILENCE_US
        if self._is_doubted and was_doubted and may_replace:
            return SilenceVerdict.REPLACE
        return SilenceVerdict.PROBE if silence >= PROBE_AFTER_US else SilenceVerdict.ALIVE

    def next_check_after(self) -> int:
        """Return in how many microseconds to check again."""
        return CONFIRM_AFTER_US if self._is_doubted else PROBE_AFTER_US
