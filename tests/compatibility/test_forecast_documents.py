"""What the owner of the forecast answers, with routes that can't be forecast, and the names of models in it.

Guards against a document whose keys or texts change with the names of the code: `moorusher forecast show` of an earlier
build would fail on it, and whoever starts runners would not find its hints.
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

# ---- the names of the program, once ----

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
FAULTY_BODIES = (
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


def name_of(customer: str, route: str, zone: str) -> str:
    return demand_counts.encode_key(demand_counts.RouteKey(customer, 0, route, zone))


def state_with(pasts: list[tuple[str, int, list[int], float, float]], first_bucket: int) -> bytes:
    """The stored state of a duty that has counted nothing itself but the bucket of `first_bucket`."""
    ledger = demand_ledger.DemandLedger(ZONES)
    start = first_bucket * BUCKET_MS
    ledger.record(demand_counts.BucketCounts("n1", 1, "a", first_bucket, start, start + 1, {}))
    for past in pasts:
        ledger.import_history(*past)
    return ledger_codec.encode_ledger(ledger)


class Owner:
    """Lease and process of a forecaster: effects are done at once, and forecasts worked out in this thread."""

    def __init__(self, state: bytes, now_ms: int) -> None:
        self.record = SimpleNamespace(term=3)
        self.state, self.now_ms = state, now_ms
        self.requests: list[Any] = []
        self.counters: list[str] = []

    def submit(self, effect: Any, callback: Callable[[Any], None]) -> None:
        self.requests.append(effect)
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


def test_models_have_the_same_names() -> None:
    assert_golden("forecast_models", MODEL_NAMES)


def test_the_owners_document_and_its_hints_are_the_same() -> None:
    """Of eight weeks with as many requests in each hour, whose figures are the same everywhere."""
    hour = 472_000
    state = state_with(
        [
            (name_of("acme", "main", "a"), hour - 8 * 168, [40] * 8 * 168, 200_000_000.0, 2.0),
            (name_of("bolt", "", "a"), hour - 8 * 168, [20] * 8 * 168, 1_000_000.0, 0.5),
            (name_of("acme", "new", "b"), hour - 30, [40] * 30, 200_000_000.0, 2.0),
            (name_of("cord", "main", "c"), hour - 8 * 168, [9] * 8 * 168, 0.0, 2.0),
        ],
        hour * BUCKETS_PER_HOUR,
    )
    owner = Owner(state, hour * HOUR_MS + 1)
    worker = Forecaster(owner, owner, POLICY, ZONES)  # type: ignore[arg-type]
    worker.start()
    documents = {customer: worker.document(customer) for customer in ("", "acme", "nobody")}
    for document in documents.values():
        for route in document["routes"]:
            route["hours"] = [len(route["hours"]), *sorted(set(route["hours"]))]
    assert_golden(
        "forecast_documents",
        {
            "documents": documents,
            "requests": [[one.receiver, msgspec.json.decode(one.body)] for one in owner.requests],
            "counters": owner.counters,
        },
    )


def test_a_faulty_history_is_answered_with_the_same_text() -> None:
    texts = {}
    for body in FAULTY_BODIES:
        with pytest.raises(msgspec.MsgspecError) as raised:
            msgspec.json.decode(body, type=HistoryBodies)
        texts[body] = str(raised.value)
    assert_golden("forecast_bodies", texts)
