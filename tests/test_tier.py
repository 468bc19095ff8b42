"""The decisions over a tier by themselves: tables, properties, and hard cases played in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from moorusher.lab.below import Below, Mood, World
from moorusher.load_balancing.concurrency_limit import Limit
from moorusher.load_balancing.endpoint import InFlight, Member, State, Why
from moorusher.load_balancing.latency import LEAST, Latency, median
from moorusher.load_balancing.picker import rank
from moorusher.load_balancing.policy import Policy, Server
from moorusher.load_balancing.retry_budget import Budget, backoff_us
from moorusher.load_balancing.router import Action, Cancel, End, Over, Router, Send
from moorusher.scheduling.interface import Effect

S, MS = 1_000_000, 1_000
HOST = "127.0.0.1"


def servers(count: int, **more: Any) -> list[Server]:
    return [Server(f"s{i}", (HOST, i + 1), **more) for i in range(count)]


def router(count: int = 4, now: int = 0, **policy: Any) -> Router:
    return Router(servers(count), Policy(**policy), "r1", random.Random(1).random, now)


def sends(effects: list[Action]) -> list[Send]:
    return [e for e in effects if isinstance(e, Send)]


def overs(effects: list[Action]) -> list[tuple[int, End]]:
    return [(e.number, e.end) for e in effects if isinstance(e, Over)]


# ---- what is measured ----


def test_a_peak_counts_at_once_and_fades() -> None:
    latency = Latency()
    for i in range(30):
        latency.add(i * S, 10_000)
    latency.add(30 * S, 200_000)
    assert latency.expected(30 * S) == 200_000
    assert 30_000 < latency.expected(35 * S) < 80_000
    assert latency.long < 20_000 and latency.quantile(0.5) == 10_000
    assert Latency().quantile(0.95) is None and Latency().expected(S) == 0


@given(st.lists(st.floats(1, 1e6), min_size=1, max_size=200))
def test_no_figure_leaves_the_range_of_its_samples(took: list[float]) -> None:
    latency = Latency()
    for i, t in enumerate(took):
        latency.add(i * 1000, t)
    low, high = min(took) * 0.999, max(took) * 1.001
    assert low <= latency.short <= high and low <= latency.long <= high and low <= latency.peak <= high
    assert (latency.quantile(0.95) is None) is (len(took) < LEAST)
    assert low <= median(took) <= high


def test_a_limit_rises_where_nothing_gets_slower_and_falls_where_it_does() -> None:
    limit = Limit(2, 100)
    for _ in range(200):
        limit.answered(10, 10, int(limit.value))
    assert limit.value == 100
    for _ in range(200):
        limit.answered(100, 10, int(limit.value))
    assert limit.value == 2 and limit.room(1) and not limit.room(2)
    for _ in range(200):
        limit.answered(10, 10, 0)
    assert limit.value == 2  # it was not tried
    before = Limit(2, 100)
    before.overloaded()
    assert before.value < 16


def test_a_budget_is_a_share_of_the_calls_and_a_floor() -> None:
    budget, taken = Budget(0.1, 0.0, 0), 0
    for _ in range(1000):
        budget.called()
        taken += budget.take(0)
    assert 95 <= taken <= 101
    assert sum(Budget(0.0, 1.0, 0).take(now * S) for now in range(1)) == 1
    floor = Budget(0.0, 1.0, 0)
    assert sum(floor.take(i * S // 10) for i in range(1, 101)) in (10, 11)
    assert [backoff_us(tries, 10, 250, 0.5) for tries in (1, 2, 5, 6, 99)] == [
        5000,
        10000,
        80000,
        125000,
        125000,
    ]


# ---- choice ----


def test_each_runner_keeps_to_servers_of_its_own_and_a_change_moves_few() -> None:
    members = [Member(s, Policy(), 0) for s in servers(100)]
    before = {r: [m.server.name for m in rank(f"r{r}", members)][:10] for r in range(300)}
    load = Counter(name for names in before.values() for name in names)
    assert len(load) == 100 and max(load.values()) < 2 * 30
    after = {r: [m.server.name for m in rank(f"r{r}", members[1:])][:10] for r in range(300)}
    for r, names in before.items():
        assert len(set(names) - set(after[r])) == ("s0" in names)
    heavy = [
        Member(Server(f"s{i}", (HOST, 1), weight=4.0 if i == 0 else 1.0), Policy(), 0) for i in range(50)
    ]
    got = Counter(rank(f"r{r}", heavy)[0].server.name for r in range(1000))
    assert got["s0"] > 2 * 1000 / 53


def test_the_own_zone_goes_first_until_it_is_clearly_worse() -> None:
    near, far = servers(2, zone="a"), [Server(f"f{i}", (HOST, 9), zone="b") for i in range(2)]
    r = Router([*near, *far], Policy(zone="a", hedge=False), "r1", random.Random(1).random, 0)
    for i in range(40):
        (send,) = sends(r.call(i * S, i, Effect.SAFE, i * S + S))
        assert send.server in ("s0", "s1")
        r.ended(i * S + 10 * MS, send.attempt, End.ANSWERED)
    for member in r.members.values():
        for i in range(20):
            member.latency.add(40 * S + i, 100 * MS if member.server.zone == "a" else 10 * MS)
    spilled = [sends(r.call(41 * S + i, 100 + i, Effect.SAFE, 42 * S))[0].server for i in range(4)]
    assert all(name.startswith("f") for name in spilled)


def test_a_new_server_gets_traffic_gradually() -> None:
    r = router(4, hedge=False)
    r.add(0, Server("new", (HOST, 9)))
    got = Counter[int]()
    for i in range(6000):
        now = i * 5 * MS
        (send,) = sends(r.call(now, i, Effect.SAFE, now + S))
        got[now // (10 * S)] += send.server == "new"
        r.ended(now + 3 * MS, send.attempt, End.ANSWERED)
    assert got[0] < 0.8 * got[2] and 250 < got[2] < 600  # an even share of 2,000 is 400


# ---- calls ----


def test_a_keyed_call_is_tried_again_only_after_a_proof() -> None:
    for end, again in (
        (End.TURNED_AWAY, True),
        (End.UNREACHED, True),
        (End.FAILED, False),
        (End.STRAY, False),
    ):
        r = router(hedge=False)
        (send,) = sends(r.call(0, 1, Effect.KEYED, S))
        out = r.ended(MS, send.attempt, end)
        assert (overs(out) == []) is again
        wake = r.wake()
        assert (wake is not None) is again
        if wake is not None:
            (second,) = sends(r.ring(wake))
            assert second.server != send.server and wake <= MS + 10 * MS


def test_nothing_is_tried_again_past_the_callers_time_or_the_budget() -> None:
    r = router(hedge=False)
    (send,) = sends(r.call(0, 1, Effect.SAFE, 20 * MS))
    assert overs(r.ended(19 * MS, send.attempt, End.UNREACHED)) == [(1, End.UNREACHED)]
    r = router(hedge=False, retry_share=0.0, retry_floor_per_s=0.0)
    ends = []
    for i in range(10):
        (send,) = sends(r.call(0, i, Effect.SAFE, S))
        ends.append(bool(overs(r.ended(MS, send.attempt, End.FAILED))))
    assert ends == [False] + [True] * 9 and r.counts.denied == 9


def test_a_second_copy_goes_elsewhere_the_first_answer_wins_and_the_other_is_given_up() -> None:
    r = router(2, retry_share=1.0)
    for i in range(80):
        (send,) = sends(r.call(i * S, i, Effect.SAFE, i * S + S))
        r.ended(i * S + 10 * MS, send.attempt, End.ANSWERED)
    r.ring(100 * S)
    (first,) = sends(r.call(100 * S, 1000, Effect.SAFE, 101 * S))
    (keyed,) = sends(r.call(100 * S, 1001, Effect.KEYED, 101 * S))
    wake = r.wake()
    assert wake is not None and wake <= 100 * S + 25 * MS
    (second,) = sends(r.ring(wake))
    assert second.number == 1000 and second.server != first.server
    out = r.ended(wake + MS, second.attempt, End.ANSWERED)
    assert overs(out) == [(1000, End.ANSWERED)] and Cancel(first.attempt) in out
    assert r.ended(wake + 2 * MS, first.attempt, End.ANSWERED) == []  # it comes too late to count
    assert r.counts.hedges == r.counts.hedges_won == 1 and keyed.attempt not in [
        e.attempt for e in out if isinstance(e, Cancel)
    ]


def test_what_finds_no_server_waits_by_due_time_and_a_full_queue_turns_away() -> None:
    r = router(1, least_limit=1, most_limit=1, queue=2, hedge=False)
    (first,) = sends(r.call(0, 1, Effect.KEYED, 9 * S))
    assert r.call(0, 2, Effect.KEYED, 5 * S) == [] and r.call(0, 3, Effect.KEYED, 2 * S) == []
    assert overs(r.call(0, 4, Effect.KEYED, S)) == [(4, End.TURNED_AWAY)]
    (due_first,) = sends(r.ended(MS, first.attempt, End.ANSWERED))
    assert due_first.number == 3
    assert r.give_up(MS, 2) == [] and r.ended(2 * MS, due_first.attempt, End.ANSWERED) == [
        Over(3, due_first.attempt, End.ANSWERED)
    ]
    assert r.open == 0 and r._waiting == 0


# ---- ejection ----


def fail(r: Router, name: str, count: int, now: int = 0) -> None:
    for _ in range(count):
        r.members[name].in_flight[-1] = InFlight(now)
        r._settle(now, -1, r.members[name], End.FAILED)


def test_a_server_is_ejected_longer_each_time_and_returns_by_a_safe_probe() -> None:
    r, now = router(4, hedge=False), 0
    member = r.members["s0"]
    lasted = []
    for _ in range(3):
        fail(r, "s0", 5, now)
        assert member.state is State.EJECTED
        lasted.append((member.until - now) / S)
        assert all(sends(r.call(now + i, 10 + i, Effect.SAFE, now + S))[0].server != "s0" for i in range(20))
        for i in range(20):
            r.give_up(now + 30, 10 + i)
        now = member.until
        assert sends(r.call(now, 1, Effect.KEYED, now + S))[0].server != "s0"  # a keyed call is no probe
        (probe,) = sends(r.call(now, 2, Effect.SAFE, now + S))
        assert probe.server == "s0"
        assert sends(r.call(now, 3, Effect.SAFE, now + S))[0].server != "s0"  # one at a time
        r.ended(now + MS, probe.attempt, End.ANSWERED)
        assert str(member.state) == "State.IN" and member.ramp(now + MS) == pytest.approx(0.1, abs=0.01)
        for number in (1, 2, 3):
            r.give_up(now + MS, number)
    assert lasted == [5, 10, 20]


def test_a_probe_that_fails_ejects_again_and_one_given_up_is_made_anew() -> None:
    r = router(4, hedge=False)
    fail(r, "s0", 5)
    now = r.members["s0"].until
    (probe,) = sends(r.call(now, 1, Effect.SAFE, now + S))
    r.give_up(now + MS, 1)
    assert r.members["s0"].state is State.PROBED
    (probe,) = sends(r.call(now + 2 * MS, 2, Effect.SAFE, now + S))
    assert probe.server == "s0"
    r.ended(now + 3 * MS, probe.attempt, End.FAILED)
    assert (r.members["s0"].state, r.members["s0"].why) == (State.EJECTED, Why.PROBE)


def test_at_most_a_share_is_ejected_and_the_tier_is_never_empty() -> None:
    r = router(6, hedge=False)
    for i in range(6):
        fail(r, f"s{i}", 50)
    assert sum(m.state is State.EJECTED for m in r.members.values()) == 2
    r = router(6, hedge=False, most_ejected=1.0)
    for i in range(6):
        fail(r, f"s{i}", 50)
    assert all(m.state is State.EJECTED for m in r.members.values())
    assert sends(r.call(MS, 1, Effect.SAFE, S)) and r.roster.panics


# ---- membership under load ----


def test_servers_come_drain_and_go_with_calls_in_flight() -> None:
    r = router(2, hedge=False, retry_share=1.0)
    flights = [sends(r.call(0, i, Effect.SAFE if i % 2 == 0 else Effect.KEYED, S))[0] for i in range(12)]
    assert r.drain(MS, "s0") and not r.drain(MS, "none")
    assert {sends(r.call(MS, 20 + i, Effect.SAFE, S))[0].server for i in range(4)} == {"s1"}
    r.retire(MS, "s0")
    for f in [f for f in flights if f.server == "s0"]:
        assert "s0" in r.members
        r.ended(2 * MS, f.attempt, End.ANSWERED)
    assert "s0" not in r.members
    r.add(3 * MS, Server("s0", (HOST, 99)))
    assert r.members["s0"].server.address == (HOST, 99)
    out = r.remove(4 * MS, "s1")
    keyed = [f.number for f in flights if f.server == "s1" and f.number % 2]
    assert [number for number, _ in overs(out)] == keyed  # nothing proves that they did not run
    assert len([e for e in out if isinstance(e, Cancel)]) >= len(keyed)


# ---- in virtual time ----


def tier(*moods: Mood | None, count: int = 8) -> list[Below]:
    return [Below(f"s{i}", mood=moods[i] if i < len(moods) else None) for i in range(count)]


FAULTS = {
    "hang": Mood("hang", 5),
    "slow": Mood("slow", 5, factor=15),
    "fail": Mood("fail", 5),
    "turn": Mood("turn", 5),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_faulty_server_loses_its_traffic_and_the_tier_serves_on(fault: str) -> None:
    told = {way: World(tier(FAULTS[fault]), way, 3, seconds=15).play() for way in ("tier", "round")}
    assert told["tier"].share > 0.98 > told["round"].share
    assert told["tier"].shifted({"s0"}, 5, 1 / 8) < 3
    assert told["tier"].attempts <= 1.1 * told["tier"].calls
    assert told["tier"].twice == 0


def test_a_server_that_recovers_gets_its_traffic_back() -> None:
    world = World(tier(Mood("fail", 3, 6)), "tier", 1, seconds=45)
    told = world.play()
    lately = Counter(who for at, who in told.sent if at > 38)
    assert lately["s0"] > 0.5 * sum(lately.values()) / 8
    assert world.router.members["s0"].state is State.IN


def test_all_servers_failing_is_no_reason_to_send_more() -> None:
    told = World(tier(*[Mood("fail", 5, 10)] * 8), "tier", 1, seconds=20).play()
    assert told.attempts <= 1.1 * told.calls + 20
    assert sum(n for n, _ in told.seconds[15:20]) - sum(ok for _, ok in told.seconds[15:20]) < 20


@settings(max_examples=25, deadline=None)
@given(
    st.integers(0, 10_000),
    st.lists(st.sampled_from(["hang", "slow", "fail", "turn", ""]), min_size=3, max_size=6),
)
def test_every_call_ends_once_nothing_is_left_and_no_key_runs_twice(seed: int, kinds: list[str]) -> None:
    moods = [Mood(kind, 0.5, 2) if kind else None for kind in kinds]
    world = World(
        tier(*moods, count=len(moods)), "tier", seed, seconds=3, rate=80, policy=Policy(queue=4, eject_s=0.3)
    )
    told = world.play()
    assert sum(told.ends.values()) == told.calls and told.twice == 0
    r = world.router
    assert r.open == 0 and r._waiting == 0 and not r._of
    assert all(not m.in_flight for m in r.members.values())
    assert told.attempts <= told.calls * 1.08 + 10 + 0.5 * 5 + 1
