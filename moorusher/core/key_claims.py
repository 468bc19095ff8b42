"""Who may run which idempotency key while two processes are one runner (a hot restart).

A key that is new here is claimed with the other process before the scheduler hears of its request. A grant means that
the other one has noted the key as one that may have run: whichever process survives knows. Of two claims that cross,
the successor's counts. How the other process is reached is not known here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from moorusher.time_units import MS

from .clock import Alarm, Alarms, Clock
from .counters import Counters
from .idempotency_keys import IdempotencyKey, IdempotencyKeyTable, KeyEntry
from .requests import Request, RequestTable

CLAIM_TIMEOUT = 250 * MS  # an answer takes the other process a turn of its loop, unless it hangs


class ClaimPeer(Protocol):
    """The other process. It receives these messages in their order; after a lost one, none."""

    def claim(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """This process wants to run the key; `serial` is repeated in the answer."""

    def claim_granted(self, serial: int, key: IdempotencyKey) -> None:
        """The claimed key is yours."""

    def key_in_use(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """The claimed key belongs to an attempt here."""

    def key_table_full(self, serial: int, key: IdempotencyKey) -> None:
        """The claimed key can't be noted here."""

    def key_released(self, key: IdempotencyKey) -> None:
        """The attempt here that had the key is over and never ran."""

    def key_finished(
        self, key: IdempotencyKey, body_digest: int, expires_us: int, result: bytes | None
    ) -> None:
        """The run here that had the key is over."""


class ClaimListener(Protocol):
    """Goes on with requests whose claim has been decided."""

    def key_claimed(self, request: Request) -> None:
        """No other process of this runner has the key, or the request waits for its attempt there."""

    def reject_before_scheduling(self, request: Request, why: str, never_ran: bool = True) -> None:
        """The key can't be had."""


@dataclass(slots=True)
class _PendingClaim:
    request: Request
    serial: int
    timeout: Alarm


class KeyClaims:
    """Claims keys with the other process, and answers its claims.

    Attributes:
        peer: the other process, while there is one to claim keys with.
        is_successor: of two claims that cross, this process's counts.
        peer_unresponsive: called when a claim gets no answer; True where the other process is given up, and every key
            is this one's.
    """

    def __init__(
        self,
        keys: IdempotencyKeyTable,
        table: RequestTable,
        clock: Clock,
        alarms: Alarms,
        counters: Counters,
        listener: ClaimListener,
        share_result: Callable[[int, bytes | None], None],
    ) -> None:
        """`share_result` answers a request that waited for another attempt's result."""
        self._keys = keys
        self._table = table
        self._clock = clock
        self._alarms = alarms
        self._counters = counters
        self._listener = listener
        self._share_result = share_result
        self.peer: ClaimPeer | None = None
        self.is_successor = False
        self.peer_unresponsive: Callable[[], bool] = lambda: False
        self._pending: dict[IdempotencyKey, _PendingClaim] = {}
        self._serial = 0
        keys.observers.append(self)

    # ---- this process's claims ----

    def claim(self, request: Request) -> bool:
        """True where the other process is asked first: the listener is called with its answer."""
        if self.peer is None:
            return False
        entry = None if request.key is None else self._keys.of_attempt(request.number)
        if entry is None:
            return False  # without a key, or a retry of what is known here
        self._serial += 1
        timeout = self._alarms.at(self._clock.now + CLAIM_TIMEOUT, lambda: self._timed_out(entry.key))
        self._pending[entry.key] = _PendingClaim(request, self._serial, timeout)
        self._counters.add("keys claimed")
        self.peer.claim(self._serial, entry.key, entry.body_digest, entry.expires_us)
        return True

    def _timed_out(self, key: IdempotencyKey) -> None:
        if key not in self._pending:
            return
        self._counters.add("claims unanswered")
        if self.peer_unresponsive():
            return
        pending = self._pending.pop(key)
        if pending.request.number in self._table.by_number:
            self._listener.reject_before_scheduling(
                pending.request, "the other process does not answer for this key"
            )

    def key_released(self, entry: KeyEntry) -> None:
        """From the key table: an attempt of this process is over and never ran."""
        pending = self._pending.pop(entry.key, None)
        if pending is not None:
            pending.timeout.cancel()
        if self.peer is not None and not entry.remote:
            self.peer.key_released(entry.key)

    def key_finished(self, entry: KeyEntry) -> None:
        """From the key table: a run of this process is over."""
        if self.peer is not None:
            self.peer.key_finished(entry.key, entry.body_digest, entry.expires_us, entry.result)

    # ---- the other process's answers ----

    def _take_pending(self, serial: int, key: IdempotencyKey) -> Request | None:
        """The request whose claim is answered; None where it is over, or the answer is to an older claim."""
        pending = self._pending.get(key)
        if pending is None or pending.serial != serial:
            return None
        del self._pending[key]
        pending.timeout.cancel()
        return pending.request if pending.request.number in self._table.by_number else None

    def claim_granted(self, serial: int, key: IdempotencyKey) -> None:
        """The key is this process's."""
        request = self._take_pending(serial, key)
        if request is not None:
            self._listener.key_claimed(request)

    def key_in_use(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """An attempt of the other process has the key: the request here waits for its result."""
        request = self._take_pending(serial, key)
        if request is not None:
            self._cede(request, key, body_digest, expires_us)

    def key_table_full(self, serial: int, key: IdempotencyKey) -> None:
        """The other process can't note a further key."""
        request = self._take_pending(serial, key)
        if request is not None:
            self._listener.reject_before_scheduling(request, "no room for a further key")

    def _cede(self, request: Request, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            return
        same_body = entry.body_digest == body_digest
        self._keys.cede(entry, self._table.take_number(), body_digest, expires_us)
        request.retry_of = entry.number
        self._counters.add("keys held by the other process")
        if same_body:
            self._listener.key_claimed(request)
        else:
            self._listener.reject_before_scheduling(request, "this token came before with another body")

    # ---- the other process's attempts ----

    def peer_claims(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """The other process wants to run the key."""
        peer = self.peer
        if peer is None:
            return
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            if self._keys.is_full():
                peer.key_table_full(serial, key)
                return
            self._keys.reserve_remote(key, self._table.take_number(), body_digest, expires_us)
            peer.claim_granted(serial, key)
            return
        if entry.remote and not entry.finished:
            peer.claim_granted(serial, key)
            return
        pending = self._pending.get(key)
        if pending is not None and not self.is_successor:  # two claims cross, and the successor's counts
            del self._pending[key]
            pending.timeout.cancel()
            peer.claim_granted(serial, key)
            if pending.request.number in self._table.by_number:
                self._cede(pending.request, key, body_digest, expires_us)
            return
        peer.key_in_use(serial, key, entry.body_digest, entry.expires_us)
        if entry.finished:
            peer.key_finished(key, entry.body_digest, entry.expires_us, entry.result)

    def peer_released_key(self, key: IdempotencyKey) -> None:
        """The attempt there never ran; who waits for it here gets no result."""
        entry = self._keys.find(key, self._clock.now)
        if entry is not None and entry.remote and not entry.finished:
            for waiter in self._keys.release_remote(entry):
                self._share_result(waiter, None)

    def peer_finished_key(
        self, key: IdempotencyKey, body_digest: int, expires_us: int, result: bytes | None
    ) -> None:
        """The run there is over."""
        entry = self._find_or_note(key, body_digest, expires_us)
        if entry.remote:  # else it is this process's, which knows better
            self._finish_remote(entry, result)

    def _find_or_note(self, key: IdempotencyKey, body_digest: int, expires_us: int) -> KeyEntry:
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            entry = self._keys.reserve_remote(key, self._table.take_number(), body_digest, expires_us)
        return entry

    def _finish_remote(self, entry: KeyEntry, result: bytes | None) -> None:
        for waiter in self._keys.finish(entry.number, result):
            self._share_result(waiter, entry.result)

    # ---- the whole table ----

    def snapshot(self) -> Iterator[KeyEntry]:
        """The keys of this process, each as it stands when it is handed out: what changes later follows in a message
        of its own."""
        for entry in self._keys.entries():
            if not entry.remote:
                yield entry

    def snapshot_entry(
        self, key: IdempotencyKey, body_digest: int, expires_us: int, finished: bool, result: bytes | None
    ) -> None:
        """One entry of the other process's snapshot."""
        entry = self._find_or_note(key, body_digest, expires_us)
        if finished and entry.remote:
            self._finish_remote(entry, result)

    def peer_disconnected(self, died: bool) -> None:
        """There is no other process any more.

        Where it died, what it left open may have run: those keys are finished without a result, and don't run again in
        their window. Where it only rejected requests, none of its keys counts.
        """
        self.peer = None
        for entry in list(self._keys.entries()):
            if not entry.remote or entry.finished:
                continue
            for waiter in self._keys.finish(entry.number, None) if died else self._keys.release_remote(entry):
                self._share_result(waiter, None)
        pending = list(self._pending.values())
        self._pending = {}
        for claim in pending:  # the other one could run none of these: it had no grant
            claim.timeout.cancel()
            if claim.request.number in self._table.by_number:
                self._listener.key_claimed(claim.request)
