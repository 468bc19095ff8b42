"""One duty in the hands of its owner, for one term: its state, what it has under way, and how it ends.

Whatever is done for the duty begins with a change of its register that a majority takes: so an owner without a majority
does nothing new, and one whose term is over is told so by the register itself. Changes are made one after the other.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from ..membership.failure_detector import MS
from ..replication.proposer import CarriedPromise, ChangeResult
from ..replication.work_record import Key, Owner
from . import chunks as pieces
from .effects import Effect, Fenced, LatestState, Made, OnFleet, Outcome, Told
from .errors import (
    Busy,
    Damaged,
    DutyError,
    Forgotten,
    NoMajority,
    OverBudget,
    Superseded,
    Uncertain,
    Unreached,
)
from .fencing_token import Fence
from .lease_record import (
    MOST_WHAT,
    Advance,
    Change,
    Intend,
    Intent,
    Life,
    Look,
    Own,
    Post,
    Proven,
    PutAside,
    Release,
    Settle,
    Step,
    Yield,
    unpack,
)
from .lease_record import Outcome as OutcomeChange
from .policy import Policy
from .state_replication import Library

MOST_WAITING = 64  # effects before one duty's owner
FETCH = 3_000 * MS  # for the state that the last owner has left
KEEP = 1_500 * MS  # until a majority has the pieces of a state
TRIES = 5  # of a receiver that does not answer
TRY_AGAIN = 200 * MS
LATER = 1_000 * MS


class Stage(Enum):
    """How far one term of a duty has come, at its owner."""

    STARTING = "starting"  # its state is being fetched, what was left open is being settled
    HELD = "held"
    YIELDING = "yielding"
    OVER = "over"


class Host(Protocol):
    """The member that has it."""

    policy: Policy
    library: Library

    @property
    def owner(self) -> Owner: ...
    def change(
        self,
        key: Key,
        change: Change,
        hold: CarriedPromise | None,
        then: Callable[[ChangeResult | None], None],
    ) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def clock(self) -> int: ...
    def count(self, name: str) -> None: ...
    def perform(
        self, to: str, duty: str, fence: Fence, body: bytes, then: Callable[[Told], None]
    ) -> None: ...
    def intend(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None: ...
    def asked(
        self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]
    ) -> None: ...  # and closed
    def started(self, ownership: Ownership) -> None: ...
    def ended(self, ownership: Ownership, why: DutyError | None) -> None: ...


class Ownership:
    """One duty at its owner, for one term."""

    def __init__(self, host: Host, key: Key, post: Post, hold: CarriedPromise | None) -> None:
        self.host, self.key, self.post = host, key, post
        self.owner = host.owner
        self.stage = Stage.STARTING
        self.state = b""
        self.since = host.clock()
        self.told: DutyError | None = None  # why its last change was not made
        self._hold, self._step = hold, post.step
        self._waiting: deque[tuple[Callable[[], None], Callable[[Outcome], None]]] = deque()
        self._busy = False
        self._trying: set[int] = set()  # intents whose settling is under way, or not to be tried
        self._performed: set[int] = set()  # what has gone out in this term
        self._yield_to: str | None = None
        self.settled: Callable[[Intent, bool], None] = lambda intent, done: None  # one that was left open
        if post.versions:
            host.library.get(key, post.versions[0], host.clock() + FETCH, self._fetched)
        else:
            self._begin(b"")

    @property
    def name(self) -> str:
        return self.post.name

    # ---- how it starts ----

    def _fetched(self, state: bytes | None) -> None:
        if self.stage is not Stage.STARTING:
            return
        if state is None:
            # Those who have it may be back soon; whoever takes the duty over then finds it.
            self.told = Damaged(f"{self.name}: no whole copy of its state")
            self.host.count("duties: state not found")
            self.host.at(
                self.host.clock() + LATER,
                lambda: self.host.library.get(
                    self.key, self.post.versions[0], self.host.clock() + FETCH, self._fetched
                ),
            )
            return
        self._begin(state)

    def _begin(self, state: bytes) -> None:
        self.state, self.stage, self.told = state, Stage.HELD, None
        self.host.library.chosen(self.key, self.post)
        self.host.started(self)
        self._settle_open()
        if self.post.lost:
            self.host.at(self.host.clock() + round(self.host.policy.steady_ms * MS), self._prove)

    def _prove(self) -> None:
        if self.stage is Stage.HELD and self.post.lost:
            self._queue(
                lambda: self._change(Proven, (), lambda got: self._done(lambda o: None, got)), lambda o: None
            )

    def _later(self, us: int, then: Callable[[], None]) -> None:
        """Unless it is over by then."""

        def due() -> None:
            if self.stage is not Stage.OVER:
                then()

        self.host.at(self.host.clock() + us, due)

    # ---- one after the other ----

    def do(self, effect: Effect, then: Callable[[Outcome], None]) -> None:
        """`then` is called once, with what was made or why nothing was, as far as that is known: an error of NoMajority
        says that it may come about yet, on the fleet's own state."""
        if self.stage is not Stage.HELD or len(self._waiting) >= MOST_WAITING:
            return then(
                self._over() if self.stage is Stage.OVER else Busy(f"{self.name}: {self.stage.value}")
            )
        match effect:
            case OnFleet():
                self._queue(lambda: self._advance(effect.state, then), then)
            case LatestState():
                self._queue(lambda: self._advance(effect.read(), then), then)
            case Fenced():
                self._queue(lambda: self._fenced(effect, then), then)
            case _:
                if len(effect.what) > MOST_WHAT:
                    return then(
                        OverBudget(f"{self.name}: an intent of {len(effect.what)} bytes; {MOST_WHAT} at most")
                    )
                self._queue(lambda: self._once(effect.to, effect.what, effect.settle, then), then)
        return None

    def _queue(self, step: Callable[[], None], then: Callable[[Outcome], None]) -> None:
        self._waiting.append((step, then))
        self._next()

    def _next(self) -> None:
        if self._busy or self.stage is Stage.OVER:
            return
        if self._waiting:
            self._busy = True
            self._waiting[0][0]()
        elif self._yield_to is not None and self.stage is Stage.YIELDING:
            to, self._yield_to = self._yield_to, None
            self._release(to)

    def _done(self, then: Callable[[Outcome], None], outcome: Outcome) -> None:
        if self.stage is Stage.OVER:
            return
        self._waiting.popleft()
        self._busy = False
        self.told = outcome if isinstance(outcome, DutyError) else None
        then(outcome)
        self._next()

    def _over(self) -> Superseded:
        return Superseded(self.name, self.post.term, None, self.post.term)

    # ---- changes ----

    def _change(self, kind: type[Own], how: tuple[Any, ...], then: Callable[[Outcome], None]) -> None:
        """`then(Made)` with the fence of the change, once a majority has it."""
        self._step += 1
        change = kind(self.owner, self.post.born, self.post.term, self._step, *how)
        hold, self._hold = self._hold, None

        def answered(done: ChangeResult | None) -> None:
            if self.stage is Stage.OVER:
                return
            if done is None:
                self.host.count("duties: no majority")
                return then(NoMajority(self.name))
            found = unpack(done.value)
            if change.made_in(found) and found is not None:
                self.post, self._hold = found, done.promise
                return then(Made(Fence(*found.at)))
            if found is None or (found.born, found.term, found.owner) != (
                self.post.born,
                self.post.term,
                self.owner,
            ):
                return self.superseded(found)
            self.post, self._hold = found, done.promise  # an operator has changed it meanwhile
            return then(Busy(f"{self.name}: it was changed meanwhile"))

        self.host.change(self.key, change, hold, answered)

    def check(self) -> None:
        """After a pause, or a word that another has it: is it ours yet?"""

        def looked(done: ChangeResult | None) -> None:
            if self.stage is Stage.OVER:
                return
            if done is None:
                return self.host.at(self.host.clock() + LATER, self.check)
            found = unpack(done.value)
            if found is None or (found.born, found.term, found.owner) != (
                self.post.born,
                self.post.term,
                self.owner,
            ):
                self.superseded(found)

        if self.stage is not Stage.OVER:
            self.host.change(self.key, Look(), None, looked)

    def superseded(self, found: Post | None) -> None:
        """All that was known, waited for or under way is dropped."""
        by, term = (None, self.post.term) if found is None else (found.owner, found.term)
        self.host.count("duties: superseded")
        self.end(Superseded(self.name, self.post.term, by, term))

    def end(self, why: DutyError | None) -> None:
        if self.stage is Stage.OVER:
            return
        waiting, self.stage, self.state, self._hold = list(self._waiting), Stage.OVER, b"", None
        self._waiting.clear()
        self.host.ended(self, why)
        for _, then in waiting:
            then(why or self._over())

    # ---- effects ----

    def _advance(self, state: bytes, then: Callable[[Outcome], None], tries: int = 0) -> None:
        most = self.host.policy.state_bytes
        if len(state) > most:
            return self._done(
                then, OverBudget(f"{self.name}: a state of {len(state)} bytes; state_bytes is {most}")
            )
        names, number = pieces.order(state), self.post.number
        mark = self.post.born, self.post.term, number + 1

        def kept(enough: bool) -> None:
            if self.stage is Stage.OVER:
                return
            if not enough:
                return self._done(then, NoMajority(self.name))
            self._change(Advance, (number, len(state), names, self.host.policy.versions), made)

        def made(outcome: Outcome) -> None:
            if isinstance(outcome, Busy) and tries < TRIES:
                return self._advance(state, then, tries + 1)  # for the number that there is now
            if isinstance(outcome, Made):
                self.state = state
                self.host.library.chosen(self.key, self.post)
            return self._done(then, outcome)

        known = pieces.named(self.post)
        return self.host.library.put(self.key, mark, state, known, self.host.clock() + KEEP, kept)

    def _fenced(self, effect: Fenced, then: Callable[[Outcome], None]) -> None:
        def chosen(outcome: Outcome) -> None:
            if not isinstance(outcome, Made):
                return self._done(then, outcome)
            self._perform(effect, outcome.fence, then, 1)

        self._change(Step, (), chosen)

    def _perform(self, effect: Fenced, fence: Fence, then: Callable[[Outcome], None], tries: int) -> None:
        def told(got: Told) -> None:
            if self.stage is Stage.OVER:
                return
            if got.highest is not None and got.highest > fence:
                return self._behind(effect.to, got.highest, then)
            if got.heard:
                return self._done(then, Made(fence, got.answer, got.done))
            if tries < TRIES:  # the same fence: what has come there counts once
                return self._later(TRY_AGAIN, lambda: self._perform(effect, fence, then, tries + 1))
            return self._done(then, Unreached(f"{self.name}: {effect.to} does not answer"))

        self.host.perform(effect.to, self.name, fence, effect.body, told)

    def _behind(self, to: str, highest: Fence, then: Callable[[Outcome], None]) -> None:
        """The receiver knows of later work. That is another's, or the fleet has forgotten what it was."""

        def looked(done: ChangeResult | None) -> None:
            if self.stage is Stage.OVER:
                return
            if done is None:
                return self._done(then, NoMajority(self.name))
            found = unpack(done.value)
            if found is None or (found.born, found.term, found.owner) != (
                self.post.born,
                self.post.term,
                self.owner,
            ):
                return self.superseded(found)
            if Fence(*found.at) > highest:
                return self._done(then, Busy(f"{self.name}: overtaken by a later change of its own"))
            why = f"{to} knows of birth {highest.born}, term {highest.term}; the registers, {found.born}, {found.term}"
            self.host.count("duties: forgotten")
            self._change(
                PutAside, (why, highest.born + 1), lambda o: self.end(Forgotten(f"{self.name}: {why}"))
            )
            return None

        self.host.change(self.key, Look(), None, looked)

    def _once(self, to: str, what: bytes, settle: Settle, then: Callable[[Outcome], None]) -> None:
        if len(self.post.intents) >= self.host.policy.intents:
            return self._done(then, OverBudget(f"{self.name}: {len(self.post.intents)} intents are open"))

        def chosen(outcome: Outcome) -> None:
            if not isinstance(outcome, Made):
                return self._done(then, outcome)
            intent = next(
                (
                    i
                    for i in reversed(self.post.intents)
                    if (i.term, i.to, i.what) == (self.post.term, to, what)
                    and i.number not in self._performed
                ),
                None,
            )
            if intent is None:
                return self._done(then, Busy(f"{self.name}: an operator has settled it at once"))
            self._trying.add(intent.number)
            self._performed.add(intent.number)
            self.host.intend(
                to, self.name, intent, lambda got: self._intended(intent, outcome.fence, got, then)
            )
            return None

        return self._change(Intend, (to, what, settle), chosen)

    def _intended(self, intent: Intent, fence: Fence, got: Told, then: Callable[[Outcome], None]) -> None:
        if self.stage is Stage.OVER:
            return
        self._trying.discard(intent.number)
        if not got.heard:
            self._settle_open()
            return self._done(
                then, Uncertain(f"{self.name}: {intent.to} has not said whether {intent.number} was done")
            )

        def noted(outcome: Outcome) -> None:
            if isinstance(outcome, Made):
                self._performed.discard(intent.number)
            self._done(then, Made(fence, got.answer, got.done))  # done it is, whatever of the note
            self._settle_open()

        self._change(OutcomeChange, (intent.number,), noted)

    # ---- intents that were left open: by an owner of before, or by a receiver that did not answer ----

    def _settle_open(self) -> None:
        for intent in self.post.intents:
            # Chosen after its caller had been told that no majority answers: it never went out, nor ever will.
            never = intent.term == self.post.term and intent.number not in self._performed
            if intent.number in self._trying or (intent.settle == Settle.TELL.value and not never):
                continue
            self._trying.add(intent.number)
            self._settle(intent, never)

    def _settle(self, intent: Intent, never: bool = False) -> None:
        def told(got: Told) -> None:
            if self.stage is Stage.OVER:
                return
            if not got.heard:
                return self._later(LATER, lambda: self._settle(intent))
            self._queue(
                lambda: self._change(OutcomeChange, (intent.number,), lambda o: noted(o, got.done)),
                lambda o: None,
            )

        def noted(outcome: Outcome, done: bool) -> None:
            if isinstance(outcome, Made):
                self.host.count("duties: an open intent settled")
                self._performed.discard(intent.number)
                self.settled(intent, done)
            else:
                self._trying.discard(intent.number)
                self.host.at(self.host.clock() + LATER, self._settle_open)
            self._done(lambda o: None, outcome)

        if never:
            told(Told(heard=True, done=False))
        elif intent.settle == Settle.REPEAT.value:
            self.host.intend(intent.to, self.name, intent, told)
        else:
            self.host.asked(intent.to, self.name, intent, told)

    # ---- how it is given up ----

    def give_up(self, to: str = "") -> None:
        """What is under way is ended first; nothing new is begun. `to`: whom it is offered to first."""
        if self.stage is Stage.STARTING:
            self.stage = Stage.HELD
        if self.stage is not Stage.HELD:
            return
        self.stage = Stage.YIELDING
        self._yield_to = to
        self._queue(lambda: self._change(Yield, (), lambda o: self._done(lambda o: None, o)), lambda o: None)

    def _release(self, to: str) -> None:
        self._busy = True

        def released(outcome: Outcome) -> None:
            self._busy = False
            if isinstance(outcome, Made):
                self.host.library.chosen(self.key, self.post)
                self.host.count("duties: given up")
                return self.end(None)
            # It is ours until a majority says otherwise.
            return self._later(LATER, lambda: self._release(to))

        self._change(Release, (to,), released)

    @property
    def is_open(self) -> bool:
        return self.stage is Stage.HELD and self.post.life == Life.HELD.value
