"""How much the table of idempotency keys may hold, by the limit on the process's memory."""

from __future__ import annotations

MAX_ENTRIES = 8_000
MAX_RESULT_BYTES = 40_000_000
PROCESS_BYTES = 26_000_000  # what the program takes with its connections, before any key
ENTRY_BYTES = 1_000  # of an entry without its result
MIN_TABLE_BYTES = 2_000_000  # kept for the table however little the process may take


class KeyTableLimits:
    """The limits of one table.

    Attributes:
        max_result_bytes: of cached results.
        max_entries: of keys.
    """

    def __init__(self, memory_mb: float) -> None:
        self.set_memory_limit(memory_mb)
        self._max_remote_bytes: int | None = None  # up to here results of the other process are cached

    def set_memory_limit(self, memory_mb: float) -> None:
        """The limit of the process, or of two of them while one replaces the other."""
        # Half of what is left, since Python gives freed memory back late.
        available = max(MIN_TABLE_BYTES, round(memory_mb * 1e6 - PROCESS_BYTES) // 2)
        self.max_result_bytes = min(MAX_RESULT_BYTES, available * 2 // 3)
        self.max_entries = min(MAX_ENTRIES, available // 3 // ENTRY_BYTES)
        self._both_tables_bytes = max(2 * MIN_TABLE_BYTES, round(memory_mb * 1e6) - 2 * PROCESS_BYTES) // 2

    def share_memory_with(self, size_bytes: int | None) -> None:
        """Another process of this runner has a table of that size, under the same limit; None: there is none."""
        if size_bytes is None:
            self._max_remote_bytes = None
        else:
            self._max_remote_bytes = max(0, self._both_tables_bytes - 2 * size_bytes)

    def reached(self, entries: int, result_bytes: int) -> bool:
        """A table with so much in it takes no further key."""
        return entries >= self.max_entries or result_bytes >= self.max_result_bytes

    def allows_remote_result(self, result_bytes: int) -> bool:
        """A table with so much in it caches a further result of the other process: without it a retry here fails, and
        nothing runs twice."""
        if self._max_remote_bytes is None:
            return result_bytes < self.max_result_bytes
        return result_bytes < min(self.max_result_bytes, self._max_remote_bytes)
