"""Connects the request engine to the cluster's node for requests with an idempotency key: claims of keys, starts of
runs, the node's decisions about them, and work taken over from other runners.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from ..core.answer import Answer
from ..core.idempotency_keys import IdempotencyKey as CoreKey
from ..core.idempotency_keys import KeyEntry, KeyOwner
from ..core.request_engine import RequestEngine
from ..core.requests import Arrival, Request
from ..replication.node import Node
from ..replication.work_events import (
    BodyDiffers,
    ClaimGranted,
    ClaimJoined,
    ClaimUncovered,
    HandedOver,
    KeyForgotten,
    RejectedByAll,
    ResultKnown,
    StartConfirmed,
    StartLost,
    StartUncovered,
    WorkEvent,
    WorkInHand,
)
from ..replication.work_record import KeyDigest, WorkRequest, key_of

log = logging.getLogger("moorusher")

# A request id that is already in use here is cut to this length, and a number is appended.
MAX_REQUEST_ID_CHARS = 56


class NoReply:
    """Reply channel of work taken over from another runner: there is no client here. Retries get its result by key."""

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None:
        """Drop the answer."""


class KeyedWorkCoordinator:
    """Implements the methods of `replication.interfaces.NodeHost` about work, and the engine's `KeyCoordinator`.

    Attributes:
        core: Request engine of this runner.
        node: This runner's node of the cluster.
        namespaces: Customers' namespaces; None without any.
    """

    node: Node
    namespaces: Any

    def __init__(self, core: RequestEngine, serves_without_majority: bool) -> None:
        """:param serves_without_majority: Whether to run keyed work even if no majority answers a claim."""
        self.core = core
        self._serves_without_majority = serves_without_majority
        self._core_keys: dict[KeyDigest, CoreKey] = {}
        # Work that was taken over and waits for its customer's rules to be fetched.
        self._awaiting_rules: set[KeyDigest] = set()
        self._no_reply = NoReply()
        self._handlers: dict[type[WorkEvent], Callable[[Any], None]] = {
            ClaimGranted: self._claim_granted,
            ClaimJoined: self._claim_joined,
            BodyDiffers: self._body_differs,
            ClaimUncovered: self._claim_uncovered,
            StartConfirmed: self._start_confirmed,
            StartLost: self._moved_away,
            StartUncovered: self._start_uncovered,
            ResultKnown: self._result_known,
            RejectedByAll: self._rejected_by_all,
            HandedOver: self._moved_away,
            KeyForgotten: self._key_forgotten,
        }

    def count(self, name: str) -> None:
        """Add 1 to a counter."""
        self.core.counters.add(name)

    # ---- KeyCoordinator and KeyObserver, called by the request engine ----

    def acquire_key(self, request: Request) -> bool:
        """Claim the key of a request in the cluster.

        :returns: False if no claim is needed: the request has no key, or its key already belongs to another request
            or to the other process of this runner.
        """
        entry = None if request.key is None else self.core.keys.of_attempt(request.number)
        if entry is None or entry.number != request.number or entry.remote:
            return False
        key = key_of(*entry.key)
        self._core_keys[key] = entry.key
        work = self._work_request(request, entry)
        self.node.claim(key, entry.body_digest, work, entry.expires_us, request.deadline_us)
        return True

    def _work_request(self, request: Request, entry: KeyEntry) -> WorkRequest:
        arrival = request.arrival
        return WorkRequest(
            arrival.rid,
            request.request_class.name,
            request.tenant,
            entry.key[1],
            request.body,
            self.core.clock.to_unix_ms(request.arrived_us),
            arrival.budget_ms,
            arrival.caller,
            arrival.memory_kb,
            arrival.rank,
            arrival.subject,
            None if request.ruling is None else request.ruling.revision_id,
        )

    def announce_start(self, request: Request) -> bool:
        """Announce the start of a run, before it is commanded. Return whether a majority must acknowledge it first."""
        return request.key is not None and self.node.start_work(key_of(*request.key))

    def must_confirm_rejection(self, request: Request) -> bool:
        """Return whether the cluster's registers name this runner as the owner of the request's work."""
        entry = None if request.key is None else self.core.keys.of_attempt(request.number)
        if entry is None or entry.number != request.number or self._serves_without_majority:
            return False
        tenure = self.node.tenures.get(key_of(*entry.key))
        return tenure is not None and tenure.is_queued

    def key_released(self, entry: KeyEntry) -> None:
        """Called when an attempt has ended and never ran. This runner has rejected it if it had taken it over."""
        key = key_of(*entry.key)
        tenure = self.node.tenures.get(key)
        is_rejected = tenure is not None and tenure.taken_over
        completion, number = self.core.completion, entry.number
        self.node.release_work(
            key, is_rejected, on_released=lambda confirmed: completion.key_released(number, confirmed)
        )

    def key_finished(self, entry: KeyEntry) -> None:
        """Called when a run has ended."""
        self.node.finish_work(key_of(*entry.key), entry.result)

    # ---- NodeHost: decisions of the cluster ----

    def notify(self, event: WorkEvent) -> None:
        """Apply a decision about a key to the request engine."""
        self._handlers[type(event)](event)

    def _request(self, key: KeyDigest) -> Request | None:
        core_key = self._core_keys.get(key)
        entry = None if core_key is None else self.core.keys.find(core_key, self.core.clock.now)
        return None if entry is None else self.core.table.by_number.get(entry.number)

    def _claim_granted(self, event: ClaimGranted) -> None:
        if (request := self._request(event.key)) is not None:
            tenure = self.node.tenures.get(event.key)
            if tenure is not None and tenure.attempt > 1:
                request.uncounted = (
                    False  # not a first attempt: an earlier one was rejected, here or elsewhere
                )
            self.core.remote_claims.granted(request)

    def _claim_joined(self, event: ClaimJoined) -> None:
        if (request := self._request(event.key)) is not None:
            self.core.remote_claims.joined(request)

    def _body_differs(self, event: BodyDiffers) -> None:
        if (request := self._request(event.key)) is not None:
            self.core.remote_claims.unavailable(request, "this token came before with another body")

    def _claim_uncovered(self, event: ClaimUncovered) -> None:
        request = self._request(event.key)
        if request is None:
            return
        if self._serves_without_majority:
            self.core.remote_claims.granted(request)
        else:
            self.core.remote_claims.unavailable(request, event.reason, event.proven)

    def _start_confirmed(self, event: StartConfirmed) -> None:
        if (request := self._request(event.key)) is not None:
            self.core.remote_claims.start_confirmed(request)

    def _start_uncovered(self, event: StartUncovered) -> None:
        if (request := self._request(event.key)) is not None:
            self.core.remote_claims.start_unconfirmed(request, event.reason)

    def _moved_away(self, event: StartLost | HandedOver) -> None:
        if (request := self._request(event.key)) is not None:
            self.core.remote_claims.moved_away(request)

    def _result_known(self, event: ResultKnown) -> None:
        if (request := self._request(event.key)) is not None:  # its claim was still pending
            self.core.remote_claims.joined(request)
        core_key = self._core_keys.get(event.key)
        if core_key is not None:
            self.core.remote_claims.result_received(core_key, event.result)

    def _rejected_by_all(self, event: RejectedByAll) -> None:
        if (core_key := self._core_keys.get(event.key)) is not None:
            self.core.remote_claims.never_ran(core_key)

    def _key_forgotten(self, event: KeyForgotten) -> None:
        self._core_keys.pop(event.key, None)

    # ---- NodeHost: work of other runners ----

    def accept_takeover(
        self, key: KeyDigest, body_digest: int, request: WorkRequest, expires_at: int
    ) -> bool:
        """Queue another runner's work under the rules that applied there when it was read.

        :returns: False if it can't be queued. True also if its rules must be fetched before it is queued.
        """
        self._core_keys[key] = (request.tenant, request.token)
        arrival = self._arrival(request)
        if request.rules_revision is None:
            return self._queue(arrival, None)
        if self.namespaces is None:
            log.warning(
                "fleet: did not take over work of another runner: key=%s reason=namespaces are not enabled",
                request.token,
            )
            return False
        self._awaiting_rules.add(key)
        self.namespaces.decide_by_revision(
            arrival, request.rules_revision, lambda ruling: self._queue_with_rules(key, arrival, ruling)
        )
        return True

    def _arrival(self, request: WorkRequest) -> Arrival:
        request_id = request.request_id
        if request_id in self.core.table.by_rid:
            request_id = f"{request_id[:MAX_REQUEST_ID_CHARS]}.{len(self.core.table)}"
        return Arrival(
            request_id,
            request.request_class,
            request.content,
            request.arrived_unix_ms,
            None,
            request.budget_ms,
            request.tenant,
            request.caller,
            request.memory_kb,
            request.rank,
            request.token,
            request.subject,
        )

    def _queue_with_rules(self, key: KeyDigest, arrival: Arrival, ruling: Any) -> None:
        # Queues work whose rules were fetched, or releases it to another runner if they could not be.
        # `ruling` is the decision of the rules, or the error that prevented it.
        self._awaiting_rules.discard(key)
        tenure = self.node.tenures.get(key)
        if tenure is None or not tenure.is_queued:
            return  # another runner has acquired it meanwhile
        if isinstance(ruling, Exception):
            self.count("fleet: not taken up without its rules")
            log.warning(
                "fleet: did not take over work of another runner: key=%s reason=%s", arrival.token, ruling
            )
            self.node.release_work(key, rejected=True)
        elif not self._queue(arrival, ruling):
            self.node.release_work(key, rejected=True)

    def _queue(self, arrival: Arrival, ruling: Any) -> bool:
        result = self.core.remote_claims.take_over(arrival, self._no_reply, 0, ruling)
        if not isinstance(result, Request):
            log.warning(
                "fleet: did not take over work of another runner: key=%s reason=%s",
                arrival.token,
                result.value,
            )
            return False
        return True

    def work_in_hand(self, key: KeyDigest) -> WorkInHand:
        """Return the state of a key in this runner, including the other process during a hot restart."""
        if key in self._awaiting_rules:
            return WorkInHand(in_hand=True)
        core_key = self._core_keys.get(key)
        entry = None if core_key is None else self.core.keys.find(core_key, self.core.clock.now)
        has_sibling = self.core.key_claims.peer is not None  # another process of this runner
        if entry is None and has_sibling:
            entry = next(
                (other for other in self.core.keys.entries() if other.remote and key_of(*other.key) == key),
                None,
            )
        if entry is None:
            return WorkInHand(in_hand=False)
        is_local = entry.owner is not KeyOwner.ELSEWHERE
        return WorkInHand(is_local and not entry.finished, entry.finished, entry.result)
