"""The experiment "tier": load balancing over eight servers. One of them hangs, one becomes slow, and one fails calls.

It also measures the time to select a server, and how evenly the load of many runners is spread over many servers when
each runner uses only a subset of them.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from typing import Any, NamedTuple

from ..load_balancing.endpoint import Endpoint
from ..load_balancing.load_balancer import LoadBalancer
from ..load_balancing.messages import AttemptEnded, AttemptOutcome, CallStarted, SendAttempt
from ..load_balancing.picker import subset_order
from ..load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from ..scheduling.interface import Effect
from .call_statistics import CallStatistics, share_in_time
from .experiment import Experiment, Log, Plot, Result
from .server_pool_simulation import (
    CallLoad,
    FaultKind,
    PoolSimulation,
    RoutingMethod,
    ServerFault,
    SimulatedServer,
)

FAULTS_SINCE_S = 8.0
"""Time at which all three faults begin."""
LOAD = CallLoad(rate=150.0, seconds=30.0)
SERVER_COUNT = 8
SPREAD_RUNNERS = 2000
SPREAD_SERVERS = 500
SUBSET_SIZE = 20
POOL_SIZES = (10, 100, 1000)
"""Numbers of servers for which the cost of a selection is measured."""
_OTHER_METHOD_SEED = 1000

Statistics = dict[str, list[CallStatistics]]
"""Statistics of each arm, one for each seed."""


class Arm(NamedTuple):
    """How the calls of one arm are routed."""

    method: RoutingMethod
    seed_offset: int = 1
    """Difference between the seed of the arrivals and the seed of the method's random choices."""


ARMS = {
    "tier": Arm(RoutingMethod.LOAD_BALANCER),
    # The same calls and servers with another seed of the method. The difference from "tier" is the noise.
    "again": Arm(RoutingMethod.LOAD_BALANCER, _OTHER_METHOD_SEED),
    "plain": Arm(RoutingMethod.RANDOM),
    "round": Arm(RoutingMethod.ROUND_ROBIN),
}


def _servers() -> list[SimulatedServer]:
    faults = {
        0: ServerFault(FaultKind.HANG, FAULTS_SINCE_S),
        1: ServerFault(FaultKind.SLOW, FAULTS_SINCE_S, factor=5.0),
        2: ServerFault(FaultKind.FAIL, FAULTS_SINCE_S),
    }
    return [SimulatedServer(f"s{index}", fault=faults.get(index)) for index in range(SERVER_COUNT)]


def _share_in_time_since_faults(statistics: CallStatistics) -> float:
    return share_in_time(statistics.bins[int(FAULTS_SINCE_S) : int(LOAD.seconds)])


def _selection_cost_us(server_count: int, rounds: int = 4000) -> float:
    """Return the time of one selection among `server_count` servers: the best of three repetitions."""
    servers = [EndpointConfig(f"s{index}", ("127.0.0.1", 1)) for index in range(server_count)]
    balancer = LoadBalancer(servers, LoadBalancingPolicy(), "r", random.Random(1).random, 0)
    # Gives every server latency samples before the measurement.
    for call_id in range(1000):
        now = call_id * 1000
        started = CallStarted(now, call_id, Effect.IDEMPOTENT_WITH_KEY, now + 10**6)
        for instruction in balancer.handle(started):
            if isinstance(instruction, SendAttempt):
                ended = AttemptEnded(now + 500, instruction.attempt_id, AttemptOutcome.ANSWERED)
                balancer.handle(ended)
    best_us = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for number in range(rounds):
            balancer.endpoints.select(2_000_000 + number * 100, True)
        best_us = min(best_us, (time.perf_counter() - began) / rounds * 1e6)
    return best_us


def _max_runners_per_server() -> int:
    # Each of `SPREAD_RUNNERS` runners uses its own subset of the servers.
    endpoints = [
        Endpoint(EndpointConfig(f"s{index}", ("127.0.0.1", 1)), LoadBalancingPolicy(), 0)
        for index in range(SPREAD_SERVERS)
    ]
    runners: Counter[str] = Counter()
    for index in range(SPREAD_RUNNERS):
        subset = subset_order(f"runner-{index}", endpoints)[:SUBSET_SIZE]
        runners.update(endpoint.config.name for endpoint in subset)
    return max(runners.values())


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    seeds = range(seed, seed + (3 if quick else 10))
    statistics: Statistics = {}
    for name, arm in ARMS.items():
        log(
            f"{name}: {len(seeds)} seeds, {LOAD.seconds:.0f} s of {LOAD.rate:.0f} calls per second in virtual time"
        )
        statistics[name] = [
            PoolSimulation(
                _servers(), arm.method, one_seed, LOAD, method_seed=one_seed + arm.seed_offset
            ).run()
            for one_seed in seeds
        ]
    result = Result(figures={name: _figures(plays) for name, plays in statistics.items()})
    _judge_service(result, statistics)
    _judge_attempts(result, statistics)
    _judge_spread(result)
    _judge_selection_cost(result)
    _add_plots(result, statistics)
    return result


def _figures(plays: list[CallStatistics]) -> dict[str, Any]:
    return {
        "in_time": [_share_in_time_since_faults(play) for play in plays],
        "p99_ms": [play.latency_percentile_ms(0.99) for play in plays],
        "attempts_a_call": [play.attempts_per_call for play in plays],
        "ends": [dict(play.outcomes) for play in plays],
    }


def _judge_service(result: Result, statistics: Statistics) -> None:
    shares = {name: result.figures[name]["in_time"] for name in ARMS}
    mean = {name: sum(values) / len(values) for name, values in shares.items()}
    noise = max(abs(a - b) for a, b in zip(shares["tier"], shares["again"], strict=True))
    best_baseline = max(mean["plain"], mean["round"])
    result.add_criterion(
        "answered in time since the faults",
        f"{mean['tier']:.3f}; {mean['plain']:.3f} by a plain pool, "
        f"{mean['round']:.3f} in turns; noise {noise:.3f}",
        "0.97, and more than both by 0.1 and twice the noise",
        mean["tier"] >= 0.97 and mean["tier"] - best_baseline >= max(0.1, 2 * noise),
    )


def _judge_attempts(result: Result, statistics: Statistics) -> None:
    tier = statistics["tier"]
    attempts = max(play.attempts_per_call for play in tier)
    result.add_criterion("attempts for each call", f"{attempts:.3f}", "1.1", attempts <= 1.1)
    shift_s = max(
        play.seconds_until_shifted({name}, FAULTS_SINCE_S, 1 / SERVER_COUNT)
        for play in tier
        for name in ("s0", "s1", "s2")
    )
    result.add_criterion(
        "until each faulty server has less than half of an even share",
        f"{shift_s:.2f} s",
        "3 s",
        shift_s <= 3,
    )
    p99_ms = {name: _upper_median(result.figures[name]["p99_ms"]) for name in ARMS}
    result.add_criterion(
        "p99 of the answered, median of the seeds",
        f"{p99_ms['tier']:.0f} ms, {p99_ms['round']:.0f} ms in turns",
        "no more than in turns",
        p99_ms["tier"] <= p99_ms["round"],
    )
    twice = sum(play.executed_twice for play in tier)
    result.add_criterion("keyed calls that a server began twice", f"{twice}", "0", twice == 0)


def _upper_median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def _judge_spread(result: Result) -> None:
    connections = _max_runners_per_server()
    spread = connections / (SPREAD_RUNNERS * SUBSET_SIZE / SPREAD_SERVERS)
    result.add_criterion(
        f"{SPREAD_RUNNERS} runners on {SUBSET_SIZE} of {SPREAD_SERVERS} servers each: largest load over the mean",
        f"{spread:.2f}; at most {connections} connections a server in place of {SPREAD_RUNNERS}",
        "1.5",
        spread <= 1.5,
    )


def _judge_selection_cost(result: Result) -> None:
    costs_us = {count: _selection_cost_us(count) for count in POOL_SIZES}
    result.figures["us_a_choice"] = costs_us
    result.add_criterion(
        "us a choice at 10, 100 and 1,000 servers",
        ", ".join(f"{cost_us:.1f}" for cost_us in costs_us.values()),
        "under 20 at 100",
        costs_us[100] < 20,
    )


def _add_plots(result: Result, statistics: Statistics) -> None:
    shares = {
        name: [
            (float(second), arrivals.in_time / arrivals.calls)
            for second, arrivals in enumerate(statistics[name][0].bins)
            if arrivals.calls
        ]
        for name in ("tier", "plain", "round")
    }
    result.plots.append(Plot("answered in time", "s", "share", shares))
    for name in ("tier", "round"):
        calls = {
            server: _calls_per_second(statistics[name][0], server) for server in ("s0", "s1", "s2", "s3")
        }
        result.plots.append(Plot(f"calls a second, {name}", "s", "calls", calls))


def _calls_per_second(statistics: CallStatistics, server: str) -> list[tuple[float, float]]:
    sent = Counter(int(attempt.at_s) for attempt in statistics.sent if attempt.server == server)
    return [(float(second), float(sent[second])) for second in range(int(LOAD.seconds))]


TIER = Experiment(
    "tier", "Eight servers below: one hangs, one becomes five times as slow, one fails at once.", _play
)
