"""What several donors told, weighed: by their samples, its age, and how each donor was; compared within each donor,
never across, since a slow donor measures everything as slow."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..load_balancing.latency import median
from ..load_balancing.prior import Prior
from .learned_state import Condition, Knowledge, ServerFacts

HALF_LATENCY_S, HALF_FAULTS_S = 60.0, 20.0  # half-lives: a server's speed lasts longer than its trouble
FULL_SAMPLES = 30  # of a server, from which its donor's word counts whole
LEAST_WEIGHT = 0.05  # under which a word says nothing
MOST_AGE_S = 600.0
LEAST_UP_S = 10.0  # a donor that served for less counts by what it had
TRUST = {
    Condition.WELL: 1.0,
    Condition.SLOW: 0.6,
    Condition.CROWDED: 0.6,
    Condition.COLD: 0.5,
    Condition.PAUSED: 0.25,
}
APART = 3.0  # donors whose ratios differ by more contradict each other


def _fades(age_s: float, half_s: float) -> float:
    return 0.0 if age_s > MOST_AGE_S else float(0.5 ** (age_s / half_s))


def _middle(pairs: Sequence[tuple[float, float]]) -> float:
    """The weighted median of (value, weight)."""
    ordered = sorted(pairs)
    half, passed = sum(w for _, w in ordered) / 2, 0.0
    for value, weight in ordered:
        passed += weight
        if passed >= half:
            return value
    return ordered[-1][0]


def _typical(knowledge: Knowledge) -> float:
    """The donor's own median, of the servers that were in: what its figures are compared with."""
    return median([f.short_us for f in knowledge.servers if f.samples and not f.out and f.short_us > 0])


def weight_of(knowledge: Knowledge, facts: ServerFacts, half_s: float) -> float:
    """How far one donor's word on one server counts."""
    seen = min(1.0, (facts.samples + 5 * facts.out) / FULL_SAMPLES)
    up = min(1.0, knowledge.up_s / LEAST_UP_S)
    return seen * up * TRUST[knowledge.condition] * _fades(knowledge.age_s + facts.last_seen_s, half_s)


def merge(told: Iterable[Knowledge], names: Iterable[str]) -> dict[str, Prior]:
    """A prior for each of `names` of which something believable was told. Several donors: the median."""
    donors = [(k, _typical(k), {f.name: f for f in k.servers}) for k in told]
    merged: dict[str, Prior] = {}
    for name in names:
        ratios, shares, outs, said = [], [], [], []
        for knowledge, typical, facts_of in donors:
            if (facts := facts_of.get(name)) is None:
                continue
            speed = weight_of(knowledge, facts, HALF_LATENCY_S)
            fault = weight_of(knowledge, facts, HALF_FAULTS_S)
            measured = facts.samples > 0 and typical > 0 and speed >= LEAST_WEIGHT
            if measured:
                ratios.append((max(0.1, min(10.0, facts.short_us / typical)), speed))
            if fault >= LEAST_WEIGHT:
                shares.append((facts.answered, fault))
                outs.append((1.0 if facts.out else 0.0, fault))
            if measured or fault >= LEAST_WEIGHT:
                said.append(knowledge.donor)
        if not said:
            continue
        weight = max((w for _, w in (*ratios, *shares)), default=0.0)
        if len(ratios) > 1 and max(r for r, _ in ratios) > APART * min(r for r, _ in ratios):
            weight /= 2  # they contradict each other: one of them is wrong, and it is not known which
        merged[name] = Prior(
            _middle(ratios) if ratios else 1.0,
            _middle(shares) if shares else 1.0,
            weight,
            bool(outs) and _middle(outs) > 0.5,
            tuple(said),
        )
    return merged
