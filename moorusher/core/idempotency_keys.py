"""The table of idempotency keys, with the attempt that has each key, the key's expiry and the cached result.

A key is valid for the whole window of its class, so that no two attempts of one request run within the window.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import xxhash

from moorusher.time_units import MS, SECOND

from .key_table_limits import ENTRY_BYTES, KeyTableLimits

# Name of the tenant, and token. Contains the tenant because tenants never share results. Doesn't contain the class: if
# new settings replace a class by another, front ends send retries of open requests under the name of the new class.
IdempotencyKey = tuple[str | None, str]

# Added to the window. Front ends measure the window from t0 of the attempt that ran to the time when they write a
# retry, with a tolerance of 50 ms, and the retry may then wait unread. Serving a cached result after the window is
# allowed, but running a key twice within it is not.
WINDOW_MARGIN_US = 2 * SECOND
RECHECK_INTERVAL_US = SECOND  # extension of an expired key while its attempt is still open


class KeyOwner(Enum):
    """The process whose attempt has a key."""

    THIS_PROCESS = "this process"
    # The other process of this runner during a hot restart. Its messages tell how the attempt ends.
    PEER = "the other process of this runner"
    ELSEWHERE = "a process of this runner that has exited, or another runner"


@dataclass(slots=True, eq=False)
class KeyEntry:
    """A key, the attempt that has it, and the state of that attempt.

    Attributes:
        key: Tenant and token.
        number: Number of the attempt that has the key.
        body_digest: `digest` of the body, the same for all attempts.
        expires_us: Time at which the key is freed, if its attempt has ended by then.
        started: Whether the attempt runs, has run or may have run.
        finished: Whether the outcome of the attempt is known.
        result: Cached result of a successful run.
        waiters: Numbers of the requests that wait for the result.
        owner: Process that the attempt belongs to.
        former_numbers: Numbers of the attempts that had the key before.
    """

    key: IdempotencyKey
    number: int
    body_digest: int
    expires_us: int = 0
    started: bool = False
    finished: bool = False
    result: bytes | None = None
    waiters: list[int] = field(default_factory=list)
    owner: KeyOwner = KeyOwner.THIS_PROCESS
    former_numbers: list[int] = field(default_factory=list)

    @property
    def remote(self) -> bool:
        """Whether the attempt belongs to another process or runner. A remote attempt counts as started."""
        return self.owner is not KeyOwner.THIS_PROCESS

    def transfer_to(self, number: int, owner: KeyOwner) -> None:
        """Transfer the key to another attempt."""
        self.former_numbers.append(self.number)
        self.number = number
        self.owner = owner
        self.started = self.remote


class KeyObserver(Protocol):
    """Receives notifications about the end of this process's own attempts."""

    def key_released(self, entry: KeyEntry) -> None:
        """Called when an attempt has ended without a run, which frees its key."""

    def key_finished(self, entry: KeyEntry) -> None:
        """Called when a run has ended; `entry.result` is None if it failed."""


def digest(body: bytes) -> int:
    """Return a hash of a body that is the same in all processes, unlike Python's `hash`."""
    return xxhash.xxh64_intdigest(body)


def window_end(arrived_us: int, window_ms: float) -> int:
    """Return the time in us until which the key of a request with this time of arrival is valid."""
    return arrived_us + round(window_ms * MS) + WINDOW_MARGIN_US


class IdempotencyKeyTable:
    """All valid keys. Expired entries are removed on look-up, without a timer.

    Attributes:
        limits: Limits on the size of the table.
        result_bytes: Total size of the cached results.
        observers: Notified of the end of this process's own attempts.
        unknown_until: Time (us) until which a key that is not in the table may have run in a process that has exited.
        dropped_until: Time (us) at which the last key expires that another process has sent and the table had no room
            for.
    """

    def __init__(self, memory_mb: float = 192.0) -> None:
        self.limits = KeyTableLimits(memory_mb)
        self._by_key: dict[IdempotencyKey, KeyEntry] = {}
        self._by_number: dict[int, KeyEntry] = {}
        # (expires_us, number of the attempt). An item is stale if the entry's own `expires_us` is later.
        self._expiry_heap: list[tuple[int, int]] = []
        self.result_bytes = 0
        self.observers: list[KeyObserver] = []
        self.unknown_until = 0
        self.dropped_until = 0

    def __len__(self) -> int:
        return len(self._by_key)

    @property
    def size_bytes(self) -> int:
        """Estimated size of the whole table."""
        return self.result_bytes + len(self._by_key) * ENTRY_BYTES

    def is_full(self) -> bool:
        """Return whether the table accepts no more keys. Lowering the limit does not remove cached results."""
        return self.limits.reached(len(self._by_key), self.result_bytes)

    @property
    def incomplete_until(self) -> int:
        """Time (us) until which a key that is not in the table may have run, so that it must not run here."""
        return max(self.unknown_until, self.dropped_until)

    # ---- look-ups ----

    def find(self, key: IdempotencyKey, now: int) -> KeyEntry | None:
        """Return the entry of a key that is valid at this time, or None."""
        self._remove_expired(now)
        return self._by_key.get(key)

    def entries(self) -> list[KeyEntry]:
        """Return a list of all current entries."""
        return list(self._by_key.values())

    def of_attempt(self, number: int) -> KeyEntry | None:
        """Return the entry whose key this attempt has, or had until the key was transferred to another attempt."""
        return self._by_number.get(number)

    # ---- ownership of keys ----

    def reserve(
        self,
        key: IdempotencyKey,
        number: int,
        body_digest: int = 0,
        expires_us: int = 0,
        owner: KeyOwner = KeyOwner.THIS_PROCESS,
    ) -> KeyEntry:
        """Add a key for an attempt."""
        # Called as soon as the request is read, so that a retry in the same turn is recognized.
        entry = KeyEntry(key, number, body_digest, owner=owner)
        entry.started = entry.remote
        self._by_key[key] = entry
        self._by_number[number] = entry
        self.extend(number, expires_us)
        return entry

    def cede(self, entry: KeyEntry, number: int, body_digest: int, expires_us: int, owner: KeyOwner) -> None:
        """Transfer the key from an attempt of this process to the attempt `number` of another owner."""
        entry.body_digest = body_digest
        entry.transfer_to(number, owner)
        self._by_number[number] = entry
        self.extend(number, expires_us)

    def take_over(self, entry: KeyEntry, number: int, expires_us: int) -> None:
        """Transfer the key from a remote attempt to this process's attempt `number`. Its waiters remain."""
        entry.transfer_to(number, KeyOwner.THIS_PROCESS)
        self._by_number[number] = entry
        self.extend(number, expires_us)

    def release_remote(self, entry: KeyEntry) -> list[int]:
        """Free the key of a remote attempt that never ran. Returns the numbers of its waiters."""
        self._remove(entry)
        return entry.waiters

    # ---- expiry of keys ----

    def extend(self, number: int, expires_us: int) -> None:
        """Extend the key of an attempt to `expires_us`, unless it expires later anyway."""
        entry = self._by_number.get(number)
        if entry is not None and expires_us > entry.expires_us:
            entry.expires_us = expires_us
            heapq.heappush(self._expiry_heap, (expires_us, number))

    def extend_all(self, by_us: int) -> None:
        """Extend all keys, because new settings have lengthened the window of a class."""
        # Keys of other classes are extended, too, since an entry doesn't contain its class. This only costs memory.
        for entry in list(self._by_key.values()):
            self.extend(entry.number, entry.expires_us + by_us)

    # ---- progress of an attempt ----

    def start(self, number: int, now: int, window_ms: float) -> bool:
        """Mark the attempt as started. Returns False if it must not run: it was started before, or lacks its key."""
        entry = self._by_number.get(number)
        if entry is None or entry.started or entry.number != number:
            return False
        entry.started = True
        # The window is counted from now at the earliest, even if the sender has stated an earlier time of arrival.
        self.extend(number, window_end(now, window_ms))
        return True

    def finish(self, number: int, result: bytes | None) -> list[int]:
        """Record the end of a run and cache its result. Removes its waiters, and returns their numbers."""
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
        """Free the key of an attempt that has ended without a run. Returns the numbers of its waiters.

        Does nothing if the attempt was started, or has no key.
        """
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
                # An open attempt retains its key for any length of time. Otherwise a retry could run at the same time.
                entry.expires_us = now + RECHECK_INTERVAL_US
                heapq.heappush(self._expiry_heap, (entry.expires_us, entry.number))

    def _remove(self, entry: KeyEntry) -> None:
        del self._by_key[entry.key]
        del self._by_number[entry.number]
        for number in entry.former_numbers:
            self._by_number.pop(number, None)
        self.result_bytes -= len(entry.result or b"")
