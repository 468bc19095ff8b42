"""One member's part in the duties of the fleet: what it has, what it is offered, what it keeps, what it reads.

Between `Node`, whose membership and messages it uses, and whoever does the work of a duty. Its registers are a space of
their own: a keeper that has forgotten one of them learns it again from others, or from its disk; time does not heal it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from ..membership.failure_detector import MS
from ..replication.acceptor import RegisterState
from ..replication.messages import ComponentMessage
from ..replication.node import Node
from ..replication.proposer import CarriedPromise, ChangeResult
from ..replication.register_space import DUTY_SPACE, RegisterSpace
from ..replication.work_record import Key, Owner
from . import messages
from .candidates import Steady, mean, too_many
from .chunks import Shelf
from .effects import Told
from .election import Tending
from .errors import Busy, Damaged, DutyError, NoMajority, OverBudget, SetAside, Unknown
from .fencing_token import Fence
from .journal import LastingKeeper
from .lease_holder import Ownership
from .lease_record import (
    MOST_NAME,
    Accept,
    Change,
    Create,
    Intent,
    Life,
    Look,
    Post,
    Remove,
    Resume,
    SettleIt,
    key_of,
    unpack,
)
from .messages import Declined, Fetch, Fetched, Keep, Kept, Named, Offer, Passed
from .policy import Policy
from .state_replication import Library

FOREVER = 1 << 60  # us
LOOK = 500 * MS
LATE = 300 * MS  # a look that comes so late: this process was stopped
TELL = 2_000 * MS  # how many it has: news, so not at once
ACCEPT_AGAIN = 400 * MS
MOST_STEADY = 16  # times `steady_ms`: the longest that one which comes and goes is left out


class Host(Protocol):
    """The process."""

    def fit(self) -> bool: ...  # to have duties
    def perform(
        self, to: str, duty: str, fence: Fence, body: bytes, then: Callable[[Told], None]
    ) -> None: ...
    def intend(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None: ...
    def asked(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None: ...
    def work(self, ownership: Ownership) -> Worker | None: ...  # who does what such a duty is for


class Worker(Protocol):
    """Who does what a duty is for, while this member owns it."""

    def start(self) -> None: ...
    def wind_up(self) -> None: ...  # the duty is given up: a last state may be handed on now
    def stop(self, why: DutyError | None) -> None: ...  # it is another's: nothing may go on


@dataclass(frozen=True, slots=True)
class Reading:
    """`age_us`: how long ago the register was asked. `state` is None where only the post was wanted."""

    post: Post
    state: bytes | None
    age_us: int


class Participant:
    """One member's part in all duties of the fleet."""

    ownership = Ownership

    def __init__(
        self,
        node: Node,
        host: Host,
        policy: Policy,
        remembers: bool = False,
        make: type[LastingKeeper] = LastingKeeper,
    ) -> None:
        self.node, self._host, self.policy = node, host, policy
        seats = node.placement
        self.keeper = make(
            node.me,
            node.owner.incarnation,
            seats.replicas,
            frozenset(seats.names) - {node.me},
            remembers,
            policy.most,
            on_change=self._kept,
            permanent=True,
            slice_of=seats.slice_of,
            slice_replicas=seats.slice_replicas,
        )
        self.shelf = Shelf(policy.state_bytes * (policy.versions + 1))
        self.keeper.shelf = self.shelf
        self.registers = RegisterSpace(DUTY_SPACE, self.keeper, node, None)
        node.add_space(self.registers)
        node.components[messages.PART] = self._heard
        node.on_member_lost.append(self._died)
        steady = round(policy.steady_ms * MS)
        self.library = Library(self, self.shelf)
        self.library.wanted, self.library.mended = self._named, self.keeper.mended
        self.tending = Tending(
            self,
            node.detector,
            seats.copies,
            Steady(steady, steady * MOST_STEADY),
            round(2 * policy.patience_ms * MS),
        )
        self.ownerships: dict[Key, Ownership] = {}
        self._workers: dict[Key, Worker] = {}
        self._accepting: set[Key] = set()
        self._unfit_since: int | None = None
        self._due = self._told = 0
        self._moved = 0
        self._wanted: list[tuple[str, str]] = []  # duties that the settings name, with their kinds
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            Offer: self._offered,
            Declined: lambda seat, m: self.tending.was_declined(m.key, m.term),
            Passed: self._passed,
            Keep: self.library.keep,
            Kept: self.library.kept,
            Named: lambda seat, m: self.library.named(m),
            Fetch: self.library.fetch,
            Fetched: self.library.fetched,
        }

    # ---- what its parts ask of it ----

    @property
    def owner(self) -> Owner:
        return self.node.owner

    @property
    def me(self) -> str:
        return self.node.me

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.node.at(when, action)

    def clock(self) -> int:
        return self.node.clock()

    def count(self, name: str) -> None:
        self.node.count(name)

    def keepers(self, key: Key) -> tuple[str, ...]:
        return self.node.placement.replicas(key)

    def inc(self) -> int:
        return self.owner.incarnation

    def inc_of(self, seat: str) -> int:
        return self.keeper.incarnations.get(seat, 0)

    def fit(self) -> bool:
        return self._host.fit()

    def has(self) -> int:
        return len(self.ownerships) + len(self._accepting)

    def durable(self, then: Callable[[], None]) -> None:
        self.node.durable(then, DUTY_SPACE)

    def say(self, seat: str, message: Any) -> None:
        if seat == self.me:
            self.at(self.clock(), lambda: self._handlers[type(message)](seat, message))
        else:
            self.node.send(seat, ComponentMessage(messages.PART, messages.encode(message)))

    def look(self, key: Key, then: Callable[[ChangeResult | None], None]) -> None:
        self.registers.read(key, round(self.node.policy.claim_ms * MS), then)

    def change(
        self,
        key: Key,
        change: Change,
        hold: CarriedPromise | None,
        then: Callable[[ChangeResult | None], None],
    ) -> None:
        self.registers.change(key, change, FOREVER, round(self.node.policy.claim_ms * MS), then, hold)

    def perform(self, to: str, duty: str, fence: Fence, body: bytes, then: Callable[[Told], None]) -> None:
        self._host.perform(to, duty, fence, body, then)

    def intend(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None:
        self._host.intend(to, duty, intent, then)

    def asked(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None:
        self._host.asked(to, duty, intent, then)

    # ---- its life ----

    def start(self) -> None:
        self._due = self.clock() + LOOK
        self.at(self._due, self._look)

    def _look(self) -> None:
        now = self.clock()
        if now - self._due >= LATE:
            self.woke()
        self._due = now + LOOK
        self.at(self._due, self._look)
        self.tending.look()
        if self.fit():
            self._unfit_since = None
            self._even_out(now)
        elif self._unfit_since is None:
            self._unfit_since = now
        elif now - self._unfit_since >= round(self.policy.patience_ms * MS):
            self.leave()
        for key in self.tending.owned_by(self.owner):
            if key not in self.ownerships and key not in self._accepting:
                self._mine(key)
        for name, kind in self._wanted:
            self._see_that_there_is(name, kind)
        if now - self._told >= TELL:
            self._told = now
            alive = sum(p.life != Life.GONE.value for p in self.tending.posts.values())
            self.node.duty_counts = len(self.ownerships), alive

    def woke(self) -> None:
        """This process was stopped: what it has may be another's by now."""
        self.count("duties: looked after a pause")
        for i, ownership in enumerate(list(self.ownerships.values())):
            self.at(self.clock() + i // 16 * 10 * MS, ownership.check)

    def leave(self) -> None:
        """What it has goes to others."""
        for key in list(self.ownerships):
            self.give_up(key)

    def give_up(self, key: Key, to: str = "") -> None:
        ownership = self.ownerships.get(key)
        if ownership is None or not ownership.is_open:
            return
        if not to:
            to = next((s for s in self.tending.able(key) if s != self.me), "")
        if (worker := self._workers.get(key)) is not None:
            worker.wind_up()
        ownership.give_up(to)

    def _even_out(self, now: int) -> None:
        """One that has far more than the others gives up some, a few in a minute."""
        if len(self.ownerships) <= too_many(0.0):
            return
        seen = self.tending.seen()
        fair = mean(seen, self.tending.copies)
        if (
            len(self.ownerships) <= too_many(fair)
            or now - self._moved < 60_000 * MS / self.policy.moves_a_minute
        ):
            return
        others = {
            m.seat: m.has for m in seen if m.fit and m.steady and m.seat != self.me and m.has + 1 < fair
        }
        for key in self.ownerships:
            to = next((s for s in self.tending.able(key) if s in others), None)
            if to is not None and self.ownerships[key].is_open:
                self._moved = now
                self.count("duties: moved to one that has fewer")
                return self.give_up(key, to)

    # ---- messages ----

    def _heard(self, seat: str, body: bytes) -> None:
        try:
            message = messages.decode(body)
        except msgspec.MsgspecError:
            self.count("duties: a message that can't be read")
            return
        self._handlers[type(message)](seat, message)

    def _died(self, seat: str, inc: int) -> None:
        self.tending.died(seat, inc)

    def _kept(self, key: Key, slot: RegisterState) -> None:
        post = unpack(slot.value)
        self.tending.kept(key, post)
        if post is not None and self.shelf.missing(key, post):
            self.library.mend(key, not self.keeper.is_whole)

    def _named(self, key: Key) -> Post | None:
        """What the register of a duty names, where this member keeps it."""
        return self.tending.posts.get(key) if self.me in self.keepers(key) else None

    def recalled(self) -> None:
        """After a start from a disk."""
        for key, post in self.tending.posts.items():
            if self.shelf.missing(key, post):
                self.library.mend(key, True)

    # ---- offers ----

    def _offered(self, seat: str, m: Offer) -> None:
        ownership = self.ownerships.get(m.key)
        if m.key in self._accepting or (ownership is not None and ownership.post.term > m.term):
            return
        seen = self.tending.seen()
        if not self.fit() or (not m.pressing and self.has() >= too_many(mean(seen, self.tending.copies))):
            self.count("duties: declined")
            return self.say(seat, Declined(m.key, m.term))
        self._accepting.add(m.key)
        self._accept(m.key, Accept(self.owner, (m.born, m.term), m.counts, self.policy.most_lost))
        return None

    def _mine(self, key: Key) -> None:
        """The register says that it is ours, though nobody has told us so."""
        self._accepting.add(key)
        self._accept(key, Look())

    def _accept(self, key: Key, change: Change) -> None:
        def accepted(done: ChangeResult | None) -> None:
            if done is None:  # it may be ours all the same: its keepers see us alive, and wait for us
                return self.at(self.clock() + ACCEPT_AGAIN, lambda: self._accept(key, change))
            self._accepting.discard(key)
            post = unpack(done.value)
            if post is None or post.owner != self.owner or not post.is_owned:
                if post is not None and post.life == Life.ASIDE.value:
                    self.count("duties: put aside")
                return None
            if (there := self.ownerships.get(key)) is not None:
                if there.post.term == post.term:
                    return None
                there.superseded(post)
            self.count("duties: accepted")
            before = change.before if isinstance(change, Accept) else None
            if before is not None and before.seat != self.me:
                self.say(before.seat, Passed(key, post.born, post.term, self.owner))
            self.ownerships[key] = self.ownership(self, key, post, done.promise)
            return None

        self.change(key, change, None, accepted)

    def _passed(self, seat: str, m: Passed) -> None:
        ownership = self.ownerships.get(m.key)
        if ownership is not None and (m.born, m.term) > (ownership.post.born, ownership.post.term):
            ownership.check()

    def started(self, ownership: Ownership) -> None:
        worker = self._host.work(ownership)
        if worker is not None:
            self._workers[ownership.key] = worker
            worker.start()

    def ended(self, ownership: Ownership, why: DutyError | None) -> None:
        if self.ownerships.get(ownership.key) is ownership:
            del self.ownerships[ownership.key]
        if (worker := self._workers.pop(ownership.key, None)) is not None:
            worker.stop(why)

    # ---- for all, at any member ----

    def want(self, name: str, kind: str) -> None:
        """The settings name it: where it never was, its keepers see to it that it is."""
        self._wanted.append((name, kind))

    def _see_that_there_is(self, name: str, kind: str) -> None:
        key = key_of(name)
        keepers = [s for s in self.keepers(key) if s == self.me or self.node.is_up(s)]
        if key in self.tending.posts or keepers[:1] != [self.me] or not self.keeper.can_vote_on(key):
            return
        self.change(key, Create(name, kind, self.owner.incarnation, again=False), None, lambda done: None)

    def create(self, name: str, kind: str, then: Callable[[Post | DutyError], None]) -> None:
        if not 0 < len(name.encode()) <= MOST_NAME:
            return then(OverBudget(f"a name of {len(name.encode())} bytes: 1 to {MOST_NAME} are taken"))
        return self._ask(
            name, Create(name, kind, self.owner.incarnation), lambda p: p.life != Life.GONE.value, then
        )

    def remove(self, name: str, then: Callable[[Post | DutyError], None]) -> None:
        def found(got: Post | DutyError) -> None:
            if isinstance(got, DutyError):
                return then(got)
            born = got.born
            return self._ask(name, Remove(born), lambda p: p.life == Life.GONE.value or p.born > born, then)

        self._ask(name, Look(), lambda p: True, found)

    def resume(self, name: str, then: Callable[[Post | DutyError], None]) -> None:
        self._ask(name, Resume(), lambda p: p.life != Life.ASIDE.value, then)

    def settle(self, name: str, number: int, then: Callable[[Post | DutyError], None]) -> None:
        self._ask(name, SettleIt(number), lambda p: all(i.number != number for i in p.intents), then)

    def _ask(
        self,
        name: str,
        change: Change | None,
        good: Callable[[Post], bool],
        then: Callable[[Post | DutyError], None],
    ) -> None:
        """Without a change, it is only looked at."""

        def answered(done: ChangeResult | None) -> None:
            if done is None:
                return then(NoMajority(name))
            post = unpack(done.value)
            if post is None:
                return then(Unknown(name))
            return then(post if good(post) else Busy(f"{name}: not as it should be by now"))

        if change is None:
            return self.look(key_of(name), answered)
        return self.change(key_of(name), change, None, answered)

    def read(
        self, name: str, then: Callable[[Reading | DutyError], None], state: bool = True, closed: bool = False
    ) -> None:
        """As it is chosen now, by a majority. `closed`: and no change that was given up before this can come about any
        more, unless it is seen here."""

        def looked(got: Post | DutyError) -> None:
            if isinstance(got, DutyError):
                return then(got)
            if got.life == Life.GONE.value:
                return then(Unknown(name))
            if not state or not got.versions:
                return then(Reading(got, b"" if state else None, 0))
            return self.library.get(
                key_of(name),
                got.versions[0],
                self.clock() + 2_000 * MS,
                lambda found: then(
                    Damaged(f"{name}: no whole copy of version {got.versions[0].number}")
                    if found is None
                    else Reading(got, found, 0)
                ),
            )

        self._ask(name, Look() if closed else None, lambda p: True, looked)

    def known(self, name: str) -> Reading | DutyError:
        """What is known here without asking anybody; not for more than a look."""
        key = key_of(name)
        if (ownership := self.ownerships.get(key)) is not None:
            return Reading(ownership.post, ownership.state, 0)
        post = self.tending.posts.get(key)
        if post is None or post.life == Life.GONE.value:
            return Unknown(name)
        return Reading(post, None, 0) if post.life != Life.ASIDE.value else SetAside(name, post.why)
