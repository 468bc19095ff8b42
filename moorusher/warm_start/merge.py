"""Merges what several donors have learnt into a prior for each endpoint.

Each donor's measurements are weighted by samples, age, uptime and condition. Latencies are compared only within one
donor, since a slow donor measures all endpoints as slow. A prior is the weighted median over the donors.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..load_balancing.latency import median
from ..load_balancing.prior import Prior
from .learned_state import DonorCondition, EndpointStats, LearnedState

LATENCY_HALF_LIFE_S = 60.0
# Shorter than the half-life of latencies, since faults of an endpoint pass sooner than its speed changes.
FAULT_HALF_LIFE_S = 20.0
MAX_AGE_S = 600.0  # older measurements are ignored
FULL_WEIGHT_SAMPLES = 30  # samples of an endpoint from which its measurements have full weight
SAMPLES_PER_EJECTION = 5  # samples that an ejection counts as, since an ejected endpoint has few calls
FULL_WEIGHT_UPTIME_S = 10.0  # uptime of a donor from which its measurements have full weight
MIN_WEIGHT = 0.05  # measurements with a lower weight are ignored
CONDITION_WEIGHTS = {
    DonorCondition.HEALTHY: 1.0,
    DonorCondition.SLOW: 0.6,
    DonorCondition.OVERLOADED: 0.6,
    DonorCondition.WARMING_UP: 0.5,
    DonorCondition.PAUSED: 0.25,
}
# Donors contradict each other about an endpoint if the largest latency ratio that they report for it is more than this
# multiple of the smallest.
MAX_RATIO_SPREAD = 3.0
# Factor of a prior's weight if its donors contradict each other: one is wrong, and it is unknown which one.
CONTRADICTION_FACTOR = 0.5
LATENCY_RATIO_BOUNDS = (0.1, 10.0)  # minimum, maximum


@dataclass(slots=True, frozen=True)
class WeightedValue:
    """One donor's measurement and its weight."""

    value: float
    weight: float


@dataclass(slots=True)
class EndpointEvidence:
    """The weighted measurements of one endpoint from all donors."""

    # Latency of the endpoint divided by the donor's median latency.
    latency_ratios: list[WeightedValue] = field(default_factory=list)
    success_rates: list[WeightedValue] = field(default_factory=list)
    # 1 if the donor had ejected the endpoint, else 0.
    ejections: list[WeightedValue] = field(default_factory=list)
    donors: list[str] = field(default_factory=list)

    def add(self, state: LearnedState, donor_median_us: float, stats: EndpointStats) -> None:
        """Add one donor's measurements of the endpoint. `donor_median_us` is 0 if the donor has no latencies."""
        latency_weight = evidence_weight(state, stats, LATENCY_HALF_LIFE_S)
        fault_weight = evidence_weight(state, stats, FAULT_HALF_LIFE_S)
        has_latency = stats.samples > 0 and donor_median_us > 0 and latency_weight >= MIN_WEIGHT
        has_faults = fault_weight >= MIN_WEIGHT
        if has_latency:
            smallest, largest = LATENCY_RATIO_BOUNDS
            ratio = max(smallest, min(largest, stats.short_latency_us / donor_median_us))
            self.latency_ratios.append(WeightedValue(ratio, latency_weight))
        if has_faults:
            self.success_rates.append(WeightedValue(stats.success_rate, fault_weight))
            self.ejections.append(WeightedValue(1.0 if stats.ejected else 0.0, fault_weight))
        if has_latency or has_faults:
            self.donors.append(state.donor)

    def to_prior(self) -> Prior:
        """Return the prior; there must be at least one donor."""
        values = (*self.latency_ratios, *self.success_rates)
        weight = max((value.weight for value in values), default=0.0)
        if self._donors_contradict():
            weight *= CONTRADICTION_FACTOR
        return Prior(
            latency_ratio=weighted_median(self.latency_ratios) if self.latency_ratios else 1.0,
            success_rate=weighted_median(self.success_rates) if self.success_rates else 1.0,
            weight=weight,
            ejected=bool(self.ejections) and weighted_median(self.ejections) > 0.5,
            donors=tuple(self.donors),
        )

    def _donors_contradict(self) -> bool:
        if len(self.latency_ratios) < 2:
            return False
        ratios = [ratio.value for ratio in self.latency_ratios]
        return max(ratios) > MAX_RATIO_SPREAD * min(ratios)


def weighted_median(values: Sequence[WeightedValue]) -> float:
    """Return the weighted median of at least one value."""
    ordered = sorted(values, key=lambda entry: (entry.value, entry.weight))
    half_weight = sum(entry.weight for entry in ordered) / 2
    cumulative_weight = 0.0
    for entry in ordered:
        cumulative_weight += entry.weight
        if cumulative_weight >= half_weight:
            return entry.value
    return ordered[-1].value


def evidence_weight(state: LearnedState, stats: EndpointStats, half_life_s: float) -> float:
    """Return the weight, from 0 to 1, of one donor's measurements of one endpoint. It halves with each half-life."""
    age_s = state.age_s + stats.last_seen_s
    if age_s > MAX_AGE_S:
        return 0.0
    samples = stats.samples + SAMPLES_PER_EJECTION * stats.ejected
    sample_weight = min(1.0, samples / FULL_WEIGHT_SAMPLES)
    uptime_weight = min(1.0, state.uptime_s / FULL_WEIGHT_UPTIME_S)
    decay = float(0.5 ** (age_s / half_life_s))
    return sample_weight * uptime_weight * CONDITION_WEIGHTS[state.condition] * decay


def median_latency_us(state: LearnedState) -> float:
    """Return the median latency of the endpoints that the donor had not ejected; 0 if it has measured none."""
    return median(
        [
            stats.short_latency_us
            for stats in state.endpoints
            if stats.samples and not stats.ejected and stats.short_latency_us > 0
        ]
    )


def merge_priors(states: Iterable[LearnedState], names: Iterable[str]) -> dict[str, Prior]:
    """Return a prior for each named endpoint that a donor has usable measurements of."""
    donors = [
        (state, median_latency_us(state), {stats.name: stats for stats in state.endpoints})
        for state in states
    ]
    priors: dict[str, Prior] = {}
    for name in names:
        evidence = EndpointEvidence()
        for state, donor_median_us, stats_by_name in donors:
            if name in stats_by_name:
                evidence.add(state, donor_median_us, stats_by_name[name])
        if evidence.donors:
            priors[name] = evidence.to_prior()
    return priors
