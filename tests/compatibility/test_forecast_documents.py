"""Documents of the forecast's leader, including routes that can't be forecast and the names of models.

Guards against a document whose keys or texts change with names in the code: `moorusher forecast show` of an earlier
build would fail on it, and programs that start runners would not find the scaling hints.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from moorusher.admin import forecast as admin_forecast
from moorusher.forecast_service import forecaster
from moorusher.forecasting import demand_counts, demand_ledger, ledger_codec, models, policy, weekly_forecast
from moorusher.leadership.effects import Completed
from moorusher.leadership.fencing_token import FencingToken

from .golden import assert_golden

# ---- adapters: only this section uses the program's names ----

MODEL_NAMES = list(models.MODELS)
ZONES = {"n1": "a", "n2": "b", "n3": "c"}
HOUR_MS, BUCKET_MS, BUCKETS_PER_HOUR = (
    demand_counts.HOUR_MS,
    demand_counts.BUCKET_MS,
    demand_counts.BUCKETS_PER_HOUR,
)
Forecaster = forecaster.Forecaster
POLICY = policy.ForecastPolicy(enabled=True, scaling=policy.ScalingPolicy(receiver=("127.0.0.1", 9300)))


HistoryBodies = list[admin_forecast._HistoryBody]
INVALID_BODIES = (
    "{}",
    '[{"asked":[1]}]',
    '[{"first_hour":1}]',
    '[{"first_hour":1,"asked":[]}]',
    '[{"first_hour":1,"asked":[-1]}]',
    '[{"first_hour":1,"asked":[4294967296]}]',
    '[{"first_hour":-1,"asked":[1]}]',
    '[{"first_hour":100000001,"asked":[1]}]',
    '[{"first_hour":1,"asked":[1],"born":-1}]',
    '[{"first_hour":1,"asked":[1],"worth":"x"}]',
    '[{"first_hour":1,"asked":[1],"worth":1e10}]',
    '[{"first_hour":1,"asked":[1],"core_ms":1e8}]',
    '[{"first_hour":1,"asked":[1],"customer":1}]',
    '[{"first_hour":1,"asked":[1],"route":1}]',
    '[{"first_hour":1,"asked":[1],"zone":1}]',
    '[{"first_hour":1,"asked":[1],"odd":1}]',
)


def encode_key(customer: str, route: str, zone: str) -> str:
    return demand_counts.encode_key(demand_counts.RouteKey(customer, 0, route, zone))


def encode_state(histories: list[tuple[str, int, list[int], float, float]], first_bucket: int) -> bytes:
    """Return the stored state of a duty with imported histories and one empty bucket of its own."""
    ledger = demand_ledger.DemandLedger(ZONES)
    start_ms = first_bucket * BUCKET_MS
    ledger.record(demand_counts.BucketCounts("n1", 1, "a", first_bucket, start_ms, start_ms + 1, {}))
    for history in histories:
        ledger.import_history(*history)
    return ledger_codec.encode_ledger(ledger)


class ImmediateLease:
    """Lease and process of a forecaster that complete effects at once and calculate forecasts in this thread."""

    def __init__(self, state: bytes, now_ms: int) -> None:
        self.record = SimpleNamespace(term=3)
        self.state, self.now_ms = state, now_ms
        self.effects: list[Any] = []
        self.counters: list[str] = []

    def submit(self, effect: Any, callback: Callable[[Any], None]) -> None:
        self.effects.append(effect)
        callback(Completed(FencingToken(1, 1, 2)))

    def unix_ms(self) -> int:
        return self.now_ms

    def clock(self) -> int:
        return 0

    def at(self, when: int, action: Any) -> None:
        return None

    def count(self, name: str) -> None:
        self.counters.append(name)

    def running_by_zone(self) -> Mapping[str, int]:
        return {"a": 1}

    def calculate_forecast(
        self, series: Any, customers: Any, first_hour: int, callback: Callable[[Any], None]
    ) -> None:
        callback(weekly_forecast.forecast_week(series, customers, first_hour, {}))


def test_the_names_of_models_are_unchanged() -> None:
    assert_golden("forecast_models", MODEL_NAMES)


def test_the_leaders_documents_and_hints_are_unchanged() -> None:
    """The histories, of eight weeks or of 30 hours, are constant, so that all machines calculate the same numbers."""
    hour = 472_000
    state = encode_state(
        [
            (encode_key("acme", "main", "a"), hour - 8 * 168, [40] * 8 * 168, 200_000_000.0, 2.0),
            (encode_key("bolt", "", "a"), hour - 8 * 168, [20] * 8 * 168, 1_000_000.0, 0.5),
            (encode_key("acme", "new", "b"), hour - 30, [40] * 30, 200_000_000.0, 2.0),
            (encode_key("cord", "main", "c"), hour - 8 * 168, [9] * 8 * 168, 0.0, 2.0),
        ],
        hour * BUCKETS_PER_HOUR,
    )
    lease = ImmediateLease(state, hour * HOUR_MS + 1)
    leader = Forecaster(lease, lease, POLICY, ZONES)  # type: ignore[arg-type]
    leader.start()
    documents = {customer: leader.document(customer) for customer in ("", "acme", "nobody")}
    for document in documents.values():
        for route in document["routes"]:
            route["hours"] = [len(route["hours"]), *sorted(set(route["hours"]))]
    assert_golden(
        "forecast_documents",
        {
            "documents": documents,
            "requests": [[effect.receiver, msgspec.json.decode(effect.body)] for effect in lease.effects],
            "counters": lease.counters,
        },
    )


def test_the_errors_for_invalid_histories_are_unchanged() -> None:
    messages = {}
    for body in INVALID_BODIES:
        with pytest.raises(msgspec.MsgspecError) as raised:
            msgspec.json.decode(body, type=HistoryBodies)
        messages[body] = str(raised.value)
    assert_golden("forecast_bodies", messages)
