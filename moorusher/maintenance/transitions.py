"""All ways in which the roster becomes another one. Each is a function of the roster that it finds, so that the
majority itself refuses what no longer fits: a grant worked out from an older roster, a "go" whose grant was withdrawn
meanwhile, the return of a machine that was given up.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from .errors import NoSuchAsk, NotOut, OtherAsk, OutageError, TooLate, TooMany
from .schedule import Ask, Ended, How, Roster, Stage, Turn, pack, unpack

MOST_TRIES = 2  # grants that came to nothing, after which a person must look
MOST_FALLS = 2  # the same of returns

_new = msgspec.structs.replace


class Change:
    """Of a register's bytes, by `make` of what they say. `error` is set anew with each roster that is found."""

    error: OutageError | None = None

    def __call__(self, old: bytes | None) -> bytes | None:
        self.error = None
        roster = unpack(old)
        made = self.make(roster)
        return None if made is None else pack(_new(made, number=roster.number + 1))

    def make(self, old: Roster) -> Roster | None:
        """None where nothing is to be changed, whether as it is so already or, with `error`, as it can't be."""
        raise NotImplementedError

    def touches(self) -> Sequence[str]:
        """Seats that should look at the roster soon."""
        return ()


def _without(old: Roster, turn: Turn) -> Roster:
    return _new(old, turns=tuple(t for t in old.turns if t.seat != turn.seat))


def _with(old: Roster, turn: Turn) -> Roster:
    return _new(old, turns=tuple(turn if t.seat == turn.seat else t for t in old.turns))


def _for(old: Roster, ask: Ask) -> Roster:
    return _new(old, asks=tuple(ask if a.id == ask.id else a for a in old.asks))


def _tidy(old: Roster, keep: int, *ended: Ended) -> Roster:
    """Asks of which nothing waits, is held or is out are over."""
    open_ = {t.ask for t in old.turns}
    over = [a for a in old.asks if not a.waiting and not a.held and a.id not in open_]
    gone = {a.id for a in over}
    at = ended[-1].at_s if ended else 0.0
    how = How.DONE if any(e.how == How.DONE.value for e in ended) else How.WITHDRAWN
    ends = [
        *old.ended,
        *ended,
        *(Ended(a.id, "", (How.DONE if a.done else how).value, at, f"{a.done} done") for a in over),
    ]
    return _new(
        old,
        asks=tuple(a for a in old.asks if a.id not in gone),
        ended=tuple(ends[-keep:]),
        tried=tuple(t for t in old.tried if t[0] not in gone),
    )


def _waits_again(old: Roster, turn: Turn, note: str, counts: bool) -> Roster:
    """`counts`: where that has come about too often, a person must look first."""
    made, ask = _without(old, turn), old.ask(turn.ask)
    if ask is None:
        return made
    tries = old.tries(ask.id, turn.seat) + counts
    rest = tuple(t for t in made.tried if t[:2] != (ask.id, turn.seat))
    if tries >= MOST_TRIES:
        return _new(_for(made, _new(ask, held=(*ask.held, (turn.seat, note)))), tried=rest)
    made = _new(made, tried=(*rest, (ask.id, turn.seat, tries)) if tries else rest)
    return _for(made, _new(ask, waiting=(turn.seat, *ask.waiting)))


# ---- what operators ask for ----


class AskFor(Change):
    """Idempotent by its id: asked again, nothing happens."""

    def __init__(self, ask: Ask, most: int) -> None:
        self.ask, self.most = ask, most

    def make(self, old: Roster) -> Roster | None:
        there = old.ask(self.ask.id)
        if there is not None:
            if not there.same(self.ask):
                self.error = OtherAsk(
                    f"{self.ask.id}: another ask has that id: {there.reason}, by {there.by}"
                )
            return None
        if old.is_over(self.ask.id):
            return None
        if len(old.asks) >= self.most:
            self.error = TooMany(f"{len(old.asks)} asks are open")
            return None
        return _new(old, asks=(*old.asks, self.ask))


class Cancel(Change):
    """What only waits or drains is withdrawn; `late` are the seats that have been told to go, as last found."""

    def __init__(self, id: str, seats: Sequence[str], at_s: float, by: str, keep: int) -> None:
        """All seats, where none is named."""
        self.id, self.seats, self.at_s, self.by, self.keep = id, frozenset(seats), at_s, by, keep
        self.late: list[str] = []
        self._touched: list[str] = []

    def make(self, old: Roster) -> Roster | None:
        ask, self.late, self._touched = old.ask(self.id), [], []
        if ask is None:
            if not old.is_over(self.id):
                self.error = NoSuchAsk(f"{self.id}: no such ask is open")
            return None

        def named(seat: str) -> bool:
            return not self.seats or seat in self.seats

        turns = [t for t in old.turns if t.ask == self.id and named(t.seat)]
        self.late = [t.seat for t in turns if t.at is not Stage.DRAINING]
        if self.late:
            self.error = TooLate(
                f"{', '.join(self.late)}: told to go already; the rest of {self.id} is withdrawn"
            )
        gone = {t.seat for t in turns} - set(self.late)
        out = [s for s in ask.waiting if named(s)] + [s for s, _ in ask.held if named(s)] + sorted(gone)
        if not out:
            return None
        self._touched = sorted(gone)
        ask = _new(
            ask,
            waiting=tuple(s for s in ask.waiting if not named(s)),
            held=tuple(h for h in ask.held if not named(h[0])),
        )
        made = _new(_for(old, ask), turns=tuple(t for t in old.turns if t.seat not in gone))
        named_ends = [Ended(self.id, s, How.WITHDRAWN.value, self.at_s, f"by {self.by}") for s in out[:8]]
        return _tidy(made, self.keep, *named_ends)

    def touches(self) -> Sequence[str]:
        return self._touched


class Hold(Change):
    """Nobody goes until it is taken away; who drains stays, and who was told to go has gone."""

    def __init__(self, why: str) -> None:
        self.why = why
        self._touched: list[str] = []

    def make(self, old: Roster) -> Roster | None:
        draining = [t for t in old.turns if t.at is Stage.DRAINING]
        self._touched = [t.seat for t in draining]
        if old.hold == self.why and not draining:
            return None
        made = old
        for turn in draining:
            made = _waits_again(made, turn, "", counts=False)
        return _new(made, hold=self.why)

    def touches(self) -> Sequence[str]:
        return self._touched


class Resume(Change):
    """Of everything, or of one seat that a person has looked at."""

    def __init__(self, seat: str = "") -> None:
        self.seat = seat

    def make(self, old: Roster) -> Roster | None:
        if not self.seat:
            return _new(old, hold="") if old.hold else None
        made, found = old, False
        for ask in old.asks:
            if any(s == self.seat for s, _ in ask.held):
                found = True
                made = _for(
                    made,
                    _new(
                        ask,
                        waiting=(*ask.waiting, self.seat),
                        held=tuple(h for h in ask.held if h[0] != self.seat),
                    ),
                )
        if not found:
            turn = old.turn(self.seat)
            self.error = NotOut(
                f"{self.seat}: not held back" + ("" if turn is None else f"; it is {turn.at.name.lower()}")
            )
            return None
        return made


class Over(Change):
    """An operator's word: the machine is back, or is not going after all, or will never come back."""

    def __init__(self, seat: str, at_s: float, by: str, keep: int) -> None:
        self.seat, self.at_s, self.by, self.keep = seat, at_s, by, keep

    def make(self, old: Roster) -> Roster | None:
        turn = old.turn(self.seat)
        if turn is None or turn.at is Stage.DRAINING:
            self.error = NotOut(f"{self.seat}: not out" + ("" if turn is None else ", it drains"))
            return None
        ask = old.ask(turn.ask)
        made = _without(old, turn)
        if ask is not None:
            made = _for(made, _new(ask, done=ask.done + 1))
        how = How.DONE if turn.at is Stage.BACK else How.GIVEN_UP
        return _tidy(made, self.keep, Ended(turn.ask, self.seat, how.value, self.at_s, f"said by {self.by}"))

    def touches(self) -> Sequence[str]:
        return (self.seat,)


# ---- what runners settle ----


class Grant(Change):
    """Worked out from the roster of that number, and from no other: whatever it had not seen, it may not pass over."""

    def __init__(self, number: int, chosen: Sequence[tuple[str, str]], most: int, at_s: float) -> None:
        """`chosen`: (ask, seat) each."""
        self.number, self.chosen, self.most, self.at_s = number, tuple(chosen), most, at_s
        self.made = False

    def make(self, old: Roster) -> Roster | None:
        self.made = False
        if old.number != self.number or old.hold or len(old.turns) + len(self.chosen) > self.most:
            return None
        made = old
        for id, seat in self.chosen:
            ask = made.ask(id)
            if ask is None or seat not in ask.waiting or made.turn(seat) is not None:
                return None
            turn = Turn(
                seat,
                id,
                old.number + 1,
                since_s=self.at_s,
                lasts_s=ask.lasts_s,
                ends=ask.ends,
                tries=old.tries(id, seat),
            )
            made = _new(
                _for(made, _new(ask, waiting=tuple(s for s in ask.waiting if s != seat))),
                turns=(*made.turns, turn),
            )
        self.made = True
        return made

    def touches(self) -> Sequence[str]:
        return [seat for _, seat in self.chosen] if self.made else ()


class _Own(Change):
    """By the machine itself, of the turn that it was granted by that change."""

    stages: tuple[Stage, ...] = ()

    def __init__(self, turn: Turn, inc: int) -> None:
        self.seat, self.granted, self.inc = turn.seat, turn.number, inc

    def mine(self, old: Roster) -> Turn | None:
        turn = old.turn(self.seat)
        return turn if turn is not None and turn.number == self.granted and turn.at in self.stages else None


class Accept(_Own):
    """This process drains; or it replaces the one that did, was told to go, or came back."""

    stages = (Stage.DRAINING, Stage.OUT, Stage.BACK)

    def make(self, old: Roster) -> Roster | None:
        turn = self.mine(old)
        return None if turn is None or turn.inc == self.inc else _with(old, _new(turn, inc=self.inc))


class Go(_Own):
    """Drained: from here on its operator may be told. `most` is the machine's own bound: where that is lower than the
    one that it was granted under, it does not go."""

    stages = (Stage.DRAINING,)

    def __init__(self, turn: Turn, inc: int, most: int, at_s: float, mark: str, settings: str) -> None:
        super().__init__(turn, inc)
        self.most, self.at_s, self.mark, self.settings = most, at_s, mark, settings

    def make(self, old: Roster) -> Roster | None:
        turn = self.mine(old)
        if turn is None or turn.inc != self.inc or old.hold or len(old.turns) > self.most:
            return None
        return _with(
            old, _new(turn, stage=Stage.OUT.value, since_s=self.at_s, mark=self.mark, settings=self.settings)
        )


class GiveBack(_Own):
    """It does not go now, and waits again."""

    stages = (Stage.DRAINING,)

    def __init__(self, turn: Turn, inc: int, note: str, counts: bool = True) -> None:
        super().__init__(turn, inc)
        self.note, self.counts = note, counts

    def make(self, old: Roster) -> Roster | None:
        turn = self.mine(old)
        return None if turn is None else _waits_again(old, turn, self.note, self.counts)


class Return(_Own):
    """A process that proves the work to be over; or a further one, where the one that came back has ended."""

    stages = (Stage.OUT, Stage.BACK)

    def __init__(self, turn: Turn, inc: int, at_s: float, settings: str) -> None:
        super().__init__(turn, inc)
        self.at_s, self.settings = at_s, settings

    def make(self, old: Roster) -> Roster | None:
        turn = self.mine(old)
        if turn is None or turn.inc == self.inc:
            return None
        falls = turn.falls + (turn.at is Stage.BACK)
        note = (
            "came back with other settings" if turn.settings and turn.settings != self.settings else turn.note
        )
        stage = Stage.BACK
        if falls >= MOST_FALLS:
            stage, note = Stage.ASIDE, f"came back, and ended again {falls} times"
        return _with(
            old, _new(turn, stage=stage.value, inc=self.inc, since_s=self.at_s, falls=falls, note=note)
        )


class Warm(_Own):
    """It serves as before: its turn is over."""

    stages = (Stage.BACK,)

    def __init__(self, turn: Turn, inc: int, at_s: float, keep: int) -> None:
        super().__init__(turn, inc)
        self.at_s, self.keep = at_s, keep

    def make(self, old: Roster) -> Roster | None:
        turn = self.mine(old)
        if turn is None or turn.inc != self.inc:
            return None
        ask, made = old.ask(turn.ask), _without(old, turn)
        if ask is not None:
            made = _for(made, _new(ask, done=ask.done + 1))
        return _tidy(made, self.keep, Ended(turn.ask, turn.seat, How.DONE.value, self.at_s, turn.note))
