"""What was told is on trial: each server's first own answers are held against it. A word that they contradict is
dropped for its server; where most of a donor's are, the donor's whole word is."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ..load_balancing.prior import Prior

ENOUGH = 4  # own samples that are held against a prior
WRONG = 2.5  # times as fast or slow as told
MOST_WRONG, LEAST_HEARD = (
    0.5,
    4,
)  # share of the checked words of a donor that may be wrong, once so many were checked


class Trial:
    """`drop` is called with the name of each server whose prior counts no more."""

    def __init__(self, priors: dict[str, Prior], drop: Callable[[str], None]) -> None:
        self._open = dict(priors)
        self._drop = drop
        self._checked: Counter[str] = Counter()
        self._wrong: Counter[str] = Counter()
        self.dropped_donors: set[str] = set()

    def __len__(self) -> int:
        return len(self._open)

    def latency_measured(self, name: str, latency_ratio: float, samples: int) -> None:
        """A server's own latency against the tier's own median, from so many samples."""
        prior = self._open.get(name)
        if prior is None or samples < ENOUGH or latency_ratio <= 0:
            return
        del self._open[name]
        wrong = not 1 / WRONG <= latency_ratio / prior.latency_ratio <= WRONG
        if wrong:
            self._drop(name)
        for donor in prior.donors:
            self._checked[donor] += 1
            self._wrong[donor] += wrong
            if self._checked[donor] >= LEAST_HEARD and self._wrong[donor] > MOST_WRONG * self._checked[donor]:
                self._refuse(donor)

    def health_check_passed(self, name: str) -> None:
        """One that was told to be out has answered: that word was wrong, or is over."""
        if (prior := self._open.get(name)) is not None and prior.ejected:
            del self._open[name]
            self._drop(name)

    def _refuse(self, donor: str) -> None:
        if donor in self.dropped_donors:
            return
        self.dropped_donors.add(donor)
        for name, prior in list(self._open.items()):
            if set(prior.donors) <= self.dropped_donors:
                del self._open[name]
                self._drop(name)
