"""Claims of idempotency keys between the two processes of one runner during a hot restart.

A new key is claimed with the other process before its request is reported to the scheduler. Before the other process
grants the claim, it stores the key as one that may have run, so that each process knows the key if the other one exits.
If both processes claim a key at the same time, the successor gets it. The transport between the processes is
implemented elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from moorusher.time_units import MS

from .clock import Alarm, Alarms, Clock
from .counters import Counters
from .idempotency_keys import IdempotencyKey, IdempotencyKeyTable, KeyEntry, KeyOwner
from .peer_keys import PeerKeys
from .requests import Request, RequestTable

CLAIM_TIMEOUT_US = 250 * MS  # the other process answers within one turn of its event loop, unless it hangs


class ClaimPeer(Protocol):
    """Sends messages to the other process. They arrive in order; if one is lost, no later one arrives."""

    def claim(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """Claim a key. The answer repeats `serial`."""

    def claim_granted(self, serial: int, key: IdempotencyKey) -> None:
        """Grant a claim: the other process gets the key."""

    def key_in_use(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """Answer a claim: an attempt of this process has the key."""

    def key_table_full(self, serial: int, key: IdempotencyKey) -> None:
        """Answer a claim: this process can't store the key."""

    def key_released(self, key: IdempotencyKey) -> None:
        """Report that this process's attempt under the key has ended without a run."""

    def key_finished(
        self, key: IdempotencyKey, body_digest: int, expires_us: int, result: bytes | None
    ) -> None:
        """Report that this process's run under the key has ended."""


class ClaimListener(Protocol):
    """Continues the processing of requests whose claim has been answered."""

    def key_claimed(self, request: Request) -> None:
        """Called when this process has the key, or the request is a retry of the other process's attempt."""

    def reject_before_scheduling(self, request: Request, why: str, never_ran: bool = True) -> None:
        """Called when the key could not be claimed."""


@dataclass(slots=True)
class _PendingClaim:
    """A claim that the other process has not answered."""

    request: Request
    serial: int
    timeout: Alarm


class KeyClaims:
    """Claims keys with the other process, and answers its claims.

    Attributes:
        peer: The other process, if there is one to claim keys with.
        is_successor: Whether this process gets a key that both claim at the same time.
        peer_keys: Keys that the other process has reported.
        peer_unresponsive: Called when a claim is not answered in time. Returns whether the other process was abandoned;
            this process then has all keys.
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
        """Register as an observer of the key table.

        :param share_result: answers a request that waited for another attempt's result.
        """
        self._keys = keys
        self._table = table
        self._clock = clock
        self._alarms = alarms
        self._counters = counters
        self._listener = listener
        self.peer: ClaimPeer | None = None
        self.is_successor = False
        self.peer_unresponsive: Callable[[], bool] = lambda: False
        self._pending: dict[IdempotencyKey, _PendingClaim] = {}
        self._serial = 0
        self.peer_keys = PeerKeys(keys, table, clock, share_result)
        keys.observers.append(self)

    # ---- this process's claims ----

    def claim(self, request: Request) -> bool:
        """Claim the request's key, if necessary. Returns whether to wait until the listener is called."""
        if self.peer is None:
            return False
        entry = None if request.key is None else self._keys.of_attempt(request.number)
        if entry is None:
            return False  # the request has no key, or retries an attempt in this process's table
        self._serial += 1
        key = entry.key
        give_up_at = self._clock.now + CLAIM_TIMEOUT_US
        if request.deadline_us < give_up_at:
            timeout = self._alarms.at(request.deadline_us, lambda: self._reject_pending(key))
        else:
            timeout = self._alarms.at(give_up_at, lambda: self._timed_out(key))
        self._pending[key] = _PendingClaim(request, self._serial, timeout)
        self._counters.add("keys claimed")
        self.peer.claim(self._serial, entry.key, entry.body_digest, entry.expires_us)
        return True

    def _timed_out(self, key: IdempotencyKey) -> None:
        if key not in self._pending:
            return
        self._counters.add("claims unanswered")
        if not self.peer_unresponsive():
            self._reject_pending(key)

    def _reject_pending(self, key: IdempotencyKey) -> None:
        """Reject a request whose claim is not answered in time. It has run in neither process."""
        pending = self._pending.pop(key, None)
        if pending is not None and pending.request.number in self._table.by_number:
            self._listener.reject_before_scheduling(
                pending.request, "the other process did not answer the claim of this key"
            )

    def key_released(self, entry: KeyEntry) -> None:
        """Called by the key table when an attempt of this process has ended without a run."""
        pending = self._pending.pop(entry.key, None)
        if pending is not None:
            pending.timeout.cancel()
        if self.peer is not None and not entry.remote:
            self.peer.key_released(entry.key)

    def key_finished(self, entry: KeyEntry) -> None:
        """Called by the key table when a run of this process has ended."""
        if self.peer is not None:
            self.peer.key_finished(entry.key, entry.body_digest, entry.expires_us, entry.result)

    # ---- attempts of other runners ----

    def finished_elsewhere(self, entry: KeyEntry, result: bytes | None) -> None:
        """Report the end of another runner's run to the other process, whose requests may wait for it here."""
        if self.peer is not None:
            self.peer.key_finished(entry.key, entry.body_digest, entry.expires_us, result)

    def released_elsewhere(self, entry: KeyEntry) -> None:
        """Report to the other process that another runner's attempt has ended without a run."""
        if self.peer is not None:
            self.peer.key_released(entry.key)

    # ---- the other process's answers ----

    def _pop_pending(self, serial: int, key: IdempotencyKey) -> Request | None:
        """Remove the pending claim and return its request.

        :returns: None if the request has ended or the answer belongs to an older claim.
        """
        pending = self._pending.get(key)
        if pending is None or pending.serial != serial:
            return None
        del self._pending[key]
        pending.timeout.cancel()
        return pending.request if pending.request.number in self._table.by_number else None

    def claim_granted(self, serial: int, key: IdempotencyKey) -> None:
        """Called when the other process has granted a claim."""
        request = self._pop_pending(serial, key)
        if request is not None:
            self._listener.key_claimed(request)

    def key_in_use(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """Called when an attempt of the other process has the claimed key."""
        request = self._pop_pending(serial, key)
        if request is not None:
            self._cede(request, key, body_digest, expires_us)

    def key_table_full(self, serial: int, key: IdempotencyKey) -> None:
        """Called when the other process can't store the claimed key."""
        request = self._pop_pending(serial, key)
        if request is not None:
            self._listener.reject_before_scheduling(request, "the key table of the other process is full")

    def _cede(self, request: Request, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            return
        same_body = entry.body_digest == body_digest
        number = self._table.allocate_number()
        self._keys.cede(entry, number, body_digest, expires_us, KeyOwner.PEER)
        request.retry_of = entry.number
        self._counters.add("keys held by the other process")
        if same_body:
            self._listener.key_claimed(request)
        else:
            self._listener.reject_before_scheduling(
                request, "an earlier request with this token had another body"
            )

    # ---- the other process's attempts ----

    def peer_claims(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """Answer a claim of the other process."""
        peer = self.peer
        if peer is None:
            return
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            if self._keys.is_full():
                peer.key_table_full(serial, key)
                return
            self.peer_keys.reserve(key, body_digest, expires_us)
            peer.claim_granted(serial, key)
            return
        if entry.remote and not entry.finished:
            # If another runner has the key, the peer finds out by its own claim there. If it runs the key nevertheless,
            # this process must know.
            entry.owner = KeyOwner.PEER
            peer.claim_granted(serial, key)
            return
        pending = self._pending.get(key)
        if pending is not None and not self.is_successor:  # both claim the key, and the successor gets it
            del self._pending[key]
            pending.timeout.cancel()
            peer.claim_granted(serial, key)
            if pending.request.number in self._table.by_number:
                self._cede(pending.request, key, body_digest, expires_us)
            return
        peer.key_in_use(serial, key, entry.body_digest, entry.expires_us)
        if entry.finished:
            peer.key_finished(key, entry.body_digest, entry.expires_us, entry.result)

    def peer_disconnected(self, died: bool) -> None:
        """Continue without the other process.

        :param died: whether the other process died; else it has rejected its open requests.
        """
        self.peer = None
        self.peer_keys.end_all(died)
        pending = list(self._pending.values())
        self._pending = {}
        # The other process can't have run a request under the key of a pending claim, because this process has not
        # granted it the key.
        for claim in pending:
            claim.timeout.cancel()
            if claim.request.number in self._table.by_number:
                self._listener.key_claimed(claim.request)
