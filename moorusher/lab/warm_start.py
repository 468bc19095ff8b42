"""The experiment "warm-start": a new instance that balances load over twelve servers, four of them faulty.

The new instance starts without knowledge, or with the state that a running instance, the donor, has learned. In some
arms the donor measured with a slow event loop, or the state is stale or false.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..load_balancing.load_balancer import LoadBalancer
from ..warm_start.learned_state import DonorCondition, LearnedState, capture_learned_state
from ..warm_start.merge import merge_priors
from ..warm_start.snapshot import decode_snapshot, encode_snapshot
from ..warm_start.verification import PriorVerification
from .call_statistics import ArrivalBin, CallStatistics, share_in_time
from .experiment import Experiment, Log, Plot, Result
from .server_pool_simulation import (
    CallLoad,
    FaultKind,
    PoolSimulation,
    RoutingMethod,
    ServerFault,
    SimulatedServer,
)

SERVER_COUNT = 12
SLOTS = 24
"""Calls that each server executes at a time."""
LOAD = CallLoad(rate=360.0, seconds=12.0)
BIN_S = 0.25
DONOR_S = 20.0
"""How long a donor, the instance whose learned state is given to a new one, has served before the state is captured."""
YOUNG_DONOR_S = 5.0
STALE_AGE_S = 3600
STEADY_MARGIN = 0.02
"""The share of calls answered in time counts as steady if it is at most this much below the steady level."""
EARLY_S = 5  # Length of the early phase, whose calls that were not answered in time are counted.
PLOTTED_S = 8
SLOW_FACTOR = 15.0
_DONOR_SEED_OFFSET = 500
_OTHER_METHOD_SEED = 1000

Faults = dict[int, FaultKind]
FAULTS: Faults = {2: FaultKind.SLOW, 5: FaultKind.SLOW, 7: FaultKind.FAIL, 9: FaultKind.HANG}
FORMER_FAULTS: Faults = {1: FaultKind.SLOW, 3: FaultKind.FAIL, 7: FaultKind.SLOW}

Statistics = dict[str, list[CallStatistics]]
"""Statistics of each arm, one for each seed."""


def _servers(faults: Faults) -> list[SimulatedServer]:
    return [
        SimulatedServer(
            f"s{index}",
            SLOTS,
            fault=ServerFault(faults[index], factor=SLOW_FACTOR) if index in faults else None,
        )
        for index in range(SERVER_COUNT)
    ]


# ---- learned state that a new instance receives ----


def _donor_state(seed: int, seconds: float = DONOR_S, faults: Faults = FAULTS) -> LearnedState:
    """Return the state that an instance has learned after serving for `seconds`."""
    load = CallLoad(rate=LOAD.rate, seconds=seconds)
    donor = PoolSimulation(_servers(faults), RoutingMethod.LOAD_BALANCER, seed + _DONOR_SEED_OFFSET, load)
    donor.run()
    endpoints = donor.load_balancer.endpoints.by_name.values()
    return capture_learned_state("donor", endpoints, donor.now, round(seconds * 1e6))


def _measured_by_slow_donor(state: LearnedState) -> LearnedState:
    """Return the state that a donor with a slow event loop would have, with four times the latency."""
    endpoints = tuple(
        msgspec.structs.replace(
            endpoint,
            short_latency_us=4 * endpoint.short_latency_us,
            long_latency_us=4 * endpoint.long_latency_us,
        )
        for endpoint in state.endpoints
    )
    return msgspec.structs.replace(state, condition=DonorCondition.SLOW, endpoints=endpoints)


def _falsified(state: LearnedState) -> LearnedState:
    """Return a false state: half of the healthy servers are ejected, ejected ones admitted, and latencies inverted."""
    # The reported condition of the donor is unchanged, so nothing reveals that the state is false.
    endpoints = tuple(
        msgspec.structs.replace(
            endpoint,
            ejected=not endpoint.ejected and index % 2 == 0,
            short_latency_us=4e9 / max(1e3, endpoint.short_latency_us),
            success_rate=1.0 if endpoint.ejected else 0.3,
            samples=max(50, endpoint.samples),
        )
        for index, endpoint in enumerate(state.endpoints)
    )
    return msgspec.structs.replace(state, donor="liar", endpoints=endpoints)


def _no_states(seed: int) -> list[LearnedState]:
    return []


def _warm_states(seed: int) -> list[LearnedState]:
    return [_donor_state(seed)]


def _slow_donor_states(seed: int) -> list[LearnedState]:
    return [_measured_by_slow_donor(_donor_state(seed))]


def _stale_states(seed: int) -> list[LearnedState]:
    # The state is an hour old and from a time when other servers were faulty.
    return [_donor_state(seed, faults=FORMER_FAULTS).aged(STALE_AGE_S)]


def _false_states(seed: int) -> list[LearnedState]:
    return [_falsified(_donor_state(seed))]


def _contradicting_states(seed: int) -> list[LearnedState]:
    state = _donor_state(seed)
    return [state, _falsified(state)]


def _young_donor_states(seed: int) -> list[LearnedState]:
    # In a rolling deployment, the donors were started recently, too.
    return [_donor_state(seed, YOUNG_DONOR_S)]


ARMS: dict[str, Callable[[int], list[LearnedState]]] = {
    "cold": _no_states,
    "again": _no_states,
    "warm": _warm_states,
    "slow donor": _slow_donor_states,
    "stale": _stale_states,
    "lying": _false_states,
    "two that contradict": _contradicting_states,
    "young donor": _young_donor_states,
}
"""Learned states that the new instance of each arm receives, for a seed.

`again` differs from `cold` only in the seed of the load balancer's random choices, which shows the noise.
"""
_ARMS_WITHOUT_DONOR = 2


def _new_instance(arm: str, seed: int) -> PoolSimulation:
    # Encodes and decodes each state, as happens between a donor and a new instance.
    states = [decode_snapshot(encode_snapshot(state)) for state in ARMS[arm](seed)]

    def prepare(balancer: LoadBalancer) -> None:
        priors = merge_priors(states, balancer.endpoints.by_name)
        balancer.endpoints.apply_priors(priors, PriorVerification(priors, balancer.endpoints.discard_prior))

    return PoolSimulation(
        _servers(FAULTS),
        RoutingMethod.LOAD_BALANCER,
        seed,
        LOAD,
        prepare=prepare if states else None,
        method_seed=seed + (_OTHER_METHOD_SEED if arm == "again" else 1),
        bin_s=BIN_S,
    )


# ---- results ----


def _bins_of_arrivals(statistics: CallStatistics) -> list[ArrivalBin]:
    return statistics.bins[: int(LOAD.seconds / BIN_S)]


def _shares_by_bin(statistics: CallStatistics) -> list[float]:
    """Return the share of each bin's calls that were answered in time; 1 for a bin without calls."""
    return [
        arrivals.in_time / arrivals.calls if arrivals.calls else 1.0
        for arrivals in _bins_of_arrivals(statistics)
    ]


def _seconds_until_steady(statistics: CallStatistics) -> float:
    """Return the time after which the share of calls answered in time remains near the steady level."""
    # The steady level is the share in the last third of the bins. It is compared with the share in windows of a second.
    bins = _bins_of_arrivals(statistics)
    steady_level = share_in_time(bins[len(bins) * 2 // 3 :])
    width = round(1 / BIN_S)
    steady_s = 0.0
    for index in range(len(bins) - width):
        if share_in_time(bins[index : index + width]) < steady_level - STEADY_MARGIN:
            steady_s = (index + 1) * BIN_S
    return steady_s


def _early_losses(statistics: CallStatistics) -> int:
    """Return the number of calls in the first `EARLY_S` seconds that were not answered in time."""
    return sum(arrivals.calls - arrivals.in_time for arrivals in statistics.bins[: round(EARLY_S / BIN_S)])


def _upper_median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    seeds = range(seed, seed + (5 if quick else 15))
    statistics: Statistics = {}
    for arm in ARMS:
        log(f"{arm}: {len(seeds)} seeds in virtual time")
        statistics[arm] = [_new_instance(arm, one_seed).run() for one_seed in seeds]
    result = Result(figures={arm: _figures(plays) for arm, plays in statistics.items()})
    _judge_time_until_steady(result)
    _judge_early_losses(result)
    twice = sum(play.executed_twice for plays in statistics.values() for play in plays)
    result.add_criterion("keyed calls that a server began twice", f"{twice}", "0", twice == 0)
    lines = {arm: _mean_shares(statistics[arm]) for arm in ("cold", "warm", "lying", "stale")}
    result.plots.append(Plot("answered in time after the start, mean of the seeds", "s", "share", lines))
    return result


def _figures(plays: list[CallStatistics]) -> dict[str, Any]:
    return {
        "steady_after_s": [_seconds_until_steady(play) for play in plays],
        "lost_in_5_s": [_early_losses(play) for play in plays],
        "attempts_a_call": [play.attempts_per_call for play in plays],
    }


def _judge_time_until_steady(result: Result) -> None:
    cold_s = _upper_median(result.figures["cold"]["steady_after_s"])
    warm_s = _upper_median(result.figures["warm"]["steady_after_s"])
    result.add_criterion(
        "until service is steady, median",
        f"{warm_s:.2f} s warm, {cold_s:.2f} s cold",
        "at least 50% shorter",
        cold_s > 0 and warm_s <= cold_s / 2,
    )


def _judge_early_losses(result: Result) -> None:
    lost = {arm: result.figures[arm]["lost_in_5_s"] for arm in ARMS}
    cold = lost["cold"]
    noise = max(abs(a - b) for a, b in zip(cold, lost["again"], strict=True))
    for arm in list(ARMS)[_ARMS_WITHOUT_DONOR:]:
        worst = max(own - baseline for own, baseline in zip(lost[arm], cold, strict=True))
        result.add_criterion(
            f"{arm}: calls lost in the first 5 s beyond cold, the worst seed",
            f"{worst} (median {_upper_median(lost[arm]):.0f}, cold {_upper_median(cold):.0f})",
            f"{noise}, the noise of cold against cold",
            worst <= noise,
        )


def _mean_shares(plays: list[CallStatistics]) -> list[tuple[float, float]]:
    shares_by_seed = [_shares_by_bin(play) for play in plays]
    return [
        (index * BIN_S, sum(shares[index] for shares in shares_by_seed) / len(shares_by_seed))
        for index in range(round(PLOTTED_S / BIN_S))
    ]


WARM_START = Experiment(
    "warm-start", "A new instance over twelve servers, four of them faulty: cold, and with knowledge.", _play
)
