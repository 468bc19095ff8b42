"""Keys that the two processes of one runner report to each other during a hot restart.

A new process receives all keys that this process knows, also those of processes that have exited, so that a key
outlasts any number of replacements within its window.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

from .clock import Clock
from .idempotency_keys import IdempotencyKey, IdempotencyKeyTable, KeyEntry, KeyOwner
from .requests import RequestTable

log = logging.getLogger("moorusher")


class PeerKeys:
    """Records the other process's attempts in this process's key table, and yields the entries that it needs."""

    def __init__(
        self,
        keys: IdempotencyKeyTable,
        table: RequestTable,
        clock: Clock,
        share_result: Callable[[int, bytes | None], None],
    ) -> None:
        """:param share_result: answers a request that waited for another attempt's result."""
        self._keys = keys
        self._table = table
        self._clock = clock
        self._share_result = share_result
        self._received = 0  # entries of the current snapshot that have been received

    # ---- attempts of the other process ----

    def reserve(self, key: IdempotencyKey, body_digest: int, expires_us: int) -> KeyEntry:
        """Add a key for an attempt of the other process."""
        number = self._table.allocate_number()
        return self._keys.reserve(key, number, body_digest, expires_us, KeyOwner.PEER)

    def released(self, key: IdempotencyKey) -> None:
        """Free the key of the other process's attempt, which never ran, and fail the requests that wait for it."""
        entry = self._keys.find(key, self._clock.now)
        if entry is not None and entry.owner is KeyOwner.PEER and not entry.finished:
            for waiter in self._keys.release_remote(entry):
                self._share_result(waiter, None)

    def finished(self, key: IdempotencyKey, body_digest: int, expires_us: int, result: bytes | None) -> None:
        """Record the end of a run of the other process."""
        entry = self._find_or_reserve(key, body_digest, expires_us)
        if entry is not None and entry.remote:  # this process's own state of its own key is authoritative
            self._finish(entry, result)

    def end_all(self, died: bool) -> None:
        """End the other process's open attempts, since it has disconnected.

        :param died: whether the other process died; else it has rejected its open requests.
        """
        # Open attempts of a dead process may have run, so their keys are finished without a result and can't run again
        # in their window. The keys of rejected requests are freed. All others are handed on to the next process.
        for entry in self._keys.entries():
            if entry.owner is not KeyOwner.PEER:
                continue
            entry.owner = KeyOwner.ELSEWHERE
            if entry.finished:
                continue
            for waiter in self._keys.finish(entry.number, None) if died else self._keys.release_remote(entry):
                self._share_result(waiter, None)

    def _find_or_reserve(self, key: IdempotencyKey, body_digest: int, expires_us: int) -> KeyEntry | None:
        """Return the entry of a key that the other process has reported, or None if the table has no room for it."""
        keys = self._keys
        entry = keys.find(key, self._clock.now)
        if entry is not None:
            if entry.remote:  # the window was extended when the run started
                keys.extend(entry.number, expires_us)
            return entry
        if len(keys) >= keys.limits.max_entries:  # results of other processes are optional, and don't count
            # This process's memory limit may be lower than the other one's. Until the key expires, keys that are not in
            # the table are rejected.
            keys.dropped_until = max(keys.dropped_until, expires_us)
            return None
        return self.reserve(key, body_digest, expires_us)

    def _finish(self, entry: KeyEntry, result: bytes | None) -> None:
        for waiter in self._keys.finish(entry.number, result):
            self._share_result(waiter, entry.result)

    # ---- the whole table ----

    def snapshot(self) -> Iterator[KeyEntry]:
        """Iterate over the entries that the other process needs, also those of processes that have exited."""
        # Each entry is current at the time it is yielded. Later changes are sent as messages of their own.
        sent = 0
        withheld = 0
        for entry in self._keys.entries():
            if self._is_needed(entry):
                sent += 1
                yield entry
            else:
                withheld += 1
        log.info("hot restart: sent the key table: keys=%d withheld=%d", sent, withheld)

    def _is_needed(self, entry: KeyEntry) -> bool:
        # An entry that was removed while the snapshot was sent, because its attempt never ran, would never end at the
        # other process. Open attempts of other runners are recorded by the cluster, which each process asks itself.
        if self._keys.of_attempt(entry.number) is not entry or entry.owner is KeyOwner.PEER:
            return False
        return entry.owner is KeyOwner.THIS_PROCESS or entry.finished

    def snapshot_entry(
        self, key: IdempotencyKey, body_digest: int, expires_us: int, finished: bool, result: bytes | None
    ) -> None:
        """Store an entry of the other process's snapshot."""
        self._received += 1
        entry = self._find_or_reserve(key, body_digest, expires_us)
        if finished and entry is not None and entry.remote:
            self._finish(entry, result)

    def snapshot_complete(self) -> None:
        """Log the size of the key table once the other process's snapshot has been stored."""
        log.info("hot restart: received the key table: keys=%d stored=%d", self._received, len(self._keys))
        self._received = 0
