"""The cluster without sockets: the lifecycle of work, all interleavings of small cases, simulations in virtual time.

Each search also runs on deliberately broken variants and must find their faults: only then does a pass prove anything.
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
from moorusher.model_checking.cluster_history import AnswerKind
from moorusher.model_checking.cluster_process import Process
from moorusher.model_checking.cluster_simulation import ClusterSimulation, find_counterexample
from moorusher.model_checking.explorer import explore, replay
from moorusher.model_checking.register_interleavings import RegisterModel
from moorusher.model_checking.register_state import RegisterModelLimits
from moorusher.model_checking.scenario import Scenario
from moorusher.model_checking.simulated_request_engine import BODY_DIGEST, KeyState, SimulatedRequestEngine
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
from moorusher.time_units import MS, SECOND

REQUEST = WorkRequest("r", "write", None, "t", b"body", 0.0, None, 0, 1.0, 0.0, None)
A, B = Owner("a", 1), Owner("b", 2)

# ---- placement ----


def make_placement(count: int, zones: int = 3) -> Placement:
    return Placement([Seat(f"n{i}", ("127.0.0.1", 1), f"z{i % zones}") for i in range(count)])


def test_replicas_of_a_key_are_the_same_at_all_runners_and_in_different_zones() -> None:
    placement = make_placement(9)
    for i in range(200):
        replicas = placement.replicas(b"%d" % i)
        assert replicas == make_placement(9).replicas(b"%d" % i) and len(set(replicas)) == 3
        assert {placement.by_name[seat].zone for seat in replicas} == {"z0", "z1", "z2"}
    assert len(make_placement(2).replicas(b"x")) == 2
    assert len(make_placement(5, zones=1).replicas(b"x")) == 3


def test_the_work_of_a_lost_runner_is_spread_over_all_others() -> None:
    placement = make_placement(100)
    first_choices: dict[str, int] = {}
    for i in range(4000):
        first = next(seat for seat in placement.takeover_order(b"%d" % i) if seat != "n7")
        first_choices[first] = first_choices.get(first, 0) + 1
    assert len(first_choices) == 99 and max(first_choices.values()) < 2 * 4000 / 99


def test_tenants_never_share_a_key() -> None:
    names = [(None, "t"), ("", "t"), ("a", "bt"), ("ab", "t"), ("a", "t"), ("-", "t")]
    assert len({key_of(*name) for name in names}) == len(names)


# ---- the lifecycle of work ----


def queued(owner: Owner = A, attempt: int = 1) -> WorkRecord:
    return WorkRecord(WorkState.QUEUED, owner, attempt, 7, REQUEST)


def started() -> WorkRecord:
    return WorkRecord(WorkState.STARTED, A, 1, 7)


@pytest.mark.parametrize(
    "change, old, state, owner",
    [
        (ClaimWork(B, 7, REQUEST), None, WorkState.QUEUED, B),
        (ClaimWork(B, 7, REQUEST), queued(), None, None),
        (ClaimWork(B, 7, REQUEST), started(), None, None),
        (ClaimWork(B, 7, REQUEST), WorkRecord(WorkState.RELEASED, A, 1, 7), WorkState.QUEUED, B),
        (ClaimWork(B, 8, REQUEST), WorkRecord(WorkState.RELEASED, A, 1, 7, REQUEST), None, None),
        (TakeOverWork(B, A, 1), queued(), WorkState.QUEUED, B),
        (TakeOverWork(B, A, 1), queued(attempt=2), None, None),
        (TakeOverWork(B, A, 1), started(), None, None),
        (TakeOverWork(B, A, 1), WorkRecord(WorkState.RELEASED, A, 3, 7, REQUEST), WorkState.QUEUED, B),
        (TakeOverWork(B, A, 1), WorkRecord(WorkState.RELEASED, A, 1, 7), None, None),
        (StartWork(A, 1), queued(), WorkState.STARTED, A),
        (StartWork(A, 1), queued(B, 2), None, None),
        (StartWork(A, 1), queued(A, 2), None, None),
        (StartWork(A, 1), None, None, None),
        (FinishWork(A, 1, b"r"), started(), WorkState.FINISHED, A),
        (FinishWork(A, 1, b"r"), WorkRecord(WorkState.FINISHED, A, 1, 7), WorkState.FINISHED, A),
        (FinishWork(A, 1, None), WorkRecord(WorkState.FINISHED, A, 1, 7), None, None),
        (FinishWork(A, 1, b"r"), queued(B, 2), None, None),
        (EndOrphanedWork(A, 1), started(), WorkState.FINISHED, A),
        (EndOrphanedWork(A, 1), queued(), None, None),
        (ReleaseWork(A, 1, None, False), started(), WorkState.RELEASED, A),
        (ReleaseWork(A, 1, None, False), WorkRecord(WorkState.FINISHED, A, 1, 7), None, None),
    ],
)
def test_each_change_has_the_expected_outcome(
    change: Any, old: WorkRecord | None, state: WorkState | None, owner: Owner | None
) -> None:
    new = change(old)
    assert (state, owner) == (None, None) if new is None else (new.state, new.owner) == (state, owner)


def test_started_work_can_not_return_to_a_run_without_a_change_by_its_owner() -> None:
    """No sequence of changes by other runners may lead from STARTED to a state in which the work could run again."""
    changes_by_others: list[Any] = [
        ClaimWork(B, 7, REQUEST),
        TakeOverWork(B, A, 1),
        StartWork(B, 1),
        EndOrphanedWork(A, 1),
        FinishWork(B, 1, b"x"),
        ReleaseWork(B, 1, REQUEST, True),
    ]
    reached = [started()]
    for old in reached:
        for change in changes_by_others:
            new = change(old)
            if new is not None and new not in reached:
                reached.append(new)
    assert all(work.state is WorkState.FINISHED or work == started() for work in reached)


# ---- registers ----


def make_acceptors(*seats: str) -> dict[str, Acceptor]:
    """Create recovered acceptors that are the replicas of every key."""
    return {seat: Acceptor(seat, 1, lambda key: seats, frozenset(seats) - {seat}, True) for seat in seats}


def run_round(
    acceptors: dict[str, Acceptor], proposer: Proposer, requests: list[BallotRequest], *seats: str
) -> list[BallotRequest]:
    """Let these acceptors vote on the requests. Return the proposer's next requests."""
    return [
        next_request
        for request in requests
        for seat in seats
        for next_request in proposer.handle_vote(seat, acceptors[seat].vote(0, request))
    ]


def propose_claim(
    acceptors: dict[str, Acceptor], owner: Owner, *seats: str
) -> tuple[Proposer, list[BallotRequest]]:
    """Run the fast round of a claim with these acceptors. Return the proposer and its next requests."""
    proposer = Proposer(b"k", tuple(acceptors), owner.incarnation, 1, ClaimWork(owner, 7, REQUEST), 1000)
    return proposer, run_round(acceptors, proposer, proposer.start(owner.incarnation * 1000), *seats)


def test_a_fast_write_is_chosen_if_all_replicas_accept_it_and_otherwise_needs_another_round() -> None:
    proposer, _ = propose_claim(make_acceptors("x", "y", "z"), A, "x", "y", "z")
    assert proposer.result is not None and proposer.result.applied
    acceptors = make_acceptors("x", "y", "z")
    proposer, _ = propose_claim(acceptors, A, "x", "y")
    assert proposer.result is None, (
        "if the third replica were lost, a reader could not tell which value was chosen"
    )
    run_round(acceptors, proposer, proposer.accept_majority(), "x", "y")
    assert proposer.result is not None and proposer.result.value.owner == A


def test_two_concurrent_fast_writes_end_with_the_same_value() -> None:
    acceptors = make_acceptors("x", "y", "z")
    first, _ = propose_claim(acceptors, A, "x", "y")
    second, _ = propose_claim(acceptors, B, "z", "y")
    run_round(acceptors, second, run_round(acceptors, second, second.retry(), "z", "y"), "z", "y")
    # The first ballot is too low; the votes name a higher one.
    run_round(acceptors, first, first.retry(), "x", "z")
    run_round(acceptors, first, run_round(acceptors, first, first.retry(), "x", "z"), "x", "z")
    assert first.result is not None and second.result is not None
    assert first.result.value == second.result.value


def test_an_owner_starts_work_in_one_round_and_a_later_takeover_does_not_apply() -> None:
    acceptors = make_acceptors("x", "y", "z")
    claim, _ = propose_claim(acceptors, A, "x", "y", "z")
    assert claim.result is not None and claim.result.promise is not None
    start = Proposer(b"k", ("x", "y", "z"), A.incarnation, 2, StartWork(A, 1), 1000, claim.result.promise)
    run_round(acceptors, start, start.start(9000), "x", "y")
    assert start.result is not None and start.result.value.state is WorkState.STARTED
    takeover = Proposer(b"k", ("x", "y", "z"), B.incarnation, 1, TakeOverWork(B, A, 1), 1000)
    run_round(acceptors, takeover, run_round(acceptors, takeover, takeover.start(9100), "y", "z"), "y", "z")
    assert takeover.result is not None
    assert not takeover.result.applied and takeover.result.value.state is WorkState.STARTED


def test_a_restarted_acceptor_does_not_vote_until_both_others_have_sent_their_state() -> None:
    acceptors = make_acceptors("x", "y", "z")
    propose_claim(acceptors, A, "x", "y", "z")
    acceptors["x"] = restarted = Acceptor("x", 2, lambda key: ("x", "y", "z"), frozenset("yz"))
    request = BallotRequest(1, b"k", (5, 9, 9), None, (6, 9, 9), {}, 1000)
    assert restarted.vote(0, request).recovering
    for part in acceptors["y"].answer_sync(0, "x", 2):
        restarted.apply_sync(0, "y", part)
    assert restarted.vote(0, request).recovering
    for part in acceptors["z"].answer_sync(0, "x", 2):
        restarted.apply_sync(0, "z", part)
    assert restarted.recovered and restarted.vote(0, request).value.owner == A  # type: ignore[union-attr]


def test_restarted_acceptors_vote_again_although_one_seat_is_permanently_lost() -> None:
    """One of five seats is lost for good, and the others restart one after the other.

    Guards against acceptors that wait for the lost seat for ever. They must recover all keys of which it is no replica.
    """
    simulation = ClusterSimulation(3, Scenario(seats=5, keys=0, faults=0))
    simulation.run(1_000_000)
    simulation.crash(simulation.processes[4])
    for seat in range(4):  # One after the other, as in a rolling restart.
        simulation.crash(simulation.processes[seat])
        simulation.processes[seat] = simulation.start_process(seat, recovered=False)
        simulation.run(simulation.now + 3_000_000)
    keys = [b"k%d" % i for i in range(400)]
    unaffected = [key for key in keys if "n4" not in simulation.placement.replicas(key)]
    assert unaffected and all(
        process.node.acceptor.can_vote_on(key)
        for key in unaffected
        for process in simulation.processes[:4]
        if process.node.me in simulation.placement.replicas(key)
    )
    # The lost seat is a replica of the other keys. Their two remaining replicas may not know everything that the three
    # knew together, so they do not vote on these keys.
    assert not any(
        process.node.acceptor.can_vote_on(key)
        for key in keys
        if key not in unaffected
        for process in simulation.processes[:4]
        if process.node.me in simulation.placement.replicas(key)
    )


def test_keys_of_the_cluster_as_a_whole_have_more_replicas() -> None:
    for seats, replicas in ((2, 2), (3, 3), (4, 3), (5, 5), (8, 7), (40, 7)):
        placement = Placement([Seat(f"n{i}", ("", 0), f"z{i % 3}") for i in range(seats)])
        assert len(placement.replicas(b"fleet:x")) == replicas
        assert len(placement.replicas(b"x")) == min(3, seats)


def test_a_sync_reply_that_only_rejects_the_incarnation_does_not_count_as_state() -> None:
    acceptors = make_acceptors("x", "y", "z")
    acceptors["y"].learn_incarnations({"x": 5})
    (part,) = acceptors["y"].answer_sync(0, "x", 3)
    restarted = Acceptor("x", part.incarnation, lambda key: ("x", "y", "z"), frozenset("yz"))
    restarted.apply_sync(0, "y", part)
    assert part.recovering and not restarted.synced_from


def test_a_write_on_a_promise_of_an_earlier_incarnation_is_rejected() -> None:
    acceptors = make_acceptors("x", "y", "z")
    proposer = Proposer(b"k", ("x", "y", "z"), A.incarnation, 1, TakeOverWork(A, B, 1), 1000)
    (prepare,) = proposer.retry()
    for seat in ("x", "y"):
        acceptors[seat].vote(0, prepare)
    acceptors["y"].learn_incarnations({"x": 2})
    write = BallotRequest(2, b"k", prepare.ballot, queued(), prepare.next_ballot, {"x": 1, "y": 1}, 1000)
    assert not acceptors["y"].vote(0, write).accepted


def test_a_bootstrap_command_is_valid_for_one_incarnation_only() -> None:
    simulation = ClusterSimulation(1, Scenario(seats=3, keys=0, faults=0))
    for other in simulation.processes:
        simulation.crash(other)
    process = simulation.processes[0] = simulation.start_process(0, recovered=False, incarnation=7)
    process.node.receive("n1", 9, Bootstrap(6))
    simulation.run(simulation.now + 200_000)
    assert not process.node.acceptor.recovered
    process.node.receive("n1", 9, Bootstrap(7))
    simulation.run(simulation.now + 200_000)
    assert process.node.acceptor.recovered


def test_a_bootstrap_command_that_arrives_late_at_some_seats_still_reaches_all() -> None:
    """Two seats request state before the delayed command reaches them.

    If the first seats voted and replied at once, the two would ignore the command and never recover.
    """
    simulation = ClusterSimulation(1, Scenario(seats=4, keys=0, faults=0, loss=0, duplication=0))
    for seat in range(4):
        simulation.crash(simulation.processes[seat])
        simulation.processes[seat] = simulation.start_process(seat, recovered=False, incarnation=100 + seat)
    simulation.run(1_000_000)
    registers = simulation.processes[0].node.registers
    commands: list[tuple[str, Any]] = []
    send = simulation.processes[0].send

    def capture_commands(seat: str, message: Any) -> None:
        if isinstance(message, Bootstrap):
            commands.append((seat, message))
        else:
            send(seat, message)

    simulation.processes[0].send = capture_commands  # type: ignore[method-assign]
    assert registers.recovery.bootstrap() is None
    for seat_name, command in commands:
        delay = 50_000 if seat_name in ("n2", "n3") else 1_000
        simulation.at(simulation.now + delay, None, partial(send, seat_name, command))
    for late in simulation.processes[2:]:
        simulation.at(
            simulation.now + 20_000, None, partial(late.node.registers.recovery.request_sync, 500_000)
        )
    simulation.run(simulation.now + 3_000_000)
    assert all(process.node.acceptor.recovered for process in simulation.processes)


def test_a_bootstrap_command_is_refused_until_all_spaces_can_be_bootstrapped() -> None:
    """A seat has replied for keyed work but not for the other space when the command arrives.

    If the command succeeded, the operator would not repeat it, and the other space would never vote.
    """
    simulation = ClusterSimulation(1, Scenario(seats=3, keys=0, faults=0, loss=0, duplication=0))
    for seat in range(3):
        simulation.crash(simulation.processes[seat])
        simulation.processes[seat] = process = simulation.start_process(
            seat, recovered=False, incarnation=100 + seat
        )
        node = process.node
        others = frozenset(node.placement.names) - {node.me}
        acceptor = Acceptor(node.me, node.owner.incarnation, node.placement.replicas, others, permanent=True)
        node.add_space(RegisterSpace(CLUSTER_SPACE, acceptor, node, None))
    first = simulation.processes[0].node
    receive = first.receive

    def drop_one_reply(seat: str, incarnation: int, message: Any) -> None:
        if not (seat == "n2" and isinstance(message, SyncReply) and message.space == CLUSTER_SPACE):
            receive(seat, incarnation, message)

    first.receive = drop_one_reply  # type: ignore[method-assign]
    simulation.run(1_000_000)
    assert first.bootstrap() == "not heard as one that remembers nothing: n2"
    simulation.run(simulation.now + 1_000_000)
    spaces = [space for process in simulation.processes for space in process.node.spaces.values()]
    assert [space.acceptor.recovered for space in spaces] == [True, False] * 3
    first.receive = receive  # type: ignore[method-assign]
    simulation.run(simulation.now + 1_000_000)
    assert first.bootstrap() is None
    simulation.run(simulation.now + 1_000_000)
    assert all(space.acceptor.recovered for space in spaces)
    assert first.bootstrap() == "this runner remembers: the fleet has begun"


# ---- all interleavings ----


def test_no_interleaving_of_a_start_and_a_takeover_runs_a_key_twice() -> None:
    """P holds the key and starts its work while Q, which considers P lost, takes the work over."""
    exploration = explore(
        RegisterModel.initial(
            RegisterModelLimits(starts_claimed=True, retries=(0, 1), retries_on_conflict_only=True)
        ),
        60_000,
    )
    assert exploration.complete and exploration.states > 10_000 and exploration.violation is None, str(
        exploration
    )


@pytest.mark.parametrize(
    "limits, options",
    [
        (RegisterModelLimits(starts_claimed=True, retries=(0, 0)), {"runs_early": True}),
        (
            RegisterModelLimits(retries=(0, 1), retries_on_conflict_only=True),
            {"replicas": {"P": ("a", "b", "c"), "Q": ("c", "d", "e")}, "interchangeable": ("a", "b")},
        ),
    ],
    ids=["run before the start is recorded", "two seats replaced at once"],
)
def test_the_exploration_finds_each_deliberate_fault(
    limits: RegisterModelLimits, options: dict[str, Any]
) -> None:
    model = RegisterModel.initial(limits, **options)
    exploration = explore(model, 60_000, depth_first=True)
    assert exploration.violation is not None, str(exploration)
    assert replay(model, exploration.path) == exploration.violation, "the counterexample can't be replayed"


# ---- simulations in virtual time ----


def test_no_seed_runs_a_key_twice_abandons_work_or_returns_a_result_that_no_run_gave() -> None:
    """Processes crash, pause and drain, clocks are set back and links fail while clients request the same keys."""
    counterexample = find_counterexample(range(40), ClusterSimulation)
    assert counterexample is None, (
        f"ClusterSimulation({counterexample.seed}).play() reproduces it: {counterexample.violation}"
        if counterexample
        else ""
    )


def test_a_claim_without_a_majority_ends_when_its_caller_stops_waiting() -> None:
    """Requests with little time left at a runner that was cut off were answered after 250 ms."""
    simulation = ClusterSimulation(1, Scenario(seats=3, keys=0, faults=0))
    simulation.network.cut_links |= {(0, 1), (0, 2)}
    simulation.run(SECOND)
    process, answer_by = simulation.processes[0], simulation.now + 60 * MS
    process.engine.states[b"k"] = KeyState.CLAIMING
    process.node.claim(b"k", BODY_DIGEST, REQUEST, simulation.now + 20 * SECOND, answer_by)
    simulation.run(answer_by + MS)
    assert [answer.kind for answer in simulation.history.answers] == [AnswerKind.FAILED]


EXPIRING = Scenario(faults=10, expiry=0.5)


def test_no_request_runs_anywhere_after_its_rejection() -> None:
    """A runner that was cut off rejected requests that the others had taken over, or took over later."""
    counterexample = find_counterexample(range(40), partial(ClusterSimulation, scenario=EXPIRING))
    assert counterexample is None, counterexample and f"{counterexample.seed}: {counterexample.violation}"


class RejectsAtOnce(SimulatedRequestEngine):
    """A deliberate fault: a rejection is sent before the replicas have confirmed the release of the key."""

    def reject(self, key: bytes) -> None:
        self._answer(key, None, AnswerKind.REJECTED)
        self._process.node.release_work(key)


class RejectsAtOnceProcess(Process):
    """A process with `RejectsAtOnce` as its engine."""

    engine_class = RejectsAtOnce


def test_some_seed_finds_a_rejection_that_is_sent_too_early() -> None:
    simulation = partial(ClusterSimulation, scenario=EXPIRING, process_class=RejectsAtOnceProcess)
    assert find_counterexample(range(60), simulation) is not None


class UnconfirmedStart(SimulatedRequestEngine):
    """A deliberate fault: work runs before the replicas have confirmed its start."""

    def start(self, key: bytes) -> None:
        if self.states.get(key) is KeyState.QUEUED and self.kernel_is_up:
            self.states[key] = KeyState.STARTING
            self.run(key)


class UnconfirmedStartProcess(Process):
    """A process with `UnconfirmedStart` as its engine."""

    engine_class = UnconfirmedStart


class VotesBeforeRecovery(Acceptor):
    """A deliberate fault: an acceptor that has lost its state votes before it has recovered."""

    def can_vote_on(self, key: bytes) -> bool:
        return True


class TakesOverStartedWork(TakeOverWork):
    """A deliberate fault: work that has started is taken over too."""

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        if old is not None and old.state is WorkState.STARTED and old.owner == self.former_owner:
            return WorkRecord(WorkState.QUEUED, self.new_owner, old.attempt + 1, old.body_digest, REQUEST)
        return super().__call__(old)


@pytest.mark.parametrize(
    "patches_module, name, replacement, options",
    [
        ("", "", None, {"process_class": UnconfirmedStartProcess}),
        ("node", "Acceptor", VotesBeforeRecovery, {}),
        ("node", "TakeOverWork", TakesOverStartedWork, {}),
    ],
    ids=["run before the start is recorded", "lost state ignored", "started work taken over"],
)
def test_some_seed_finds_each_deliberate_fault(
    patches_module: str,
    name: str,
    replacement: Any,
    options: dict[str, Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if patches_module:
        for module in (node_module, takeover_module, watched_module):
            monkeypatch.setattr(module, name, replacement, raising=False)
    assert (
        find_counterexample(range(60), partial(ClusterSimulation, scenario=Scenario(faults=10), **options))
        is not None
    )


def test_a_seed_replays_the_same_simulation() -> None:
    first, second = ClusterSimulation(3), ClusterSimulation(3)
    first.play()
    second.play()
    assert first.history == second.history and first.faults.log == second.faults.log


# ---- failure detector ----


class FakeHost:
    """A detector host with a virtual clock. Collects sent messages and lost members."""

    def __init__(self) -> None:
        self.now, self.sent = 0, list[tuple[str, Any]]()
        self.timers: list[tuple[int, Any]] = []
        self.lost: list[tuple[str, int]] = []

    def send(self, seat: str, message: Any) -> None:
        self.sent.append((seat, message))

    reply = send

    def at(self, when: int, action: Any) -> None:
        self.timers.append((when, action))

    def member_lost(self, seat: str, incarnation: int) -> None:
        self.lost.append((seat, incarnation))

    def random(self) -> float:
        return 0.5

    def clock(self) -> int:
        return self.now

    def advance(self, ms: int) -> None:
        """Advance the clock, and run the timers that become due."""
        end = self.now + ms * 1000
        while due := [timer for timer in self.timers if timer[0] <= end]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            first[1]()
        self.now = end


def make_detector(count: int = 3) -> tuple[FailureDetector, FakeHost]:
    """Create the detector of member "a" in a cluster of `count` live members."""
    host = FakeHost()
    detector = FailureDetector("a", 1, tuple("abcdefgh"[:count]), host)
    for seat in "bcdefgh"[: count - 1]:
        detector.record_contact(seat, 9)
    detector.start(0)
    return detector, host


def test_a_silent_member_is_probed_indirectly_then_suspected_then_lost() -> None:
    _, host = make_detector()
    host.advance(3000)
    assert any(isinstance(message, PingRequest) for _, message in host.sent)
    assert {"b", "c"} == {seat for seat, _ in host.lost}


def test_a_member_that_refuses_connections_is_lost_sooner_unless_it_sends_a_message() -> None:
    detector, host = make_detector()
    detector.suspect("b", refused=True)
    detector.suspect("c", refused=True)
    host.advance(100)
    detector.record_contact("c", 9)
    host.advance(250)
    assert host.lost == [("b", 9)] and detector.by_seat["c"].state is not MemberState.DEAD


def test_a_process_that_was_paused_declares_no_member_dead_for_the_missed_answers() -> None:
    detector, host = make_detector()
    host.advance(150)
    host.now += 5_000_000  # As after a SIGSTOP: all timers run late.
    host.advance(10)
    assert not host.lost and detector.health > 0


def test_a_report_of_its_own_death_is_refuted_with_a_higher_version() -> None:
    detector, host = make_detector()
    before = detector.own.version
    detector.handle_ping("b", Ping(1, [update_about("a", 1, before, MemberState.DEAD)]))
    ((_, ack),) = [sent for sent in host.sent if isinstance(sent[1], PingAck)]
    assert detector.own.version > before
    assert any(update.seat == "a" and update.version == detector.own.version for update in ack.updates)


def update_about(seat: str, incarnation: int, version: int, state: MemberState) -> Any:
    from moorusher.membership.messages import MemberStatus, MemberUpdate

    return MemberUpdate(seat, incarnation, version, state.value, MemberStatus(True, 2))


def test_the_number_of_messages_per_member_does_not_grow_with_the_cluster() -> None:
    sent: dict[int, int] = {}
    for count in (5, 8):
        detector, host = make_detector(count)
        for _ in range(25):
            host.advance(200)
            for seat, message in list(host.sent):
                if isinstance(message, Ping):
                    detector.handle_ack(seat, PingAck(message.serial, []))
            sent[count] = sent.get(count, 0) + len(host.sent)
            assert all(len(encode([message])) < 600 for _, message in host.sent)
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
def test_bytes_that_are_not_a_message_raise_an_error(raw: bytes) -> None:
    with pytest.raises(ValueError):
        decode(raw)


def test_messages_are_decoded_as_they_were_encoded() -> None:
    request = BallotRequest(5, b"k", FAST_BALLOT, queued(), (1, 2, 3), {"a": 1}, 1000)
    assert decode(encode([request, Ping(1, [])])) == [request, Ping(1, [])]
