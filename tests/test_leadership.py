"""Leadership without sockets, case by case, in virtual time."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.leadership import lease_holder
from moorusher.leadership.chunks import CHUNK_BYTES, chunk_names
from moorusher.leadership.directory import Reading
from moorusher.leadership.effects import Effect, IntentRequest, StateUpdate
from moorusher.leadership.errors import (
    LeadershipError,
    LeaseSupersededError,
    LimitExceededError,
    NoMajorityError,
    RegistersLostError,
    UnknownLeaseError,
)
from moorusher.leadership.fencing_token import FencingToken
from moorusher.leadership.held_leases import HeldLeases
from moorusher.leadership.lease_holder import LeaseHolder
from moorusher.leadership.lease_record import (
    IntentResolution,
    LeaseStatus,
    register_key,
)
from moorusher.leadership.messages import ChunkFetched, LeaseOffer
from moorusher.leadership.policy import LeadershipPolicy
from moorusher.membership.member import MemberState
from moorusher.membership.messages import MemberStatus
from moorusher.model_checking.leadership_simulation import (
    POLICY,
    DutyProcess,
    DutySimulation,
)
from moorusher.model_checking.scenario import Scenario
from moorusher.model_checking.virtual_time import SECOND


def settled(seats: int = 3, duties: int = 1, **how: Any) -> tuple[DutySimulation, DutyProcess, LeaseHolder]:
    """A fleet in which the first duty has an owner, and nothing else happens."""
    sim = DutySimulation(1, Scenario(seats=seats, keys=0, faults=0, loss=0, duplication=0), duties, **how)
    sim.run(2 * SECOND)
    for p in sim.processes:
        assert isinstance(p, DutyProcess)
        if (lease := p.participant.leases.by_key.get(register_key("duty-0"))) is not None:
            return sim, p, lease
    raise AssertionError("nobody has it")


def watch_ended(leases: HeldLeases, ended: list[Any]) -> None:
    """Notes the reason of each term that ends."""

    def watched(lease: LeaseHolder, reason: LeadershipError | None) -> None:
        ended.append(reason)
        HeldLeases.ended(leases, lease, reason)

    leases.ended = watched  # type: ignore[method-assign]


def answers(sim: DutySimulation, lease: LeaseHolder, effect: Effect, s: float = 3.0) -> Any:
    got: list[Any] = []
    lease.submit(effect, got.append)
    sim.run(sim.now + round(s * SECOND))
    assert len(got) == 1
    return got[0]


@pytest.mark.parametrize("closed", [False, True])
def test_any_number_of_reads_hinder_no_change(closed: bool) -> None:
    """Each of five members looks every 5 ms, while the owner changes it again and again. Where each look asks for a
    promise, they beat each other, and the owner too."""
    sim, _, lease = settled(seats=5)
    got: dict[str, list[Any]] = {"looks": [], "changes": []}

    def look(p: DutyProcess) -> None:
        p.participant.directory.read(
            "duty-0", got["looks"].append, state=False, after_abandoned_changes=closed
        )
        sim.at(sim.now + 5_000, p, lambda: look(p))

    def change() -> None:
        lease.submit(StateUpdate(b"s"), changed)

    def changed(outcome: Any) -> None:
        got["changes"].append(outcome)
        change()

    for p in sim.processes:
        assert isinstance(p, DutyProcess)
        sim.at(sim.now, p, lambda p=p: look(p))  # type: ignore[misc]
    change()
    sim.run(sim.now + 2 * SECOND)
    done = {name: sum(not isinstance(g, LeadershipError) for g in found) for name, found in got.items()}
    if closed:
        assert done["changes"] < 20 and done["looks"] < 0.5 * len(got["looks"])
    else:
        assert (
            done["changes"] == len(got["changes"]) > 150 and done["looks"] >= 0.99 * len(got["looks"]) > 1_500
        )


def test_without_a_majority_nothing_new_is_done_and_the_last_known_is_told() -> None:
    """All members but the leader are stopped. It can make no change, and can still tell what it last knew."""
    sim, owner, lease = settled()
    state = lease.state
    for p in sim.processes:
        if p is not owner:
            p.stopped_until = sim.now + 4 * SECOND
    assert isinstance(answers(sim, lease, StateUpdate(b"new"), 2.5), NoMajorityError)
    known = owner.participant.directory.last_known("duty-0")
    assert isinstance(known, Reading) and known.state is not None and known.state.startswith(state)
    got: list[Any] = []
    owner.participant.directory.read("duty-0", got.append)
    sim.run(sim.now + SECOND)
    assert isinstance(got[0], NoMajorityError), "a read that must be current"


def test_a_leader_that_wakes_hears_that_it_is_superseded_and_drops_its_state() -> None:
    """The leader is stopped for three seconds with an update under way; another member takes the lease meanwhile."""
    sim, owner, lease = settled()
    ended: list[Any] = []
    watch_ended(owner.participant.leases, ended)
    owner.stopped_until = sim.now + 3 * SECOND
    pending: list[Any] = []
    lease.submit(StateUpdate(b"what was under way"), pending.append)
    sim.run(sim.now + 5 * SECOND)
    (why,) = ended
    assert isinstance(why, LeaseSupersededError) and why.term < why.by_term and lease.state == b""
    assert len(pending) == 1 and not owner.participant.leases.workers.get(lease.key)
    assert isinstance(answers(sim, lease, StateUpdate(b"late")), LeaseSupersededError)


def test_a_duty_whose_leaders_are_lost_one_after_another_is_suspended_until_resumed() -> None:
    """Each leader is lost soon after it took the lease: the duty itself may kill them. It waits for an operator."""
    sim, owner, _ = settled(seats=5, policy=LeadershipPolicy(enabled=True, probation_ms=60_000))
    for _ in range(POLICY.max_lost_leaders):
        owner.alive = False
        sim.run(sim.now + round(2.5 * SECOND))
        found = [
            p
            for p in sim.processes
            if isinstance(p, DutyProcess)
            and p.alive
            and register_key("duty-0") in p.participant.leases.by_key
        ]
        sim.processes[owner.seat] = sim.start_process(owner.seat, recovered=True)
        if not found:
            break
        owner = found[0]
    live = next(p for p in sim.processes if p.alive and isinstance(p, DutyProcess))
    got: list[Any] = []
    live.participant.directory.read("duty-0", got.append)
    sim.run(sim.now + SECOND)
    assert (
        got[0].record.status == LeaseStatus.SUSPENDED
        and "owners were lost" in got[0].record.suspension_reason
    )
    live.participant.directory.resume("duty-0", got.append)
    sim.run(sim.now + 3 * SECOND)
    assert any(
        register_key("duty-0") in p.participant.leases.by_key
        for p in sim.processes
        if isinstance(p, DutyProcess)
    )


def test_a_receiver_that_knows_a_later_token_suspends_the_duty_and_resumed_it_goes_above() -> None:
    """The registers were lost and began anew, so a receiver knows a later generation than they do."""
    sim, owner, lease = settled()
    sim.histories["duty-0"].highest = FencingToken(lease.record.generation + 10, 1, 1)
    ended: list[Any] = []
    watch_ended(owner.participant.leases, ended)
    sim.run(sim.now + 3 * SECOND)
    assert isinstance(ended[0], RegistersLostError)
    before = len(sim.histories["duty-0"].accepted)
    owner.participant.directory.resume("duty-0", lambda got: None)
    sim.run(sim.now + 5 * SECOND)
    assert len(sim.histories["duty-0"].accepted) > before


def test_states_intents_and_names_over_their_bounds_are_refused_with_the_bound() -> None:
    sim, owner, lease = settled()
    too_large = answers(sim, lease, StateUpdate(b"x" * (POLICY.max_state_bytes + 1)))
    assert isinstance(too_large, LimitExceededError) and str(POLICY.max_state_bytes) in str(too_large)
    assert isinstance(
        answers(sim, lease, IntentRequest("s", b"x" * 513, IntentResolution.OPERATOR_DECIDES)),
        LimitExceededError,
    )
    got: list[Any] = []
    owner.participant.directory.create("x" * 200, "test", got.append)
    owner.participant.directory.read("nobody-made-it", got.append)
    sim.run(sim.now + SECOND)
    assert isinstance(got[0], LimitExceededError) and isinstance(got[1], UnknownLeaseError)


def test_a_large_state_is_replicated_in_chunks_and_a_damaged_chunk_is_repaired() -> None:
    """A chunk is damaged at a replica, a peer sends a wrong one for it, and then the leader is lost."""
    sim, owner, lease = settled(seats=3)
    large = bytes(range(256)) * (6 * CHUNK_BYTES // 256)
    owner.participant.leases.workers[lease.key].stop(None)
    answers(sim, lease, StateUpdate(large))
    keeper = next(p for p in sim.processes if p is not owner and isinstance(p, DutyProcess))
    name = chunk_names(large)[0]
    keeper.participant.store.chunks[lease.key][name] = b"damaged"
    assert keeper.participant.store.find(lease.key, name) is None
    keeper.participant.repair_restored()
    sim.run(sim.now + SECOND)
    assert keeper.participant.store.find(lease.key, name) is not None
    keeper.participant.fetching.on_chunk_fetched("n0", ChunkFetched(lease.key, name, b"not it"))
    assert sim.history.counts["duties: a damaged piece from another"] == 1
    owner.alive = False
    sim.run(sim.now + 3 * SECOND)
    (then,) = [
        p.participant.leases.by_key[lease.key]
        for p in sim.processes
        if p.alive and isinstance(p, DutyProcess) and lease.key in p.participant.leases.by_key
    ]
    assert then.state[: len(large)] == large


def test_a_leader_that_is_not_fit_releases_its_duties_in_order() -> None:
    """The leader loses what it needs to work, and stays alive. It hands its last state on."""
    sim, owner, _ = settled(seats=4, duties=4)
    owner.draining = True
    sim.run(sim.now + 4 * SECOND)
    assert not owner.participant.leases.by_key and sim.history.counts["duties: given up"] >= 1
    history = sim.histories["duty-0"]
    assert sim.violation() is None and history.acknowledged, "a last state was handed on"
    owner.draining = False
    sim.run(sim.now + 2 * SECOND)
    assert sim.violation() is None


def test_a_removed_duty_has_no_leader_and_created_again_is_another() -> None:
    """A duty is removed while a member leads it, then created again."""
    sim, owner, lease = settled()
    got: list[Any] = []
    owner.participant.directory.remove("duty-0", got.append)
    sim.run(sim.now + 2 * SECOND)
    assert got[0].status == LeaseStatus.REMOVED and lease.stage is lease_holder.LeaseStage.ENDED
    owner.participant.directory.read("duty-0", got.append)
    sim.run(sim.now + SECOND)
    owner.participant.directory.create("duty-0", "test", got.append)
    sim.run(sim.now + 3 * SECOND)
    assert isinstance(got[1], UnknownLeaseError) and got[2].generation > got[0].generation
    assert any(
        register_key("duty-0") in p.participant.leases.by_key
        for p in sim.processes
        if isinstance(p, DutyProcess)
    )


def test_an_idle_leader_that_is_passed_over_hears_of_it() -> None:
    """Another member takes the lease of a leader that makes no change, so the register has no occasion to tell it."""

    class Idle(DutyProcess):
        def work(self, lease: LeaseHolder) -> None:
            return None

    sim, owner, lease = settled(seats=5, process_class=Idle)
    taker = next(
        p
        for p in sim.processes
        if isinstance(p, DutyProcess)
        and p is not owner
        and p.node.me not in sim.placement.replicas(lease.key)
    )
    taker.participant.leases.on_offer(
        "n0", LeaseOffer(lease.key, lease.record.generation, lease.record.term, False, True)
    )
    sim.run(sim.now + SECOND)
    assert lease.key in taker.participant.leases.by_key and lease.key not in owner.participant.leases.by_key


def test_a_leader_that_was_never_heard_of_is_not_taken_for_unfit() -> None:
    """A replica has just started and has heard nothing of the leader yet. That is no statement that it is unfit."""
    sim, owner, lease = settled(seats=5)
    keeper = next(
        p
        for p in sim.processes
        if isinstance(p, DutyProcess) and p is not owner and p.node.me in sim.placement.replicas(lease.key)
    )
    member = keeper.node.detector.by_seat[owner.node.me]
    member.state, member.status = MemberState.UNKNOWN, MemberStatus()
    for _ in range(2):
        keeper.participant.election.check_holders()
        sim.now += 10 * SECOND
    assert not keeper.participant.election._unfit_since_us
