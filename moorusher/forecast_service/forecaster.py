"""The work of the duty `forecast`: takes counts, keeps them by majority before it says so, forecasts, hints.

What is acknowledged is in the state that a majority has; whoever takes the duty over goes on from it to the same
figures. A hint goes out fenced: an earlier owner's that arrives late changes nothing at its receiver.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec

from ..forecasting.demand import BUCKET_MS, HOUR_BUCKETS, pack_key, unpack_key
from ..forecasting.hints import Hints, Need, hints
from ..forecasting.ledger import Ledger, Series
from ..forecasting.policy import Policy, Scaling
from ..leadership.effects import Completed, FencedRequest, Outcome, StateUpdate
from ..leadership.errors import LeadershipError
from ..leadership.lease_holder import LeaseHolder
from ..membership.failure_detector import MS
from .errors import BadPast, ForecastError, NotYet, Unreadable
from .messages import Past, Report, Took

NAME = KIND = "forecast"
HOUR_MS = BUCKET_MS * HOUR_BUCKETS
ANEW_H = 6  # hours; in between, what was said is corrected by what came
SLICE = 16  # series made ready in a turn
TURN = 2 * MS
RETRY = 1_000 * MS
MOST_PENDING = 10_000  # reports that wait to be kept
_json = msgspec.json.Encoder()


class Host(Protocol):
    """What the forecaster needs of the member that owns it."""

    def say(self, seat: str, message: Any) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def clock(self) -> int: ...
    def unix_ms(self) -> int: ...
    def count(self, name: str) -> None: ...
    def running(self) -> Mapping[str, int]: ...  # runners that are up, by zone
    def ended(self, worker: Forecaster) -> None: ...

    # In a thread: `then` with a `week.Week`, or with why there is none.
    def work_out(
        self,
        series: Mapping[str, Series],
        customers: Mapping[str, str],
        last: int,
        then: Callable[[Any], None],
    ) -> None: ...
    def correct(self, week: Any, hours: Mapping[str, list[float]], then: Callable[[Any], None]) -> None: ...


class Forecaster:
    """Keeps counts, forecasts by them and hints (`leadership.worker.Worker`)."""

    make = Ledger

    def __init__(self, lease: LeaseHolder, host: Host, policy: Policy, seats: Mapping[str, str]) -> None:
        """`seats`: of the fleet, with their zones."""
        self.lease, self.host, self.policy, self.seats = lease, host, policy, seats
        self.ledger = self.make(seats, policy.routes)
        self.wrong: ForecastError | None = None  # why nothing is forecast; counts are kept all the same, but
        self.unreadable = False  # for these
        self.week: Any = None  # as worked out, and
        self.said: Any = None  # as corrected since
        self.hints: Hints | None = None
        self._pending: list[tuple[str, int, list[tuple[int, int]]]] = []
        self._saving = self._working = self._over = False
        self._hour = 0  # up to which the last forecast knew

    def start(self) -> None:
        try:
            self.ledger = self.make.unpack(self.lease.state, self.seats, self.policy.routes)
        except ValueError as exc:
            self.wrong, self.unreadable = Unreadable(f"the counts can't be read: {exc}"), True
            self.host.count("forecast: state not read")
            return
        self._tick()

    def before_release(self) -> None:
        return None

    def stop(self, why: LeadershipError | None) -> None:
        self._over = True
        self._pending.clear()
        self.host.ended(self)

    # ---- counts ----

    def report(self, seat: str, m: Report) -> None:
        if self._over or self.unreadable or len(self._pending) >= MOST_PENDING:
            return
        for part in m.parts:
            if part.seat == seat:
                self.ledger.take(part)
        # Late ones are acknowledged as well: their runner need not keep them.
        self._pending.append((seat, m.serial, [(p.bucket, p.until_ms) for p in m.parts]))

    def _tick(self) -> None:
        if self._over:
            return
        self.host.at(self.host.clock() + round(self.policy.save_ms * MS), self._tick)
        self.ledger.close(self.host.unix_ms())
        if self._pending and not self._saving:
            self._saving = True
            self._prepare()
        self._work()

    def _prepare(self) -> None:
        """In slices: hundreds of routes change with each hour."""
        if self._over:
            return
        if self.ledger.prepare(SLICE):
            return self._save()
        return self.host.at(self.host.clock() + TURN, self._prepare)

    def _save(self) -> None:
        kept, self._pending = self._pending, []

        def over(outcome: Outcome) -> None:
            self._saving = False
            if self._over:
                return
            if not isinstance(outcome, Completed):
                self.host.count("forecast: counts not kept")
                self._pending = kept + self._pending
                return
            for seat, serial, told in kept:
                self.host.say(seat, Took(serial, told))

        self.lease.submit(StateUpdate(self.ledger.pack()), over)

    def load(self, past: list[Past], then: Callable[[ForecastError | LeadershipError | None], None]) -> None:
        """`then(None)` once a majority has it."""
        if self.unreadable and self.wrong is not None:
            return then(self.wrong)
        if not self.ledger.closed:
            return then(NotYet("nothing has been counted yet: there is no hour that these come before"))
        for one in past:  # all of them, or none
            if not self.ledger.takes(pack_key(one.key), one.first, one.asked):
                return then(BadPast(f"{label(pack_key(one.key))}: its hours reach into those counted here"))
        names = {pack_key(one.key) for one in past}
        if len(names) < len(past):
            return then(BadPast("a route is named more than once"))
        if len(self.ledger.series.keys() | names) > self.policy.routes:
            return then(BadPast(f"more than {self.policy.routes} routes"))
        for one in past:
            self.ledger.load(pack_key(one.key), one.first, one.asked, one.core_us, one.worth)
        self.week, self._hour = None, 0
        return self.lease.submit(
            StateUpdate(self.ledger.pack()),
            lambda outcome: then(None if isinstance(outcome, Completed) else outcome),
        )

    # ---- forecasts ----

    @property
    def hour(self) -> int:
        """The first that is not closed."""
        return self.ledger.closed // HOUR_BUCKETS

    def _work(self) -> None:
        if self._working or not self.ledger.series or self.hour <= self._hour:
            return
        self._working, hour = True, self.hour
        if self.week is None or hour - self.week.first >= ANEW_H:
            customers = {name: unpack_key(name).customer for name in self.ledger.series}
            self.host.work_out(
                dict(self.ledger.series), customers, hour, lambda got: self._worked(got, hour, True)
            )
        else:
            since = self.week.first
            hours = {name: s.since(since) for name, s in self.ledger.series.items() if s.first <= since}
            self.host.correct(self.week, hours, lambda got: self._worked(got, hour, False))

    def _worked(self, got: Any, hour: int, anew: bool) -> None:
        self._working = False
        if self._over:
            return
        self._hour = hour
        if isinstance(got, ForecastError):
            self.wrong = got
            return
        self.wrong = None
        if anew:
            self.week = got
        self.said = got
        self.host.count("forecast: worked out")
        self._hint(hour)

    def _hint(self, hour: int) -> None:
        scaling, week = self.policy.scaling, self.said
        needs = [self._need(name, i, hour, scaling) for i, name in enumerate(week.names)]
        untold = {
            unpack_key(name).zone: f"{label(name)}: {why}"
            for name, why in week.untold.items()
            if unpack_key(name).zone not in {n.zone for n in needs}
        }
        self.hints = hints(needs, hour, scaling, self.host.unix_ms(), untold, self.host.running())
        if scaling.to is not None:
            self.lease.submit(
                FencedRequest("{}:{}".format(*scaling.to), _json.encode(self.hints)), self._hinted
            )

    def _need(self, name: str, i: int, hour: int, scaling: Scaling) -> Need:
        series = self.ledger.series.get(name)
        core_us, worth = (0.0, 0.0) if series is None else (series.core_us, series.worth)
        level = 2 if worth >= scaling.worthy else 1
        return Need(
            label(name),
            unpack_key(name).zone,
            tuple(float(v) for v in self.said.levels[level, i, hour - self.said.first :]),
            core_us,
        )

    def _hinted(self, outcome: Outcome) -> None:
        self.host.count(
            "forecast: hints given" if isinstance(outcome, Completed) else "forecast: hints not given"
        )

    # ---- to be looked at ----

    def told(self, customer: str) -> dict[str, Any]:
        """Raises ForecastError."""
        if self.wrong is not None:
            raise self.wrong
        if self.said is None:
            raise NotYet(f"{len(self.ledger.series)} routes are counted, and nothing is forecast yet")
        week, routes = self.said, []
        for i, name in enumerate(week.names):
            key = unpack_key(name)
            if customer and key.customer != customer:
                continue
            middle, high, highest = (week.levels[j, i] for j in range(3))
            routes.append(
                {
                    "customer": key.customer,
                    "route": key.route,
                    "zone": key.zone,
                    "model": week.models[i],
                    "day": [round(float(x[:24].sum()), 1) for x in (middle, high, highest)],
                    "week": round(float(middle.sum()), 1),
                    "hours": [round(float(v), 1) for v in middle],
                }
            )
        return {
            "first_hour": week.first,
            "term": self.lease.record.term,
            "routes": routes,
            "untold": {
                label(name): why
                for name, why in week.untold.items()
                if not customer or unpack_key(name).customer == customer
            },
            "late": self.ledger.late,
            "hints": None if self.hints is None else msgspec.to_builtins(self.hints),
        }


def label(name: str) -> str:
    """A key in words, for operators."""
    key = unpack_key(name)
    return f"{key.customer or '-'}/{key.route or '-'}" + (f"@{key.zone}" if key.zone else "")
