"""One space of registers at one member: what it changes in them, what it keeps of them, and how it learns again what it
has forgotten.

A space is for one kind of value: the life of work, which ends with its window, or the duties of the fleet, which last.
Their keepers share nothing but the seats and their incarnations.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..membership.failure_detector import MS
from ..membership.placement import SLICES, majority
from .acceptor import NEVER, Keeper
from .messages import FAST, Ask, Begin, Slots, Sync, Vote
from .proposer import Change, Done, Hold, Writer
from .work_record import Key

NUDGE = 6 * MS  # a first write goes on with a majority
AGAIN = 40 * MS  # a round without a majority is asked again, with a higher ballot; twice as late each time
MOST_AGAIN = 1_000 * MS
SYNC, MOST_SYNC = (
    500 * MS,
    16_000 * MS,
)  # until those that have not told all are asked again; twice as late each time
BEGINS = 100 * MS  # from the word that a fleet is new to the first vote by it
SURVEY, SURVEY_AGAIN = 64, 5 * MS  # slices that are looked at in one turn
LOOK = 60 * MS  # until who looks asks for a promise after all
SOON, TRIES = 4 * MS, 4  # and how soon, and how often, it looks again where a change is under way
FOREVER = 1 << 50  # us
WORK, LASTING, SHARED = 0, 1, 2  # the spaces that there are


class Host(Protocol):
    """The member whose registers these are."""

    def send(self, seat: str, message: Any) -> None: ...
    def reply(self, seat: str, message: Any) -> None: ...
    def replier(self, seat: str) -> Callable[[Any], None]: ...
    def durable(self, then: Callable[[], None], space: int) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def clock(self) -> int: ...
    def random(self) -> float: ...
    def count(self, name: str) -> None: ...
    def is_up(self, seat: str) -> bool: ...
    def raised(self, inc: int) -> None: ...  # this process must be a later incarnation than it thought


@dataclass(slots=True, eq=False)
class _Job:
    writer: Writer
    then: Callable[[Done | None], None]
    until: int  # given up then
    wait: int = AGAIN
    most: int = MOST_AGAIN
    round: int = 0  # grows with each question, so that a delay which belongs to an older one does nothing


@dataclass(slots=True, eq=False)
class _Looking:
    key: Key
    keepers: tuple[str, ...]
    wait_us: int
    then: Callable[[Done | None], None]
    votes: dict[str, Vote] = field(default_factory=dict)
    tries: int = 0


class Registers:
    """`forgets_after`: us, after which nothing that an earlier life knew counts any more; None where it lasts."""

    def __init__(self, space: int, keeper: Keeper, host: Host, forgets_after: int | None) -> None:
        self.space, self.keeper, self.host = space, keeper, host
        self.forgets_after = forgets_after
        self.blank_peers: set[str] = set()
        self.unsure = False  # of the change that was given up last: it may be chosen yet
        self._jobs: dict[int, _Job] = {}
        self._looks: dict[int, _Looking] = {}
        self._serial = 0
        self._began = 0

    @property
    def me(self) -> str:
        return self.keeper.me

    def start(self) -> None:
        if self.keeper.remembers:
            return
        self._began = self.host.clock()
        if self.forgets_after is not None:
            # Whatever an earlier process of this seat knew is out of its window by then.
            self.host.at(self._began + self.forgets_after, self._remember)
        if self.keeper.of is not None and self.keeper.mine is None:
            self._survey(0, [])
        self._sync_all(SYNC)

    def _survey(self, part: int, mine: list[int]) -> None:
        """Which slices this seat keeps: some at a time, as all of them take a second in a fleet of a thousand."""
        of = self.keeper.of
        if of is None or self.keeper.remembers:
            return
        end = min(part + SURVEY, SLICES + 1)
        mine += [p for p in range(part, end) if self.me in of(p)]
        if end <= SLICES:
            return self.host.at(self.host.clock() + SURVEY_AGAIN, lambda: self._survey(end, mine))
        self.keeper.mine = mine
        self.keeper.look()

    def _remember(self) -> None:
        if self.forgets_after is None:
            return None
        if self.host.clock() < self._began + self.forgets_after:
            return self.host.at(self._began + self.forgets_after, self._remember)
        if not self.keeper.remembers:
            self.keeper.remembers = True
            self.host.count("fleet: remembers, as what was forgotten no longer counts")
        return None

    # ---- votes ----

    def ask(self, seat: str, m: Ask) -> None:
        vote = self.keeper.ask(self.host.clock(), m)
        if (
            not vote.taken and m.ballot != NEVER
        ):  # it promises nothing; who only looks must not see what may be lost
            return self.host.reply(seat, vote)
        say = self.host.replier(seat)
        return self.host.durable(lambda: say(vote), self.space)

    def vote(self, seat: str, m: Vote) -> None:
        job = self._jobs.get(m.serial // 1000)
        if job is not None:
            self._went(job, job.writer.heard(seat, m))
        elif (looking := self._looks.get(m.serial // 1000)) is not None:
            self._seen(m.serial // 1000, looking, seat, m)

    # ---- looks ----

    def look(self, key: Key, wait_us: int, then: Callable[[Done | None], None]) -> None:
        """What is chosen, without asking for a promise: any number may look at one time, and hinder nobody. Where the
        keepers don't agree, or too few answer soon, by a round like that of a change; `then(None)` after `wait_us`."""
        self._look(_Looking(key, self.keeper.keepers(key), wait_us, then))

    def _look(self, looking: _Looking) -> None:
        self._serial += 1
        serial, key = self._serial, looking.key
        self._looks[serial] = looking
        looking.votes.clear()
        ask = Ask(serial * 1000, key, NEVER, None, NEVER, {}, 1, space=self.space)
        for seat in looking.keepers:
            if seat != self.me:
                self.host.send(seat, ask)
        self.host.at(self.host.clock() + LOOK, lambda: self._look_closely(serial))
        if self.me in looking.keepers:
            vote = self.keeper.ask(self.host.clock(), ask)
            self.host.durable(lambda: self.vote(self.me, vote), self.space)

    def _seen(self, serial: int, looking: _Looking, seat: str, m: Vote) -> None:
        looking.votes[seat] = m
        told = [v for v in looking.votes.values() if not v.blank and not v.full]
        for vote in told:
            same = [v for v in told if v.ballot == vote.ballot]
            if len(same) >= self.wanted(looking, vote):
                del self._looks[serial]
                return looking.then(Done(vote.value, False, None))
        if len(looking.votes) == len(looking.keepers):
            looking.tries += 1
            if looking.tries >= TRIES or len(told) < majority(len(looking.keepers)):
                return self._look_closely(serial)
            del self._looks[serial]  # a change is on its way through them
            self.host.at(self.host.clock() + SOON, lambda: self._look(looking))
        return None

    @staticmethod
    def wanted(looking: _Looking, vote: Vote) -> int:
        """Keepers that must have taken that very value: a first write without a promise is chosen by all alone."""
        return len(looking.keepers) if vote.ballot == FAST else majority(len(looking.keepers))

    def _look_closely(self, serial: int) -> None:
        looking = self._looks.pop(serial, None)
        if looking is not None:
            self.change(
                looking.key, lambda old: None, self.host.clock() + FOREVER, looking.wait_us, looking.then
            )

    # ---- a keeper that has forgotten ----

    def _sync_all(self, wait: int) -> None:
        if self.keeper.remembers:
            return
        asked = sorted(self.keeper.others - self.keeper.synced)
        for seat in asked:
            self.host.send(seat, Sync(self.keeper.inc, self.space))
        # One that has told what it knows again is asked more and more seldom; one that is blank, or not there, soon.
        told = all(seat in self.keeper.vouched for seat in asked)
        later = min(MOST_SYNC, 2 * wait) if told else SYNC
        self.host.at(self.host.clock() + later, lambda: self._sync_all(later))

    def sync(self, seat: str, m: Sync) -> None:
        parts, say = (
            self.keeper.answer_sync(self.host.clock(), seat, m.inc, self.space),
            self.host.replier(seat),
        )

        def tell() -> None:
            for part in parts:
                say(part)

        self.host.durable(tell, self.space)  # that its earlier lives count for nothing must outlive this one

    def slots(self, seat: str, m: Slots) -> None:
        if m.inc < self.keeper.inc:
            return  # to an earlier life
        if m.inc > self.keeper.inc:
            return self.host.raised(m.inc + 1)
        if m.blank:
            self.blank_peers.add(seat)
        else:
            self.blank_peers.discard(seat)
            self.keeper.take_slots(self.host.clock(), seat, m)

    def begin(self, lost: bool = False) -> str | None:
        """An operator's word that nothing ran here before; or, `lost`, that what no seat remembers any more counts for
        nothing. The reason where it can't be taken: one that remembers may know better, and one that is not there may
        remember."""
        if self.keeper.remembers:
            return "this runner remembers: " + ("ask one that does not" if lost else "the fleet has begun")
        told = self.keeper.synced | self.keeper.vouched.keys() if lost else set()
        if missing := sorted(self.keeper.others - self.blank_peers - told):
            return (
                "not heard of" if lost else "not heard as one that remembers nothing"
            ) + f": {', '.join(missing)}"
        for seat in self.keeper.others:
            self.host.send(seat, Begin(self.keeper.incs[seat], self.space, lost))
        self.begun(self.me, Begin(self.keeper.inc, self.space, lost))
        return None

    def begun(self, seat: str, m: Begin) -> None:
        if m.inc == self.keeper.inc and not self.keeper.remembers and (m.lost or not self.keeper.synced):
            self.host.at(self.host.clock() + BEGINS, lambda: self._begins(m.inc))

    def _begins(self, inc: int) -> None:
        """Some time after the word: one that has heard from others who began, on another way than this word comes on,
        would not take it any more; and two such know nothing that the other one could vote by."""
        if inc == self.keeper.inc and not self.keeper.remembers:
            self.keeper.remembers = True
            self.host.count("fleet: begun")

    # ---- changes of registers ----

    def change(
        self,
        key: Key,
        change: Change,
        until: int,
        wait_us: int,
        then: Callable[[Done | None], None],
        hold: Hold | None = None,
        most: int = MOST_AGAIN,
    ) -> None:
        self._serial += 1
        now = self.host.clock()
        writer = Writer(
            key,
            self.keeper.keepers(key),
            self.keeper.inc,
            self._serial,
            change,
            max(1, (until - now) // 1000),
            hold,
            self.space,
        )
        job = self._jobs[self._serial] = _Job(writer, then, now + wait_us, most=most)
        self._went(job, writer.begin(self._serial * 1000))

    def _went(self, job: _Job, asks: list[Ask]) -> None:
        """After each step of a writer: its questions go out, its end is told."""
        writer = job.writer
        for ask in asks:
            job.round += 1
            for seat in writer.keepers:
                if seat != self.me:
                    self.host.send(seat, ask)
            self._wait(job)
            if self.me in writer.keepers:  # last, so that the others are under way already
                return self._vote_for(job, ask)
        if writer.done is not None:
            if self._jobs.pop(writer.serial // 1000, None) is not None:
                job.then(writer.done)
        elif job.until - self.host.clock() <= MOST_AGAIN and (
            writer.full or writer.blanks > len(writer.keepers) - majority(len(writer.keepers))
        ):
            self._give_up(
                job
            )  # what may wait for long is asked again: those who have forgotten are told again
        elif writer.stuck:
            writer.conflicts += 1
            if writer.conflicts == 1:
                self._went(job, writer.again())
            else:
                job.round += 1
                self._later(job, round(min(writer.conflicts, 10) * 2 * MS * (0.5 + self.host.random())))
        elif writer.fast and self._rest_is_gone(writer) and (more := writer.nudge()):
            self._went(job, more)

    def _vote_for(self, job: _Job, ask: Ask) -> None:
        """Our own vote, which counts as little as any before it is on the disk."""
        vote = self.keeper.ask(self.host.clock(), ask)

        def said() -> None:
            if self._jobs.get(job.writer.serial // 1000) is job:  # not given up meanwhile
                self._went(job, job.writer.heard(self.me, vote))

        if vote.taken:
            self.host.durable(said, self.space)
        else:
            said()

    def _rest_is_gone(self, writer: Writer) -> bool:
        return all(seat in writer.took or not self.host.is_up(seat) for seat in writer.keepers)

    def _wait(self, job: _Job) -> None:
        mark = job.round

        def nudge() -> None:
            if job.round == mark and job.writer.done is None and (more := job.writer.nudge()):
                self._went(job, more)

        if job.writer.fast:
            self.host.at(self.host.clock() + NUDGE, nudge)
        self._later(job, job.wait)

    def _later(self, job: _Job, wait: int) -> None:
        mark = job.round

        def again() -> None:
            if job.round != mark or job.writer.done is not None:
                return
            if self.host.clock() >= job.until or job.writer.serial % 1000 > 900:
                return self._give_up(job)
            job.wait = min(job.most, job.wait * 2)
            self._went(job, job.writer.again())

        self.host.at(min(self.host.clock() + wait, max(job.until, self.host.clock() + MS)), again)

    def _give_up(self, job: _Job) -> None:
        job.round += 1  # nothing more is asked
        if self._jobs.pop(job.writer.serial // 1000, None) is not None:
            self.unsure = job.writer.unsure
            job.then(None)
