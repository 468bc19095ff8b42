"""Keyed work that this runner claims, begins, settles, frees and hands over: each by a change of its register."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership.failure_detector import MS
from .key_tenure import Stage, Tenure
from .messages import Had
from .proposer import Change, Done
from .work_record import Begin as BeginWork
from .work_record import Claim, Free, Key, Order, Settle, State, Withdraw, Work

if TYPE_CHECKING:
    from .node import Node

# To take a claim back where nobody waits, and there may be thousands: the side of a cut without majorities.
TAKE_BACK = 8_000 * MS
MOST_QUEUE = 4_000


class OwnedWork:
    """An owner's path through the life of work. Steps on one key go one after the other (`Tenure.do`)."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._taking_back = 0

    def claim(self, key: Key, body: int, order: Order, until: int) -> None:
        """One of `mine`, `theirs`, `over`, `differs` and `uncovered` follows, maybe at once."""
        before = self._node.tenures.get(key)
        t = self._node.tenures[key] = Tenure(key, body, order, until, Stage.CLAIMING)

        def claimed(done: Done | None) -> None:
            if t.stage is not Stage.CLAIMING:  # its caller has gone meanwhile: what was written is taken back
                work: Work | None = None if done is None else done.value
                t.attempt = work.attempt if work is not None and work.owner == self._node.owner else 0
                return t.next_step()
            if done is None:
                self._node.host.count("fleet: uncovered")
                self._node.host.uncovered(
                    key, "no majority of its keepers answers", not self._node.registers.unsure
                )
                if self._node.registers.unsure:
                    self._take_back(t)
                else:
                    self._node.forget(t)
                return t.next_step()
            self._node.watched.read(t, done)
            t.next_step()

        def step() -> None:
            if t.stage is not Stage.CLAIMING:
                return t.next_step()
            self._node.change(
                key,
                Claim(self._node.owner, body, order),
                until,
                round(self._node.policy.claim_ms * MS),
                claimed,
            )

        def late() -> None:
            if self._node.tenures.get(key) is t and t.stage is Stage.CLAIMING and not t.busy:
                t.stage = Stage.SETTLING
                self._node.host.count("fleet: uncovered")
                self._node.host.uncovered(key, "an earlier try is not taken back yet", False)
                self._node.forget(t)

        if before is not None and before.busy:  # an earlier try is still being taken back: that goes first
            self._node.at(self._node.clock() + round(self._node.policy.claim_ms * MS), late)

            def after() -> None:
                t.do(step)
                before.next_step()

            before.queue.append(after)
        else:
            t.do(step)

    def begin(self, key: Key) -> bool:
        """Before a run is commanded: `begun`, `lost` or `not_begun` follows. False where it is not the fleet's."""
        t = self._node.tenures.get(key)
        if t is None or t.stage is not Stage.MINE:
            return False
        t.stage = Stage.BEGINNING

        def answered(done: Done | None) -> None:
            if done is None:
                self._node.host.count("fleet: not begun")
                if self._node.policy.alone:
                    t.stage = Stage.BEGUN
                    self._node.host.begun(key)
                else:
                    t.stage = Stage.MINE
                    self._node.host.not_begun(key, "no majority of its keepers answers")
                return t.next_step()
            work: Work | None = done.value
            if (
                work is not None
                and work.state is State.BEGUN
                and work.owner == self._node.owner
                and work.attempt == t.attempt
            ):
                t.stage, t.hold = Stage.BEGUN, done.hold
                self._node.host.begun(key)
            else:
                self._node.host.count("fleet: lost to another")
                self._node.host.lost(key)
                t.stage, t.hold = Stage.JOINED, None
                self._node.watched.read(t, done)
            return t.next_step()

        def step() -> None:
            if t.stage is not Stage.BEGINNING:  # given away meanwhile
                return t.next_step()
            hold, t.hold = t.hold, None
            self._node.change(
                key,
                BeginWork(self._node.owner, t.attempt),
                t.until,
                round(self._node.policy.claim_ms * MS),
                answered,
                hold,
            )

        t.do(step)
        return True

    def settle(self, key: Key, result: bytes | None) -> None:
        """A run of ours is over."""
        t = self._node.tenures.get(key)
        if t is None or t.stage is Stage.JOINED:
            return
        t.stage, t.result = Stage.SETTLING, result
        for seat in t.askers:
            self._node.host.send(seat, Had(key, t.attempt, False, True, result))
        t.askers.clear()
        self._persist(t, Settle(self._node.owner, t.attempt, result))

    def free(self, key: Key, turned: bool = False) -> None:
        """A try of ours is over, and never ran. `turned`: work that was another's, or that others wait for, goes on to
        the next one."""
        t = self._node.tenures.get(key)
        if t is None or t.stage is Stage.JOINED:
            return
        offer = t.order if t.taken or t.askers else None
        t.stage = Stage.SETTLING

        def step() -> None:
            attempt = t.attempt or 1

            def freed(done: Done | None) -> None:
                self._node.forget(t)
                work = None if done is None else done.value
                if work is not None and work.state is State.FREE and work.order is not None:
                    self._node.left.offer(key, work)
                for seat in t.askers:
                    self._node.host.send(seat, Had(key, t.attempt, False))
                t.next_step()

            hold, t.hold = t.hold, None
            self._node.change(
                key,
                Free(self._node.owner, attempt, offer, turned),
                t.until,
                max(MS, t.until - self._node.clock()),
                freed,
                hold,
            )

        t.do(step)

    def _take_back(self, t: Tenure) -> None:
        """What nobody waits for may be ours in the register yet: were this runner lost later, another would run it."""
        if self._node.policy.alone:
            return self._node.forget(t)
        if self._taking_back >= MOST_QUEUE:
            self._node.host.count("fleet: not taken back")
            return self._node.forget(t)
        t.stage = Stage.SETTLING
        self._taking_back += 1

        def back(done: Done | None) -> None:
            self._taking_back -= 1
            self._node.forget(t)
            t.next_step()

        t.do(
            lambda: self._node.change(
                t.key,
                Withdraw(self._node.owner),
                t.until,
                max(MS, t.until - self._node.clock()),
                back,
                most=TAKE_BACK,
            ),
        )
        return None

    def _persist(self, t: Tenure, change: Change) -> None:
        """Tried until it is chosen, or no longer counts."""

        def settled(done: Done | None) -> None:
            self._node.forget(t)
            t.next_step()

        def step() -> None:
            hold, t.hold = t.hold, None
            self._node.change(t.key, change, t.until, max(MS, t.until - self._node.clock()), settled, hold)

        t.do(step)

    def hand_over(self, key: Key) -> None:
        """Held work of ours, to whoever can run it: `given` follows once nobody can lose it any more."""
        t = self._node.tenures.get(key)
        if t is None or t.stage is not Stage.MINE or t.order is None:
            return
        order = t.order

        def freed(done: Done | None) -> None:
            work = None if done is None else done.value
            if (
                done is not None
                and work is not None
                and not (work.owner == self._node.owner and work.state is State.HELD)
            ):
                self._node.host.given(key)
                self._node.host.count("fleet: handed over")
                t.stage, t.hold = Stage.JOINED, None
                if work.state is State.FREE:
                    self._node.left.offer(key, work)
                for seat in t.askers:
                    self._node.host.send(seat, Had(key, t.attempt, False))
                t.askers.clear()
                self._node.watched.read(t, done)
            t.next_step()

        def step() -> None:
            if t.stage is not Stage.MINE:
                return t.next_step()
            hold, t.hold = t.hold, None
            self._node.change(
                key,
                Free(self._node.owner, t.attempt, order, turned=False),
                t.until,
                round(self._node.policy.claim_ms * MS),
                freed,
                hold,
            )

        t.do(step)
