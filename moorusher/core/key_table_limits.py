"""Limits on the size of the idempotency key table, derived from the memory limit of the process."""

from __future__ import annotations

MAX_ENTRIES = 8_000
MAX_RESULT_BYTES = 40_000_000
BASE_PROCESS_BYTES = 26_000_000  # memory of the program and its connections, without keys
ENTRY_BYTES = 1_000  # size of an entry without its result
MIN_TABLE_BYTES = 2_000_000  # reserved for the table even under a lower memory limit


class KeyTableLimits:
    """Limits of one table.

    Attributes:
        max_result_bytes: Maximum total size of the cached results.
        max_entries: Maximum number of keys.
    """

    def __init__(self, memory_mb: float) -> None:
        self.set_memory_limit(memory_mb)
        # Total size of cached results above which results of the other process are not cached. None: there is no other
        # process.
        self._max_remote_bytes: int | None = None

    def set_memory_limit(self, memory_mb: float) -> None:
        """Set the memory limit of the process, or of both processes while one replaces the other."""
        # Half of the remaining memory, since Python returns freed memory to the system late.
        available = max(MIN_TABLE_BYTES, round(memory_mb * 1e6 - BASE_PROCESS_BYTES) // 2)
        self.max_result_bytes = min(MAX_RESULT_BYTES, available * 2 // 3)
        self.max_entries = min(MAX_ENTRIES, available // 3 // ENTRY_BYTES)
        self._both_tables_bytes = (
            max(2 * MIN_TABLE_BYTES, round(memory_mb * 1e6) - 2 * BASE_PROCESS_BYTES) // 2
        )

    def share_memory_with(self, size_bytes: int | None) -> None:
        """Account for another process's table of this size under the same limit; None: there is no other process."""
        if size_bytes is None:
            self._max_remote_bytes = None
        else:
            self._max_remote_bytes = max(0, self._both_tables_bytes - 2 * size_bytes)

    def reached(self, entries: int, result_bytes: int) -> bool:
        """Return whether a table of this size accepts no more keys."""
        return entries >= self.max_entries or result_bytes >= self.max_result_bytes

    def allows_remote_result(self, result_bytes: int) -> bool:
        """Return whether a table with cached results of this size may cache another one of the other process."""
        # A retry of a request whose result is not cached fails, but does not run again.
        if self._max_remote_bytes is None:
            return result_bytes < self.max_result_bytes
        return result_bytes < min(self.max_result_bytes, self._max_remote_bytes)
