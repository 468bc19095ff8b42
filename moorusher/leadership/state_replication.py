"""The states of duties at their replicas: stored by a majority before a register names them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..membership.placement import majority
from ..replication.work_record import KeyDigest
from ..time_units import MS
from .chunks import ChunkStore, Mark, digest, split
from .lease_record import LeaseRecord, decode_record, encode_record
from .messages import ChunkStored, RecordChosen, StoreChunk
from .services import MemberServices

RETRY_US = 150 * MS


@dataclass(slots=True, eq=False)
class _Store:
    """A state that is being stored by the replicas.

    stored: by seat, its incarnation and the chunks that it has stored.
    refused: seats that have no room.
    """

    key: KeyDigest
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


class StateReplication:
    """Stores states at their replicas, and chunks at this one."""

    def __init__(
        self,
        services: MemberServices,
        store: ChunkStore,
        chunks_repaired: Callable[[], None],
    ) -> None:
        """`chunks_repaired`: called when chunks came that may have been missing."""
        self.store = store
        self._services = services
        self._chunks_repaired = chunks_repaired
        self._stores: dict[int, _Store] = {}  # by serial
        # Answers to an earlier process of this seat must not count for this one, so serials start anew with each.
        self._serial = services.incarnation

    def replicate(
        self,
        key: KeyDigest,
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
            for name in sorted(pending.missing_at(seat)):
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

    def announce_chosen(self, key: KeyDigest, record: LeaseRecord) -> None:
        """Tell the replicas that this record is chosen, so that they delete what it does not name."""
        value = encode_record(record)
        for seat in self._services.replicas(key):
            self._services.send(seat, RecordChosen(key, value))

    def on_record_chosen(self, seat: str, message: RecordChosen) -> None:
        """At a replica: delete chunks that no change can name any more."""
        record = decode_record(message.value)
        if record is not None:
            self.store.delete_unnamed(message.key, record)
