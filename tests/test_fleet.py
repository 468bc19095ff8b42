"""The fleet without sockets: the life of work, every interleaving of small cases and seeds in virtual time.

Each search is also run on seeded mistakes, which it must find: one that finds none proves nothing.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from moorusher.membership.failure_detector import Members, State
from moorusher.membership.placement import Seats
from moorusher.model_checking.cluster_simulation import Course, Process, Simulation, search
from moorusher.model_checking.explorer import explore, replay
from moorusher.model_checking.register_interleavings import Limits, Registers
from moorusher.replication import node as node_module
from moorusher.replication import watched_work as watched_module
from moorusher.replication import work_takeover as left_module
from moorusher.replication.acceptor import Keeper
from moorusher.replication.messages import FAST, Ask, Ping, Pong, decode, encode
from moorusher.replication.messages import Begin as BeginFleet
from moorusher.replication.policy import Seat
from moorusher.replication.proposer import Writer
from moorusher.replication.work_record import (
    Begin,
    Bury,
    Claim,
    Free,
    Order,
    Owner,
    Settle,
    Take,
    Work,
    key_of,
)
from moorusher.replication.work_record import State as WorkState

ORDER = Order("r", "write", None, "t", b"body", 0.0, None, 0, 1.0, 0.0, None)
A, B = Owner("a", 1), Owner("b", 2)

# ---- seats ----


def seats(n: int, zones: int = 3) -> Seats:
    return Seats([Seat(f"n{i}", ("127.0.0.1", 1), f"z{i % zones}") for i in range(n)])


def test_keepers_are_the_same_for_all_and_in_different_zones_and_as_many_as_there_are() -> None:
    s = seats(9)
    for i in range(200):
        keepers = s.keepers(b"%d" % i)
        assert keepers == seats(9).keepers(b"%d" % i) and len(set(keepers)) == 3
        assert {s.by_name[k].zone for k in keepers} == {"z0", "z1", "z2"}
    assert len(seats(2).keepers(b"x")) == 2 and len(seats(5, zones=1).keepers(b"x")) == 3


def test_the_work_of_a_lost_runner_spreads_over_all_the_others() -> None:
    s = seats(100)
    taken: dict[str, int] = {}
    for i in range(4000):
        first = next(t for t in s.takers(b"%d" % i) if t != "n7")
        taken[first] = taken.get(first, 0) + 1
    assert len(taken) == 99 and max(taken.values()) < 2 * 4000 / 99


def test_tenants_never_share_a_key() -> None:
    names = [(None, "t"), ("", "t"), ("a", "bt"), ("ab", "t"), ("a", "t"), ("-", "t")]
    assert len({key_of(*n) for n in names}) == len(names)


# ---- the life of work ----


def held(owner: Owner = A, attempt: int = 1) -> Work:
    return Work(WorkState.HELD, owner, attempt, 7, ORDER)


def begun() -> Work:
    return Work(WorkState.BEGUN, A, 1, 7)


@pytest.mark.parametrize(
    "change, old, state, owner",
    [
        (Claim(B, 7, ORDER), None, WorkState.HELD, B),
        (Claim(B, 7, ORDER), held(), None, None),
        (Claim(B, 7, ORDER), begun(), None, None),
        (Claim(B, 7, ORDER), Work(WorkState.FREE, A, 1, 7), WorkState.HELD, B),
        (Claim(B, 8, ORDER), Work(WorkState.FREE, A, 1, 7, ORDER), None, None),
        (Take(B, A, 1), held(), WorkState.HELD, B),
        (Take(B, A, 1), held(attempt=2), None, None),
        (Take(B, A, 1), begun(), None, None),
        (Take(B, A, 1), Work(WorkState.FREE, A, 3, 7, ORDER), WorkState.HELD, B),
        (Take(B, A, 1), Work(WorkState.FREE, A, 1, 7), None, None),
        (Begin(A, 1), held(), WorkState.BEGUN, A),
        (Begin(A, 1), held(B, 2), None, None),
        (Begin(A, 1), held(A, 2), None, None),
        (Begin(A, 1), None, None, None),
        (Settle(A, 1, b"r"), begun(), WorkState.OVER, A),
        (Settle(A, 1, b"r"), Work(WorkState.OVER, A, 1, 7), WorkState.OVER, A),
        (Settle(A, 1, None), Work(WorkState.OVER, A, 1, 7), None, None),
        (Settle(A, 1, b"r"), held(B, 2), None, None),
        (Bury(A, 1), begun(), WorkState.OVER, A),
        (Bury(A, 1), held(), None, None),
        (Free(A, 1, None, False), begun(), WorkState.FREE, A),
        (Free(A, 1, None, False), Work(WorkState.OVER, A, 1, 7), None, None),
    ],
)
def test_each_change_has_its_one_outcome(
    change: Any, old: Work | None, state: WorkState | None, owner: Owner | None
) -> None:
    new = change(old)
    assert (state, owner) == (None, None) if new is None else (new.state, new.owner) == (state, owner)


def test_what_has_begun_leads_back_to_a_run_only_by_its_owners_own_word() -> None:
    others: list[Any] = [
        Claim(B, 7, ORDER),
        Take(B, A, 1),
        Begin(B, 1),
        Bury(A, 1),
        Settle(B, 1, b"x"),
        Free(B, 1, ORDER, True),
    ]
    reached = [begun()]
    for old in reached:
        for change in others:
            new = change(old)
            if new is not None and new not in reached:
                reached.append(new)
    assert all(w.state is WorkState.OVER or w == begun() for w in reached)


# ---- registers ----


def keepers(*names: str) -> dict[str, Keeper]:
    return {s: Keeper(s, 1, lambda key: names, frozenset(names) - {s}, True) for s in names}


def ask(all_of: dict[str, Keeper], w: Writer, asks: list[Ask], *at: str) -> list[Ask]:
    """Puts one round to these keepers; what is to be asked next."""
    return [a for q in asks for s in at for a in w.heard(s, all_of[s].ask(0, q))]


def claimed(all_of: dict[str, Keeper], owner: Owner, *at: str) -> tuple[Writer, list[Ask]]:
    w = Writer(b"k", tuple(all_of), owner.inc, 1, Claim(owner, 7, ORDER), 1000)
    return w, ask(all_of, w, w.begin(owner.inc * 1000), *at)


def test_a_first_write_is_chosen_where_all_took_it_and_else_needs_one_more_round() -> None:
    w, _ = claimed(keepers("x", "y", "z"), A, "x", "y", "z")
    assert w.done is not None and w.done.made
    k = keepers("x", "y", "z")
    w, _ = claimed(k, A, "x", "y")
    assert w.done is None, "with the third lost, nobody could tell it from another's"
    ask(k, w, w.nudge(), "x", "y")
    assert w.done is not None and w.done.value.owner == A


def test_of_two_first_writes_the_later_reader_gives_both_the_same() -> None:
    k = keepers("x", "y", "z")
    one, _ = claimed(k, A, "x", "y")
    two, _ = claimed(k, B, "z", "y")
    ask(k, two, ask(k, two, two.again(), "z", "y"), "z", "y")
    ask(k, one, one.again(), "x", "z")  # too low a ballot, which tells a higher one
    ask(k, one, ask(k, one, one.again(), "x", "z"), "x", "z")
    assert one.done is not None and two.done is not None and one.done.value == two.done.value


def test_an_owner_begins_in_one_round_and_not_once_another_has_promised_more() -> None:
    k = keepers("x", "y", "z")
    w, _ = claimed(k, A, "x", "y", "z")
    assert w.done is not None and w.done.hold is not None
    b = Writer(b"k", ("x", "y", "z"), A.inc, 2, Begin(A, 1), 1000, w.done.hold)
    ask(k, b, b.begin(9000), "x", "y")
    assert b.done is not None and b.done.value.state is WorkState.BEGUN
    late = Writer(b"k", ("x", "y", "z"), B.inc, 1, Take(B, A, 1), 1000)
    ask(k, late, ask(k, late, late.begin(9100), "y", "z"), "y", "z")
    assert late.done is not None and not late.done.made and late.done.value.state is WorkState.BEGUN


def test_a_keeper_that_forgot_has_no_vote_until_both_others_have_told_it() -> None:
    k = keepers("x", "y", "z")
    claimed(k, A, "x", "y", "z")
    k["x"] = new = Keeper("x", 2, lambda key: ("x", "y", "z"), frozenset("yz"))
    question = Ask(1, b"k", (5, 9, 9), None, (6, 9, 9), {}, 1000)
    assert new.ask(0, question).blank
    for part in k["y"].answer_sync(0, "x", 2):
        new.take_slots(0, "y", part)
    assert new.ask(0, question).blank
    for part in k["z"].answer_sync(0, "x", 2):
        new.take_slots(0, "z", part)
    assert new.remembers and new.ask(0, question).value.owner == A  # type: ignore[union-attr]


def test_one_seat_lost_for_good_keeps_nobody_who_begins_anew_from_voting_and_telling_the_next() -> None:
    sim = Simulation(3, Course(seats=5, keys=0, faults=0))
    sim.run(1_000_000)
    sim._end(sim.processes[4])
    for seat in range(4):  # one after the other, as in a round of restarts
        sim._end(sim.processes[seat])
        sim.processes[seat] = sim.born(seat, remembers=False)
        sim.run(sim.now + 3_000_000)
    keys = [b"k%d" % i for i in range(400)]
    without = [k for k in keys if "n4" not in sim.seats.keepers(k)]
    assert without and all(
        p.node.keeper.votes_for(k)
        for k in without
        for p in sim.processes[:4]
        if p.node.me in sim.seats.keepers(k)
    )
    # Where it is needed nobody guesses: two of three are not enough to know again what all three were.
    assert not any(
        p.node.keeper.votes_for(k)
        for k in keys
        if k not in without
        for p in sim.processes[:4]
        if p.node.me in sim.seats.keepers(k)
    )


def test_what_is_of_the_whole_fleet_is_kept_by_more_seats() -> None:
    for count, kept in ((2, 2), (3, 3), (4, 3), (5, 5), (8, 7), (40, 7)):
        seats = Seats([Seat(f"n{i}", ("", 0), f"z{i % 3}") for i in range(count)])
        assert len(seats.keepers(b"fleet:x")) == kept and len(seats.keepers(b"x")) == min(3, count)


def test_an_answer_that_only_says_too_low_an_incarnation_tells_nothing() -> None:
    k = keepers("x", "y", "z")
    k["y"].hear_of({"x": 5})
    (part,) = k["y"].answer_sync(0, "x", 3)
    new = Keeper("x", part.inc, lambda key: ("x", "y", "z"), frozenset("yz"))
    new.take_slots(0, "y", part)
    assert part.blank and not new.synced


def test_a_promise_of_a_past_life_carries_no_write() -> None:
    k = keepers("x", "y", "z")
    w = Writer(b"k", ("x", "y", "z"), A.inc, 1, Take(A, B, 1), 1000)
    first = w.again()
    for s in ("x", "y"):
        k[s].ask(0, first[0])
    k["y"].hear_of({"x": 2})
    assert (
        not k["y"].ask(0, Ask(2, b"k", first[0].ballot, held(), first[0].after, {"x": 1, "y": 1}, 1000)).taken
    )


def test_the_word_that_a_fleet_is_new_counts_for_no_later_process() -> None:
    sim = Simulation(1, Course(seats=3, keys=0, faults=0))
    for other in sim.processes:
        sim._end(other)
    process = sim.processes[0] = sim.born(0, remembers=False, inc=7)
    process.node.heard("n1", 9, BeginFleet(6))
    sim.run(sim.now + 200_000)
    assert not process.node.keeper.remembers
    process.node.heard("n1", 9, BeginFleet(7))
    sim.run(sim.now + 200_000)
    assert process.node.keeper.remembers


def test_those_who_hear_of_others_that_began_before_the_word_itself_take_it_all_the_same() -> None:
    sim = Simulation(1, Course(seats=4, keys=0, faults=0, lost=0, doubled=0))
    for seat in range(4):
        sim._end(sim.processes[seat])
        sim.processes[seat] = sim.born(seat, remembers=False, inc=100 + seat)
    sim.run(1_000_000)
    registers = sim.processes[0].node.registers
    sent: list[tuple[str, Any]] = []
    send = sim.processes[0].send

    def caught(seat: str, message: Any) -> None:
        if isinstance(message, BeginFleet):
            sent.append((seat, message))
        else:
            send(seat, message)

    sim.processes[0].send = caught  # type: ignore[method-assign]
    assert registers.begin() is None
    for name, m in sent:  # the word takes another way than answers do
        sim.at(sim.now + (50_000 if name in ("n2", "n3") else 1_000), None, partial(send, name, m))
    for late in sim.processes[2:]:
        sim.at(sim.now + 20_000, None, partial(late.node.registers._sync_all, 500_000))
    sim.run(sim.now + 3_000_000)
    assert all(p.node.keeper.remembers for p in sim.processes)


# ---- every interleaving ----


def test_no_interleaving_of_the_owners_begin_and_a_taker_runs_a_key_twice() -> None:
    found = explore(Registers.begun(Limits(held=True, again=(0, 1), patient=True)), 60_000)
    assert found.whole and found.states > 10_000 and found.broken is None, str(found)


@pytest.mark.parametrize(
    "limits, how",
    [
        (Limits(held=True, again=(0, 0)), {"hasty": True}),
        (
            Limits(again=(0, 1), patient=True),
            {"seats": {"P": ("a", "b", "c"), "Q": ("c", "d", "e")}, "alike": ("a", "b")},
        ),
    ],
    ids=["commanded before it is begun", "other seats in one step"],
)
def test_every_interleaving_finds_the_seeded_mistakes(limits: Limits, how: dict[str, Any]) -> None:
    case = Registers.begun(limits, **how)
    found = explore(case, 60_000, deep=True)
    assert found.broken is not None, str(found)
    assert replay(case, found.way) == found.broken, "the way that is told leads there"


# ---- seeds in virtual time ----


def test_no_course_in_virtual_time_runs_twice_forgets_or_makes_a_result_up() -> None:
    found = search(range(40))
    assert found is None, (
        f"moorusher lab run fleet --seed {found[0]} plays it again: {found[1]}" if found else ""
    )


class Hasty(Process):
    """A seeded mistake: commanded while others are asked."""

    def _start(self, key: bytes) -> None:
        if self.state.get(key) == "held" and self.kernel:
            self.state[key] = "beginning"
            self.begun(key)


class Amnesiac(Keeper):
    def votes_for(self, key: bytes) -> bool:
        return True


class Grasping(Take):
    """A seeded mistake: what has begun is taken over, too."""

    def __call__(self, old: Work | None) -> Work | None:
        if old is not None and old.state is WorkState.BEGUN and old.owner == self.owner:
            return Work(WorkState.HELD, self.me, old.attempt + 1, old.body, ORDER)
        return super().__call__(old)


@pytest.mark.parametrize(
    "where, name, what, how",
    [
        ("", "", None, {"process": Hasty}),
        ("node", "Keeper", Amnesiac, {}),
        ("node", "TakeWork", Grasping, {}),
    ],
    ids=["commanded before it is begun", "amnesia ignored", "begun work taken over"],
)
def test_the_seeds_find_the_seeded_mistakes(
    where: str, name: str, what: Any, how: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    if where:
        for module in (node_module, left_module, watched_module):
            monkeypatch.setattr(module, name, what, raising=False)
    assert search(range(60), Course(faults=10), **how) is not None


def test_a_seed_plays_the_same_course_each_time() -> None:
    one, two = Simulation(3), Simulation(3)
    one.play()
    two.play()
    assert one.history == two.history and one.events == two.events


# ---- members ----


class Host:
    def __init__(self) -> None:
        self.now, self.sent = 0, list[tuple[str, Any]]()
        self.alarms: list[tuple[int, Any]] = []
        self.lost: list[tuple[str, int]] = []

    def send(self, seat: str, message: Any) -> None:
        self.sent.append((seat, message))

    reply = send

    def at(self, when: int, action: Any) -> None:
        self.alarms.append((when, action))

    def died(self, seat: str, inc: int) -> None:
        self.lost.append((seat, inc))

    def random(self) -> float:
        return 0.5

    def clock(self) -> int:
        return self.now

    def wait(self, ms: int) -> None:
        end = self.now + ms * 1000
        while due := [a for a in self.alarms if a[0] <= end]:
            first = min(due, key=lambda a: a[0])
            self.alarms.remove(first)
            self.now = max(self.now, first[0])
            first[1]()
        self.now = end


def members(n: int = 3) -> tuple[Members, Host]:
    host = Host()
    m = Members("a", 1, tuple("abcdefgh"[:n]), host)
    for seat in "bcdefgh"[: n - 1]:
        m.heard(seat, 9)
    m.start(0)
    return m, host


def test_a_silent_member_is_asked_through_others_then_suspected_then_lost() -> None:
    _, host = members()
    host.wait(3000)
    assert any(type(x).__name__ == "PingFor" for _, x in host.sent)
    assert {"b", "c"} == {seat for seat, _ in host.lost}


def test_one_that_refuses_connections_is_lost_sooner_and_one_that_speaks_is_not() -> None:
    m, host = members()
    m.suspect("b", refused=True)
    m.suspect("c", refused=True)
    host.wait(100)
    m.heard("c", 9)
    host.wait(250)
    assert host.lost == [("b", 9)] and m.by_seat["c"].state is not State.DEAD


def test_a_process_that_was_stopped_itself_judges_nobody_by_what_it_missed() -> None:
    m, host = members()
    host.wait(150)
    host.now += 5_000_000  # SIGSTOP: all alarms are late
    host.wait(10)
    assert not host.lost and m.health > 0


def test_a_rumour_of_our_own_death_is_refuted_with_a_higher_version() -> None:
    m, host = members()
    before = m.own.version
    m.ping("b", Ping(1, [m_about("a", 1, before, State.DEAD)]))
    ((_, pong),) = [x for x in host.sent if isinstance(x[1], Pong)]
    assert m.own.version > before and any(a.seat == "a" and a.version == m.own.version for a in pong.news)


def m_about(seat: str, inc: int, version: int, state: State) -> Any:
    from moorusher.replication.messages import About, Word

    return About(seat, inc, version, state.value, Word(True, 2))


def test_messages_a_member_stay_the_same_as_the_fleet_grows() -> None:
    sent: dict[int, int] = {}
    for n in (5, 8):
        m, host = members(n)
        for _ in range(25):
            host.wait(200)
            for seat, x in list(host.sent):
                if isinstance(x, Ping):
                    m.pong(seat, Pong(x.serial, []))
            sent[n] = sent.get(n, 0) + len(host.sent)
            assert all(len(encode([x])) < 600 for _, x in host.sent)
            host.sent.clear()
    assert abs(sent[5] - sent[8]) <= 2


# ---- messages ----


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xc1",
        b"\x91\x01",
        b"\x91\x93\xa3ask\x01\x02",
        b"\x91\x92\xa5hello\x01",
        b"\x81\xa1a\x01",
        b"\x91" * 2000,
    ],
)
def test_what_is_no_message_is_told_as_such(raw: bytes) -> None:
    with pytest.raises(ValueError):
        decode(raw)


def test_messages_come_out_as_they_went_in() -> None:
    asked = Ask(5, b"k", FAST, held(), (1, 2, 3), {"a": 1}, 1000)
    assert decode(encode([asked, Ping(1, [])])) == [asked, Ping(1, [])]
