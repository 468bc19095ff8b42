"""The leader of the forecast: what it acknowledges, what it imports, and what it does with a state it can't read."""

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


class StateUpdates:
    """The lease and the process of a forecaster. State updates wait until the test says what became of them."""

    name, record = "forecast", None

    def __init__(self, state: bytes = b"") -> None:
        self.state = state
        self.submitted: list[tuple[bytes, Callable[[Outcome], None]]] = []
        self.sent: list[tuple[str, ReportAck]] = []
        self._alarms: list[Callable[[], None]] = []

    def submit(self, effect: Any, callback: Callable[[Outcome], None]) -> None:
        self.submitted.append((effect.state, callback))

    def send_to_member(self, seat: str, message: ReportAck) -> None:
        self.sent.append((seat, message))

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        self._alarms.append(action)

    def clock(self) -> int:
        return 0

    def unix_ms(self) -> int:
        return START_MS + 1_000

    def count(self, name: str) -> None:
        return None

    def ended(self, worker: Forecaster) -> None:
        return None

    def pass_time(self) -> None:
        """Everything that waits for a later time is done."""
        alarms, self._alarms = self._alarms, []
        for action in alarms:
            action()


def started(host: StateUpdates, **policy: Any) -> Forecaster:
    forecaster = Forecaster(host, host, ForecastPolicy(enabled=True, **policy), ZONES)  # type: ignore[arg-type]
    forecaster.start()
    return forecaster


def test_reports_are_acknowledged_once_a_majority_has_them_and_not_before() -> None:
    """No majority answers the first update. If the reports were acknowledged all the same, their runners would forget
    counts that the next leader has not got."""
    host = StateUpdates()
    forecaster = started(host)
    forecaster.receive_report("n0", DemandReport(7, [report_of("n0", 1, 0, 5, until_ms=900)]))
    of_another_seat = report_of("n0", 1, 0, 99, until_ms=900)
    forecaster.receive_report("n1", DemandReport(8, [of_another_seat]))
    host.pass_time()
    assert not host.sent
    _, callback = host.submitted.pop()
    callback(NoMajorityError("forecast"))
    assert not host.sent, "it may not have come about"
    host.pass_time()
    state, callback = host.submitted.pop()
    callback(COMPLETED)
    assert [(seat, ack.serial) for seat, ack in host.sent] == [("n0", 7), ("n1", 8)]
    stored = decode_ledger(state, ZONES).open_buckets[START_MS // BUCKET_MS]["n0", 1]
    assert stored.counts[ROUTE].requests == 5


def test_a_former_leader_takes_no_reports() -> None:
    host = StateUpdates()
    forecaster = started(host)
    forecaster.stop(None)
    forecaster.receive_report("n0", DemandReport(9, []))
    host.pass_time()
    assert not host.submitted


def test_histories_are_imported_all_or_none() -> None:
    host, outcomes = StateUpdates(), list[Any]()
    forecaster = started(host, max_routes=2)
    forecaster.import_history([ImportedHistory(KEY, 5, [1], 0.0, 0.0)], outcomes.append)
    assert isinstance(outcomes.pop(), ForecastNotReadyError)
    forecaster.receive_report("n0", DemandReport(7, [report_of("n0", 1, 0, 5)]))
    first_hour = START_MS // HOUR_MS - 3
    good = ImportedHistory(KEY, first_hour, [1, 2, 3], 0.0, 0.0)
    overlapping = ImportedHistory(RouteKey("acme", 1, "b", "z"), first_hour, [1] * 4, 0.0, 0.0)
    too_many = [
        ImportedHistory(RouteKey("acme", 1, f"r{index}", "z"), first_hour, [1], 0.0, 0.0)
        for index in range(3)
    ]
    for histories in ([good, overlapping], [good, good], too_many):
        forecaster.import_history(histories, outcomes.append)
        assert isinstance(outcomes.pop(), InvalidHistoryError)
        assert not forecaster.ledger.series
        assert not host.submitted
    forecaster.import_history([good], outcomes.append)
    host.submitted.pop()[1](COMPLETED)
    assert outcomes == [None]
    assert list(forecaster.ledger.series[ROUTE].requests) == [1, 2, 3]


def test_a_state_that_can_not_be_read_is_left_as_it_is_and_reported_to_operators() -> None:
    """The replicated state is damaged. A leader that began anew would overwrite what may still be repaired."""
    host = StateUpdates(b"nonsense")
    forecaster = started(host)
    forecaster.receive_report("n0", DemandReport(7, [report_of("n0", 1, 0, 5)]))
    host.pass_time()
    assert not host.submitted
    assert not host.sent
    with pytest.raises(CorruptLedgerError, match="can't be read"):
        forecaster.document("")


def test_each_error_has_a_remedy_and_stands_on_the_page_for_on_call_staff() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operate" / "forecast.md").read_text()
    assert {*ERRORS} == set(ForecastError.__subclasses__())
    for error_type in ERRORS:
        assert error_type.remedy
        assert error_type.status in (400, 409, 503)
        assert f"| `{error_type.kind}` |" in page
