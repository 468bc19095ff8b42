"""Replicates the states of duties: a majority stores a state before the record in the register references it."""

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
class _PendingStore:
    """A state that is being stored at the replicas."""

    key: KeyDigest
    mark: Mark
    # Content of the chunks by name.
    chunks: dict[bytes, bytes]
    deadline_us: int
    # Receives whether a majority has stored the state.
    callback: Callable[[bool], None]
    # Incarnation of the replica and names of the chunks that it has stored, by seat.
    stored: dict[str, tuple[int, set[bytes]]] = field(default_factory=dict)
    # Seats that have refused a chunk.
    refused: set[str] = field(default_factory=set)

    def missing_at(self, seat: str) -> set[bytes]:
        """Return the chunks that a replica has not acknowledged."""
        _, names = self.stored.get(seat, (0, set[bytes]()))
        return self.chunks.keys() - names

    def acknowledge(self, seat: str, incarnation: int, name: bytes) -> None:
        """Record a stored chunk; chunks stored by another incarnation of the replica no longer count."""
        known_incarnation, names = self.stored.get(seat, (incarnation, set[bytes]()))
        self.stored[seat] = (incarnation, names | {name} if known_incarnation == incarnation else {name})


class StateReplication:
    """Stores states at their replicas, and chunks at this replica.

    Attributes:
        store: Chunks of this replica.
    """

    def __init__(
        self,
        services: MemberServices,
        store: ChunkStore,
        chunks_repaired: Callable[[], None],
    ) -> None:
        self.store = store
        self._services = services
        # Called when chunks have arrived that may have been missing.
        self._chunks_repaired = chunks_repaired
        self._pending_stores: dict[int, _PendingStore] = {}  # by serial
        # Start at the incarnation, so that answers to an earlier process of this seat don't match a serial.
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
        """Store a state at its replicas before a change of the register references it.

        :param mark: Generation, term and revision of that change.
        :param known: Names of chunks that the replicas should already store.
        :param callback: Receives True once a majority has stored all chunks durably; False after the deadline or if
            too many replicas refuse.
        """
        self._serial += 1
        serial = self._serial
        pending = _PendingStore(key, mark, split(state), deadline_us, callback)
        self._pending_stores[serial] = pending
        for seat in self._services.replicas(key):
            for name, chunk in pending.chunks.items():
                self._send_chunk(serial, pending, seat, name, b"" if name in known else chunk)
        if not pending.chunks:
            del self._pending_stores[serial]
            return callback(True)
        self._retry_store_later(serial)
        return None

    def _send_chunk(self, serial: int, pending: _PendingStore, seat: str, name: bytes, chunk: bytes) -> None:
        self._services.send(seat, StoreChunk(serial, pending.key, pending.mark, name, chunk))

    def _retry_store_later(self, serial: int) -> None:
        self._services.after(RETRY_US, lambda: self._retry_store(serial))

    def _retry_store(self, serial: int) -> None:
        pending = self._pending_stores.get(serial)
        if pending is None:
            return
        if self._services.now() >= pending.deadline_us:
            del self._pending_stores[serial]
            return pending.callback(False)
        for seat in self._services.replicas(pending.key):
            for name in sorted(pending.missing_at(seat)):
                self._send_chunk(serial, pending, seat, name, b"")
        return self._retry_store_later(serial)

    def on_store_chunk(self, seat: str, message: StoreChunk) -> None:
        """Handle a request at a replica: store a chunk, and answer once it is on the disk."""
        missing = False
        if message.chunk:
            chunk: bytes | None = message.chunk if digest(message.chunk) == message.name else None
        else:
            chunk = self.store.find(message.key, message.name)
            missing = chunk is None
        ok = chunk is not None and self.store.add(message.key, message.mark, chunk)
        answer = ChunkStored(message.serial, message.name, ok, missing, self._services.incarnation)
        reply = self._services.replier(seat)
        if ok:
            self._chunks_repaired()
            self._services.when_durable(lambda: reply(answer))
        else:
            reply(answer)

    def on_chunk_stored(self, seat: str, message: ChunkStored) -> None:
        """Handle the answer of a replica; replication is complete once a majority has stored all chunks."""
        pending = self._pending_stores.get(message.serial)
        if pending is None or message.name not in pending.chunks:
            return
        if message.missing:
            return self._send_chunk(message.serial, pending, seat, message.name, pending.chunks[message.name])
        if message.ok:
            pending.acknowledge(seat, message.incarnation, message.name)
        else:
            pending.refused.add(seat)
        replicas = self._services.replicas(pending.key)
        needed = majority(len(replicas))
        if self._complete_replicas(pending) >= needed:
            del self._pending_stores[message.serial]
            pending.callback(True)
        elif len(replicas) - len(pending.refused) < needed:
            del self._pending_stores[message.serial]
            pending.callback(False)
        return None

    def _complete_replicas(self, pending: _PendingStore) -> int:
        """Return the number of replicas that have every chunk."""
        # A replica that has restarted since its answer does not count, as it may have lost the chunks.
        return sum(
            names >= pending.chunks.keys() and incarnation >= self._services.latest_incarnation(seat)
            for seat, (incarnation, names) in pending.stored.items()
        )

    def announce_chosen(self, key: KeyDigest, record: LeaseRecord) -> None:
        """Notify the replicas that this record is chosen, so that they delete unreferenced chunks."""
        value = encode_record(record)
        for seat in self._services.replicas(key):
            self._services.send(seat, RecordChosen(key, value))

    def on_record_chosen(self, seat: str, message: RecordChosen) -> None:
        """Handle a notification at a replica: delete chunks that no change can reference any more."""
        record = decode_record(message.value)
        if record is not None:
            self.store.delete_unreferenced(message.key, record)
