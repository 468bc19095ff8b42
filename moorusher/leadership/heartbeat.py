"""The duty to say, again and again, that the fleet is there and how it is, as an operator's dead man's switch wants it.

One report at a time for the whole fleet, whichever runner has the duty; fenced, so that no earlier owner's counts.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..membership.failure_detector import MS
from .effects import Fenced, LatestState, Made, OnFleet, Outcome
from .errors import DutyError
from .lease_holder import Ownership
from .policy import Report

KIND = "report"
NOTED = 5  # reports between two of the duty's own states


class Told(msgspec.Struct, frozen=True):
    """The duty's state: how many have been told since it was made, by whichever owner."""

    reports: int = 0


_json = msgspec.json.Encoder()


class Reporting:
    """Tells the receiver again and again, one report at a time."""

    def __init__(
        self,
        ownership: Ownership,
        report: Report,
        at: Callable[[int, Callable[[], None]], None],
        clock: Callable[[], int],
        fleet: Callable[[], dict[str, Any]],
    ) -> None:
        self.ownership, self._report, self._at, self._clock, self._fleet = ownership, report, at, clock, fleet
        self._stopped = self._open = False
        self.told = msgspec.json.decode(ownership.state, type=Told) if ownership.state else Told()

    def start(self) -> None:
        self._tell()

    def wind_up(self) -> None:
        """A report may be under way: it counts in the state that is handed on."""
        self.ownership.do(LatestState(lambda: _json.encode(self.told)), lambda outcome: None)

    def stop(self, why: DutyError | None) -> None:
        self._stopped = True

    def _tell(self) -> None:
        if self._stopped:
            return
        self._at(self._clock() + round(self._report.every_ms * MS), self._tell)
        if not self._open:  # the last one has not come through yet: this one says what that would
            self._open = True
            body = _json.encode(self._fleet() | {"reports": self.told.reports + 1})
            self.ownership.do(Fenced("{}:{}".format(*self._report.to), body), self._over)

    def _over(self, outcome: Outcome) -> None:
        self._open = False
        if isinstance(outcome, Made):
            self.told = Told(self.told.reports + 1)
            if self.told.reports % NOTED == 0:
                self.ownership.do(OnFleet(_json.encode(self.told)), lambda outcome: None)
