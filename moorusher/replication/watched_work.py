"""Keyed work that another runner has: asked for, waited for, and gone on with where its owner is silent or gone."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..membership.failure_detector import MS
from .key_tenure import Stage, Tenure
from .messages import Had, Has
from .proposer import Change, Done
from .work_record import Bury, Claim, Look, State, Work
from .work_record import Take as TakeWork

if TYPE_CHECKING:
    from .node import Node

ANSWERS = 150 * MS  # an owner says by then that it has the work, or is taken for silent
WATCH = 400 * MS  # until it is asked again


class WatchedWork:
    """What a runner does about work that it waits for."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def over(self, t: Tenure, result: bytes | None) -> None:
        """Of another's work."""
        self._node.host.count(
            "fleet: ended without a result" if result is None else "fleet: result of another"
        )
        self._node.host.over(t.key, result)
        self._node.forget(t)

    def read(self, t: Tenure, done: Done) -> None:
        """What a claim, or a look at another's work, has found."""
        work: Work | None = done.value
        claiming = t.stage is Stage.CLAIMING
        if work is not None and work.body != t.body:
            if claiming:
                self._node.host.differs(t.key)
            else:
                self._node.host.over(t.key, None)
            return self._node.forget(t)
        if work is not None and work.state is State.HELD and work.owner == self._node.owner:
            t.stage, t.attempt, t.hold, t.owner = Stage.MINE, work.attempt, done.hold, None
            if claiming:
                self._node.host.count("fleet: covered")
                return self._node.host.mine(t.key)
            t.taken, t.order = True, work.order
            self._node.host.count("fleet: taken over")
            if work.order is None or not self._node.host.take_up(t.key, t.body, work.order, t.until):
                self._node.owned.free(t.key, turned=True)
            return None
        if work is not None and work.state is State.OVER:
            return self.over(t, work.result)
        t.stage = Stage.JOINED
        if work is None:  # forgotten, as its time is over
            t.owner, t.state = None, State.FREE
        else:
            t.owner, t.attempt, t.state = work.owner, work.attempt, work.state
            if (
                work.state is State.FREE
                and self._node.me in work.turned
                and t.stage is Stage.JOINED
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
        t.asked += 1
        mark, t.alive = t.asked, False
        if t.owner is not None and t.owner.seat != self._node.me and t.state is not State.FREE:
            self._node.host.send(t.owner.seat, Has(t.key, t.attempt))

        def silent() -> None:
            if t.asked == mark and t.stage is Stage.JOINED and self._node.tenures.get(t.key) is t:
                self.go_on(t)

        self._node.at(self._node.clock() + ANSWERS, silent)

    def go_on(self, t: Tenure, gone: bool = False) -> None:
        """Its owner is silent, or has said that it is not in its hands (`gone`)."""
        t.asked += 1
        if self._node.clock() >= t.until:
            return self.over(t, None)
        owner = t.owner
        change: Change
        if t.state is State.BEGUN and owner is not None and (gone or self._node.left.past(owner)):
            change = Bury(owner, t.attempt)
        elif t.state is State.BEGUN or not self._node.host.fit():
            change = Look()
        elif t.state is State.FREE and t.order is not None:
            change = _Either(
                TakeWork(self._node.owner, owner or self._node.owner, t.attempt),
                Claim(self._node.owner, t.body, t.order),
            )
        else:
            change = TakeWork(self._node.owner, owner or self._node.owner, t.attempt)

        def looked(done: Done | None) -> None:
            if self._node.tenures.get(t.key) is t and t.stage is Stage.JOINED:
                if done is None:
                    self._watch_later(t)
                else:
                    self.read(t, done)
            t.next_step()

        t.do(
            lambda: self._node.change(t.key, change, t.until, round(self._node.policy.claim_ms * MS), looked)
        )
        return None

    def _watch_later(self, t: Tenure) -> None:
        t.asked += 1
        mark = t.asked

        def again() -> None:
            if t.asked == mark and t.stage is Stage.JOINED and self._node.tenures.get(t.key) is t:
                self.watch(t)

        self._node.at(self._node.clock() + WATCH, again)

    def has(self, seat: str, m: Has) -> None:
        t = self._node.tenures.get(m.key)
        if t is not None and t.stage is Stage.JOINED:
            return self._node.host.reply(seat, Had(m.key, m.attempt, False))
        in_hand, over, result = self._node.host.has(m.key)
        if t is not None and t.stage is Stage.SETTLING:
            over, result = over or t.result is not None, result if t.result is None else t.result
        elif in_hand and t is not None:
            t.askers.add(seat)
        return self._node.host.reply(seat, Had(m.key, m.attempt, in_hand, over, result))

    def had(self, seat: str, m: Had) -> None:
        t = self._node.tenures.get(m.key)
        if (
            t is None
            or t.stage is not Stage.JOINED
            or t.owner is None
            or t.owner.seat != seat
            or t.attempt != m.attempt
        ):
            return
        if m.over:
            self.over(t, m.result)
        elif m.has:
            self._watch_later(t)
        else:
            self.go_on(t, gone=True)


class _Either:
    def __init__(
        self,
        first: Callable[[Work | None], Work | None],
        second: Callable[[Work | None], Work | None],
    ) -> None:
        self._first, self._second = first, second

    def __call__(self, old: Work | None) -> Work | None:
        made = self._first(old)
        return self._second(old) if made is None else made
