"""A revision told to all seats down a tree, and who has it told back up: each member sends to four others at most,
however many seats there are.

Who begins one covers the range of all seats; whoever is told covers its part of it. A head that does not answer is
passed over, and what it should have covered is split among others. What does not come through here comes by `compare`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

from ..membership.failure_detector import MS
from .messages import At, Cast, Covered, Heard

FAN = 4
HEARD_WITHIN = 250 * MS
A_LEVEL = 150 * MS  # sooner than whoever told it, each one gives up waiting
SMALL = 32 << 10  # bytes of a draft that goes with the cast; larger ones are asked for
MOST_LACKING = 64  # that are named
Lacking = dict[str, str]


class Host(Protocol):
    """What casting needs of the member that does it."""

    @property
    def me(self) -> str: ...
    def state_of(self, seat: str) -> str: ...  # "alive", or why nothing is sent there
    def say(self, seat: str, message: Any) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def clock(self) -> int: ...
    def count(self, name: str) -> None: ...
    def draft(self, customer: str, at: At) -> bytes | None: ...  # of that revision, where it is had
    def have(
        self, customer: str, at: At, gone: bool, draft: bytes | None, whence: str, then: Callable[[str], None]
    ) -> None: ...  # `then("")` once it is had, or `then(why)`


@dataclass(slots=True, eq=False)
class _Wave:
    """One range that this member sees to."""

    customer: str
    at: At
    gone: bool
    draft: bytes | None
    until: int
    then: Callable[[Lacking], None]
    lacking: Lacking = field(default_factory=dict)
    open: int = 1  # parts of it that are not over, and its setting out
    over: bool = False


@dataclass(slots=True, eq=False)
class _Part:
    wave: _Wave
    head: int  # index of the seat that it was given to
    low: int
    high: int
    heard: bool = False


class Casting:
    """Spreads new revisions over a tree of members, and knows who has them."""

    def __init__(self, host: Host, seats: tuple[str, ...], inc: int = 0) -> None:
        """`inc`: of this process. An answer to what an earlier process of the seat has asked is none to this one."""
        self.host, self.seats = host, tuple(sorted(seats))
        self._parts: dict[int, _Part] = {}
        self._serial = inc

    def begin(self, customer: str, at: At, gone: bool, within: int, then: Callable[[Lacking], None]) -> None:
        """By who has it. `then` with the seats that have not, and why, after `within` us at most."""
        draft = None if gone else self.host.draft(customer, at)
        self._wave(_Wave(customer, at, gone, draft, self.host.clock() + within, then), 0, len(self.seats))

    def _wave(self, wave: _Wave, low: int, high: int) -> None:
        self._share(wave, low, high)
        self._less(wave)
        if not wave.over:
            self.host.at(wave.until, lambda: self._late(wave))

    def _share(self, wave: _Wave, low: int, high: int) -> None:
        """Between up to `FAN` heads."""
        size = max(1, -(-(high - low) // FAN))
        for first in range(low, high, size):
            self._give(wave, first, min(first + size, high))

    def _give(self, wave: _Wave, low: int, high: int) -> None:
        """To the first of them that is there."""
        for i in range(low, high):
            seat = self.seats[i]
            if seat == self.host.me:
                continue
            if (state := self.host.state_of(seat)) != "alive":
                self._lacks(wave, seat, state)
                continue
            self._serial += 1
            serial, part = self._serial, _Part(wave, i, i + 1, high)
            self._parts[serial] = part
            wave.open += 1
            draft = wave.draft
            left = max(0, (wave.until - A_LEVEL - self.host.clock()) // MS)
            self.host.say(
                seat,
                Cast(
                    serial,
                    wave.customer,
                    wave.at,
                    wave.gone,
                    i,
                    high,
                    left,
                    draft if draft is not None and len(draft) <= SMALL else None,
                ),
            )
            self.host.at(self.host.clock() + HEARD_WITHIN, partial(self._not_heard, serial))
            return

    def _not_heard(self, serial: int) -> None:
        part = self._parts.get(serial)
        if part is None or part.heard:
            return
        del self._parts[serial]
        self.host.count("namespaces: a seat passed over")
        self._lacks(part.wave, self.seats[part.head], "does not answer")
        self._share(part.wave, part.low, part.high)
        self._less(part.wave)

    def _lacks(self, wave: _Wave, seat: str, why: str) -> None:
        if seat in wave.lacking or len(wave.lacking) < MOST_LACKING:
            wave.lacking[seat] = why

    def _less(self, wave: _Wave) -> None:
        wave.open -= 1
        if not wave.open and not wave.over:
            wave.over = True
            wave.then(wave.lacking)

    def _late(self, wave: _Wave) -> None:
        if wave.over:
            return
        for serial, part in list(self._parts.items()):
            if part.wave is wave:
                del self._parts[serial]
                for seat in self.seats[part.head : part.high]:
                    if seat != self.host.me:
                        self._lacks(wave, seat, "no word of it in time")
        wave.over = True
        wave.then(wave.lacking)

    # ---- messages ----

    def cast(self, seat: str, m: Cast) -> None:
        self.host.say(seat, Heard(m.serial))
        until = self.host.clock() + m.left_ms * MS
        waits = [2]
        lacking: Lacking = {}

        def over(more: Lacking) -> None:
            lacking.update(more)
            waits[0] -= 1
            if not waits[0]:
                self.host.say(seat, Covered(m.serial, dict(list(lacking.items())[:MOST_LACKING])))

        def had(why: str) -> None:
            over({self.host.me: why} if why else {})

        def onwards(draft: bytes | None) -> None:
            self._wave(_Wave(m.customer, m.at, m.gone, draft, until, over), m.low, m.high)

        def then(why: str) -> None:
            had(why)
            onwards(self.host.draft(m.customer, m.at))

        if m.gone or m.draft is not None:
            self.host.have(m.customer, m.at, m.gone, m.draft, seat, had)
            onwards(m.draft)
        else:  # a large one: those below are told once it is here to be asked for
            self.host.have(m.customer, m.at, False, None, seat, then)

    def heard(self, seat: str, m: Heard) -> None:
        part = self._parts.get(m.serial)
        if part is not None and self.seats[part.head] == seat:
            part.heard = True

    def covered(self, seat: str, m: Covered) -> None:
        part = self._parts.get(m.serial)
        if part is None or self.seats[part.head] != seat:
            return
        del self._parts[m.serial]
        for name, why in m.lacking.items():
            self._lacks(part.wave, name, why)
        self._less(part.wave)
