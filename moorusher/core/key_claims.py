"""Who may run which key while two processes are one runner.

A key that is new here is claimed with the other process before the module hears of its request. GRANTED means that the
other one has noted it as one that may have run: whoever survives knows. Of two claims that cross, the successor's
counts.
Nothing here knows how the other process is reached.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from .clock import MS, Alarm, Alarms, Clock
from .counters import Counters
from .idempotency_keys import Entry, Key, Keys
from .requests import Request, Table

WAIT = 250 * MS  # for the other process to answer a claim: it takes a turn of its loop, or it hangs


class Peer(Protocol):
    """The other process. What is said arrives in its order, or not at all."""

    def claim(self, serial: int, key: Key, body: int, until: int) -> None: ...
    def granted(self, serial: int, key: Key) -> None: ...
    def held(self, serial: int, key: Key, body: int, until: int) -> None: ...
    def full(self, serial: int, key: Key) -> None: ...
    def freed(self, key: Key) -> None: ...
    def settled(self, key: Key, body: int, until: int, result: bytes | None) -> None: ...


@dataclass(slots=True)
class _Asked:
    request: Request
    serial: int
    alarm: Alarm


class Claims:
    """`go` hands a request on to the module, `refuse` answers one that never ran, `shared` those that waited."""

    def __init__(
        self,
        keys: Keys,
        table: Table,
        clock: Clock,
        alarms: Alarms,
        counters: Counters,
        go: Callable[[Request], None],
        refuse: Callable[[Request, str], None],
        shared: Callable[[int, bytes | None], None],
    ) -> None:
        self._keys, self._table, self._clock, self._alarms = keys, table, clock, alarms
        self._counters, self._go, self._refuse, self._shared = counters, go, refuse, shared
        self.peer: Peer | None = None
        self.first = False  # the successor: of two claims that cross, this one's counts
        self.unanswered: Callable[[], bool] = lambda: (
            False
        )  # True where the other is given up, and all is ours
        self._asked: dict[Key, _Asked] = {}
        self._serial = 0
        keys.told.append(self)

    # ---- from here ----

    def hold_back(self, request: Request) -> bool:
        """True where the other process is asked first; `go` or `refuse` follows."""
        entry = None if request.key is None else self._keys.of_try(request.number)
        if self.peer is None or entry is None:
            return False  # not keyed, or a repeat of what is known here
        self._serial += 1
        alarm = self._alarms.at(self._clock.now + WAIT, lambda: self._late(entry.key))
        self._asked[entry.key] = _Asked(request, self._serial, alarm)
        self._counters.add("keys claimed")
        self.peer.claim(self._serial, entry.key, entry.body, entry.until)
        return True

    def _late(self, key: Key) -> None:
        if key not in self._asked:
            return
        self._counters.add("claims unanswered")
        if self.unanswered():
            return
        asked = self._asked.pop(key)
        if asked.request.number in self._table.by_number:
            self._refuse(asked.request, "the other process does not answer for this key")

    def freed(self, entry: Entry) -> None:
        """From the keys: a try of ours is over and never ran."""
        if (asked := self._asked.pop(entry.key, None)) is not None:
            asked.alarm.cancel()
        if self.peer is not None and not entry.theirs:
            self.peer.freed(entry.key)

    def settled(self, entry: Entry) -> None:
        """From the keys: a run of ours is over."""
        if self.peer is not None:
            self.peer.settled(entry.key, entry.body, entry.until, entry.result)

    # ---- from the other process ----

    def _mine(self, serial: int, key: Key) -> Request | None:
        """The request whose claim is answered; None where it is over, or the answer is to an older claim."""
        asked = self._asked.get(key)
        if asked is None or asked.serial != serial:
            return None
        del self._asked[key]
        asked.alarm.cancel()
        return asked.request if asked.request.number in self._table.by_number else None

    def granted(self, serial: int, key: Key) -> None:
        if (request := self._mine(serial, key)) is not None:
            self._go(request)

    def held(self, serial: int, key: Key, body: int, until: int) -> None:
        """The other one holds it: ours waits for that try's result."""
        if (request := self._mine(serial, key)) is not None:
            self._yield(request, key, body, until)

    def full(self, serial: int, key: Key) -> None:
        if (request := self._mine(serial, key)) is not None:
            self._refuse(request, "no room for a further key")

    def _yield(self, request: Request, key: Key, body: int, until: int) -> None:
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            return
        same = entry.body == body
        self._keys.give(entry, self._table.number(), body, until)
        request.repeats = entry.number
        self._counters.add("keys held by the other process")
        if same:
            self._go(request)
        else:
            self._refuse(request, "this token came before with another body")

    def claimed(self, serial: int, key: Key, body: int, until: int) -> None:
        """The other one wants to run it."""
        if self.peer is None:
            return
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            if self._keys.full():
                return self.peer.full(serial, key)
            self._keys.theirs(key, self._table.number(), body, until)
            return self.peer.granted(serial, key)
        if entry.theirs and not entry.over:
            return self.peer.granted(serial, key)
        asked = self._asked.get(key)
        if asked is not None and not self.first:
            del self._asked[key]
            asked.alarm.cancel()
            self.peer.granted(serial, key)
            if asked.request.number in self._table.by_number:
                self._yield(asked.request, key, body, until)
            return
        self.peer.held(serial, key, entry.body, entry.until)
        if entry.over:
            self.peer.settled(key, entry.body, entry.until, entry.result)

    def peer_freed(self, key: Key) -> None:
        """Its try never ran; whoever waits for it here has no result to wait for."""
        entry = self._keys.find(key, self._clock.now)
        if entry is not None and entry.theirs and not entry.over:
            for waiter in self._keys.forget(entry):
                self._shared(waiter, None)

    def peer_settled(self, key: Key, body: int, until: int, result: bytes | None) -> None:
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            entry = self._keys.theirs(key, self._table.number(), body, until)
        if not entry.theirs:
            return  # ours: what we know of it is better
        for waiter in self._keys.settle(entry.number, result):
            self._shared(waiter, entry.result)

    # ---- the whole ----

    def snapshot(self) -> Iterator[Entry]:
        """All that the other process has to know, as things stand when each is handed out: what changes later is
        said in its own message, after it."""
        for entry in self._keys.entries():
            if not entry.theirs:
                yield entry

    def taken(self, key: Key, body: int, until: int, over: bool, result: bytes | None) -> None:
        """One entry of a snapshot."""
        entry = self._keys.find(key, self._clock.now)
        if entry is None:
            entry = self._keys.theirs(key, self._table.number(), body, until)
        if over and entry.theirs:
            for waiter in self._keys.settle(entry.number, result):
                self._shared(waiter, entry.result)

    def alone(self, died: bool) -> None:
        """There is no other process any more. Where it died, what it left open may have run: it is over, without a
        result, and never runs again in its window. Where it only turned away, nothing of it counts."""
        self.peer = None
        for entry in list(self._keys.entries()):
            if not entry.theirs or entry.over:
                continue
            for waiter in self._keys.settle(entry.number, None) if died else self._keys.forget(entry):
                self._shared(waiter, None)
        asked, self._asked = list(self._asked.values()), {}
        for one in asked:  # it could run none of these: it had no grant
            one.alarm.cancel()
            if one.request.number in self._table.by_number:
                self._go(one.request)
