"""Keyed work that another runner has: asked for, waited for, and gone on with where its owner is silent or gone."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..membership.failure_detector import MS
from .key_tenure import Tenure, TenureStage
from .messages import OwnershipQuery, OwnershipReply
from .proposer import ChangeFunction, ChangeResult
from .work_record import ClaimWork, EndOrphanedWork, ReadOnly, TakeOverWork, WorkRecord, WorkState

if TYPE_CHECKING:
    from .node import Node

OWNER_ANSWER_TIMEOUT_US = 150 * MS  # an owner says by then that it has the work, or is taken for silent
OWNER_POLL_US = 400 * MS  # until it is asked again


class WatchedWork:
    """What a runner does about work that it waits for."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def finished(self, t: Tenure, result: bytes | None) -> None:
        """Of another's work."""
        self._node.host.count(
            "fleet: ended without a result" if result is None else "fleet: result of another"
        )
        self._node.host.over(t.key, result)
        self._node.forget(t)

    def adopt(self, t: Tenure, done: ChangeResult) -> None:
        """What a claim, or a look at another's work, has found."""
        work: WorkRecord | None = done.value
        claiming = t.stage is TenureStage.CLAIMING
        if work is not None and work.body_digest != t.body_digest:
            if claiming:
                self._node.host.differs(t.key)
            else:
                self._node.host.over(t.key, None)
            return self._node.forget(t)
        if work is not None and work.state is WorkState.HELD and work.owner == self._node.owner:
            t.stage, t.attempt, t.promise, t.owner = TenureStage.HELD, work.attempt, done.promise, None
            if claiming:
                self._node.host.count("fleet: covered")
                return self._node.host.mine(t.key)
            t.taken_over, t.request = True, work.request
            self._node.host.count("fleet: taken over")
            if work.request is None or not self._node.host.take_up(
                t.key, t.body_digest, work.request, t.expires_at
            ):
                self._node.owned_work.release(t.key, turned=True)
            return None
        if work is not None and work.state is WorkState.FINISHED:
            return self.finished(t, work.result)
        t.stage = TenureStage.OWNED_ELSEWHERE
        if work is None:  # forgotten, as its time is over
            t.owner, t.state = None, WorkState.RELEASED
        else:
            t.owner, t.attempt, t.state = work.owner, work.attempt, work.state
            if (
                work.state is WorkState.RELEASED
                and self._node.me in work.rejected_by
                and t.stage is TenureStage.OWNED_ELSEWHERE
                and not claiming
            ):
                # All that can run it have turned it away, and this one has too.
                self._node.host.count("fleet: turned away by all")
                self._node.host.none_ran(t.key)
                return self._node.forget(t)
        if claiming:
            self._node.host.count("fleet: joined")
            self._node.host.theirs(t.key)
        self.watch(t)
        return None

    def watch(self, t: Tenure) -> None:
        """Asks the owner whether it still has it. Who does not answer is not waited for."""
        t.watch_serial += 1
        mark, t.alive = t.watch_serial, False
        if t.owner is not None and t.owner.seat != self._node.me and t.state is not WorkState.RELEASED:
            self._node.host.send(t.owner.seat, OwnershipQuery(t.key, t.attempt))

        def silent() -> None:
            if (
                t.watch_serial == mark
                and t.stage is TenureStage.OWNED_ELSEWHERE
                and self._node.tenures.get(t.key) is t
            ):
                self.continue_work(t)

        self._node.at(self._node.clock() + OWNER_ANSWER_TIMEOUT_US, silent)

    def continue_work(self, t: Tenure, gone: bool = False) -> None:
        """Its owner is silent, or has said that it is not in its hands (`gone`)."""
        t.watch_serial += 1
        if self._node.clock() >= t.expires_at:
            return self.finished(t, None)
        owner = t.owner
        change: ChangeFunction
        if (
            t.state is WorkState.STARTED
            and owner is not None
            and (gone or self._node.takeover.is_lost(owner))
        ):
            change = EndOrphanedWork(owner, t.attempt)
        elif t.state is WorkState.STARTED or not self._node.host.fit():
            change = ReadOnly()
        elif t.state is WorkState.RELEASED and t.request is not None:
            change = _FirstThatApplies(
                TakeOverWork(self._node.owner, owner or self._node.owner, t.attempt),
                ClaimWork(self._node.owner, t.body_digest, t.request),
            )
        else:
            change = TakeOverWork(self._node.owner, owner or self._node.owner, t.attempt)

        def looked(done: ChangeResult | None) -> None:
            if self._node.tenures.get(t.key) is t and t.stage is TenureStage.OWNED_ELSEWHERE:
                if done is None:
                    self._watch_later(t)
                else:
                    self.adopt(t, done)
            t.finish_step()

        t.run_step(
            lambda: self._node.change(
                t.key, change, t.expires_at, round(self._node.policy.claim_ms * MS), looked
            )
        )
        return None

    def _watch_later(self, t: Tenure) -> None:
        t.watch_serial += 1
        mark = t.watch_serial

        def again() -> None:
            if (
                t.watch_serial == mark
                and t.stage is TenureStage.OWNED_ELSEWHERE
                and self._node.tenures.get(t.key) is t
            ):
                self.watch(t)

        self._node.at(self._node.clock() + OWNER_POLL_US, again)

    def handle_query(self, seat: str, m: OwnershipQuery) -> None:
        t = self._node.tenures.get(m.key)
        if t is not None and t.stage is TenureStage.OWNED_ELSEWHERE:
            return self._node.host.reply(seat, OwnershipReply(m.key, m.attempt, False))
        in_hand, over, result = self._node.host.has(m.key)
        if t is not None and t.stage is TenureStage.FINISHING:
            over, result = over or t.result is not None, result if t.result is None else t.result
        elif in_hand and t is not None:
            t.waiting_seats.add(seat)
        return self._node.host.reply(seat, OwnershipReply(m.key, m.attempt, in_hand, over, result))

    def handle_reply(self, seat: str, m: OwnershipReply) -> None:
        t = self._node.tenures.get(m.key)
        if (
            t is None
            or t.stage is not TenureStage.OWNED_ELSEWHERE
            or t.owner is None
            or t.owner.seat != seat
            or t.attempt != m.attempt
        ):
            return
        if m.finished:
            self.finished(t, m.result)
        elif m.in_hand:
            self._watch_later(t)
        else:
            self.continue_work(t, gone=True)


class _FirstThatApplies:
    def __init__(
        self,
        first: Callable[[WorkRecord | None], WorkRecord | None],
        second: Callable[[WorkRecord | None], WorkRecord | None],
    ) -> None:
        self._first, self._second = first, second

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        made = self._first(old)
        return self._second(old) if made is None else made
