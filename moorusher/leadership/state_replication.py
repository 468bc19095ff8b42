"""States among the keepers of a duty: at a majority before a register names them; fetched; made whole again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..membership.failure_detector import MS
from ..membership.placement import majority
from ..replication.work_record import Key
from . import chunks as pieces
from .chunks import Mark, Shelf
from .lease_record import Post, Version, pack, unpack
from .messages import Fetch, Fetched, Keep, Kept, Named

AGAIN = 150 * MS
MEND = 1_000 * MS
AT_ONCE = 8  # pieces that one fetch asks for


class Host(Protocol):
    """What the library needs of the member that has it."""

    @property
    def me(self) -> str: ...
    def keepers(self, key: Key) -> tuple[str, ...]: ...
    def say(self, seat: str, message: Any) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def clock(self) -> int: ...
    def inc(self) -> int: ...
    def inc_of(self, seat: str) -> int: ...  # the highest heard of
    def durable(self, then: Callable[[], None]) -> None: ...
    def count(self, name: str) -> None: ...


@dataclass(slots=True, eq=False)
class _Put:
    key: Key
    mark: Mark
    parts: dict[bytes, bytes]
    until: int
    then: Callable[[bool], None]
    has: dict[str, tuple[int, set[bytes]]] = field(
        default_factory=dict
    )  # by keeper: its incarnation, what it has
    refused: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Get:
    key: Key
    version: Version
    until: int
    then: Callable[[bytes | None], None]
    turn: int = 0


class Library:
    """Puts states on their keepers, finds them again, and mends what is missing."""

    def __init__(self, host: Host, shelf: Shelf) -> None:
        self.host, self.shelf = host, shelf
        self._puts: dict[int, _Put] = {}
        self._gets: dict[Key, list[_Get]] = {}
        self._serial = host.inc()  # answers to an earlier process of this seat are none to this one
        self._mending: dict[Key, int] = {}
        self.mended: Callable[[], None] = lambda: None
        self.wanted: Callable[[Key], Post | None] = lambda key: None  # what this keeper's register names

    # ---- to the keepers ----

    def put(
        self, key: Key, mark: Mark, state: bytes, known: set[bytes], until: int, then: Callable[[bool], None]
    ) -> None:
        """`then(True)` once a majority of the keepers has all of it, where there is a disk on it; `then(False)` where
        that did not come about by `until`. `known`: pieces that the keepers should have already."""
        self._serial += 1
        serial = self._serial
        put = self._puts[serial] = _Put(key, mark, pieces.cut(state), until, then)
        for seat in self.host.keepers(key):
            for name, piece in put.parts.items():
                self._send(serial, put, seat, name, b"" if name in known else piece)
        if not put.parts:
            del self._puts[serial]
            return then(True)
        self._again(serial)
        return None

    def _send(self, serial: int, put: _Put, seat: str, name: bytes, piece: bytes) -> None:
        self.host.say(seat, Keep(serial, put.key, put.mark, name, piece))

    def _again(self, serial: int) -> None:
        def again() -> None:
            put = self._puts.get(serial)
            if put is None:
                return
            if self.host.clock() >= put.until:
                del self._puts[serial]
                return put.then(False)
            for seat in self.host.keepers(put.key):
                for name in put.parts.keys() - put.has.get(seat, (0, set()))[1]:
                    self._send(serial, put, seat, name, b"")
            return self._again(serial)

        self.host.at(self.host.clock() + AGAIN, again)

    def keep(self, seat: str, m: Keep) -> None:
        if m.piece:
            ok = pieces.digest(m.piece) == m.name and self.shelf.keep(m.key, m.mark, m.piece)
            missing = False
        else:
            there = self.shelf.find(m.key, m.name)
            ok, missing = there is not None and self.shelf.keep(m.key, m.mark, there), there is None
        answer = Kept(m.serial, m.name, ok, missing, self.host.inc())
        if ok:
            self.mended()
            self.host.durable(lambda: self.host.say(seat, answer))
        else:
            self.host.say(seat, answer)

    def kept(self, seat: str, m: Kept) -> None:
        put = self._puts.get(m.serial)
        if put is None or m.name not in put.parts:
            return
        if m.missing:
            return self._send(m.serial, put, seat, m.name, put.parts[m.name])
        if not m.ok:
            put.refused.add(seat)
        else:
            inc, names = put.has.get(seat, (m.inc, set()))
            put.has[seat] = (m.inc, names | {m.name} if inc == m.inc else {m.name})
        seats = self.host.keepers(put.key)
        # Who has begun anew since it said so may have lost it.
        whole = [
            s
            for s, (inc, names) in put.has.items()
            if names >= put.parts.keys() and inc >= self.host.inc_of(s)
        ]
        if len(whole) >= majority(len(seats)):
            del self._puts[m.serial]
            put.then(True)
        elif len(seats) - len(put.refused) < majority(len(seats)):
            del self._puts[m.serial]
            put.then(False)
        return None

    def chosen(self, key: Key, post: Post) -> None:
        """By who has changed the register: its keepers need not keep what is named no more."""
        value = pack(post)
        for seat in self.host.keepers(key):
            self.host.say(seat, Named(key, value))

    def named(self, m: Named) -> None:
        if (post := unpack(m.value)) is not None:
            self.shelf.chosen(m.key, post)

    # ---- from them ----

    def get(self, key: Key, version: Version, until: int, then: Callable[[bytes | None], None]) -> None:
        """`then(None)` where no keeper that answers by `until` has a whole one."""
        get = _Get(key, version, until, then)
        self._gets.setdefault(key, []).append(get)
        self._try(get)

    def _try(self, get: _Get) -> None:
        state = pieces.whole(get.version, lambda name: self.shelf.find(get.key, name))
        if state is not None or self.host.clock() >= get.until:
            waiting = self._gets.get(get.key, [])
            if get in waiting:
                waiting.remove(get)
                if not waiting:
                    del self._gets[get.key]
                get.then(state)
                if get.key not in self._gets and self.wanted(get.key) is None:
                    self.shelf.by_key.pop(get.key, None)  # not ours to keep
            return
        missing = [d for d in dict.fromkeys(get.version.pieces) if self.shelf.find(get.key, d) is None]
        seats = [s for s in self.host.keepers(get.key) if s != self.host.me]
        if seats:
            self.host.say(seats[get.turn % len(seats)], Fetch(get.key, missing[:AT_ONCE]))
        get.turn += 1
        turn = get.turn

        def again() -> None:
            if get.turn == turn and get in self._gets.get(get.key, []):
                self._try(get)

        self.host.at(self.host.clock() + AGAIN, again)

    def fetch(self, seat: str, m: Fetch) -> None:
        for name in m.names[:AT_ONCE]:
            self.host.say(seat, Fetched(m.key, name, self.shelf.find(m.key, name) or b""))

    def fetched(self, seat: str, m: Fetched) -> None:
        if pieces.digest(m.piece) != m.name:
            if m.piece:
                self.host.count("duties: a damaged piece from another")
            return
        gets = [g for g in self._gets.get(m.key, []) if m.name in g.version.pieces]
        post = self.wanted(m.key)
        ours = post is not None and m.name in pieces.named(post)
        if not gets and not ours:
            return
        if self.shelf.find(m.key, m.name) is None:
            self.shelf.restore(m.key, [m.piece])
            if ours and self.shelf.notes:
                self.shelf.unsaved.append((m.key, m.name))
            if post is not None and not self.shelf.missing(m.key, post):
                self.mended()
        for get in gets:
            if all(self.shelf.find(m.key, d) is not None for d in get.version.pieces):
                self._try(get)
            elif sum(self.shelf.find(m.key, d) is None for d in get.version.pieces) % AT_ONCE == 0:
                get.turn -= 1  # of the same one, which has what it was asked for
                self._try(get)

    # ---- a keeper that lacks what its register names ----

    def mend(self, key: Key, soon: bool) -> None:
        """It was not there when it was told, or has forgotten, or a piece is damaged: others have it."""
        if key not in self._mending:
            self._mending[key] = 0
            self.host.at(self.host.clock() + (0 if soon else MEND), lambda: self._mend(key))

    def _mend(self, key: Key) -> None:
        post = self.wanted(key)
        missing = [] if post is None else self.shelf.missing(key, post)
        seats = [s for s in self.host.keepers(key) if s != self.host.me]
        if not missing or not seats:
            self._mending.pop(key, None)
            return self.mended()
        turn = self._mending[key] = self._mending[key] + 1
        if turn == 1:
            self.host.count("duties: made whole from others")
        self.host.say(seats[turn % len(seats)], Fetch(key, missing[:AT_ONCE]))
        self.host.at(self.host.clock() + AGAIN * min(turn, 20), lambda: self._mend(key))
        return None
