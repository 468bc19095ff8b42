"""A tier of eight servers: one hangs, one becomes five times as slow, one fails at once; and routing at large size."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from moorusher.scheduling.interface import Effect

from ..load_balancing.endpoint import Endpoint
from ..load_balancing.load_balancer import LoadBalancer
from ..load_balancing.messages import AttemptEnded, AttemptOutcome, CallStarted, SendAttempt
from ..load_balancing.picker import subset_order
from ..load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from .below import Below, Mood, Told, World
from .experiment import Experiment, Plot, Result

SINCE = 8.0  # s, when all three faults begin
SECONDS, RATE, SERVERS = 30.0, 150.0, 8
RUNNERS, MANY, SUBSET = 2000, 500, 20


def _servers() -> list[Below]:
    moods = {0: Mood("hang", SINCE), 1: Mood("slow", SINCE, factor=5.0), 2: Mood("fail", SINCE)}
    return [Below(f"s{i}", mood=moods.get(i)) for i in range(SERVERS)]


def _since(told: Told) -> float:
    """Share answered in time of the calls that came after the faults."""
    counted = told.seconds[int(SINCE) : int(SECONDS)]
    return sum(ok for _, ok in counted) / max(1, sum(n for n, _ in counted))


def _cost(count: int, rounds: int = 4000) -> float:
    """us a choice, on this machine."""
    servers = [EndpointConfig(f"s{i}", ("127.0.0.1", 1)) for i in range(count)]
    router = LoadBalancer(servers, LoadBalancingPolicy(), "r", random.Random(1).random, 0)
    for i in range(1000):  # every server has its figures
        for effect in router.handle(CallStarted(i * 1000, i, Effect.IDEMPOTENT_WITH_KEY, i * 1000 + 10**6)):
            if isinstance(effect, SendAttempt):
                router.handle(AttemptEnded(i * 1000 + 500, effect.attempt_id, AttemptOutcome.ANSWERED))
    best = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for i in range(rounds):
            router.endpoints.select(2_000_000 + i * 100, True)
        best = min(best, (time.perf_counter() - began) / rounds * 1e6)
    return best


def _spread() -> tuple[float, int, int]:
    """Of many runners on subsets of many servers: the most loaded server over the mean, and connections a server
    (most, and a runner's own)."""
    members = [
        Endpoint(EndpointConfig(f"s{i}", ("127.0.0.1", 1)), LoadBalancingPolicy(), 0) for i in range(MANY)
    ]
    load: Counter[str] = Counter()
    for r in range(RUNNERS):
        load.update(m.config.name for m in subset_order(f"runner-{r}", members)[:SUBSET])
    return max(load.values()) / (RUNNERS * SUBSET / MANY), max(load.values()), SUBSET


async def _play(reactor: Any, quick: bool, seed: int, say: Callable[[str], None]) -> Result:
    result, seeds = Result(), range(seed, seed + (3 if quick else 10))
    told: dict[str, list[Told]] = {}
    for way in ("tier", "again", "plain", "round"):
        say(f"{way}: {len(seeds)} seeds, {SECONDS:.0f} s of {RATE:.0f} calls a second in virtual time")
        # 'again' has the same calls and servers, and other chances of its own: what two runs of one way differ by.
        told[way] = [
            World(
                _servers(),
                "tier" if way == "again" else way,
                s,
                RATE,
                SECONDS,
                chance=s + (1000 if way == "again" else 1),
            ).play()
            for s in seeds
        ]
    share = {way: [_since(t) for t in every] for way, every in told.items()}
    mean = {way: sum(s) / len(s) for way, s in share.items()}
    noise = max(abs(a - b) for a, b in zip(share["tier"], share["again"], strict=True))
    result.figures = {
        way: {
            "in_time": share[way],
            "p99_ms": [t.quantile(0.99) for t in every],
            "attempts_a_call": [t.attempts / t.calls for t in every],
            "ends": [dict(t.ends) for t in every],
        }
        for way, every in told.items()
    }
    result.hold(
        "answered in time since the faults",
        f"{mean['tier']:.3f}; {mean['plain']:.3f} by a plain pool, "
        f"{mean['round']:.3f} in turns; noise {noise:.3f}",
        "0.97, and more than both by 0.1 and twice the noise",
        mean["tier"] >= 0.97 and mean["tier"] - max(mean["plain"], mean["round"]) >= max(0.1, 2 * noise),
    )
    most = max(t.attempts / t.calls for t in told["tier"])
    result.hold("attempts for each call", f"{most:.3f}", "1.1", most <= 1.1)
    shift = max(t.shifted({name}, SINCE, 1 / SERVERS) for t in told["tier"] for name in ("s0", "s1", "s2"))
    result.hold(
        "until each faulty server has less than half of an even share", f"{shift:.2f} s", "3 s", shift <= 3
    )
    p99 = {way: sorted(t.quantile(0.99) for t in every)[len(every) // 2] for way, every in told.items()}
    result.hold(
        "p99 of the answered, median of the seeds",
        f"{p99['tier']:.0f} ms, {p99['round']:.0f} ms in turns",
        "no more than in turns",
        p99["tier"] <= p99["round"],
    )
    twice = sum(t.twice for t in told["tier"])
    result.hold("keyed calls that a server began twice", f"{twice}", "0", twice == 0)
    spread, connections, _ = _spread()
    result.hold(
        f"{RUNNERS} runners on {SUBSET} of {MANY} servers each: largest load over the mean",
        f"{spread:.2f}; at most {connections} connections a server in place of {RUNNERS}",
        "1.5",
        spread <= 1.5,
    )
    costs = {count: _cost(count) for count in (10, 100, 1000)}
    result.figures["us_a_choice"] = costs
    result.hold(
        "us a choice at 10, 100 and 1,000 servers",
        ", ".join(f"{c:.1f}" for c in costs.values()),
        "under 20 at 100",
        costs[100] < 20,
    )
    result.plots.append(
        Plot(
            "answered in time",
            "s",
            "share",
            {
                way: [(float(i), ok / n) for i, (n, ok) in enumerate(told[way][0].seconds) if n]
                for way in ("tier", "plain", "round")
            },
        )
    )
    for way in ("tier", "round"):
        sent = told[way][0].sent
        result.plots.append(
            Plot(
                f"calls a second, {way}",
                "s",
                "calls",
                {
                    name: [
                        (float(s), float(sum(w == name and s <= at < s + 1 for at, w in sent)))
                        for s in range(int(SECONDS))
                    ]
                    for name in ("s0", "s1", "s2", "s3")
                },
            )
        )
    return result


TIER = Experiment(
    "tier", "Eight servers below: one hangs, one becomes five times as slow, one fails at once.", _play
)
