"""The fleet without sockets: the life of work, every interleaving of small cases and seeds in virtual time.

Each search is also run on seeded mistakes, which it must find: one that finds none proves nothing.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from moorusher.membership.failure_detector import FailureDetector
from moorusher.membership.member import MemberState
from moorusher.membership.messages import Ping, PingAck, PingRequest
from moorusher.membership.placement import Placement
from moorusher.membership.policy import Seat
from moorusher.model_checking.cluster_process import Process
from moorusher.model_checking.cluster_simulation import ClusterSimulation, find_counterexample
from moorusher.model_checking.explorer import explore, replay
from moorusher.model_checking.register_interleavings import RegisterModel
from moorusher.model_checking.register_state import RegisterModelLimits
from moorusher.model_checking.scenario import Scenario
from moorusher.model_checking.simulated_request_engine import KeyState, SimulatedRequestEngine
from moorusher.replication import node as node_module
from moorusher.replication import watched_work as watched_module
from moorusher.replication import work_takeover as takeover_module
from moorusher.replication.acceptor import Acceptor
from moorusher.replication.messages import FAST_BALLOT, BallotRequest, Bootstrap, SyncReply, decode, encode
from moorusher.replication.proposer import Proposer
from moorusher.replication.register_space import CLUSTER_SPACE, RegisterSpace
from moorusher.replication.work_record import (
    ClaimWork,
    EndOrphanedWork,
    FinishWork,
    Owner,
    ReleaseWork,
    StartWork,
    TakeOverWork,
    WorkRecord,
    WorkRequest,
    WorkState,
    key_of,
)

ORDER = WorkRequest("r", "write", None, "t", b"body", 0.0, None, 0, 1.0, 0.0, None)
A, B = Owner("a", 1), Owner("b", 2)

# ---- seats ----


def seats(n: int, zones: int = 3) -> Placement:
    return Placement([Seat(f"n{i}", ("127.0.0.1", 1), f"z{i % zones}") for i in range(n)])


def test_keepers_are_the_same_for_all_and_in_different_zones_and_as_many_as_there_are() -> None:
    s = seats(9)
    for i in range(200):
        keepers = s.replicas(b"%d" % i)
        assert keepers == seats(9).replicas(b"%d" % i) and len(set(keepers)) == 3
        assert {s.by_name[k].zone for k in keepers} == {"z0", "z1", "z2"}
    assert len(seats(2).replicas(b"x")) == 2 and len(seats(5, zones=1).replicas(b"x")) == 3


def test_the_work_of_a_lost_runner_spreads_over_all_the_others() -> None:
    s = seats(100)
    taken: dict[str, int] = {}
    for i in range(4000):
        first = next(t for t in s.takeover_order(b"%d" % i) if t != "n7")
        taken[first] = taken.get(first, 0) + 1
    assert len(taken) == 99 and max(taken.values()) < 2 * 4000 / 99


def test_tenants_never_share_a_key() -> None:
    names = [(None, "t"), ("", "t"), ("a", "bt"), ("ab", "t"), ("a", "t"), ("-", "t")]
    assert len({key_of(*n) for n in names}) == len(names)


# ---- the life of work ----


def held(owner: Owner = A, attempt: int = 1) -> WorkRecord:
    return WorkRecord(WorkState.HELD, owner, attempt, 7, ORDER)


def begun() -> WorkRecord:
    return WorkRecord(WorkState.STARTED, A, 1, 7)


@pytest.mark.parametrize(
    "change, old, state, owner",
    [
        (ClaimWork(B, 7, ORDER), None, WorkState.HELD, B),
        (ClaimWork(B, 7, ORDER), held(), None, None),
        (ClaimWork(B, 7, ORDER), begun(), None, None),
        (ClaimWork(B, 7, ORDER), WorkRecord(WorkState.RELEASED, A, 1, 7), WorkState.HELD, B),
        (ClaimWork(B, 8, ORDER), WorkRecord(WorkState.RELEASED, A, 1, 7, ORDER), None, None),
        (TakeOverWork(B, A, 1), held(), WorkState.HELD, B),
        (TakeOverWork(B, A, 1), held(attempt=2), None, None),
        (TakeOverWork(B, A, 1), begun(), None, None),
        (TakeOverWork(B, A, 1), WorkRecord(WorkState.RELEASED, A, 3, 7, ORDER), WorkState.HELD, B),
        (TakeOverWork(B, A, 1), WorkRecord(WorkState.RELEASED, A, 1, 7), None, None),
        (StartWork(A, 1), held(), WorkState.STARTED, A),
        (StartWork(A, 1), held(B, 2), None, None),
        (StartWork(A, 1), held(A, 2), None, None),
        (StartWork(A, 1), None, None, None),
        (FinishWork(A, 1, b"r"), begun(), WorkState.FINISHED, A),
        (FinishWork(A, 1, b"r"), WorkRecord(WorkState.FINISHED, A, 1, 7), WorkState.FINISHED, A),
        (FinishWork(A, 1, None), WorkRecord(WorkState.FINISHED, A, 1, 7), None, None),
        (FinishWork(A, 1, b"r"), held(B, 2), None, None),
        (EndOrphanedWork(A, 1), begun(), WorkState.FINISHED, A),
        (EndOrphanedWork(A, 1), held(), None, None),
        (ReleaseWork(A, 1, None, False), begun(), WorkState.RELEASED, A),
        (ReleaseWork(A, 1, None, False), WorkRecord(WorkState.FINISHED, A, 1, 7), None, None),
    ],
)
def test_each_change_has_its_one_outcome(
    change: Any, old: WorkRecord | None, state: WorkState | None, owner: Owner | None
) -> None:
    new = change(old)
    assert (state, owner) == (None, None) if new is None else (new.state, new.owner) == (state, owner)


def test_what_has_begun_leads_back_to_a_run_only_by_its_owners_own_word() -> None:
    others: list[Any] = [
        ClaimWork(B, 7, ORDER),
        TakeOverWork(B, A, 1),
        StartWork(B, 1),
        EndOrphanedWork(A, 1),
        FinishWork(B, 1, b"x"),
        ReleaseWork(B, 1, ORDER, True),
    ]
    reached = [begun()]
    for old in reached:
        for change in others:
            new = change(old)
            if new is not None and new not in reached:
                reached.append(new)
    assert all(w.state is WorkState.FINISHED or w == begun() for w in reached)


# ---- registers ----


def keepers(*names: str) -> dict[str, Acceptor]:
    return {s: Acceptor(s, 1, lambda key: names, frozenset(names) - {s}, True) for s in names}


def ask(all_of: dict[str, Acceptor], w: Proposer, asks: list[BallotRequest], *at: str) -> list[BallotRequest]:
    """Puts one round to these keepers; what is to be asked next."""
    return [a for q in asks for s in at for a in w.handle_vote(s, all_of[s].vote(0, q))]


def claimed(all_of: dict[str, Acceptor], owner: Owner, *at: str) -> tuple[Proposer, list[BallotRequest]]:
    w = Proposer(b"k", tuple(all_of), owner.incarnation, 1, ClaimWork(owner, 7, ORDER), 1000)
    return w, ask(all_of, w, w.start(owner.incarnation * 1000), *at)


def test_a_first_write_is_chosen_where_all_took_it_and_else_needs_one_more_round() -> None:
    w, _ = claimed(keepers("x", "y", "z"), A, "x", "y", "z")
    assert w.result is not None and w.result.applied
    k = keepers("x", "y", "z")
    w, _ = claimed(k, A, "x", "y")
    assert w.result is None, "with the third lost, nobody could tell it from another's"
    ask(k, w, w.settle_for_majority(), "x", "y")
    assert w.result is not None and w.result.value.owner == A


def test_of_two_first_writes_the_later_reader_gives_both_the_same() -> None:
    k = keepers("x", "y", "z")
    one, _ = claimed(k, A, "x", "y")
    two, _ = claimed(k, B, "z", "y")
    ask(k, two, ask(k, two, two.retry(), "z", "y"), "z", "y")
    ask(k, one, one.retry(), "x", "z")  # too low a ballot, which tells a higher one
    ask(k, one, ask(k, one, one.retry(), "x", "z"), "x", "z")
    assert one.result is not None and two.result is not None and one.result.value == two.result.value


def test_an_owner_begins_in_one_round_and_not_once_another_has_promised_more() -> None:
    k = keepers("x", "y", "z")
    w, _ = claimed(k, A, "x", "y", "z")
    assert w.result is not None and w.result.promise is not None
    b = Proposer(b"k", ("x", "y", "z"), A.incarnation, 2, StartWork(A, 1), 1000, w.result.promise)
    ask(k, b, b.start(9000), "x", "y")
    assert b.result is not None and b.result.value.state is WorkState.STARTED
    late = Proposer(b"k", ("x", "y", "z"), B.incarnation, 1, TakeOverWork(B, A, 1), 1000)
    ask(k, late, ask(k, late, late.start(9100), "y", "z"), "y", "z")
    assert (
        late.result is not None and not late.result.applied and late.result.value.state is WorkState.STARTED
    )


def test_a_keeper_that_forgot_has_no_vote_until_both_others_have_told_it() -> None:
    k = keepers("x", "y", "z")
    claimed(k, A, "x", "y", "z")
    k["x"] = new = Acceptor("x", 2, lambda key: ("x", "y", "z"), frozenset("yz"))
    question = BallotRequest(1, b"k", (5, 9, 9), None, (6, 9, 9), {}, 1000)
    assert new.vote(0, question).recovering
    for part in k["y"].answer_sync(0, "x", 2):
        new.apply_sync(0, "y", part)
    assert new.vote(0, question).recovering
    for part in k["z"].answer_sync(0, "x", 2):
        new.apply_sync(0, "z", part)
    assert new.recovered and new.vote(0, question).value.owner == A  # type: ignore[union-attr]


def test_one_seat_lost_for_good_keeps_nobody_who_begins_anew_from_voting_and_telling_the_next() -> None:
    sim = ClusterSimulation(3, Scenario(seats=5, keys=0, faults=0))
    sim.run(1_000_000)
    sim.crash(sim.processes[4])
    for seat in range(4):  # one after the other, as in a round of restarts
        sim.crash(sim.processes[seat])
        sim.processes[seat] = sim.start_process(seat, recovered=False)
        sim.run(sim.now + 3_000_000)
    keys = [b"k%d" % i for i in range(400)]
    without = [k for k in keys if "n4" not in sim.placement.replicas(k)]
    assert without and all(
        p.node.acceptor.can_vote_on(k)
        for k in without
        for p in sim.processes[:4]
        if p.node.me in sim.placement.replicas(k)
    )
    # Where it is needed nobody guesses: two of three are not enough to know again what all three were.
    assert not any(
        p.node.acceptor.can_vote_on(k)
        for k in keys
        if k not in without
        for p in sim.processes[:4]
        if p.node.me in sim.placement.replicas(k)
    )


def test_what_is_of_the_whole_fleet_is_kept_by_more_seats() -> None:
    for count, kept in ((2, 2), (3, 3), (4, 3), (5, 5), (8, 7), (40, 7)):
        seats = Placement([Seat(f"n{i}", ("", 0), f"z{i % 3}") for i in range(count)])
        assert len(seats.replicas(b"fleet:x")) == kept and len(seats.replicas(b"x")) == min(3, count)


def test_an_answer_that_only_says_too_low_an_incarnation_tells_nothing() -> None:
    k = keepers("x", "y", "z")
    k["y"].learn_incarnations({"x": 5})
    (part,) = k["y"].answer_sync(0, "x", 3)
    new = Acceptor("x", part.incarnation, lambda key: ("x", "y", "z"), frozenset("yz"))
    new.apply_sync(0, "y", part)
    assert part.recovering and not new.synced_from


def test_a_promise_of_a_past_life_carries_no_write() -> None:
    k = keepers("x", "y", "z")
    w = Proposer(b"k", ("x", "y", "z"), A.incarnation, 1, TakeOverWork(A, B, 1), 1000)
    first = w.retry()
    for s in ("x", "y"):
        k[s].vote(0, first[0])
    k["y"].learn_incarnations({"x": 2})
    assert (
        not k["y"]
        .vote(
            0, BallotRequest(2, b"k", first[0].ballot, held(), first[0].next_ballot, {"x": 1, "y": 1}, 1000)
        )
        .accepted
    )


def test_the_word_that_a_fleet_is_new_counts_for_no_later_process() -> None:
    sim = ClusterSimulation(1, Scenario(seats=3, keys=0, faults=0))
    for other in sim.processes:
        sim.crash(other)
    process = sim.processes[0] = sim.start_process(0, recovered=False, incarnation=7)
    process.node.receive("n1", 9, Bootstrap(6))
    sim.run(sim.now + 200_000)
    assert not process.node.acceptor.recovered
    process.node.receive("n1", 9, Bootstrap(7))
    sim.run(sim.now + 200_000)
    assert process.node.acceptor.recovered


def test_those_who_hear_of_others_that_began_before_the_word_itself_take_it_all_the_same() -> None:
    sim = ClusterSimulation(1, Scenario(seats=4, keys=0, faults=0, loss=0, duplication=0))
    for seat in range(4):
        sim.crash(sim.processes[seat])
        sim.processes[seat] = sim.start_process(seat, recovered=False, incarnation=100 + seat)
    sim.run(1_000_000)
    registers = sim.processes[0].node.registers
    sent: list[tuple[str, Any]] = []
    send = sim.processes[0].send

    def caught(seat: str, message: Any) -> None:
        if isinstance(message, Bootstrap):
            sent.append((seat, message))
        else:
            send(seat, message)

    sim.processes[0].send = caught  # type: ignore[method-assign]
    assert registers.recovery.bootstrap() is None
    for name, m in sent:  # the word takes another way than answers do
        sim.at(sim.now + (50_000 if name in ("n2", "n3") else 1_000), None, partial(send, name, m))
    for late in sim.processes[2:]:
        sim.at(sim.now + 20_000, None, partial(late.node.registers.recovery.request_sync, 500_000))
    sim.run(sim.now + 3_000_000)
    assert all(p.node.acceptor.recovered for p in sim.processes)


def test_the_word_that_a_fleet_is_new_is_refused_until_it_holds_for_all_spaces() -> None:
    """A seat has answered for keyed work alone when the operator's word comes. Told that all has begun, nobody says it
    again, and the other space never votes."""
    sim = ClusterSimulation(1, Scenario(seats=3, keys=0, faults=0, loss=0, duplication=0))
    for seat in range(3):
        sim.crash(sim.processes[seat])
        sim.processes[seat] = process = sim.start_process(seat, recovered=False, incarnation=100 + seat)
        node = process.node
        others = frozenset(node.placement.names) - {node.me}
        acceptor = Acceptor(node.me, node.owner.incarnation, node.placement.replicas, others, permanent=True)
        node.add_space(RegisterSpace(CLUSTER_SPACE, acceptor, node, None))
    first = sim.processes[0].node
    receive = first.receive

    def without_one_reply(seat: str, incarnation: int, message: Any) -> None:
        if not (seat == "n2" and isinstance(message, SyncReply) and message.space == CLUSTER_SPACE):
            receive(seat, incarnation, message)

    first.receive = without_one_reply  # type: ignore[method-assign]
    sim.run(1_000_000)
    assert first.bootstrap() == "not heard as one that remembers nothing: n2"
    sim.run(sim.now + 1_000_000)
    spaces = [space for process in sim.processes for space in process.node.spaces.values()]
    assert [space.acceptor.recovered for space in spaces] == [True, False] * 3
    first.receive = receive  # type: ignore[method-assign]
    sim.run(sim.now + 1_000_000)
    assert first.bootstrap() is None
    sim.run(sim.now + 1_000_000)
    assert all(space.acceptor.recovered for space in spaces)
    assert first.bootstrap() == "this runner remembers: the fleet has begun"


# ---- every interleaving ----


def test_no_interleaving_of_a_start_and_a_takeover_runs_a_key_twice() -> None:
    """P holds the key and starts it while Q, which takes P for lost, takes the work over."""
    found = explore(
        RegisterModel.initial(
            RegisterModelLimits(starts_held=True, retries=(0, 1), retries_on_conflict_only=True)
        ),
        60_000,
    )
    assert found.complete and found.states > 10_000 and found.violation is None, str(found)


@pytest.mark.parametrize(
    "limits, how",
    [
        (RegisterModelLimits(starts_held=True, retries=(0, 0)), {"runs_early": True}),
        (
            RegisterModelLimits(retries=(0, 1), retries_on_conflict_only=True),
            {"replicas": {"P": ("a", "b", "c"), "Q": ("c", "d", "e")}, "interchangeable": ("a", "b")},
        ),
    ],
    ids=["commanded before it is begun", "other seats in one step"],
)
def test_the_exploration_finds_each_seeded_mistake(limits: RegisterModelLimits, how: dict[str, Any]) -> None:
    model = RegisterModel.initial(limits, **how)
    found = explore(model, 60_000, depth_first=True)
    assert found.violation is not None, str(found)
    assert replay(model, found.path) == found.violation, "the path of the counterexample leads there"


# ---- seeds in virtual time ----


def test_no_seed_runs_a_key_twice_abandons_work_or_answers_an_unknown_result() -> None:
    """Processes crash, pause and drain, clocks are set back, links are cut, while clients ask for the same keys."""
    found = find_counterexample(range(40), ClusterSimulation)
    assert found is None, (
        f"ClusterSimulation({found.seed}).play() plays it again: {found.violation}" if found else ""
    )


class UnconfirmedStart(SimulatedRequestEngine):
    """A seeded mistake: work is run while the replicas are asked whether it may be."""

    def start(self, key: bytes) -> None:
        if self.states.get(key) is KeyState.HELD and self.kernel_is_up:
            self.states[key] = KeyState.STARTING
            self.run(key)


class HastyProcess(Process):
    """A process with that engine."""

    engine_class = UnconfirmedStart


class VotesWithoutMemory(Acceptor):
    """A seeded mistake: an acceptor that has forgotten its votes votes again."""

    def can_vote_on(self, key: bytes) -> bool:
        return True


class TakesOverStartedWork(TakeOverWork):
    """A seeded mistake: work that has started is taken over, too."""

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        if old is not None and old.state is WorkState.STARTED and old.owner == self.former_owner:
            return WorkRecord(WorkState.HELD, self.new_owner, old.attempt + 1, old.body_digest, ORDER)
        return super().__call__(old)


@pytest.mark.parametrize(
    "where, name, what, how",
    [
        ("", "", None, {"process_class": HastyProcess}),
        ("node", "Acceptor", VotesWithoutMemory, {}),
        ("node", "TakeOverWork", TakesOverStartedWork, {}),
    ],
    ids=["commanded before it is begun", "amnesia ignored", "begun work taken over"],
)
def test_some_seed_finds_each_seeded_mistake(
    where: str, name: str, what: Any, how: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    if where:
        for module in (node_module, takeover_module, watched_module):
            monkeypatch.setattr(module, name, what, raising=False)
    assert (
        find_counterexample(range(60), partial(ClusterSimulation, scenario=Scenario(faults=10), **how))
        is not None
    )


def test_a_seed_replays_the_same_simulation() -> None:
    first, second = ClusterSimulation(3), ClusterSimulation(3)
    first.play()
    second.play()
    assert first.history == second.history and first.faults.log == second.faults.log


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

    def member_lost(self, seat: str, inc: int) -> None:
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


def members(n: int = 3) -> tuple[FailureDetector, Host]:
    host = Host()
    m = FailureDetector("a", 1, tuple("abcdefgh"[:n]), host)
    for seat in "bcdefgh"[: n - 1]:
        m.record_contact(seat, 9)
    m.start(0)
    return m, host


def test_a_silent_member_is_asked_through_others_then_suspected_then_lost() -> None:
    _, host = members()
    host.wait(3000)
    assert any(isinstance(x, PingRequest) for _, x in host.sent)
    assert {"b", "c"} == {seat for seat, _ in host.lost}


def test_one_that_refuses_connections_is_lost_sooner_and_one_that_speaks_is_not() -> None:
    m, host = members()
    m.suspect("b", refused=True)
    m.suspect("c", refused=True)
    host.wait(100)
    m.record_contact("c", 9)
    host.wait(250)
    assert host.lost == [("b", 9)] and m.by_seat["c"].state is not MemberState.DEAD


def test_a_process_that_was_stopped_itself_judges_nobody_by_what_it_missed() -> None:
    m, host = members()
    host.wait(150)
    host.now += 5_000_000  # SIGSTOP: all alarms are late
    host.wait(10)
    assert not host.lost and m.health > 0


def test_a_rumour_of_our_own_death_is_refuted_with_a_higher_version() -> None:
    m, host = members()
    before = m.own.version
    m.handle_ping("b", Ping(1, [m_about("a", 1, before, MemberState.DEAD)]))
    ((_, pong),) = [x for x in host.sent if isinstance(x[1], PingAck)]
    assert m.own.version > before and any(a.seat == "a" and a.version == m.own.version for a in pong.updates)


def m_about(seat: str, inc: int, version: int, state: MemberState) -> Any:
    from moorusher.membership.messages import MemberStatus, MemberUpdate

    return MemberUpdate(seat, inc, version, state.value, MemberStatus(True, 2))


def test_messages_a_member_stay_the_same_as_the_fleet_grows() -> None:
    sent: dict[int, int] = {}
    for n in (5, 8):
        m, host = members(n)
        for _ in range(25):
            host.wait(200)
            for seat, x in list(host.sent):
                if isinstance(x, Ping):
                    m.handle_ack(seat, PingAck(x.serial, []))
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
    asked = BallotRequest(5, b"k", FAST_BALLOT, held(), (1, 2, 3), {"a": 1}, 1000)
    assert decode(encode([asked, Ping(1, [])])) == [asked, Ping(1, [])]
