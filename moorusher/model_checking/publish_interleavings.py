"""Publish against publish: every interleaving of an owner that is superseded at any moment and the next one, two
submissions that are handed in again anywhere, changes that arrive late or whose answer is lost. Real publishers.

The register is one atomic value here: that it is one is walked in `terms`. A change that its owner has given up may
arrive yet, until that owner has read the register again.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Any

from ..config_distribution.messages import RevisionId
from ..config_distribution.publisher import Publisher
from ..leadership.effects import Completed, Outcome, StateUpdate
from ..leadership.errors import LeadershipError, LeaseSupersededError, NoMajorityError
from ..leadership.fencing_token import FencingToken
from ..namespaces.errors import NamespaceError
from ..namespaces.policy import Bounds
from ..namespaces.revisions import Book, Submission, unpack

CUSTOMER, NAME = "acme", "namespace/acme"
SUBMISSIONS = {id: Submission(CUSTOMER, id, -1, "x", id.encode()) for id in ("s1", "s2")}
MOST_HANDED = 2  # times that each is


@dataclass(frozen=True, slots=True)
class _Record:
    generation: int = 1


@dataclass(slots=True, eq=False)
class _Change:
    state: bytes
    then: Callable[[Outcome], None] | None  # None: given up
    made: bool | None = None  # what the register said, once it has arrived


class Owner:
    """One in its term: what a publisher takes for its lease, and for its host."""

    name = NAME

    def __init__(self, case: Publishes, who: str, term: int, state: bytes, kind: type[Publisher]) -> None:
        self.case, self.who, self.term, self.state, self.record = case, who, term, state, _Record()
        self.changes: list[_Change] = []
        self.reads: list[Callable[[tuple[int, Book] | LeadershipError], None]] = []
        self.over = False
        self.publisher = kind(self, self)  # type: ignore[arg-type]
        self.publisher.start()

    def submit(self, effect: Any, then: Callable[[Outcome], None]) -> None:
        assert isinstance(effect, StateUpdate)
        self.changes.append(_Change(effect.state, then))

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None:
        then(None)

    def book(self, customer: str, then: Callable[[tuple[int, Book] | LeadershipError], None]) -> None:
        self.reads.append(then)

    def published(self, customer: str, at: RevisionId, draft: bytes) -> None:
        self.case.means(at[1], draft)

    def bounds(self, customer: str) -> Bounds:
        return Bounds(keep=9)

    def ended(self, publisher: Publisher) -> None:
        return None

    def unix_ms(self) -> int:
        return 0

    def end(self) -> None:
        self.over = True
        self.publisher.stop(LeaseSupersededError(NAME, self.term, None, 2))


@dataclass(slots=True)
class Publishes:
    """Publishers hold callbacks, so a state is copied by making its way anew."""

    kind: type[Publisher] = Publisher
    way: tuple[str, ...] = ()
    term: int = 1
    state: bytes = b""
    handed: dict[str, int] = field(default_factory=lambda: dict.fromkeys(SUBMISSIONS, 0))
    meaning: dict[int, bytes] = field(default_factory=dict)
    told: list[tuple[str, int]] = field(default_factory=list)
    wrong: str | None = None
    owners: dict[str, Owner] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.owners["P"] = Owner(self, "P", 1, b"", self.kind)

    def copy(self) -> Publishes:
        made = Publishes(self.kind)
        for name in self.way:
            made.apply(name)
        return made

    def means(self, number: int, draft: bytes) -> None:
        if self.meaning.setdefault(number, draft) != draft:
            self.wrong = f"{number} means {self.meaning[number]!r} and {draft!r}"

    # ---- moves ----

    def moves(self) -> list[str]:
        if self.wrong:
            return []
        made = ["Q takes over"] if "Q" not in self.owners else []
        for who, owner in self.owners.items():
            if not owner.over:
                made += [f"{id} to {who}" for id, n in self.handed.items() if n < MOST_HANDED]
                made += [f"{who} reads"] if owner.reads else []
            for i, change in enumerate(owner.changes):
                if change.made is None:
                    made.append(f"{who} change {i} arrives")
                if change.then is not None and not owner.over:
                    made += [f"{who} hears {i}"] if change.made is not None else []
                    made.append(f"{who} drops {i}")
        return made

    def apply(self, name: str) -> None:
        self.way = (*self.way, name)
        words = name.split()
        if name == "Q takes over":
            self.term = 2
            self.owners["Q"] = Owner(self, "Q", 2, self.state, self.kind)
        elif words[0] in SUBMISSIONS:
            self.handed[words[0]] += 1
            self.owners[words[2]].publisher.submit(
                SUBMISSIONS[words[0]], lambda got: self._told(words[0], got)
            )
        elif words[1] == "reads":
            self._reads(self.owners[words[0]])
        else:
            self._changes(self.owners[words[0]], words[1], int(words[2]))

    def _changes(self, owner: Owner, what: str, i: int) -> None:
        change = owner.changes[i]
        if what == "change":
            change.made = owner.term == self.term
            if change.made:
                self.state = change.state
                if (entry := unpack(self.state, CUSTOMER).current) is not None:
                    self.means(entry.number, entry.draft)
            return
        then, change.then = change.then, None
        assert then is not None
        if what == "drops":
            then(NoMajorityError(NAME))
        elif change.made:
            then(Completed(FencingToken(1, owner.term, 1)))
        else:
            owner.end()

    def _reads(self, owner: Owner) -> None:
        """A majority has promised a later ballot by then: what its owner has given up does not arrive any more."""
        for change in owner.changes:
            if change.made is None and change.then is None:
                change.made = False
        owner.reads.pop(0)((1, unpack(self.state, CUSTOMER)))

    def _told(self, id: str, got: RevisionId | NamespaceError | LeadershipError) -> None:
        if not isinstance(got, Exception):
            self.told.append((id, got[1]))
            self.means(got[1], id.encode())

    # ---- what must hold ----

    def fingerprint(self) -> Hashable:
        return (
            self.term,
            self.state,
            tuple(self.handed.values()),
            tuple(sorted(set(self.told))),
            tuple(
                (
                    who,
                    o.over,
                    o.publisher._book,
                    tuple(s.id for s, _ in o.publisher._waiting),
                    len(o.reads),
                    tuple((c.state, c.then is None, c.made) for c in o.changes),
                )
                for who, o in self.owners.items()
            ),
        )

    def violation(self) -> str | None:
        if self.wrong:
            return self.wrong
        book = unpack(self.state, CUSTOMER)
        ids = [e.id for e in book.entries]
        if len(set(ids)) != len(ids):
            return f"one submission became two revisions: {ids}"
        if [e.number for e in book.entries] != list(range(len(ids), 0, -1)):
            return f"numbers {[e.number for e in book.entries]}"
        lost = [(id, n) for id, n in self.told if (e := book.find(n)) is None or e.id != id]
        return f"{lost[0]} was told, and is not there" if lost else None
