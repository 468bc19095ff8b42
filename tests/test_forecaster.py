"""The leader of the forecast: acknowledgement of reports, imports, and a damaged state."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from moorusher.forecast_service.errors import (
    ERRORS,
    CorruptLedgerError,
    ForecastError,
    ForecastNotReadyError,
    InvalidHistoryError,
)
from moorusher.forecast_service.forecaster import Forecaster
from moorusher.forecast_service.messages import DemandReport, ImportedHistory, ReportAck
from moorusher.forecasting.demand_counts import BUCKET_MS, HOUR_MS, RouteKey
from moorusher.forecasting.ledger_codec import decode_ledger
from moorusher.forecasting.policy import ForecastPolicy
from moorusher.leadership.effects import Completed, Outcome
from moorusher.leadership.errors import NoMajorityError
from moorusher.leadership.fencing_token import FencingToken

from .test_demand_counting import KEY, ROUTE, START_MS, ZONES, report_of

COMPLETED = Completed(FencingToken(1, 1, 2))


class FakeHost:
    """Lease and process of a forecaster. State updates are pending until the test calls back with their outcome."""

    name, record = "forecast", None

    def __init__(self, state: bytes = b"") -> None:
        self.state = state
        self.submitted: list[tuple[bytes, Callable[[Outcome], None]]] = []
        self.sent: list[tuple[str, ReportAck]] = []
        self._timers: list[Callable[[], None]] = []

    def submit(self, effect: Any, callback: Callable[[Outcome], None]) -> None:
        self.submitted.append((effect.state, callback))

    def member_replier(self, seat: str) -> Callable[[ReportAck], None]:
        return lambda message: self.sent.append((seat, message))

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        self._timers.append(action)

    def clock(self) -> int:
        return 0

    def unix_ms(self) -> int:
        return START_MS + 1_000

    def count(self, name: str) -> None:
        return None

    def ended(self, worker: Forecaster) -> None:
        return None

    def run_timers(self) -> None:
        """Run all pending timers."""
        timers, self._timers = self._timers, []
        for action in timers:
            action()


def start_forecaster(host: FakeHost, **policy: Any) -> Forecaster:
    forecaster = Forecaster(host, host, ForecastPolicy(enabled=True, **policy), ZONES)  # type: ignore[arg-type]
    forecaster.start()
    return forecaster


def test_reports_are_acknowledged_only_after_a_majority_has_them() -> None:
    """No majority answers the first update. If the reports were acknowledged anyway, their runners would discard counts
    that the next leader does not have."""
    host = FakeHost()
    forecaster = start_forecaster(host)
    forecaster.receive_report("n0", DemandReport(7, [report_of("n0", 1, 0, 5, until_ms=900)]))
    report_of_other_seat = report_of("n0", 1, 0, 99, until_ms=900)
    forecaster.receive_report("n1", DemandReport(8, [report_of_other_seat]))
    host.run_timers()
    assert not host.sent
    _, callback = host.submitted.pop()
    callback(NoMajorityError("forecast"))
    assert not host.sent, "the outcome of the update is unknown"
    host.run_timers()
    state, callback = host.submitted.pop()
    callback(COMPLETED)
    assert [(seat, ack.serial) for seat, ack in host.sent] == [("n0", 7), ("n1", 8)]
    stored = decode_ledger(state, ZONES).open_buckets[START_MS // BUCKET_MS]["n0", 1]
    assert stored.counts[ROUTE].requests == 5


def test_former_leader_ignores_reports() -> None:
    host = FakeHost()
    forecaster = start_forecaster(host)
    forecaster.stop(None)
    forecaster.receive_report("n0", DemandReport(9, []))
    host.run_timers()
    assert not host.submitted


def test_either_all_or_no_histories_are_imported() -> None:
    host, outcomes = FakeHost(), list[Any]()
    forecaster = start_forecaster(host, max_routes=2)
    forecaster.import_history([ImportedHistory(KEY, 5, [1], 0.0, 0.0)], outcomes.append)
    assert isinstance(outcomes.pop(), ForecastNotReadyError)
    forecaster.receive_report("n0", DemandReport(7, [report_of("n0", 1, 0, 5)]))
    first_hour = START_MS // HOUR_MS - 3
    valid = ImportedHistory(KEY, first_hour, [1, 2, 3], 0.0, 0.0)
    overlapping = ImportedHistory(RouteKey("acme", 1, "b", "z"), first_hour, [1] * 4, 0.0, 0.0)
    too_many = [
        ImportedHistory(RouteKey("acme", 1, f"r{index}", "z"), first_hour, [1], 0.0, 0.0)
        for index in range(3)
    ]
    for histories in ([valid, overlapping], [valid, valid], too_many):
        forecaster.import_history(histories, outcomes.append)
        assert isinstance(outcomes.pop(), InvalidHistoryError)
        assert not forecaster.ledger.series
        assert not host.submitted
    forecaster.import_history([valid], outcomes.append)
    host.submitted.pop()[1](COMPLETED)
    assert outcomes == [None]
    assert list(forecaster.ledger.series[ROUTE].requests) == [1, 2, 3]


def test_damaged_state_is_not_overwritten_and_is_reported_to_operators() -> None:
    """The replicated state is damaged. A leader that started with an empty ledger would overwrite a state that may be
    repairable."""
    host = FakeHost(b"nonsense")
    forecaster = start_forecaster(host)
    forecaster.receive_report("n0", DemandReport(7, [report_of("n0", 1, 0, 5)]))
    host.run_timers()
    assert not host.submitted
    assert not host.sent
    with pytest.raises(CorruptLedgerError, match="can't be read"):
        forecaster.document("")


def test_each_error_has_a_remedy_and_is_on_the_page_for_on_call_staff() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operate" / "forecast.md").read_text()
    assert {*ERRORS} == set(ForecastError.__subclasses__())
    for error_type in ERRORS:
        assert error_type.remedy
        assert error_type.status in (400, 409, 503)
        assert f"| `{error_type.kind}` |" in page
