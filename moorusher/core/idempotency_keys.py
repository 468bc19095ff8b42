"""The table of idempotency keys: the attempt that has each key, how long the key counts, the cached result.

A key counts for the whole window of its class, so that no two attempts of one request run within it.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from moorusher.time_units import MS, SECOND

from .key_table_limits import ENTRY_BYTES, KeyTableLimits

# Tenant, by name, and token: tenants never share results. Not the class: where new settings put one class in another's
# place, front ends send retries of an open request under the new name.
IdempotencyKey = tuple[str | None, str]

# The window counts from t0 of the attempt that ran to the writing of a retry, with 50 ms on top; a retry may also lie
# unread for a while. Serving a cached result late is allowed, a second run is not.
MARGIN = 2 * SECOND
RECHECK = SECOND  # how long an attempt that is still open keeps a key whose window has passed, at a time


@dataclass(slots=True, eq=False)
class KeyEntry:
    """A key, the attempt that has it, and what became of that attempt.

    Attributes:
        number: the attempt that has the key.
        body_digest: of the body that all attempts share; see `digest`.
        expires_us: the key is not free before then, nor while its attempt is open.
        started: the attempt runs or has run, or may have.
        finished: its outcome is known.
        result: cached where the run succeeded.
        waiters: numbers of the requests that wait for the result.
        remote: another process or runner has the key; it counts as started, since it may have been.
        former_numbers: numbers of the attempts that had the key before.
    """

    key: IdempotencyKey
    number: int
    body_digest: int
    expires_us: int = 0
    started: bool = False
    finished: bool = False
    result: bytes | None = None
    waiters: list[int] = field(default_factory=list)
    remote: bool = False
    former_numbers: list[int] = field(default_factory=list)

    def pass_to(self, number: int, remote: bool) -> None:
        """Another attempt has the key from now on."""
        self.former_numbers.append(self.number)
        self.number = number
        self.remote = remote
        self.started = remote


class KeyObserver(Protocol):
    """Is notified of the end of this process's own attempts."""

    def key_released(self, entry: KeyEntry) -> None:
        """The attempt is over and never ran: its key is free again."""

    def key_finished(self, entry: KeyEntry) -> None:
        """The run is over; `entry.result` is its result, None where it failed."""


def digest(body: bytes) -> int:
    """A hash that is the same in each process, as Python's own is not."""
    return xxhash.xxh64_intdigest(body)


def window_end(arrived_us: int, window_ms: float) -> int:
    """Until when the key of a request counts that arrived then, in us."""
    return arrived_us + round(window_ms * MS) + MARGIN


class IdempotencyKeyTable:
    """All keys that count. Entries that have expired are removed as new ones come: there is no timer.

    Attributes:
        limits: how much it may hold.
        result_bytes: of results cached now.
        observers: notified of the end of own attempts.
        unknown_until: before this time (us) a key that is new here may have run in a process that is gone.
    """

    def __init__(self, memory_mb: float = 192.0) -> None:
        self.limits = KeyTableLimits(memory_mb)
        self._by_key: dict[IdempotencyKey, KeyEntry] = {}
        self._by_number: dict[int, KeyEntry] = {}
        # (expires_us, number of the attempt); stale where the entry's own time is later
        self._expiry_heap: list[tuple[int, int]] = []
        self.result_bytes = 0
        self.observers: list[KeyObserver] = []
        self.unknown_until = 0

    def __len__(self) -> int:
        return len(self._by_key)

    @property
    def size_bytes(self) -> int:
        """About what the whole table takes."""
        return self.result_bytes + len(self._by_key) * ENTRY_BYTES

    def is_full(self) -> bool:
        """No further key may be entered. Cached results stay where the limit was lowered."""
        return self.limits.reached(len(self._by_key), self.result_bytes)

    # ---- look-ups ----

    def find(self, key: IdempotencyKey, now: int) -> KeyEntry | None:
        """The entry of a key that counts at this time."""
        self._remove_expired(now)
        return self._by_key.get(key)

    def entries(self) -> list[KeyEntry]:
        """All entries, as they are now."""
        return list(self._by_key.values())

    def of_attempt(self, number: int) -> KeyEntry | None:
        """The entry whose key this attempt has, or had before another attempt got it."""
        return self._by_number.get(number)

    # ---- who has a key ----

    def reserve(
        self, key: IdempotencyKey, number: int, body_digest: int = 0, expires_us: int = 0
    ) -> KeyEntry:
        """An attempt of this process has the key from the moment that it is read, so that a retry in the same turn is
        known as one."""
        entry = KeyEntry(key, number, body_digest)
        self._by_key[key] = entry
        self._by_number[number] = entry
        self.extend(number, expires_us)
        return entry

    def reserve_remote(self, key: IdempotencyKey, number: int, body_digest: int, expires_us: int) -> KeyEntry:
        """Another process has the key from now on."""
        entry = self.reserve(key, number, body_digest, expires_us)
        entry.remote = True
        entry.started = True
        return entry

    def cede(self, entry: KeyEntry, number: int, body_digest: int, expires_us: int) -> None:
        """An attempt of this process gives the key up to a remote one, `number`, and goes on as its retry."""
        entry.body_digest = body_digest
        entry.pass_to(number, remote=True)
        self._by_number[number] = entry
        self.extend(number, expires_us)

    def take_over(self, entry: KeyEntry, number: int, expires_us: int) -> None:
        """A remote attempt's key passes to this process's attempt `number`. Waiters for the result go on waiting."""
        entry.pass_to(number, remote=False)
        self._by_number[number] = entry
        self.extend(number, expires_us)

    def release_remote(self, entry: KeyEntry) -> list[int]:
        """The remote attempt never ran: its key is free again. Returns who waited for its result."""
        self._remove(entry)
        return entry.waiters

    # ---- how long a key counts ----

    def extend(self, number: int, expires_us: int) -> None:
        """The key of this attempt counts until then at least."""
        entry = self._by_number.get(number)
        if entry is not None and expires_us > entry.expires_us:
            entry.expires_us = expires_us
            heapq.heappush(self._expiry_heap, (expires_us, number))

    def extend_all(self, by_us: int) -> None:
        """The window of some class is longer from now on. All keys are extended, as an entry doesn't name its class:
        that one is kept for too long costs an entry, and nothing runs twice."""
        for entry in list(self._by_key.values()):
            self.extend(entry.number, entry.expires_us + by_us)

    # ---- what becomes of an attempt ----

    def start(self, number: int, now: int, window_ms: float) -> bool:
        """The attempt is about to run; False where it must not: another attempt has its key, or it has run already.

        The window counts from here at the earliest, whatever time its sender has stated.
        """
        entry = self._by_number.get(number)
        if entry is None or entry.started or entry.number != number:
            return False
        entry.started = True
        self.extend(number, window_end(now, window_ms))
        return True

    def finish(self, number: int, result: bytes | None) -> list[int]:
        """The run is over. Returns who waits for its result, each once."""
        entry = self._by_number.get(number)
        if entry is None or entry.number != number:
            return []
        entry.finished = True
        cacheable = not entry.remote or self.limits.allows_remote_result(self.result_bytes)
        if result is not None and entry.result is None and cacheable:
            entry.result = result
            self.result_bytes += len(result)
        if not entry.remote:
            for observer in self.observers:
                observer.key_finished(entry)
        waiters = entry.waiters
        entry.waiters = []
        return waiters

    def release(self, number: int) -> list[int]:
        """The attempt is over and never ran: its key is free again. Returns who waited for its result."""
        entry = self._by_number.get(number)
        if entry is None or entry.started:
            return []
        self._remove(entry)
        for observer in self.observers:
            observer.key_released(entry)
        return entry.waiters

    def _remove_expired(self, now: int) -> None:
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            entry = self._by_number.get(heapq.heappop(self._expiry_heap)[1])
            if entry is None or entry.expires_us > now:
                continue
            if entry.finished:
                self._remove(entry)
            else:
                # However long an attempt stays open, it keeps its key: else a retry would run beside it.
                entry.expires_us = now + RECHECK
                heapq.heappush(self._expiry_heap, (entry.expires_us, entry.number))

    def _remove(self, entry: KeyEntry) -> None:
        del self._by_key[entry.key]
        del self._by_number[entry.number]
        for number in entry.former_numbers:
            self._by_number.pop(number, None)
        self.result_bytes -= len(entry.result or b"")
