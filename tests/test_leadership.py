"""Single cases of leadership without sockets, in virtual time."""

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
from moorusher.time_units import SECOND


def simulate_leader(
    seats: int = 3, duties: int = 1, **options: Any
) -> tuple[DutySimulation, DutyProcess, LeaseHolder]:
    """Return a simulation without faults in which the first duty has a leader, that leader and its lease."""
    sim = DutySimulation(1, Scenario(seats=seats, keys=0, faults=0, loss=0, duplication=0), duties, **options)
    sim.run(2 * SECOND)
    for p in sim.processes:
        assert isinstance(p, DutyProcess)
        if (lease := p.participant.leases.by_key.get(register_key("duty-0"))) is not None:
            return sim, p, lease
    raise AssertionError("no process leads duty-0")


def record_ended_terms(leases: HeldLeases, ended: list[Any]) -> None:
    """Record the reason of each term that ends."""

    def record_and_end(lease: LeaseHolder, reason: LeadershipError | None) -> None:
        ended.append(reason)
        HeldLeases.ended(leases, lease, reason)

    leases.ended = record_and_end  # type: ignore[method-assign]


def submit_and_wait(sim: DutySimulation, lease: LeaseHolder, effect: Effect, wait_s: float = 3.0) -> Any:
    got: list[Any] = []
    lease.submit(effect, got.append)
    sim.run(sim.now + round(wait_s * SECOND))
    assert len(got) == 1
    return got[0]


@pytest.mark.parametrize("after_abandoned_changes", [False, True])
def test_reads_do_not_prevent_changes(after_abandoned_changes: bool) -> None:
    """Five members read a duty every 5 ms while its leader changes it continuously.

    Reads that request a promise preempt each other and the changes of the leader; plain reads must not.
    """
    sim, _, lease = simulate_leader(seats=5)
    got: dict[str, list[Any]] = {"reads": [], "changes": []}

    def read(p: DutyProcess) -> None:
        p.participant.directory.read(
            "duty-0", got["reads"].append, state=False, after_abandoned_changes=after_abandoned_changes
        )
        sim.at(sim.now + 5_000, p, lambda: read(p))

    def change() -> None:
        lease.submit(StateUpdate(b"s"), changed)

    def changed(outcome: Any) -> None:
        got["changes"].append(outcome)
        change()

    for p in sim.processes:
        assert isinstance(p, DutyProcess)
        sim.at(sim.now, p, lambda p=p: read(p))  # type: ignore[misc]
    change()
    sim.run(sim.now + 2 * SECOND)
    succeeded = {name: sum(not isinstance(g, LeadershipError) for g in found) for name, found in got.items()}
    if after_abandoned_changes:
        assert succeeded["changes"] < 20 and succeeded["reads"] < 0.5 * len(got["reads"])
    else:
        assert (
            succeeded["changes"] == len(got["changes"]) > 150
            and succeeded["reads"] >= 0.99 * len(got["reads"]) > 1_500
        )


def test_without_a_majority_changes_fail_and_the_last_known_state_is_returned() -> None:
    """All members except the leader are stopped. It can't change the duty, but still returns its last known state."""
    sim, leader, lease = simulate_leader()
    state = lease.state
    for p in sim.processes:
        if p is not leader:
            p.stopped_until = sim.now + 4 * SECOND
    assert isinstance(submit_and_wait(sim, lease, StateUpdate(b"new"), 2.5), NoMajorityError)
    known = leader.participant.directory.last_known("duty-0")
    assert isinstance(known, Reading) and known.state is not None and known.state.startswith(state)
    got: list[Any] = []
    leader.participant.directory.read("duty-0", got.append)
    sim.run(sim.now + SECOND)
    assert isinstance(got[0], NoMajorityError), "a current read needs a majority"


def test_a_leader_that_resumes_learns_that_it_is_superseded_and_drops_its_state() -> None:
    """The leader is stopped for three seconds with an update pending; another member acquires the lease meanwhile."""
    sim, leader, lease = simulate_leader()
    ended: list[Any] = []
    record_ended_terms(leader.participant.leases, ended)
    leader.stopped_until = sim.now + 3 * SECOND
    pending: list[Any] = []
    lease.submit(StateUpdate(b"pending"), pending.append)
    sim.run(sim.now + 5 * SECOND)
    (reason,) = ended
    assert isinstance(reason, LeaseSupersededError) and reason.term < reason.by_term and lease.state == b""
    assert len(pending) == 1 and not leader.participant.leases.workers.get(lease.key)
    assert isinstance(submit_and_wait(sim, lease, StateUpdate(b"late")), LeaseSupersededError)


def test_a_duty_whose_leaders_are_lost_one_after_another_is_suspended_until_resumed() -> None:
    """Each leader is lost soon after it acquired the lease, so the duty itself may be the cause and is suspended."""
    sim, leader, _ = simulate_leader(seats=5, policy=LeadershipPolicy(enabled=True, probation_ms=60_000))
    for _ in range(POLICY.max_lost_leaders):
        leader.alive = False
        sim.run(sim.now + round(2.5 * SECOND))
        found = [
            p
            for p in sim.processes
            if isinstance(p, DutyProcess)
            and p.alive
            and register_key("duty-0") in p.participant.leases.by_key
        ]
        sim.processes[leader.seat] = sim.start_process(leader.seat, recovered=True)
        if not found:
            break
        leader = found[0]
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


def test_a_later_token_at_a_receiver_suspends_the_duty_and_a_resume_exceeds_it() -> None:
    """The registers were lost and created again, so a receiver knows a later generation than they do."""
    sim, leader, lease = simulate_leader()
    sim.histories["duty-0"].highest = FencingToken(lease.record.generation + 10, 1, 1)
    ended: list[Any] = []
    record_ended_terms(leader.participant.leases, ended)
    sim.run(sim.now + 3 * SECOND)
    assert isinstance(ended[0], RegistersLostError)
    before = len(sim.histories["duty-0"].accepted)
    leader.participant.directory.resume("duty-0", lambda got: None)
    sim.run(sim.now + 5 * SECOND)
    assert len(sim.histories["duty-0"].accepted) > before


def test_states_intents_and_names_beyond_their_limits_are_rejected_with_the_limit() -> None:
    sim, leader, lease = simulate_leader()
    too_large = submit_and_wait(sim, lease, StateUpdate(b"x" * (POLICY.max_state_bytes + 1)))
    assert isinstance(too_large, LimitExceededError) and str(POLICY.max_state_bytes) in str(too_large)
    assert isinstance(
        submit_and_wait(sim, lease, IntentRequest("s", b"x" * 513, IntentResolution.OPERATOR_DECIDES)),
        LimitExceededError,
    )
    got: list[Any] = []
    leader.participant.directory.create("x" * 200, "test", got.append)
    leader.participant.directory.read("nobody-made-it", got.append)
    sim.run(sim.now + SECOND)
    assert isinstance(got[0], LimitExceededError) and isinstance(got[1], UnknownLeaseError)


def test_a_large_state_is_replicated_in_chunks_and_a_damaged_chunk_is_repaired() -> None:
    """A chunk is damaged at a replica, a peer sends wrong content for it, and then the leader is lost."""
    sim, leader, lease = simulate_leader(seats=3)
    large = bytes(range(256)) * (6 * CHUNK_BYTES // 256)
    leader.participant.leases.workers[lease.key].stop(None)
    submit_and_wait(sim, lease, StateUpdate(large))
    replica = next(p for p in sim.processes if p is not leader and isinstance(p, DutyProcess))
    name = chunk_names(large)[0]
    replica.participant.store.chunks[lease.key][name] = b"damaged"
    assert replica.participant.store.find(lease.key, name) is None
    replica.participant.repair_restored()
    sim.run(sim.now + SECOND)
    assert replica.participant.store.find(lease.key, name) is not None
    replica.participant.fetching.on_chunk_fetched("n0", ChunkFetched(lease.key, name, b"not it"))
    assert sim.history.counts["duties: a damaged piece from another"] == 1
    leader.alive = False
    sim.run(sim.now + 3 * SECOND)
    (new_lease,) = [
        p.participant.leases.by_key[lease.key]
        for p in sim.processes
        if p.alive and isinstance(p, DutyProcess) and lease.key in p.participant.leases.by_key
    ]
    assert new_lease.state[: len(large)] == large


def test_an_unfit_leader_releases_its_duties_and_hands_over_the_state() -> None:
    """The leader becomes unfit but stays alive. It hands over its last state."""
    sim, leader, _ = simulate_leader(seats=4, duties=4)
    leader.draining = True
    sim.run(sim.now + 4 * SECOND)
    assert not leader.participant.leases.by_key and sim.history.counts["duties: given up"] >= 1
    history = sim.histories["duty-0"]
    assert sim.violation() is None and history.acknowledged, "the last state was handed over"
    leader.draining = False
    sim.run(sim.now + 2 * SECOND)
    assert sim.violation() is None


def test_a_removed_duty_has_no_leader_and_is_created_again_in_a_later_generation() -> None:
    """A duty is removed while a member leads it, and then created again under the same name."""
    sim, leader, lease = simulate_leader()
    got: list[Any] = []
    leader.participant.directory.remove("duty-0", got.append)
    sim.run(sim.now + 2 * SECOND)
    assert got[0].status == LeaseStatus.REMOVED and lease.stage is lease_holder.LeaseStage.ENDED
    leader.participant.directory.read("duty-0", got.append)
    sim.run(sim.now + SECOND)
    leader.participant.directory.create("duty-0", "test", got.append)
    sim.run(sim.now + 3 * SECOND)
    assert isinstance(got[1], UnknownLeaseError) and got[2].generation > got[0].generation
    assert any(
        register_key("duty-0") in p.participant.leases.by_key
        for p in sim.processes
        if isinstance(p, DutyProcess)
    )


def test_an_idle_leader_is_notified_that_another_member_has_its_lease() -> None:
    """Another member acquires the lease of an idle leader, which makes no change that the register could reject."""

    class Idle(DutyProcess):
        def work(self, lease: LeaseHolder) -> None:
            return None

    sim, leader, lease = simulate_leader(seats=5, process_class=Idle)
    other = next(
        p
        for p in sim.processes
        if isinstance(p, DutyProcess)
        and p is not leader
        and p.node.me not in sim.placement.replicas(lease.key)
    )
    other.participant.leases.on_offer(
        "n0", LeaseOffer(lease.key, lease.record.generation, lease.record.term, False, True)
    )
    sim.run(sim.now + SECOND)
    assert lease.key in other.participant.leases.by_key and lease.key not in leader.participant.leases.by_key


def test_a_leader_without_a_known_status_is_not_regarded_as_unfit() -> None:
    """A replica has just started and has received no status of the leader. It must not regard the leader as unfit."""
    sim, leader, lease = simulate_leader(seats=5)
    replica = next(
        p
        for p in sim.processes
        if isinstance(p, DutyProcess) and p is not leader and p.node.me in sim.placement.replicas(lease.key)
    )
    member = replica.node.detector.by_seat[leader.node.me]
    member.state, member.status = MemberState.UNKNOWN, MemberStatus()
    for _ in range(2):
        replica.participant.election.check_holders()
        sim.now += 10 * SECOND
    assert not replica.participant.election._unfit_since_us
