"""Priors are verified by own calls: what they contradict is dropped, and a donor that is mostly wrong altogether."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ..load_balancing.prior import Prior

MIN_SAMPLES = 4  # own samples of an endpoint that its prior is compared with
MAX_DEVIATION = 2.5  # times as fast or slow as the prior says
MAX_WRONG_FRACTION = 0.5  # of a donor's verified priors
MIN_VERIFIED = 4  # priors of a donor, from which that fraction counts


class PriorVerification:
    """Implements `load_balancing.prior.PriorVerifier`.

    rejected_donors: whose priors are all dropped (set of names).
    """

    def __init__(self, priors: dict[str, Prior], drop: Callable[[str], None]) -> None:
        """`drop` is called with the name of each endpoint whose prior counts no more."""
        self._unverified = dict(priors)
        self._drop = drop
        self._verified_of: Counter[str] = Counter()  # by donor
        self._wrong_of: Counter[str] = Counter()  # by donor
        self.rejected_donors: set[str] = set()

    def __len__(self) -> int:
        """Return how many priors are not verified yet."""
        return len(self._unverified)

    def latency_measured(self, name: str, latency_ratio: float, samples: int) -> None:
        """Compare an endpoint's prior with its own latency over the set's median, from so many samples."""
        prior = self._unverified.get(name)
        if prior is None or samples < MIN_SAMPLES or latency_ratio <= 0:
            return
        del self._unverified[name]
        is_wrong = not 1 / MAX_DEVIATION <= latency_ratio / prior.latency_ratio <= MAX_DEVIATION
        if is_wrong:
            self._drop(name)
        for donor in prior.donors:
            self._verified_of[donor] += 1
            self._wrong_of[donor] += is_wrong
            if self._is_mostly_wrong(donor):
                self._reject(donor)

    def health_check_passed(self, name: str) -> None:
        """Drop a prior that had the endpoint ejected: it is wrong, or out of date."""
        prior = self._unverified.get(name)
        if prior is not None and prior.ejected:
            del self._unverified[name]
            self._drop(name)

    def _is_mostly_wrong(self, donor: str) -> bool:
        verified = self._verified_of[donor]
        return verified >= MIN_VERIFIED and self._wrong_of[donor] > MAX_WRONG_FRACTION * verified

    def _reject(self, donor: str) -> None:
        """Drop the priors that come from rejected donors alone."""
        if donor in self.rejected_donors:
            return
        self.rejected_donors.add(donor)
        for name, prior in list(self._unverified.items()):
            if set(prior.donors) <= self.rejected_donors:
                del self._unverified[name]
                self._drop(name)
