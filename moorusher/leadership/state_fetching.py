"""Fetches states of duties from their replicas for a leader or a reader, and repairs replicas that lack chunks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..replication.work_record import KeyDigest
from ..time_units import MS
from .chunks import ChunkStore, digest, join, referenced_chunks
from .lease_record import LeaseRecord, StateVersion
from .messages import ChunkFetched, FetchChunks
from .services import MemberServices

RETRY_US = 150 * MS
# Delay of a repair, since the missing chunks may still be in transit.
REPAIR_DELAY_US = 1_000 * MS
# Limit of the delay between two requests of a repair, as a multiple of RETRY_US.
MAX_REPAIR_BACKOFF = 20
CHUNKS_PER_FETCH = 8


@dataclass(slots=True, eq=False)
class _Fetch:
    """A state that is being fetched."""

    key: KeyDigest
    version: StateVersion
    deadline_us: int
    callback: Callable[[bytes | None], None]
    # Number of requests so far; selects the replica for the next request.
    attempt: int = 0


class StateFetching:
    """Fetches states, and repairs chunks that are missing at this replica.

    Attributes:
        store: Store of the fetched chunks.
    """

    def __init__(
        self,
        services: MemberServices,
        store: ChunkStore,
        replicated_record: Callable[[KeyDigest], LeaseRecord | None],
        chunks_repaired: Callable[[], None],
    ) -> None:
        self.store = store
        self._services = services
        # Returns the record of a register, or None if this member does not replicate it.
        self._replicated_record = replicated_record
        # Called when missing chunks have arrived.
        self._chunks_repaired = chunks_repaired
        self._fetches: dict[KeyDigest, list[_Fetch]] = {}
        self._repair_attempts: dict[KeyDigest, int] = {}

    # ---- fetching ----

    def fetch(
        self,
        key: KeyDigest,
        version: StateVersion,
        deadline_us: int,
        callback: Callable[[bytes | None], None],
    ) -> None:
        """Fetch a state. `callback` receives None if no complete copy was found by the deadline."""
        pending = _Fetch(key, version, deadline_us, callback)
        self._fetches.setdefault(key, []).append(pending)
        self._continue_fetch(pending)

    def _continue_fetch(self, pending: _Fetch) -> None:
        key = pending.key
        state = join(pending.version, lambda name: self.store.find(key, name))
        if state is not None or self._services.now() >= pending.deadline_us:
            return self._finish_fetch(pending, state)
        missing = self._missing_chunks(pending)
        seats = self._other_replicas(key)
        if seats:
            seat = seats[pending.attempt % len(seats)]
            self._services.send(seat, FetchChunks(key, missing[:CHUNKS_PER_FETCH]))
        pending.attempt += 1
        attempt = pending.attempt

        def retry() -> None:
            if pending.attempt == attempt and pending in self._fetches.get(key, []):
                self._continue_fetch(pending)

        return self._services.after(RETRY_US, retry)

    def _finish_fetch(self, pending: _Fetch, state: bytes | None) -> None:
        fetches = self._fetches.get(pending.key, [])
        if pending not in fetches:
            return
        fetches.remove(pending)
        if not fetches:
            del self._fetches[pending.key]
        pending.callback(state)
        if pending.key not in self._fetches and self._replicated_record(pending.key) is None:
            # This member does not replicate the register, so it does not need the chunks any more.
            self.store.chunks.pop(pending.key, None)

    def _missing_chunks(self, pending: _Fetch) -> list[bytes]:
        names = dict.fromkeys(pending.version.chunks)
        return [name for name in names if self.store.find(pending.key, name) is None]

    def _other_replicas(self, key: KeyDigest) -> list[str]:
        return [seat for seat in self._services.replicas(key) if seat != self._services.me]

    def on_fetch_chunks(self, seat: str, message: FetchChunks) -> None:
        """Handle a request at a replica: send the requested chunks."""
        for name in message.names[:CHUNKS_PER_FETCH]:
            chunk = self.store.find(message.key, name) or b""
            self._services.reply(seat, ChunkFetched(message.key, name, chunk))

    def on_chunk_fetched(self, seat: str, message: ChunkFetched) -> None:
        """Store a requested chunk, and continue the fetches that wait for it."""
        if digest(message.chunk) != message.name:
            if message.chunk:
                self._services.count("duties: a damaged piece from another")
            return
        fetches = [
            pending
            for pending in self._fetches.get(message.key, [])
            if message.name in pending.version.chunks
        ]
        record = self._replicated_record(message.key)
        is_replica = record is not None and message.name in referenced_chunks(record)
        if not fetches and not is_replica:
            return
        if self.store.find(message.key, message.name) is None:
            self._store_fetched(message, is_replica)
            if record is not None and not self.store.missing(message.key, record):
                self._chunks_repaired()
        for pending in fetches:
            self._on_progress(pending)

    def _store_fetched(self, message: ChunkFetched, is_replica: bool) -> None:
        self.store.restore(message.key, [message.chunk])
        if is_replica and self.store.has_disk:
            self.store.unsaved.append((message.key, message.name))

    def _on_progress(self, pending: _Fetch) -> None:
        missing = sum(self.store.find(pending.key, name) is None for name in pending.version.chunks)
        if not missing:
            self._continue_fetch(pending)
        elif missing % CHUNKS_PER_FETCH == 0:
            # Continue with the same replica, as it has sent all chunks of the last request.
            pending.attempt -= 1
            self._continue_fetch(pending)

    # ---- repair ----

    def repair(self, key: KeyDigest, immediately: bool) -> None:
        """Fetch a register's missing chunks with retries; start after REPAIR_DELAY_US unless `immediately`."""
        if key not in self._repair_attempts:
            self._repair_attempts[key] = 0
            self._services.after(0 if immediately else REPAIR_DELAY_US, lambda: self._repair(key))

    def _repair(self, key: KeyDigest) -> None:
        record = self._replicated_record(key)
        missing = [] if record is None else self.store.missing(key, record)
        seats = self._other_replicas(key)
        if not missing or not seats:
            self._repair_attempts.pop(key, None)
            return self._chunks_repaired()
        self._repair_attempts[key] += 1
        attempt = self._repair_attempts[key]
        if attempt == 1:
            self._services.count("duties: made whole from others")
        self._services.send(seats[attempt % len(seats)], FetchChunks(key, missing[:CHUNKS_PER_FETCH]))
        backoff_us = RETRY_US * min(attempt, MAX_REPAIR_BACKOFF)
        return self._services.after(backoff_us, lambda: self._repair(key))
