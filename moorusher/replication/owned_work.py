"""Keyed work that this runner claims, begins, settles, frees and hands over: each by a change of its register."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership.failure_detector import MS
from .key_tenure import Tenure, TenureStage
from .messages import OwnershipReply
from .proposer import ChangeFunction, ChangeResult
from .work_record import (
    ClaimWork,
    FinishWork,
    Key,
    ReleaseWork,
    StartWork,
    WithdrawClaim,
    WorkRecord,
    WorkRequest,
    WorkState,
)

if TYPE_CHECKING:
    from .node import Node

# To take a claim back where nobody waits, and there may be thousands: the side of a cut without majorities.
MAX_WITHDRAW_BACKOFF_US = 8_000 * MS
MAX_WITHDRAWALS = 4_000


class OwnedWork:
    """An owner's path through the life of work. Steps on one key go one after the other (`Tenure.do`)."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._withdrawals = 0

    def claim(self, key: Key, body: int, order: WorkRequest, until: int) -> None:
        """One of `mine`, `theirs`, `over`, `differs` and `uncovered` follows, maybe at once."""
        before = self._node.tenures.get(key)
        t = self._node.tenures[key] = Tenure(key, body, order, until, TenureStage.CLAIMING)

        def claimed(done: ChangeResult | None) -> None:
            if (
                t.stage is not TenureStage.CLAIMING
            ):  # its caller has gone meanwhile: what was written is taken back
                work: WorkRecord | None = None if done is None else done.value
                t.attempt = work.attempt if work is not None and work.owner == self._node.owner else 0
                return t.finish_step()
            if done is None:
                self._node.host.count("fleet: uncovered")
                self._node.host.uncovered(
                    key, "no majority of its keepers answers", not self._node.registers.last_may_be_chosen
                )
                if self._node.registers.last_may_be_chosen:
                    self._withdraw(t)
                else:
                    self._node.forget(t)
                return t.finish_step()
            self._node.watched_work.adopt(t, done)
            t.finish_step()

        def step() -> None:
            if t.stage is not TenureStage.CLAIMING:
                return t.finish_step()
            self._node.change(
                key,
                ClaimWork(self._node.owner, body, order),
                until,
                round(self._node.policy.claim_ms * MS),
                claimed,
            )

        def late() -> None:
            if self._node.tenures.get(key) is t and t.stage is TenureStage.CLAIMING and not t.busy:
                t.stage = TenureStage.FINISHING
                self._node.host.count("fleet: uncovered")
                self._node.host.uncovered(key, "an earlier try is not taken back yet", False)
                self._node.forget(t)

        if before is not None and before.busy:  # an earlier try is still being taken back: that goes first
            self._node.at(self._node.clock() + round(self._node.policy.claim_ms * MS), late)

            def after() -> None:
                t.run_step(step)
                before.finish_step()

            before._steps.append(after)
        else:
            t.run_step(step)

    def start(self, key: Key) -> bool:
        """Before a run is commanded: `begun`, `lost` or `not_begun` follows. False where it is not the fleet's."""
        t = self._node.tenures.get(key)
        if t is None or t.stage is not TenureStage.HELD:
            return False
        t.stage = TenureStage.STARTING

        def answered(done: ChangeResult | None) -> None:
            if done is None:
                self._node.host.count("fleet: not begun")
                if self._node.policy.alone:
                    t.stage = TenureStage.STARTED
                    self._node.host.begun(key)
                else:
                    t.stage = TenureStage.HELD
                    self._node.host.not_begun(key, "no majority of its keepers answers")
                return t.finish_step()
            work: WorkRecord | None = done.value
            if (
                work is not None
                and work.state is WorkState.STARTED
                and work.owner == self._node.owner
                and work.attempt == t.attempt
            ):
                t.stage, t.promise = TenureStage.STARTED, done.promise
                self._node.host.begun(key)
            else:
                self._node.host.count("fleet: lost to another")
                self._node.host.lost(key)
                t.stage, t.promise = TenureStage.OWNED_ELSEWHERE, None
                self._node.watched_work.adopt(t, done)
            return t.finish_step()

        def step() -> None:
            if t.stage is not TenureStage.STARTING:  # given away meanwhile
                return t.finish_step()
            hold, t.promise = t.promise, None
            self._node.change(
                key,
                StartWork(self._node.owner, t.attempt),
                t.expires_at,
                round(self._node.policy.claim_ms * MS),
                answered,
                hold,
            )

        t.run_step(step)
        return True

    def finish(self, key: Key, result: bytes | None) -> None:
        """A run of ours is over."""
        t = self._node.tenures.get(key)
        if t is None or t.stage is TenureStage.OWNED_ELSEWHERE:
            return
        t.stage, t.result = TenureStage.FINISHING, result
        for seat in t.waiting_seats:
            self._node.host.send(seat, OwnershipReply(key, t.attempt, False, True, result))
        t.waiting_seats.clear()
        self._write_until_chosen(t, FinishWork(self._node.owner, t.attempt, result))

    def release(self, key: Key, turned: bool = False) -> None:
        """A try of ours is over, and never ran. `turned`: work that was another's, or that others wait for, goes on to
        the next one."""
        t = self._node.tenures.get(key)
        if t is None or t.stage is TenureStage.OWNED_ELSEWHERE:
            return
        offer = t.request if t.taken_over or t.waiting_seats else None
        t.stage = TenureStage.FINISHING

        def step() -> None:
            attempt = t.attempt or 1

            def freed(done: ChangeResult | None) -> None:
                self._node.forget(t)
                work = None if done is None else done.value
                if work is not None and work.state is WorkState.RELEASED and work.request is not None:
                    self._node.takeover.offer(key, work)
                for seat in t.waiting_seats:
                    self._node.host.send(seat, OwnershipReply(key, t.attempt, False))
                t.finish_step()

            hold, t.promise = t.promise, None
            self._node.change(
                key,
                ReleaseWork(self._node.owner, attempt, offer, turned),
                t.expires_at,
                max(MS, t.expires_at - self._node.clock()),
                freed,
                hold,
            )

        t.run_step(step)

    def _withdraw(self, t: Tenure) -> None:
        """What nobody waits for may be ours in the register yet: were this runner lost later, another would run it."""
        if self._node.policy.alone:
            return self._node.forget(t)
        if self._withdrawals >= MAX_WITHDRAWALS:
            self._node.host.count("fleet: not taken back")
            return self._node.forget(t)
        t.stage = TenureStage.FINISHING
        self._withdrawals += 1

        def back(done: ChangeResult | None) -> None:
            self._withdrawals -= 1
            self._node.forget(t)
            t.finish_step()

        t.run_step(
            lambda: self._node.change(
                t.key,
                WithdrawClaim(self._node.owner),
                t.expires_at,
                max(MS, t.expires_at - self._node.clock()),
                back,
                most=MAX_WITHDRAW_BACKOFF_US,
            ),
        )
        return None

    def _write_until_chosen(self, t: Tenure, change: ChangeFunction) -> None:
        """Tried until it is chosen, or no longer counts."""

        def settled(done: ChangeResult | None) -> None:
            self._node.forget(t)
            t.finish_step()

        def step() -> None:
            hold, t.promise = t.promise, None
            self._node.change(
                t.key, change, t.expires_at, max(MS, t.expires_at - self._node.clock()), settled, hold
            )

        t.run_step(step)

    def hand_over(self, key: Key) -> None:
        """Held work of ours, to whoever can run it: `given` follows once nobody can lose it any more."""
        t = self._node.tenures.get(key)
        if t is None or t.stage is not TenureStage.HELD or t.request is None:
            return
        order = t.request

        def freed(done: ChangeResult | None) -> None:
            work = None if done is None else done.value
            if (
                done is not None
                and work is not None
                and not (work.owner == self._node.owner and work.state is WorkState.HELD)
            ):
                self._node.host.given(key)
                self._node.host.count("fleet: handed over")
                t.stage, t.promise = TenureStage.OWNED_ELSEWHERE, None
                if work.state is WorkState.RELEASED:
                    self._node.takeover.offer(key, work)
                for seat in t.waiting_seats:
                    self._node.host.send(seat, OwnershipReply(key, t.attempt, False))
                t.waiting_seats.clear()
                self._node.watched_work.adopt(t, done)
            t.finish_step()

        def step() -> None:
            if t.stage is not TenureStage.HELD:
                return t.finish_step()
            hold, t.promise = t.promise, None
            self._node.change(
                key,
                ReleaseWork(self._node.owner, t.attempt, order, rejected=False),
                t.expires_at,
                round(self._node.policy.claim_ms * MS),
                freed,
                hold,
            )

        t.run_step(step)
