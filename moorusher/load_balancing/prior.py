"""Prior estimates of endpoints: learned by other runners (warm start), and verified by this runner's own calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

MAX_OWN_SAMPLES = 8  # number of own samples from which a prior has no influence
# If a prior has `ejected` set and at least this weight, its endpoint must pass a health check before it gets calls,
# unless too many endpoints are unavailable.
MIN_WEIGHT_TO_EJECT = 0.2


@dataclass(frozen=True, slots=True)
class Prior:
    """Estimate of one endpoint, merged from the measurements of several other runners (donors).

    Attributes:
        latency_ratio: Its latency divided by the median of all endpoints.
        success_rate: Fraction of its calls that were answered.
        weight: Confidence in the prior, from 0 to 1.
        ejected: Whether most donors had ejected it.
        donors: Names of the donors.
    """

    latency_ratio: float
    success_rate: float
    weight: float
    ejected: bool
    donors: tuple[str, ...]

    def influence(self, own_samples: int) -> float:
        """Return the prior's weight after `own_samples` own samples, from 0 to 1."""
        return self.weight * max(0.0, 1 - own_samples / MAX_OWN_SAMPLES)


class PriorVerifier(Protocol):
    """Compares priors with measurements; implemented in `warm_start/verification.py`."""

    def latency_measured(self, name: str, latency_ratio: float, samples: int) -> None:
        """Called with an endpoint's measured latency divided by the set's median, and the number of samples."""

    def health_check_passed(self, name: str) -> None:
        """Called when an endpoint has answered its health check."""
