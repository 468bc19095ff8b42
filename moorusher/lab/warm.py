"""A new instance over twelve servers, two of them slow, one that fails and one that hangs: cold, and with what a
running one knows; and with what nobody should have told it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..load_balancing.load_balancer import LoadBalancer
from ..warm_start.learned_state import DonorCondition, LearnedState, capture_learned_state
from ..warm_start.merge import merge_priors
from ..warm_start.snapshot import decode_snapshot, encode_snapshot
from ..warm_start.verification import PriorVerification
from .below import Below, Mood, Told, World
from .experiment import Experiment, Plot, Result

SERVERS, SLOTS, RATE, SECONDS, BIN = 12, 24, 360.0, 12.0, 0.25
DONOR_S = 20.0
WITHIN = 0.02  # points of the steady level
FAULTY = {2: "slow", 5: "slow", 7: "fail", 9: "hang"}
WAYS = ("cold", "again", "warm", "slow donor", "stale", "lying", "two that contradict", "young donor")


def _servers(faulty: dict[int, str]) -> list[Below]:
    return [
        Below(f"s{i}", SLOTS, mood=Mood(faulty[i], factor=15.0) if i in faulty else None)
        for i in range(SERVERS)
    ]


def _donor(seed: int, seconds: float = DONOR_S, faulty: dict[int, str] | None = None) -> LearnedState:
    """What an instance that has served for so long knows."""
    world = World(_servers(FAULTY if faulty is None else faulty), "tier", seed + 500, RATE, seconds)
    world.play()
    return capture_learned_state(
        "donor", world.router.endpoints.by_name.values(), world.now, round(seconds * 1e6)
    )


def _slow(knowledge: LearnedState) -> LearnedState:
    """The donor's own loop was slow: all that it measured took four times as long."""
    facts = tuple(
        msgspec.structs.replace(
            f, short_latency_us=4 * f.short_latency_us, long_latency_us=4 * f.long_latency_us
        )
        for f in knowledge.endpoints
    )
    return msgspec.structs.replace(knowledge, condition=DonorCondition.SLOW, endpoints=facts)


def _lies(knowledge: LearnedState) -> LearnedState:
    """Well is told as out, out as well, slow as fast: by a donor that is named well."""
    facts = tuple(
        msgspec.structs.replace(
            f,
            ejected=not f.ejected and i % 2 == 0,
            short_latency_us=4e9 / max(1e3, f.short_latency_us),
            success_rate=1.0 if f.ejected else 0.3,
            samples=max(50, f.samples),
        )
        for i, f in enumerate(knowledge.endpoints)
    )
    return msgspec.structs.replace(knowledge, donor="liar", endpoints=facts)


def _told(way: str, seed: int) -> list[LearnedState]:
    if way in ("cold", "again"):
        return []
    if way == "stale":  # other servers were faulty then, and it was an hour ago
        return [_donor(seed, faulty={1: "slow", 3: "fail", 7: "slow"}).aged(3600)]
    if way == "young donor":  # in a rolling deploy donors are new themselves
        return [_donor(seed, 5.0)]
    honest = _donor(seed)
    return {
        "warm": [honest],
        "slow donor": [_slow(honest)],
        "lying": [_lies(honest)],
        "two that contradict": [honest, _lies(honest)],
    }[way]


def _begin(way: str, seed: int) -> World:
    told = [decode_snapshot(encode_snapshot(k)) for k in _told(way, seed)]  # as it comes over the wire

    def prepare(router: LoadBalancer) -> None:
        priors = merge_priors(told, router.endpoints.by_name)
        router.endpoints.learn(priors, PriorVerification(priors, router.endpoints.unlearn))

    return World(
        _servers(FAULTY),
        "tier",
        seed,
        RATE,
        SECONDS,
        prepare=prepare if told else lambda r: None,
        chance=seed + (1000 if way == "again" else 1),
        bins=BIN,
    )


def shares(told: Told) -> list[float]:
    """The share served in time, by stretches of the course."""
    return [ok / n if n else 1.0 for n, ok in told.seconds[: int(SECONDS / BIN)]]


def steady_after(told: Told) -> float:
    """Seconds until the share answered in time, over a second from then on, stays within WITHIN of the steady level:
    that of the last third."""
    counted = told.seconds[: int(SECONDS / BIN)]
    late = counted[len(counted) * 2 // 3 :]
    level = sum(ok for _, ok in late) / max(1, sum(n for n, _ in late))
    width, steady = round(1 / BIN), 0.0
    for i in range(len(counted) - width):
        lately = counted[i : i + width]
        if sum(ok for _, ok in lately) / max(1, sum(n for n, _ in lately)) < level - WITHIN:
            steady = (i + 1) * BIN
    return steady


def lost(told: Told) -> int:
    """Calls of the first five seconds that were not answered in time."""
    first = told.seconds[: round(5 / BIN)]
    return sum(n - ok for n, ok in first)


def median(values: list[float]) -> float:
    """The upper median."""
    return sorted(values)[len(values) // 2]


async def _play(reactor: Any, quick: bool, seed: int, say: Callable[[str], None]) -> Result:
    result, seeds = Result(), range(seed, seed + (5 if quick else 15))
    told: dict[str, list[Told]] = {}
    for way in WAYS:
        say(f"{way}: {len(seeds)} seeds in virtual time")
        told[way] = [_begin(way, s).play() for s in seeds]
    steady = {way: [steady_after(t) for t in every] for way, every in told.items()}
    missed = {way: [lost(t) for t in every] for way, every in told.items()}
    result.figures = {
        way: {
            "steady_after_s": steady[way],
            "lost_in_5_s": missed[way],
            "attempts_a_call": [t.attempts / t.calls for t in told[way]],
        }
        for way in WAYS
    }
    cold, warm = median(steady["cold"]), median(steady["warm"])
    result.hold(
        "until service is steady, median",
        f"{warm:.2f} s warm, {cold:.2f} s cold",
        "at least 50% shorter",
        cold > 0 and warm <= cold / 2,
    )
    noise = max(abs(a - b) for a, b in zip(missed["cold"], missed["again"], strict=True))
    for way in WAYS[2:]:
        worst = max(w - c for w, c in zip(missed[way], missed["cold"], strict=True))
        result.hold(
            f"{way}: calls lost in the first 5 s beyond cold, the worst seed",
            f"{worst} (median "
            f"{median([float(m) for m in missed[way]]):.0f}, cold "
            f"{median([float(m) for m in missed['cold']]):.0f})",
            f"{noise}, the noise of cold against cold",
            worst <= noise,
        )
    again = sum(t.twice for every in told.values() for t in every)
    result.hold("keyed calls that a server began twice", f"{again}", "0", again == 0)
    result.plots.append(
        Plot(
            "answered in time after the start, mean of the seeds",
            "s",
            "share",
            {
                way: [(i * BIN, sum(s[i] for s in every) / len(every)) for i in range(round(8 / BIN))]
                for way in ("cold", "warm", "lying", "stale")
                for every in [[shares(t) for t in told[way]]]
            },
        )
    )
    return result


WARM = Experiment(
    "warm-start", "A new instance over twelve servers, four of them faulty: cold, and with knowledge.", _play
)
