"""What a cast did not bring: now and then two members compare what they have, and whoever has less asks for it.

One member with one other in each period, by digests of 64 parts: as many messages a member however many seats and
customers there are. A process that begins anew compares with one after the other until it knows what the others had.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import xxhash

from ..membership.failure_detector import MS
from ..membership.placement import majority
from .messages import At, Compare, Differ

PARTS = 64
PERIOD, PERIOD_AT_START = 1_000 * MS, 60 * MS
MOST_LISTED = 500
AT_ONCE = 4  # revisions that are asked for at a time
ASK_AGAIN = 600 * MS
MOST_WANTED = 20_000


class Host(Protocol):
    """What comparing needs of the member that does it."""

    @property
    def me(self) -> str: ...
    def others(self) -> list[str]: ...  # that are there
    def say(self, seat: str, message: Any) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def clock(self) -> int: ...
    def random(self) -> float: ...
    def has(self, customer: str) -> tuple[At, bool]: ...  # and whether it is gone
    def have(
        self, customer: str, at: At, gone: bool, draft: bytes | None, whence: str, then: Callable[[str], None]
    ) -> None: ...
    def became_ready(self) -> None: ...


def part_of(customer: str) -> int:
    """The part of all customers that one belongs to."""
    return xxhash.xxh32_intdigest(customer.encode()) % PARTS


@dataclass(slots=True, eq=False)
class _Wanted:
    at: At
    gone: bool
    seat: str


@dataclass(slots=True)
class Comparing:
    """Finds what a member lacks, by digests of parts, and asks for it."""

    host: Host
    seats: int
    ready: bool = False
    _names: list[set[str]] = field(default_factory=lambda: [set() for _ in range(PARTS)])
    _digests: list[int | None] = field(default_factory=lambda: [0] * PARTS)
    _wanted: dict[str, _Wanted] = field(default_factory=dict)
    _queue: deque[str] = field(default_factory=deque)
    _asked: set[str] = field(default_factory=set)
    _going: bool = False
    _known: set[str] = field(default_factory=set)  # members whose having is known, and asked for
    _settled: set[str] = field(default_factory=set)  # of them, those that know what the others have

    # ---- its life ----

    def start(self, patience: int) -> None:
        """Ready at the latest after `patience` us."""
        if self.seats == 1:
            return self._be_ready()
        self.host.at(self.host.clock() + patience, self._be_ready)
        self._period()
        return None

    def _be_ready(self) -> None:
        if not self.ready:
            self.ready = True
            self.host.became_ready()

    def _period(self) -> None:
        self.host.at(self.host.clock() + (PERIOD if self.ready else PERIOD_AT_START), self._period)
        others = self.host.others()
        new = [s for s in others if s not in self._known] if not self.ready else others
        if new:
            self.host.say(new[int(self.host.random() * len(new))], Compare(self.digests(), self.ready))

    # ---- what is had ----

    def noted(self, customer: str) -> None:
        """It has changed."""
        part = part_of(customer)
        self._names[part].add(customer)
        self._digests[part] = None

    def _digest(self, part: int) -> int:
        known = self._digests[part]
        if known is None:
            known = 0
            for name in self._names[part]:
                (born, number), gone = self.host.has(name)
                if born:
                    known ^= xxhash.xxh64_intdigest(f"{born} {number} {gone} {name}".encode())
            self._digests[part] = known
        return known

    def digests(self) -> tuple[int, ...]:
        return tuple(self._digest(part) for part in range(PARTS))

    def _listed(self, parts: tuple[int, ...]) -> tuple[tuple[str, At, bool], ...]:
        found = [(name, *self.host.has(name)) for part in parts for name in sorted(self._names[part])]
        if len(found) > MOST_LISTED:  # the rest another time, from another place on
            turn = int(self.host.random() * len(found))
            found = (found[turn:] + found[:turn])[:MOST_LISTED]
        return tuple(found)

    # ---- messages ----

    def compare(self, seat: str, m: Compare) -> None:
        if len(m.parts) != PARTS:
            return
        parts = tuple(i for i, theirs in enumerate(m.parts) if theirs != self._digest(i))
        self.host.say(seat, Differ(parts, self._listed(parts), bool(parts), self.ready))

    def differ(self, seat: str, m: Differ) -> None:
        for customer, at, gone in m.listed:
            if at > self.host.has(customer)[0] and len(self._wanted) < MOST_WANTED:
                before = self._wanted.get(customer)
                if before is None or before.at < at:
                    self._wanted[customer] = _Wanted(at, gone, seat)
                    if before is None:
                        self._queue.append(customer)
        if m.back:
            parts = tuple(p for p in m.parts if 0 <= p < PARTS)
            self.host.say(seat, Differ(parts, self._listed(parts), False, self.ready))
        if not self.ready:
            self._known.add(seat)
            if m.ready:
                self._settled.add(seat)
        self._go_on()

    def _go_on(self) -> None:
        """What is had at once ends here, and not deeper and deeper: there may be thousands."""
        if self._going:
            return
        self._going = True
        while self._queue and len(self._asked) < AT_ONCE:
            customer = self._queue.popleft()
            wanted = self._wanted.get(customer)
            if wanted is None or wanted.at <= self.host.has(customer)[0]:
                self._wanted.pop(customer, None)
                continue
            self._ask(customer, wanted)
        self._going = False
        if (
            not self.ready
            and not self._queue
            and not self._asked
            and (self._settled or len(self._known) >= majority(self.seats) - 1)
        ):
            self._be_ready()

    def _ask(self, customer: str, wanted: _Wanted) -> None:
        self._asked.add(customer)
        done = [False]

        def over(why: str = "") -> None:
            if not done[0]:
                done[0] = True
                self._asked.discard(customer)
                if self._wanted.get(customer) is wanted:
                    del self._wanted[customer]  # what did not come is heard of again
                else:
                    self._queue.append(customer)
                self._go_on()

        self.host.have(customer, wanted.at, wanted.gone, None, wanted.seat, over)
        if not done[0]:
            self.host.at(self.host.clock() + ASK_AGAIN, over)
