"""What is expected of an endpoint before it was called: learnt by others (warm start), and verified by own calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

MAX_OWN_SAMPLES = 8  # own samples after which a prior has no influence
MIN_WEIGHT_TO_EJECT = (
    0.2  # weight of a prior from which an endpoint it calls ejected has to pass a health check
)


@dataclass(frozen=True, slots=True)
class Prior:
    """The merged estimate of one endpoint.

    latency_ratio: its latency over the median of all endpoints.
    success_rate: the fraction of its calls that were answered.
    weight: how far the prior counts, from 0 to 1.
    ejected: most donors had ejected it.
    donors: the runners that it comes from.
    """

    latency_ratio: float
    success_rate: float
    weight: float
    ejected: bool
    donors: tuple[str, ...]

    def influence(self, own_samples: int) -> float:
        """How far the prior still counts beside so many own samples, from 0 to 1."""
        return self.weight * max(0.0, 1 - own_samples / MAX_OWN_SAMPLES)


class PriorVerifier(Protocol):
    """Compares priors with what is measured; `warm_start/verification.py` implements it."""

    def latency_measured(self, name: str, latency_ratio: float, samples: int) -> None:
        """Take an endpoint's own latency over the set's median, from so many samples."""

    def health_check_passed(self, name: str) -> None:
        """Take note that an endpoint answered its health check."""
