"""Keys of requests that must not run twice: the try that holds each key, its window, its kept result."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from .clock import MS, SECOND

# Tenant, by name, and token: tenants never share results. Not the class: where one takes another's place in new
# settings, front ends send further tries of an open request under the new name.
Key = tuple[str | None, str]

# The rule counts from t0 of the try that ran to the writing of a repeat, with 50 ms on top; a repeat may
# also lie unread for a while. Serving a kept result late is allowed, a second run is not.
MARGIN = 2 * SECOND
# Results of up to 4 KiB: 8,000 of them are 32 MB, some 180 runs a second for 44 s. No more than that is kept in any
# process, and less where its limit on memory leaves less: it is killed above it, and every key is lost.
MOST_ENTRIES = 8_000
MOST_BYTES = 40_000_000
PROCESS_BYTES = 26_000_000  # what the program takes with its connections, before any key
ENTRY_BYTES = 1_000  # of an entry without its result


@dataclass(slots=True, eq=False)
class Entry:
    """A key, the try that holds it, and what became of that."""

    key: Key
    number: int  # the try that holds the key
    body: int  # of what all tries share; see `digest`
    until: int = 0  # in no case before then is the key free, and in none while that try is open
    ran: bool = False
    over: bool = False
    result: bytes | None = None  # kept where the run passed
    waiters: list[int] = field(default_factory=list)
    theirs: bool = False  # held by the runner's other process; counts as run, since it may have been
    also: list[int] = field(default_factory=list)  # numbers that it went by before another try held the key


class Told(Protocol):
    """Who hears of it when a try of ours is over."""

    def freed(self, entry: Entry) -> None: ...
    def settled(self, entry: Entry) -> None: ...


def digest(body: bytes) -> int:
    """The same in each process, as Python's own hash is not."""
    return xxhash.xxh64_intdigest(body)


def window_end(came: int, window_ms: float) -> int:
    """Of a request that runs: the latest at which its key still counts."""
    return came + round(window_ms * MS) + MARGIN


class Keys:
    """Entries go when their time has run out, looked at as new ones come: no timer sweeps them."""

    def __init__(self, memory_mb: float = 192.0) -> None:
        self.limit(memory_mb)
        self._by_key: dict[Key, Entry] = {}
        self._by_number: dict[int, Entry] = {}
        self._ends: list[
            tuple[int, int]
        ] = []  # (until, number of the try); stale where the entry says otherwise
        self.bytes = 0
        self._theirs_most: int | None = None  # of bytes; how far the other process's results are kept
        self.told: list[Told] = []
        self.unsure_until = (
            0  # what ran before, and where, is not known: until then a new key may be an old one's
        )

    def __len__(self) -> int:
        return len(self._by_key)

    def limit(self, memory_mb: float) -> None:
        """Of the process, or of two while one replaces the other. What is kept already stays."""
        # Half of what is left, since Python gives freed memory back late; and never so little that nothing is kept.
        room = max(2_000_000, round(memory_mb * 1e6 - PROCESS_BYTES) // 2)
        self.most_bytes = min(MOST_BYTES, room * 2 // 3)
        self.most_entries = min(MOST_ENTRIES, room // 3 // ENTRY_BYTES)
        self._tables = (
            max(4_000_000, round(memory_mb * 1e6) - 2 * PROCESS_BYTES) // 2
        )  # room for those of both

    @property
    def size(self) -> int:
        """Of the whole table, about."""
        return self.bytes + len(self._by_key) * ENTRY_BYTES

    def beside(self, size: int | None) -> None:
        """Another process of this runner has a table of that size, under the same limit; None: there is none."""
        self._theirs_most = None if size is None else max(0, self._tables - 2 * size)

    def full(self) -> bool:
        return len(self._by_key) >= self.most_entries or self.bytes >= self.most_bytes

    def find(self, key: Key, now: int) -> Entry | None:
        self._expire(now)
        return self._by_key.get(key)

    def entries(self) -> list[Entry]:
        return list(self._by_key.values())

    def of_try(self, number: int) -> Entry | None:
        return self._by_number.get(number)

    def hold(self, key: Key, number: int, body: int = 0, until: int = 0) -> Entry:
        """From the moment that it is read, so that a repeat in the same turn is known as one."""
        entry = self._by_key[key] = self._by_number[number] = Entry(key, number, body)
        self.keep_until(number, until)
        return entry

    def theirs(self, key: Key, number: int, body: int, until: int) -> Entry:
        """The other process holds it from now on."""
        entry = self.hold(key, number, body, until)
        entry.theirs = entry.ran = True
        return entry

    def give(self, entry: Entry, number: int, body: int, until: int) -> None:
        """A try of ours gives way to one of the other process, and goes on as a repeat of it."""
        entry.also.append(entry.number)
        entry.number, entry.body = number, body
        entry.theirs = entry.ran = True
        self._by_number[number] = entry
        self.keep_until(number, until)

    def take_up(self, entry: Entry, number: int, until: int) -> None:
        """What another held is ours to run from now on; those that wait for its result go on waiting."""
        entry.also.append(entry.number)
        entry.number = number
        entry.theirs = entry.ran = False
        self._by_number[number] = entry
        self.keep_until(number, until)

    def widen(self, by: int) -> None:
        """The window of a class has become longer: what was read before counts for the longer one as well. All of it:
        that a key is kept for too long costs a place, and nothing runs twice."""
        for entry in list(self._by_key.values()):
            self.keep_until(entry.number, entry.until + by)

    def forget(self, entry: Entry) -> list[int]:
        """The other process never ran it: the key is free again. Those that waited for it get no result."""
        self._remove(entry)
        return entry.waiters

    def keep_until(self, number: int, until: int) -> None:
        entry = self._by_number.get(number)
        if entry is not None and until > entry.until:
            entry.until = until
            heapq.heappush(self._ends, (until, number))

    def runs(self, number: int, now: int, window_ms: float) -> bool:
        """The try is about to run. False where it may not: its key is another's, or it has run already. Its window
        counts from here at the earliest, whatever time its sender has stated."""
        entry = self._by_number.get(number)
        if entry is None or entry.ran or entry.number != number:
            return False
        entry.ran = True
        self.keep_until(number, window_end(now, window_ms))
        return True

    def settle(self, number: int, result: bytes | None) -> list[int]:
        """The run is over; those that wait for its result are returned once."""
        entry = self._by_number.get(number)
        if entry is None or entry.number != number:
            return []
        entry.over = True
        # The other process's results are kept as far as there is room: without one a repeat fails, and runs nothing.
        most = self.most_bytes if self._theirs_most is None else min(self.most_bytes, self._theirs_most)
        if result is not None and entry.result is None and not (entry.theirs and self.bytes >= most):
            entry.result = result
            self.bytes += len(result)
        if not entry.theirs:
            for told in self.told:
                told.settled(entry)
        waiters, entry.waiters = entry.waiters, []
        return waiters

    def drop(self, number: int) -> list[int]:
        """The try is over and never ran: its key is free again. Those that waited for it get no result."""
        entry = self._by_number.get(number)
        if entry is None or entry.ran:
            return []
        self._remove(entry)
        for told in self.told:
            told.freed(entry)
        return entry.waiters

    def _expire(self, now: int) -> None:
        while self._ends and self._ends[0][0] <= now:
            entry = self._by_number.get(heapq.heappop(self._ends)[1])
            # An open try keeps its key however long it takes: else a repeat would run beside it.
            if entry is not None and entry.until <= now:
                if entry.over:
                    self._remove(entry)
                else:
                    entry.until = now + SECOND
                    heapq.heappush(self._ends, (entry.until, entry.number))

    def _remove(self, entry: Entry) -> None:
        del self._by_key[entry.key]
        del self._by_number[entry.number]
        for number in entry.also:
            self._by_number.pop(number, None)
        self.bytes -= len(entry.result or b"")
