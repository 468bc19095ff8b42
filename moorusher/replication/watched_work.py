"""Keyed work that another runner owns.

This runner waits for the result, and ends the work or takes it over if the owner does not answer.
"""

from __future__ import annotations

from dataclasses import dataclass

from moorusher.time_units import MS

from .interfaces import WorkNode
from .key_tenure import Tenure, TenureStage
from .messages import OwnershipQuery, OwnershipReply
from .proposer import ChangeFunction, ChangeResult
from .work_events import BodyDiffers, ClaimGranted, ClaimJoined, RejectedByAll, ResultKnown
from .work_record import ClaimWork, EndOrphanedWork, ReadOnly, TakeOverWork, WorkRecord, WorkState

# Time for the owner's answer to a query. If there is no answer by then, `continue_work` is called.
OWNER_ANSWER_TIMEOUT_US = 150 * MS
OWNER_POLL_US = 400 * MS  # Time until an owner that still has the work is queried again.


class WatchedWork:
    """The part of a work's lifecycle that a runner executes while it waits for another runner's result."""

    def __init__(self, node: WorkNode) -> None:
        self._node = node

    # ---- register values ----

    def adopt(self, tenure: Tenure, result: ChangeResult) -> None:
        """Apply the register's value after a claim or after a change of work that this runner waits for."""
        work: WorkRecord | None = result.value
        is_claim = tenure.stage is TenureStage.CLAIMING
        if work is None:  # The register has expired.
            self._wait_for(tenure, None, is_claim)
        elif work.body_digest != tenure.body_digest:
            self._body_differs(tenure, is_claim)
        elif work.state is WorkState.QUEUED and work.owner == self._node.owner:
            self._hold(tenure, work, result, is_claim)
        elif work.state is WorkState.FINISHED:
            self._result_known(tenure, work.result)
        else:
            self._wait_for(tenure, work, is_claim)

    def _body_differs(self, tenure: Tenure, is_claim: bool) -> None:
        if is_claim:
            self._node.host.notify(BodyDiffers(tenure.key))
        else:
            self._node.host.notify(ResultKnown(tenure.key, None))
        self._node.forget(tenure)

    def _hold(self, tenure: Tenure, work: WorkRecord, result: ChangeResult, is_claim: bool) -> None:
        """Record that this runner owns the work, which it has claimed or taken over."""
        tenure.stage = TenureStage.QUEUED
        tenure.attempt = work.attempt
        tenure.promise = result.promise
        tenure.owner = None
        if is_claim:
            self._node.host.count("fleet: covered")
            return self._node.host.notify(ClaimGranted(tenure.key))
        tenure.taken_over = True
        tenure.request = work.request
        self._node.host.count("fleet: taken over")
        if work.request is None or not self._node.host.accept_takeover(
            tenure.key, tenure.body_digest, work.request, tenure.expires_at
        ):
            self._node.release_work(tenure.key, rejected=True)
        return None

    def _wait_for(self, tenure: Tenure, work: WorkRecord | None, is_claim: bool) -> None:
        """Wait for another runner's work. `work` is None if its register has expired."""
        tenure.stage = TenureStage.OWNED_ELSEWHERE
        if work is None:
            tenure.owner = None
            tenure.state = WorkState.RELEASED
        else:
            tenure.owner = work.owner
            tenure.attempt = work.attempt
            tenure.state = work.state
            is_rejected_here = work.state is WorkState.RELEASED and self._node.me in work.rejected_by
            if is_rejected_here and not is_claim:
                # Work returns to a seat that has rejected it only after all other seats that can run it have rejected
                # it too.
                self._node.host.count("fleet: turned away by all")
                self._node.host.notify(RejectedByAll(tenure.key))
                return self._node.forget(tenure)
        if is_claim:
            self._node.host.count("fleet: joined")
            self._node.host.notify(ClaimJoined(tenure.key))
        self._watch(tenure)
        return None

    def _result_known(self, tenure: Tenure, result: bytes | None) -> None:
        counter = "fleet: ended without a result" if result is None else "fleet: result of another"
        self._node.host.count(counter)
        self._node.host.notify(ResultKnown(tenure.key, result))
        self._node.forget(tenure)

    # ---- queries to the owner ----

    def _watch(self, tenure: Tenure) -> None:
        """Query the owner, and call `continue_work` if the owner does not answer in time."""
        tenure.watch_serial += 1
        serial = tenure.watch_serial
        owner = tenure.owner
        if owner is not None and owner.seat != self._node.me and tenure.state is not WorkState.RELEASED:
            self._node.host.send(owner.seat, OwnershipQuery(tenure.key, tenure.attempt))

        def owner_is_silent() -> None:
            if self._is_current(tenure, serial):
                self.continue_work(tenure)

        self._node.at(self._node.clock() + OWNER_ANSWER_TIMEOUT_US, owner_is_silent)

    def _watch_later(self, tenure: Tenure) -> None:
        tenure.watch_serial += 1
        serial = tenure.watch_serial

        def continue_watching() -> None:
            if self._is_current(tenure, serial):
                self._watch(tenure)

        self._node.at(self._node.clock() + OWNER_POLL_US, continue_watching)

    def _is_current(self, tenure: Tenure, serial: int) -> bool:
        """Return whether the watch with that serial is still the current one."""
        return (
            tenure.watch_serial == serial
            and tenure.stage is TenureStage.OWNED_ELSEWHERE
            and self._node.tenures.get(tenure.key) is tenure
        )

    def continue_work(self, tenure: Tenure, not_in_hand: bool = False) -> None:
        """End or take over work whose owner does not answer or does not have it; else read the work's register.

        :param not_in_hand: Whether the owner has answered that the work is neither queued nor running there.
        """
        tenure.watch_serial += 1
        if self._node.clock() >= tenure.expires_at:
            return self._result_known(tenure, None)
        change = self._next_change(tenure, not_in_hand)

        def changed(result: ChangeResult | None) -> None:
            is_owned_elsewhere = tenure.stage is TenureStage.OWNED_ELSEWHERE
            if self._node.tenures.get(tenure.key) is tenure and is_owned_elsewhere:
                if result is None:
                    self._watch_later(tenure)
                else:
                    self.adopt(tenure, result)
            tenure.finish_step()

        tenure.run_step(
            lambda: self._node.change(
                tenure.key, change, tenure.expires_at, self._node.claim_timeout_us, changed
            )
        )
        return None

    def _next_change(self, tenure: Tenure, not_in_hand: bool) -> ChangeFunction:
        """Return the change for work whose owner does not have it or does not answer."""
        # Started work is finished without a result if its owner is lost or does not have it, and is never run again.
        # Queued or released work is taken over if this runner can run it.
        owner = tenure.owner
        if tenure.state is WorkState.STARTED:
            if owner is not None and (not_in_hand or self._node.is_lost(owner)):
                return EndOrphanedWork(owner, tenure.attempt)
            return ReadOnly()
        if not self._node.host.can_accept_work():
            return ReadOnly()
        take_over = TakeOverWork(self._node.owner, owner or self._node.owner, tenure.attempt)
        if tenure.state is WorkState.RELEASED and tenure.request is not None:
            claim = ClaimWork(self._node.owner, tenure.body_digest, tenure.request)
            return _FirstThatApplies(take_over, claim)
        return take_over

    # ---- messages ----

    def handle_query(self, seat: str, query: OwnershipQuery) -> None:
        """Handle the query of a runner that considers this one the owner of the work."""
        tenure = self._node.tenures.get(query.key)
        if tenure is not None and tenure.stage is TenureStage.OWNED_ELSEWHERE:
            return self._node.host.reply(seat, OwnershipReply(query.key, query.attempt, False))
        known = self._node.host.work_in_hand(query.key)
        finished = known.finished
        result = known.result
        if tenure is not None and tenure.stage is TenureStage.FINISHING:
            finished = finished or tenure.result is not None
            result = result if tenure.result is None else tenure.result
        elif known.in_hand and tenure is not None:
            tenure.waiting_seats.add(seat)
        reply = OwnershipReply(query.key, query.attempt, known.in_hand, finished, result)
        return self._node.host.reply(seat, reply)

    def handle_reply(self, seat: str, reply: OwnershipReply) -> None:
        """Handle the owner's answer to a query."""
        tenure = self._node.tenures.get(reply.key)
        if tenure is None or tenure.stage is not TenureStage.OWNED_ELSEWHERE:
            return
        if tenure.owner is None or tenure.owner.seat != seat or tenure.attempt != reply.attempt:
            return
        if reply.finished:
            self._result_known(tenure, reply.result)
        elif reply.in_hand:
            self._watch_later(tenure)
        else:
            self.continue_work(tenure, not_in_hand=True)


@dataclass(frozen=True, slots=True)
class _FirstThatApplies:
    """The first change, or the second if the first leaves the value unchanged."""

    first: ChangeFunction
    second: ChangeFunction

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        new: WorkRecord | None = self.first(old)
        if new is None:
            new = self.second(old)
        return new
