"""Verifies priors by this runner's own calls. Drops contradicted priors, and those of donors that are mostly wrong."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ..load_balancing.prior import Prior

MIN_SAMPLES = 4  # own samples of an endpoint before its prior is verified
MAX_DEVIATION = 2.5  # maximum factor by which measured and expected latency ratio may differ, either way
MAX_WRONG_FRACTION = 0.5  # share of a donor's verified priors; if more are wrong, the donor is rejected
MIN_VERIFIED = 4  # verified priors of a donor before it can be rejected


class PriorVerification:
    """Implements `load_balancing.prior.PriorVerifier`.

    Attributes:
        rejected_donors: Names of the donors whose priors are all dropped.
    """

    def __init__(self, priors: dict[str, Prior], drop: Callable[[str], None]) -> None:
        """:param drop: Called with the name of each endpoint whose prior is dropped."""
        self._unverified = dict(priors)
        self._drop = drop
        self._verified_by_donor: Counter[str] = Counter()
        self._wrong_by_donor: Counter[str] = Counter()
        self.rejected_donors: set[str] = set()

    def __len__(self) -> int:
        """Return the number of priors that are not verified yet."""
        return len(self._unverified)

    def latency_measured(self, name: str, latency_ratio: float, samples: int) -> None:
        """Compare an endpoint's prior with its measured latency, divided by the median of all endpoints.

        :param samples: Number of own calls in that latency.
        """
        prior = self._unverified.get(name)
        if prior is None or samples < MIN_SAMPLES or latency_ratio <= 0:
            return
        del self._unverified[name]
        is_wrong = not 1 / MAX_DEVIATION <= latency_ratio / prior.latency_ratio <= MAX_DEVIATION
        if is_wrong:
            self._drop(name)
        for donor in prior.donors:
            self._verified_by_donor[donor] += 1
            self._wrong_by_donor[donor] += is_wrong
            if self._is_mostly_wrong(donor):
                self._reject(donor)

    def health_check_passed(self, name: str) -> None:
        """Drop the prior of an endpoint that donors had ejected, since the prior is wrong or outdated."""
        prior = self._unverified.get(name)
        if prior is not None and prior.ejected:
            del self._unverified[name]
            self._drop(name)

    def _is_mostly_wrong(self, donor: str) -> bool:
        verified = self._verified_by_donor[donor]
        return verified >= MIN_VERIFIED and self._wrong_by_donor[donor] > MAX_WRONG_FRACTION * verified

    def _reject(self, donor: str) -> None:
        """Reject a donor, and drop the priors that come only from rejected donors."""
        if donor in self.rejected_donors:
            return
        self.rejected_donors.add(donor)
        for name, prior in list(self._unverified.items()):
            if set(prior.donors) <= self.rejected_donors:
                del self._unverified[name]
                self._drop(name)
