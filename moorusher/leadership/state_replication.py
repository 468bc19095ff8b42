"""The states of duties among their replicas: stored by a majority before a register names them, fetched, repaired."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..membership.failure_detector import MS
from ..membership.placement import majority
from ..replication.work_record import Key
from .chunks import ChunkStore, Mark, digest, join, named_chunks, split
from .lease_record import LeaseRecord, StateVersion, decode_record, encode_record
from .messages import ChunkFetched, ChunkStored, FetchChunks, RecordChosen, StoreChunk
from .services import MemberServices

RETRY_US = 150 * MS
REPAIR_DELAY_US = 1_000 * MS  # the chunks may be on their way
MAX_REPAIR_BACKOFF = 20  # times RETRY_US
CHUNKS_PER_FETCH = 8


@dataclass(slots=True, eq=False)
class _Store:
    """A state that is being stored by the replicas.

    stored: by seat, its incarnation and the chunks that it has stored.
    refused: seats that have no room.
    """

    key: Key
    mark: Mark
    chunks: dict[bytes, bytes]
    deadline_us: int
    callback: Callable[[bool], None]
    stored: dict[str, tuple[int, set[bytes]]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)

    def missing_at(self, seat: str) -> set[bytes]:
        """Return the chunks that a replica has not acknowledged."""
        _, names = self.stored.get(seat, (0, set[bytes]()))
        return self.chunks.keys() - names

    def acknowledge(self, seat: str, incarnation: int, name: bytes) -> None:
        """Note a stored chunk; what an earlier incarnation had stored does not count."""
        known_incarnation, names = self.stored.get(seat, (incarnation, set[bytes]()))
        self.stored[seat] = (incarnation, names | {name} if known_incarnation == incarnation else {name})


@dataclass(slots=True, eq=False)
class _Fetch:
    """A state that is being fetched. `attempt`: requests so far; picks the replica that is asked next."""

    key: Key
    version: StateVersion
    deadline_us: int
    callback: Callable[[bytes | None], None]
    attempt: int = 0


class StateReplication:
    """Stores states at their replicas, fetches them, and repairs what a replica lacks."""

    def __init__(
        self,
        services: MemberServices,
        store: ChunkStore,
        replicated_record: Callable[[Key], LeaseRecord | None],
        chunks_repaired: Callable[[], None],
    ) -> None:
        """`replicated_record`: of a register that this member replicates, else None. `chunks_repaired`: called when
        chunks came that may have been missing."""
        self.store = store
        self._services = services
        self._replicated_record = replicated_record
        self._chunks_repaired = chunks_repaired
        self._stores: dict[int, _Store] = {}  # by serial
        self._fetches: dict[Key, list[_Fetch]] = {}
        self._repair_attempts: dict[Key, int] = {}
        # Answers to an earlier process of this seat must not count for this one, so serials start anew with each.
        self._serial = services.incarnation

    # ---- storing ----

    def replicate(
        self,
        key: Key,
        mark: Mark,
        state: bytes,
        known: set[bytes],
        deadline_us: int,
        callback: Callable[[bool], None],
    ) -> None:
        """Store a state at its replicas, for the change at `mark` to name it.

        `callback(True)` once a majority has every chunk, on disk if it has one; `callback(False)` if that does not
        come about by the deadline. `known`: chunks that the replicas should have already.
        """
        self._serial += 1
        serial = self._serial
        pending = _Store(key, mark, split(state), deadline_us, callback)
        self._stores[serial] = pending
        for seat in self._services.replicas(key):
            for name, chunk in pending.chunks.items():
                self._send_chunk(serial, pending, seat, name, b"" if name in known else chunk)
        if not pending.chunks:
            del self._stores[serial]
            return callback(True)
        self._retry_store_later(serial)
        return None

    def _send_chunk(self, serial: int, pending: _Store, seat: str, name: bytes, chunk: bytes) -> None:
        self._services.send(seat, StoreChunk(serial, pending.key, pending.mark, name, chunk))

    def _retry_store_later(self, serial: int) -> None:
        self._services.after(RETRY_US, lambda: self._retry_store(serial))

    def _retry_store(self, serial: int) -> None:
        pending = self._stores.get(serial)
        if pending is None:
            return
        if self._services.now() >= pending.deadline_us:
            del self._stores[serial]
            return pending.callback(False)
        for seat in self._services.replicas(pending.key):
            for name in pending.missing_at(seat):
                self._send_chunk(serial, pending, seat, name, b"")
        return self._retry_store_later(serial)

    def on_store_chunk(self, seat: str, message: StoreChunk) -> None:
        """At a replica: store a chunk and answer, once it is on the disk."""
        missing = False
        if message.chunk:
            chunk: bytes | None = message.chunk if digest(message.chunk) == message.name else None
        else:
            chunk = self.store.find(message.key, message.name)
            missing = chunk is None
        ok = chunk is not None and self.store.add(message.key, message.mark, chunk)
        answer = ChunkStored(message.serial, message.name, ok, missing, self._services.incarnation)
        if ok:
            self._chunks_repaired()
            self._services.when_durable(lambda: self._services.send(seat, answer))
        else:
            self._services.send(seat, answer)

    def on_chunk_stored(self, seat: str, message: ChunkStored) -> None:
        """An answer of a replica: the state is stored once a majority has all of it."""
        pending = self._stores.get(message.serial)
        if pending is None or message.name not in pending.chunks:
            return
        if message.missing:
            return self._send_chunk(message.serial, pending, seat, message.name, pending.chunks[message.name])
        if message.ok:
            pending.acknowledge(seat, message.inc, message.name)
        else:
            pending.refused.add(seat)
        replicas = self._services.replicas(pending.key)
        needed = majority(len(replicas))
        if self._complete_replicas(pending) >= needed:
            del self._stores[message.serial]
            pending.callback(True)
        elif len(replicas) - len(pending.refused) < needed:
            del self._stores[message.serial]
            pending.callback(False)
        return None

    def _complete_replicas(self, pending: _Store) -> int:
        """Replicas that have every chunk; one that restarted since it said so may have lost them."""
        return sum(
            names >= pending.chunks.keys() and incarnation >= self._services.latest_incarnation(seat)
            for seat, (incarnation, names) in pending.stored.items()
        )

    def announce_chosen(self, key: Key, record: LeaseRecord) -> None:
        """Tell the replicas that this record is chosen, so that they delete what it does not name."""
        value = encode_record(record)
        for seat in self._services.replicas(key):
            self._services.send(seat, RecordChosen(key, value))

    def on_record_chosen(self, seat: str, message: RecordChosen) -> None:
        """At a replica: delete chunks that no change can name any more."""
        record = decode_record(message.value)
        if record is not None:
            self.store.delete_unnamed(message.key, record)

    # ---- fetching ----

    def fetch(
        self,
        key: Key,
        version: StateVersion,
        deadline_us: int,
        callback: Callable[[bytes | None], None],
    ) -> None:
        """Fetch a state. `callback(None)` if no complete copy was found by the deadline."""
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
        waiting = self._fetches.get(pending.key, [])
        if pending not in waiting:
            return
        waiting.remove(pending)
        if not waiting:
            del self._fetches[pending.key]
        pending.callback(state)
        if pending.key not in self._fetches and self._replicated_record(pending.key) is None:
            self.store.chunks.pop(pending.key, None)  # this member is no replica of it

    def _missing_chunks(self, pending: _Fetch) -> list[bytes]:
        names = dict.fromkeys(pending.version.chunks)
        return [name for name in names if self.store.find(pending.key, name) is None]

    def _other_replicas(self, key: Key) -> list[str]:
        return [seat for seat in self._services.replicas(key) if seat != self._services.me]

    def on_fetch_chunks(self, seat: str, message: FetchChunks) -> None:
        """At a replica: send what is asked for."""
        for name in message.names[:CHUNKS_PER_FETCH]:
            chunk = self.store.find(message.key, name) or b""
            self._services.send(seat, ChunkFetched(message.key, name, chunk))

    def on_chunk_fetched(self, seat: str, message: ChunkFetched) -> None:
        """Store a chunk that was asked for, and go on with the fetches that wait for it."""
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
        is_replica = record is not None and message.name in named_chunks(record)
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
            pending.attempt -= 1  # the same replica again: it had all that it was asked for
            self._continue_fetch(pending)

    # ---- repair ----

    def repair(self, key: Key, at_once: bool) -> None:
        """Fetch what this replica lacks of a register's state, from the others, until it has it."""
        if key not in self._repair_attempts:
            self._repair_attempts[key] = 0
            self._services.after(0 if at_once else REPAIR_DELAY_US, lambda: self._repair(key))

    def _repair(self, key: Key) -> None:
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
