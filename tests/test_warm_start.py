"""Warm start: snapshots whose bytes are untrusted, priors that are weighted, and priors that are verified."""

from __future__ import annotations

import os
import random
import signal
import struct
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from moorusher.lab.server_pool_simulation import (
    CallLoad,
    FaultKind,
    PoolSimulation,
    RoutingMethod,
    ServerFault,
    SimulatedServer,
)
from moorusher.load_balancing.endpoint import EndpointState
from moorusher.load_balancing.load_balancer import LoadBalancer
from moorusher.load_balancing.messages import AttemptEnded, AttemptOutcome, CallStarted, SendAttempt
from moorusher.load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from moorusher.load_balancing.prior import Prior
from moorusher.scheduling.interface import Effect
from moorusher.storage.warm_start import load_snapshot, save_snapshot
from moorusher.warm_start import snapshot
from moorusher.warm_start.errors import InvalidSnapshotError, SnapshotFault
from moorusher.warm_start.learned_state import (
    DonorCondition,
    EndpointStats,
    LearnedState,
    capture_learned_state,
)
from moorusher.warm_start.merge import MIN_WEIGHT, merge_priors
from moorusher.warm_start.snapshot import (
    HEADER,
    MAGIC,
    MAJOR_VERSION,
    MAX_SNAPSHOT_BYTES,
    decode_snapshot,
    encode_snapshot,
)
from moorusher.warm_start.verification import PriorVerification

from .stand_ins import Database, FrontEnd, Kernel, running
from .test_server_pool import tier_settings
from .test_sockets import asynchronous_test, wait_until

S, MS = 1_000_000, 1_000


def facts(name: str, ms: float = 40.0, **more: Any) -> EndpointStats:
    base: dict[str, Any] = {
        "short_latency_us": ms * MS,
        "long_latency_us": ms * MS,
        "samples": 60,
        "concurrency_limit": 16.0,
    }
    return EndpointStats(name, **(base | more))


def knowledge(*servers: EndpointStats, **more: Any) -> LearnedState:
    base: dict[str, Any] = {"donor": "d", "uptime_s": 100.0, "endpoints": servers}
    return LearnedState(**(base | more))


# ---- bytes ----


def test_a_snapshot_of_a_thousand_servers_fits_and_is_read_as_written() -> None:
    told = knowledge(*(facts(f"server-{i:04}.zone-{i % 7}", 1.234567 * i) for i in range(1000)))
    raw = encode_snapshot(told)
    assert len(raw) <= MAX_SNAPSHOT_BYTES and decode_snapshot(raw) == told


def sealed(body: bytes, magic: bytes = MAGIC, major: int = MAJOR_VERSION, minor: int = 0) -> bytes:
    import xxhash

    return HEADER.pack(magic, major, minor, len(body), xxhash.xxh3_64_intdigest(body)) + body


GOOD = encode_snapshot(knowledge(facts("a")))


@pytest.mark.parametrize(
    "raw, why",
    [
        (b"", SnapshotFault.TRUNCATED),
        (GOOD[:3], SnapshotFault.TRUNCATED),
        (GOOD[:-1], SnapshotFault.TRUNCATED),
        (b"HTTP/1.1 200 OK", SnapshotFault.FOREIGN),
        (GOOD + b"x", SnapshotFault.CORRUPT),
        (GOOD[:-2] + b"zz", SnapshotFault.CORRUPT),
        (b"x" * (MAX_SNAPSHOT_BYTES + 1), SnapshotFault.OVERSIZED),
        (sealed(b"\x80", major=MAJOR_VERSION + 1), SnapshotFault.NEWER_VERSION),
        (sealed(b""), SnapshotFault.INVALID_VALUE),
        (sealed(b"\xc1"), SnapshotFault.INVALID_VALUE),
        (sealed(msgspec.msgpack.encode({"donor": 5})), SnapshotFault.INVALID_VALUE),
        (sealed(msgspec.msgpack.encode({})), SnapshotFault.INVALID_VALUE),
        (sealed(msgspec.msgpack.encode({"donor": "d", "condition": "odd"})), SnapshotFault.INVALID_VALUE),
        (sealed(msgspec.msgpack.encode(knowledge(facts("a"), facts("a")))), SnapshotFault.INVALID_VALUE),
        (sealed(msgspec.msgpack.encode(knowledge(facts("a", float("inf"))))), SnapshotFault.INVALID_VALUE),
        (sealed(msgspec.msgpack.encode(knowledge(facts("a", -1)))), SnapshotFault.INVALID_VALUE),
        (
            sealed(msgspec.msgpack.encode(knowledge(facts("a", success_rate=1.5)))),
            SnapshotFault.INVALID_VALUE,
        ),
        (sealed(msgspec.msgpack.encode(knowledge(donor=""))), SnapshotFault.INVALID_VALUE),
        (sealed(b"\x91" * 100_000), SnapshotFault.INVALID_VALUE),
    ],
)
def test_an_invalid_snapshot_is_refused_with_its_fault(raw: bytes, why: SnapshotFault) -> None:
    with pytest.raises(InvalidSnapshotError) as caught:
        decode_snapshot(raw)
    assert caught.value.fault is why


def test_a_newer_minor_version_is_read_and_its_new_fields_ignored() -> None:
    body = msgspec.to_builtins(knowledge(facts("a"))) | {"colour": "red"}
    assert decode_snapshot(sealed(msgspec.msgpack.encode(body), minor=9)) == knowledge(facts("a"))


@given(st.binary(max_size=300), st.integers(0, len(GOOD) - 1), st.integers(0, 255))
def test_no_bytes_raise_anything_but_an_invalid_snapshot(noise: bytes, at: int, byte: int) -> None:
    changed = bytearray(GOOD)
    changed[at] = byte
    for raw in (noise, MAGIC + noise, sealed(noise), bytes(changed), GOOD[:at]):
        with suppress(InvalidSnapshotError):
            assert isinstance(decode_snapshot(raw), LearnedState)


def test_an_oversized_snapshot_is_not_written() -> None:
    with pytest.raises(InvalidSnapshotError) as caught:
        encode_snapshot(
            knowledge(
                *(
                    facts("x" * 60 + str(i), 1.5, first_seen_s=1.5, last_seen_s=2.5, latency_spread_us=1.1)
                    for i in range(5000)
                )
            )
        )
    assert caught.value.fault is SnapshotFault.OVERSIZED
    assert struct.calcsize(HEADER.format) == HEADER.size == snapshot.HEADER.size


# ---- on disk ----


@pytest.mark.parametrize("step", ["open", "write", "os.fsync", "os.replace", "folder"])
def test_a_writer_that_dies_at_any_step_leaves_the_old_or_the_new(
    step: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, old, new = (
        tmp_path / "known",
        encode_snapshot(knowledge(facts("old"))),
        encode_snapshot(knowledge(facts("new"))),
    )
    save_snapshot(path, old)
    real_open, real_fsync, synced = open, os.fsync, [0]

    class Dies(BaseException):
        """As a kill does: nothing that follows is done, no handler either."""

    def die(*_: object, **__: object) -> None:
        raise Dies

    def fsync(number: int) -> None:
        synced[0] += 1
        if step == "os.fsync" or synced[0] == 2:
            die()
        real_fsync(number)

    def opens(name: Any, mode: str) -> Any:
        file = real_open(name, mode)
        if step == "write":
            file.write(new[:10])
            file.flush()
            die()
        return file

    monkeypatch.setattr("builtins.open", die if step == "open" else opens)
    monkeypatch.setattr(os, "fsync", fsync)
    if step == "os.replace":
        monkeypatch.setattr(os, "replace", die)
    with pytest.raises(Dies):
        save_snapshot(path, new)
    monkeypatch.undo()
    assert path.read_bytes() == (new if step == "folder" else old)
    found = load_snapshot(path)
    assert found is not None and found.endpoints[0].name == ("new" if step == "folder" else "old")


def test_a_snapshot_is_as_old_as_its_file_and_an_unusable_one_means_a_start_without(
    tmp_path: Path,
) -> None:
    path = tmp_path / "known"
    assert load_snapshot(path) is None
    save_snapshot(path, GOOD)
    at = path.stat().st_mtime
    found = load_snapshot(path, at + 90)
    assert found is not None and found.age_s == pytest.approx(90)
    assert load_snapshot(path, at - 5) is None  # from the future: of no known age
    for raw in (b"", GOOD[:-1], b"x" * 2 * MAX_SNAPSHOT_BYTES):
        path.write_bytes(raw)
        assert load_snapshot(path) is None
    assert load_snapshot(tmp_path) is None  # a folder


@pytest.mark.processes
@asynchronous_test
async def test_a_runner_saves_what_it_learnt_and_the_next_one_learns_from_it() -> None:
    servers = [Database(500), Database(), Database(), Database()]
    text = tier_settings(*servers, policy='knowledge_file = "known"')
    async with running(Kernel(calls=True), more=text) as r:
        f = await FrontEnd.connect(r.port)
        for _ in range(
            100
        ):  # once its first failure is known it is asked seldom: the fifth takes as long as it takes
            for _ in range(40):
                await f.ask("check")
            if (await r.counters("servers"))["counts"]["ejections"]:
                break
        r.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: r.process.poll() is not None)
        known = (r.fronts.parent / "known").read_bytes()
    told = {s.name: s for s in decode_snapshot(known).endpoints}
    assert set(told) == {"s0", "s1", "s2", "s3"} and told["s0"].ejected
    async with running(Kernel(calls=True), more=text, beside={"known": known}) as r:
        # That donor had served for a second or two: what it says of the three that answered counts, and not for much.
        assert (await r.counters())["servers known from before"] >= 3
        f = await FrontEnd.connect(r.port)
        assert "result" in await f.ask("check")
    for server in servers:
        server.close()


# ---- weighed ----


@pytest.mark.parametrize(
    "more, weight",
    [
        ({}, 1.0),
        ({"age_s": 60.0}, 0.5),
        ({"age_s": 3600.0}, None),
        ({"condition": DonorCondition.SLOW}, 0.6),
        ({"condition": DonorCondition.PAUSED}, 0.25),
        ({"uptime_s": 5.0}, 0.5),
        ({"uptime_s": 0.1}, None),
    ],
)
def test_a_prior_is_weighted_by_its_age_and_its_donor(more: dict[str, Any], weight: float | None) -> None:
    prior = merge_priors([knowledge(facts("a"), facts("b", 120), **more)], ["a", "b", "c"])
    if weight is None:
        assert not prior
    else:
        assert prior["a"].weight == pytest.approx(weight, rel=0.01) and set(prior) == {"a", "b"}


def test_latencies_are_compared_within_a_donor_so_a_slow_one_yields_the_same() -> None:
    names = ["a", "b", "c"]
    well = knowledge(facts("a", 40), facts("b", 40), facts("c", 200))
    slow = knowledge(facts("a", 400), facts("b", 400), facts("c", 2000), condition=DonorCondition.SLOW)
    assert (
        [p.latency_ratio for p in merge_priors([well], names).values()]
        == [p.latency_ratio for p in merge_priors([slow], names).values()]
        == [1, 1, 5]
    )


def test_of_several_donors_the_median_counts_and_two_that_contradict_count_half() -> None:
    one, two, liar = (
        knowledge(facts("a", 40), facts("b", 40), facts("c", ms), donor=f"d{ms}") for ms in (200, 220, 10)
    )
    both = merge_priors([one, liar], ["c"])["c"]
    assert both.weight == pytest.approx(0.5) and set(both.donors) == {"d200", "d10"}
    assert merge_priors([one, two, liar], ["c"])["c"].latency_ratio == pytest.approx(5.0)
    out = [
        knowledge(facts("a"), facts("c", ejected=o), donor=str(i)) for i, o in enumerate((True, True, False))
    ]
    assert merge_priors(out, ["c"])["c"].ejected and not merge_priors(out[1:], ["a"])["a"].ejected


@given(
    st.lists(
        st.builds(
            knowledge,
            st.builds(
                facts,
                st.just("a"),
                st.floats(0, 1e6),
                samples=st.integers(0, 1000),
                success_rate=st.floats(0, 1),
                ejected=st.booleans(),
                last_seen_s=st.floats(0, 1e4),
            ),
            uptime_s=st.floats(0, 1e4),
            age_s=st.floats(0, 1e4),
            condition=st.sampled_from(DonorCondition),
        ),
        max_size=5,
    )
)
def test_whatever_donors_say_a_prior_stays_in_its_bounds(told: list[LearnedState]) -> None:
    for prior in merge_priors(told, ["a"]).values():
        assert (
            0.1 <= prior.latency_ratio <= 10
            and 0 <= prior.success_rate <= 1
            and MIN_WEIGHT / 2 <= prior.weight <= 1
        )
        assert prior.donors


# ---- on trial ----


def test_a_prior_that_own_answers_contradict_is_dropped_and_then_the_donor() -> None:
    dropped: list[str] = []
    priors = {
        f"s{i}": Prior(1.0, 1.0, 1.0, False, ("liar",) if i < 8 else ("honest", "liar")) for i in range(10)
    }
    trial = PriorVerification(priors, dropped.append)
    trial.latency_measured("s0", 5.0, 3)  # too few samples to say
    assert not dropped
    trial.latency_measured("s0", 5.0, 4)
    trial.latency_measured("s1", 1.2, 4)
    assert dropped == ["s0"] and not trial.rejected_donors
    trial.latency_measured("s2", 0.2, 9)
    trial.latency_measured("s3", 4.0, 9)
    assert trial.rejected_donors == {"liar"} and set(dropped) == {f"s{i}" for i in range(8)} - {"s1"}
    assert len(trial) == 2  # what an honest donor told, too, stays


def test_a_server_that_donors_had_ejected_returns_by_one_health_check() -> None:
    servers = [EndpointConfig(f"s{i}", ("127.0.0.1", 1)) for i in range(4)]
    r = LoadBalancer(servers, LoadBalancingPolicy(hedging_enabled=False), "r", random.Random(1).random, 0)
    priors = {"s0": Prior(1.0, 0.1, 0.9, True, ("d",)), "s9": Prior(1.0, 1.0, 1.0, True, ("d",))}
    r.endpoints.apply_priors(priors, PriorVerification(priors, r.endpoints.discard_prior))
    assert r.endpoints.by_name["s0"].state is EndpointState.AWAITING_HEALTH_CHECK
    (first,) = (e for e in r.handle(CallStarted(0, 1, Effect.IDEMPOTENT, S)) if isinstance(e, SendAttempt))
    assert first.endpoint == "s0"
    others = [
        e.endpoint
        for i in range(5)
        for e in r.handle(CallStarted(0, 2 + i, Effect.IDEMPOTENT, S))
        if isinstance(e, SendAttempt)
    ]
    assert "s0" not in others
    r.handle(AttemptEnded(10 * MS, first.attempt_id, AttemptOutcome.ANSWERED))
    member = r.endpoints.by_name["s0"]
    assert (
        str(member.state) == "EndpointState.ACTIVE" and member.prior is None and member.ramp(10 * MS) == 1.0
    )


def test_priors_eject_at_most_the_fraction_that_may_be_ejected() -> None:
    r = LoadBalancer(
        [EndpointConfig(f"s{i}", ("127.0.0.1", 1)) for i in range(6)],
        LoadBalancingPolicy(),
        "r",
        random.Random(1).random,
        0,
    )
    priors = {f"s{i}": Prior(1.0, 0.0, 1.0, True, ("liar",)) for i in range(6)}
    r.endpoints.apply_priors(priors, PriorVerification(priors, r.endpoints.discard_prior))
    assert sum(m.state is EndpointState.AWAITING_HEALTH_CHECK for m in r.endpoints.by_name.values()) == 2


def test_what_one_runner_learnt_spares_another_the_faulty_servers() -> None:
    def servers() -> list[SimulatedServer]:
        faults = {1: ServerFault(FaultKind.HANG), 2: ServerFault(FaultKind.SLOW, factor=15)}
        return [SimulatedServer(f"s{i}", 16, fault=faults.get(i)) for i in range(6)]

    donor = PoolSimulation(servers(), RoutingMethod.LOAD_BALANCER, 1, CallLoad(seconds=20))
    donor.run()
    told = decode_snapshot(
        encode_snapshot(
            capture_learned_state(
                "donor", donor.load_balancer.endpoints.by_name.values(), donor.now, donor.now
            )
        )
    )
    assert {f.name for f in told.endpoints} == {f"s{i}" for i in range(6)}

    def prepare(router: LoadBalancer) -> None:
        priors = merge_priors([told], router.endpoints.by_name)
        router.endpoints.apply_priors(priors, PriorVerification(priors, router.endpoints.discard_prior))

    lost = {
        name: sum(
            w.calls - w.in_time
            for w in (
                PoolSimulation(
                    servers(), RoutingMethod.LOAD_BALANCER, seed, CallLoad(seconds=3), prepare=how
                ).run()
                for seed in range(5)
            )
        )
        for name, how in (("cold", lambda router: None), ("warm", prepare))
    }
    assert lost["warm"] < 0.6 * lost["cold"]
