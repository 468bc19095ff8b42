"""Warm start: snapshots from untrusted bytes, and the weights and the verification of priors."""

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


def endpoint_stats(name: str, ms: float = 40.0, **more: Any) -> EndpointStats:
    base: dict[str, Any] = {
        "short_latency_us": ms * MS,
        "long_latency_us": ms * MS,
        "samples": 60,
        "concurrency_limit": 16.0,
    }
    return EndpointStats(name, **(base | more))


def learned_state(*servers: EndpointStats, **more: Any) -> LearnedState:
    base: dict[str, Any] = {"donor": "d", "uptime_s": 100.0, "endpoints": servers}
    return LearnedState(**(base | more))


# ---- bytes ----


def test_a_snapshot_of_a_thousand_servers_fits_and_is_read_as_written() -> None:
    state = learned_state(*(endpoint_stats(f"server-{i:04}.zone-{i % 7}", 1.234567 * i) for i in range(1000)))
    raw = encode_snapshot(state)
    assert len(raw) <= MAX_SNAPSHOT_BYTES and decode_snapshot(raw) == state


def with_header(body: bytes, magic: bytes = MAGIC, major: int = MAJOR_VERSION, minor: int = 0) -> bytes:
    import xxhash

    return HEADER.pack(magic, major, minor, len(body), xxhash.xxh3_64_intdigest(body)) + body


VALID_SNAPSHOT = encode_snapshot(learned_state(endpoint_stats("a")))


@pytest.mark.parametrize(
    "raw, fault",
    [
        (b"", SnapshotFault.TRUNCATED),
        (VALID_SNAPSHOT[:3], SnapshotFault.TRUNCATED),
        (VALID_SNAPSHOT[:-1], SnapshotFault.TRUNCATED),
        (b"HTTP/1.1 200 OK", SnapshotFault.FOREIGN),
        (VALID_SNAPSHOT + b"x", SnapshotFault.CORRUPT),
        (VALID_SNAPSHOT[:-2] + b"zz", SnapshotFault.CORRUPT),
        (b"x" * (MAX_SNAPSHOT_BYTES + 1), SnapshotFault.OVERSIZED),
        (with_header(b"\x80", major=MAJOR_VERSION + 1), SnapshotFault.NEWER_VERSION),
        (with_header(b""), SnapshotFault.INVALID_VALUE),
        (with_header(b"\xc1"), SnapshotFault.INVALID_VALUE),
        (with_header(msgspec.msgpack.encode({"donor": 5})), SnapshotFault.INVALID_VALUE),
        (with_header(msgspec.msgpack.encode({})), SnapshotFault.INVALID_VALUE),
        (
            with_header(msgspec.msgpack.encode({"donor": "d", "condition": "odd"})),
            SnapshotFault.INVALID_VALUE,
        ),
        (
            with_header(msgspec.msgpack.encode(learned_state(endpoint_stats("a"), endpoint_stats("a")))),
            SnapshotFault.INVALID_VALUE,
        ),
        (
            with_header(msgspec.msgpack.encode(learned_state(endpoint_stats("a", float("inf"))))),
            SnapshotFault.INVALID_VALUE,
        ),
        (
            with_header(msgspec.msgpack.encode(learned_state(endpoint_stats("a", -1)))),
            SnapshotFault.INVALID_VALUE,
        ),
        (
            with_header(msgspec.msgpack.encode(learned_state(endpoint_stats("a", success_rate=1.5)))),
            SnapshotFault.INVALID_VALUE,
        ),
        (with_header(msgspec.msgpack.encode(learned_state(donor=""))), SnapshotFault.INVALID_VALUE),
        (with_header(b"\x91" * 100_000), SnapshotFault.INVALID_VALUE),
    ],
)
def test_an_invalid_snapshot_is_rejected_with_its_fault(raw: bytes, fault: SnapshotFault) -> None:
    with pytest.raises(InvalidSnapshotError) as caught:
        decode_snapshot(raw)
    assert caught.value.fault is fault


def test_a_newer_minor_version_is_read_and_its_new_fields_ignored() -> None:
    body = msgspec.to_builtins(learned_state(endpoint_stats("a"))) | {"colour": "red"}
    assert decode_snapshot(with_header(msgspec.msgpack.encode(body), minor=9)) == learned_state(
        endpoint_stats("a")
    )


@given(st.binary(max_size=300), st.integers(0, len(VALID_SNAPSHOT) - 1), st.integers(0, 255))
def test_arbitrary_bytes_raise_only_invalid_snapshot_errors(noise: bytes, at: int, byte: int) -> None:
    changed = bytearray(VALID_SNAPSHOT)
    changed[at] = byte
    for raw in (noise, MAGIC + noise, with_header(noise), bytes(changed), VALID_SNAPSHOT[:at]):
        with suppress(InvalidSnapshotError):
            assert isinstance(decode_snapshot(raw), LearnedState)


def test_an_oversized_snapshot_is_not_written() -> None:
    with pytest.raises(InvalidSnapshotError) as caught:
        encode_snapshot(
            learned_state(
                *(
                    endpoint_stats(
                        "x" * 60 + str(i), 1.5, first_seen_s=1.5, last_seen_s=2.5, latency_spread_us=1.1
                    )
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
        encode_snapshot(learned_state(endpoint_stats("old"))),
        encode_snapshot(learned_state(endpoint_stats("new"))),
    )
    save_snapshot(path, old)
    real_open, real_fsync, synced = open, os.fsync, [0]

    class SimulatedCrash(BaseException):
        """Ends the write like a killed process: no code runs after it, and no handler of `Exception`."""

    def crash(*_: object, **__: object) -> None:
        raise SimulatedCrash

    def fsync(number: int) -> None:
        synced[0] += 1
        if step == "os.fsync" or synced[0] == 2:
            crash()
        real_fsync(number)

    def opens(name: Any, mode: str) -> Any:
        file = real_open(name, mode)
        if step == "write":
            file.write(new[:10])
            file.flush()
            crash()
        return file

    monkeypatch.setattr("builtins.open", crash if step == "open" else opens)
    monkeypatch.setattr(os, "fsync", fsync)
    if step == "os.replace":
        monkeypatch.setattr(os, "replace", crash)
    with pytest.raises(SimulatedCrash):
        save_snapshot(path, new)
    monkeypatch.undo()
    assert path.read_bytes() == (new if step == "folder" else old)
    found = load_snapshot(path)
    assert found is not None and found.endpoints[0].name == ("new" if step == "folder" else "old")


def test_a_snapshot_has_the_age_of_its_file_and_an_unusable_one_is_ignored(
    tmp_path: Path,
) -> None:
    path = tmp_path / "known"
    assert load_snapshot(path) is None
    save_snapshot(path, VALID_SNAPSHOT)
    at = path.stat().st_mtime
    found = load_snapshot(path, at + 90)
    assert found is not None and found.age_s == pytest.approx(90)
    assert load_snapshot(path, at - 5) is None  # the age of a file with a future time is unknown
    for raw in (b"", VALID_SNAPSHOT[:-1], b"x" * 2 * MAX_SNAPSHOT_BYTES):
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
        # After its first failure the endpoint gets few calls, so the failures up to its ejection take a while.
        for _ in range(100):
            for _ in range(40):
                await f.ask("check")
            if (await r.counters("servers"))["counts"]["ejections"]:
                break
        r.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: r.process.poll() is not None)
        known = (r.fronts.parent / "known").read_bytes()
    stats_by_name = {s.name: s for s in decode_snapshot(known).endpoints}
    assert set(stats_by_name) == {"s0", "s1", "s2", "s3"} and stats_by_name["s0"].ejected
    async with running(Kernel(calls=True), more=text, beside={"known": known}) as r:
        # The donor had served for only one or two seconds. Its measurements have little weight but are used.
        assert (await r.counters())["servers known from before"] >= 3
        f = await FrontEnd.connect(r.port)
        assert "result" in await f.ask("check")
    for server in servers:
        server.close()


# ---- weights ----


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
    prior = merge_priors(
        [learned_state(endpoint_stats("a"), endpoint_stats("b", 120), **more)], ["a", "b", "c"]
    )
    if weight is None:
        assert not prior
    else:
        assert prior["a"].weight == pytest.approx(weight, rel=0.01) and set(prior) == {"a", "b"}


def test_a_slow_donor_yields_the_same_latency_ratios_as_a_fast_one() -> None:
    names = ["a", "b", "c"]
    well = learned_state(endpoint_stats("a", 40), endpoint_stats("b", 40), endpoint_stats("c", 200))
    slow = learned_state(
        endpoint_stats("a", 400),
        endpoint_stats("b", 400),
        endpoint_stats("c", 2000),
        condition=DonorCondition.SLOW,
    )
    assert (
        [p.latency_ratio for p in merge_priors([well], names).values()]
        == [p.latency_ratio for p in merge_priors([slow], names).values()]
        == [1, 1, 5]
    )


def test_a_prior_is_the_median_of_its_donors_and_contradicting_donors_halve_its_weight() -> None:
    one, two, wrong_donor = (
        learned_state(
            endpoint_stats("a", 40), endpoint_stats("b", 40), endpoint_stats("c", ms), donor=f"d{ms}"
        )
        for ms in (200, 220, 10)
    )
    both = merge_priors([one, wrong_donor], ["c"])["c"]
    assert both.weight == pytest.approx(0.5) and set(both.donors) == {"d200", "d10"}
    assert merge_priors([one, two, wrong_donor], ["c"])["c"].latency_ratio == pytest.approx(5.0)
    out = [
        learned_state(endpoint_stats("a"), endpoint_stats("c", ejected=o), donor=str(i))
        for i, o in enumerate((True, True, False))
    ]
    assert merge_priors(out, ["c"])["c"].ejected and not merge_priors(out[1:], ["a"])["a"].ejected


@given(
    st.lists(
        st.builds(
            learned_state,
            st.builds(
                endpoint_stats,
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
def test_a_prior_is_within_its_bounds_for_any_states_of_the_donors(states: list[LearnedState]) -> None:
    for prior in merge_priors(states, ["a"]).values():
        assert (
            0.1 <= prior.latency_ratio <= 10
            and 0 <= prior.success_rate <= 1
            and MIN_WEIGHT / 2 <= prior.weight <= 1
        )
        assert prior.donors


# ---- verification ----


def test_priors_that_own_calls_contradict_are_dropped_and_then_their_donor_is_rejected() -> None:
    dropped: list[str] = []
    priors = {
        f"s{i}": Prior(1.0, 1.0, 1.0, False, ("wrong",) if i < 8 else ("honest", "wrong")) for i in range(10)
    }
    verification = PriorVerification(priors, dropped.append)
    verification.latency_measured("s0", 5.0, 3)  # Too few samples for a verdict.
    assert not dropped
    verification.latency_measured("s0", 5.0, 4)
    verification.latency_measured("s1", 1.2, 4)
    assert dropped == ["s0"] and not verification.rejected_donors
    verification.latency_measured("s2", 0.2, 9)
    verification.latency_measured("s3", 4.0, 9)
    assert verification.rejected_donors == {"wrong"} and set(dropped) == {f"s{i}" for i in range(8)} - {"s1"}
    assert len(verification) == 2  # priors that also come from an honest donor are retained


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
    priors = {f"s{i}": Prior(1.0, 0.0, 1.0, True, ("wrong",)) for i in range(6)}
    r.endpoints.apply_priors(priors, PriorVerification(priors, r.endpoints.discard_prior))
    assert sum(m.state is EndpointState.AWAITING_HEALTH_CHECK for m in r.endpoints.by_name.values()) == 2


def test_a_runner_with_priors_loses_fewer_calls_to_faulty_servers() -> None:
    def servers() -> list[SimulatedServer]:
        faults = {1: ServerFault(FaultKind.HANG), 2: ServerFault(FaultKind.SLOW, factor=15)}
        return [SimulatedServer(f"s{i}", 16, fault=faults.get(i)) for i in range(6)]

    donor = PoolSimulation(servers(), RoutingMethod.LOAD_BALANCER, 1, CallLoad(seconds=20))
    donor.run()
    state = decode_snapshot(
        encode_snapshot(
            capture_learned_state(
                "donor", donor.load_balancer.endpoints.by_name.values(), donor.now, donor.now
            )
        )
    )
    assert {f.name for f in state.endpoints} == {f"s{i}" for i in range(6)}

    def prepare(router: LoadBalancer) -> None:
        priors = merge_priors([state], router.endpoints.by_name)
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
