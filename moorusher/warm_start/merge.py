"""What several donors have learnt, merged into a prior for each endpoint.

Each donor's figures are weighted by samples, age, uptime and condition. Latencies are compared within one donor and
never across donors, since a slow donor measures everything as slow; of several donors the weighted median counts.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..load_balancing.latency import median
from ..load_balancing.prior import Prior
from .learned_state import DonorCondition, EndpointStats, LearnedState

LATENCY_HALF_LIFE_S = 60.0
FAULT_HALF_LIFE_S = 20.0  # an endpoint's faults pass sooner than its speed changes
MAX_AGE_S = 600.0  # beyond it figures count for nothing
FULL_WEIGHT_SAMPLES = 30  # of an endpoint, from which its donor's figures have full weight
SAMPLES_OF_EJECTION = 5  # so many samples an ejection counts for: an ejected endpoint has few
FULL_WEIGHT_UPTIME_S = 10.0  # of a donor, from which its figures have full weight
MIN_WEIGHT = 0.05  # with less a donor's figures are ignored
TRUST = {
    DonorCondition.HEALTHY: 1.0,
    DonorCondition.SLOW: 0.6,
    DonorCondition.OVERLOADED: 0.6,
    DonorCondition.WARMING_UP: 0.5,
    DonorCondition.PAUSED: 0.25,
}
MAX_RATIO_SPREAD = (
    3.0  # largest over smallest latency ratio; donors that differ by more contradict each other
)
CONTRADICTION_FACTOR = 0.5  # applied to the weight then: one of them is wrong, and it is not known which
LATENCY_RATIO_BOUNDS = (0.1, 10.0)


@dataclass(slots=True, frozen=True)
class Weighted:
    """One donor's figure, and how far it counts."""

    value: float
    weight: float


@dataclass(slots=True)
class EndpointEvidence:
    """What all donors together have learnt of one endpoint."""

    latency_ratios: list[Weighted] = field(default_factory=list)
    success_rates: list[Weighted] = field(default_factory=list)
    ejections: list[Weighted] = field(default_factory=list)  # 1 where the donor had it ejected, else 0
    donors: list[str] = field(default_factory=list)

    def add(self, state: LearnedState, typical_us: float, stats: EndpointStats) -> None:
        """Take one donor's figures. `typical_us`: the donor's own median latency, 0 where it has none."""
        latency_weight = weight_of(state, stats, LATENCY_HALF_LIFE_S)
        fault_weight = weight_of(state, stats, FAULT_HALF_LIFE_S)
        has_latency = stats.samples > 0 and typical_us > 0 and latency_weight >= MIN_WEIGHT
        has_faults = fault_weight >= MIN_WEIGHT
        if has_latency:
            smallest, largest = LATENCY_RATIO_BOUNDS
            ratio = max(smallest, min(largest, stats.short_latency_us / typical_us))
            self.latency_ratios.append(Weighted(ratio, latency_weight))
        if has_faults:
            self.success_rates.append(Weighted(stats.success_rate, fault_weight))
            self.ejections.append(Weighted(1.0 if stats.ejected else 0.0, fault_weight))
        if has_latency or has_faults:
            self.donors.append(state.donor)

    def to_prior(self) -> Prior:
        """Return the prior; there must be at least one donor."""
        figures = (*self.latency_ratios, *self.success_rates)
        weight = max((figure.weight for figure in figures), default=0.0)
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
        ratios = [figure.value for figure in self.latency_ratios]
        return max(ratios) > MAX_RATIO_SPREAD * min(ratios)


def weighted_median(figures: Sequence[Weighted]) -> float:
    """Return the weighted median of at least one figure."""
    ordered = sorted(figures, key=lambda figure: (figure.value, figure.weight))
    half = sum(figure.weight for figure in ordered) / 2
    passed = 0.0
    for figure in ordered:
        passed += figure.weight
        if passed >= half:
            return figure.value
    return ordered[-1].value


def weight_of(state: LearnedState, stats: EndpointStats, half_life_s: float) -> float:
    """Return how far one donor's figures on one endpoint count, from 0 to 1; half as far after each half-life."""
    age_s = state.age_s + stats.last_seen_s
    if age_s > MAX_AGE_S:
        return 0.0
    samples = stats.samples + SAMPLES_OF_EJECTION * stats.ejected
    sample_weight = min(1.0, samples / FULL_WEIGHT_SAMPLES)
    uptime_weight = min(1.0, state.uptime_s / FULL_WEIGHT_UPTIME_S)
    decay = float(0.5 ** (age_s / half_life_s))
    return sample_weight * uptime_weight * TRUST[state.condition] * decay


def typical_latency(state: LearnedState) -> float:
    """Return a donor's median latency over the endpoints it had in service (us); 0 where it has none."""
    return median(
        [
            stats.short_latency_us
            for stats in state.endpoints
            if stats.samples and not stats.ejected and stats.short_latency_us > 0
        ]
    )


def merge_priors(states: Iterable[LearnedState], names: Iterable[str]) -> dict[str, Prior]:
    """Return a prior for each endpoint of `names` that some donor's figures count for."""
    donors = [
        (state, typical_latency(state), {stats.name: stats for stats in state.endpoints}) for state in states
    ]
    priors: dict[str, Prior] = {}
    for name in names:
        evidence = EndpointEvidence()
        for state, typical_us, stats_by_name in donors:
            if name in stats_by_name:
                evidence.add(state, typical_us, stats_by_name[name])
        if evidence.donors:
            priors[name] = evidence.to_prior()
    return priors
