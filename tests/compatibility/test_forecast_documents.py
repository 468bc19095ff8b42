"""What the owner of the forecast answers, with routes that can't be forecast, and the names of models in it.

Guards against a document whose keys or texts change with the names of the code: `moorusher forecast show` of an earlier
build would fail on it, and whoever starts runners would not find its hints.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any

import msgspec

from moorusher.forecast_service import forecaster
from moorusher.forecasting import demand, ledger, models, policy, week
from moorusher.leadership.effects import Completed
from moorusher.leadership.fencing_token import FencingToken

from .golden import assert_golden

# ---- the names of the program, once ----

MODEL_NAMES = list(models.MODELS)
ZONES = {"n1": "a", "n2": "b", "n3": "c"}
HOUR_MS = demand.BUCKET_MS * demand.HOUR_BUCKETS
Scaling, Policy, Forecaster = policy.Scaling, policy.Policy, forecaster.Forecaster


def name_of(customer: str, route: str, zone: str) -> str:
    return demand.pack_key(demand.Key(customer, 0, route, zone))


def state_with(pasts: list[tuple[str, int, list[int], float, float]], first_bucket: int) -> bytes:
    """The stored state of a duty that has counted nothing itself but the bucket of `first_bucket`."""
    kept = ledger.Ledger(ZONES)
    start = first_bucket * demand.BUCKET_MS
    kept.take(demand.Part("n1", 1, "a", first_bucket, start, start + 1, {}))
    for past in pasts:
        kept.load(*past)
    return kept.pack()


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

    def running(self) -> Mapping[str, int]:
        return {"a": 1}

    def work_out(self, series: Any, customers: Any, last: int, callback: Callable[[Any], None]) -> None:
        callback(week.week_ahead(series, customers, last, {}))


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
        hour * demand.HOUR_BUCKETS,
    )
    owner = Owner(state, hour * HOUR_MS + 1)
    worker = Forecaster(owner, owner, Policy(on=True, scaling=Scaling(to=("127.0.0.1", 9300))), ZONES)  # type: ignore[arg-type]
    worker.start()
    documents = {customer: worker.told(customer) for customer in ("", "acme", "nobody")}
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
