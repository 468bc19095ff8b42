"""Calls along customers' route paths: hops in order, limits, quotas, changing grants, isolation of customers."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from moorusher.load_balancing.messages import (
    AttemptEnded,
    AttemptOutcome,
    CallCancelled,
    CallStarted,
    CancelAttempt,
    CompleteCall,
    EndpointRemoved,
    SendAttempt,
    TimerFired,
)
from moorusher.load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from moorusher.namespaces.current_revisions import CurrentRevisions
from moorusher.namespaces.rules import RequestAttributes
from moorusher.routing.grants import Grants, Pool
from moorusher.routing.route import Hop, RouteKey, RoutePath, decide_route
from moorusher.routing.route_balancers import MAX_BALANCERS
from moorusher.routing.route_table import RouteTable
from moorusher.scheduling.interface import Effect

S = 1_000_000
GRANTS = Grants(
    {"acme": frozenset({"a1", "a2"}), "bolt": frozenset({"b1"})},
    {"acme": {"shared": 0.5}, "bolt": {"shared": 0.25}},
    {"shared": Pool("shared", ("p1",), 4)},
)
POLICY = LoadBalancingPolicy(
    hedging_enabled=False,
    base_backoff_ms=0.0,
    max_backoff_ms=0.0,
    min_retries_per_s=100.0,
    max_queued_calls=0,
)


def route_table(grants: Grants = GRANTS, policy: LoadBalancingPolicy = POLICY) -> RouteTable:
    servers = [EndpointConfig(n, ("127.0.0.1", 1)) for n in ("a1", "a2", "b1", "p1", "free")]
    return RouteTable(servers, policy, "r", random.Random(1).random, 0, grants)


def hop(route: str, *servers: str, pool: str = "", max_in_flight: int = 0, max_attempts: int = 1) -> Hop:
    return Hop(route, tuple((s, 1) for s in servers), pool, max_in_flight, max_attempts)


def path(*hops: Hop, customer: str = "acme", incarnation: int = 1) -> RoutePath:
    return RoutePath(customer, incarnation, hops)


def sent(effects: list[Any]) -> list[str]:
    return [e.endpoint for e in effects if isinstance(e, SendAttempt)]


def call(
    w: RouteTable, number: int, to: RoutePath | None, effect: Effect = Effect.IDEMPOTENT, now: int = 0
) -> list[Any]:
    return w.handle(CallStarted(now, number, effect, now + 10 * S), to)


def attempt(effects: list[Any]) -> int:
    return next(e.attempt_id for e in effects if isinstance(e, SendAttempt))


def test_requests_without_rules_go_to_servers_that_are_granted_to_nobody() -> None:
    w = route_table()
    assert {sent(call(w, n, None))[0] for n in range(5)} == {"free"}


def test_a_route_reaches_what_is_granted_and_nothing_else() -> None:
    w = route_table()
    assert sent(call(w, 1, path(hop("main", "b1", "a2", "free", "nowhere")))) == ["a2"]
    assert call(w, 2, path(hop("main", "b1"))) == [CompleteCall(2, 0, AttemptOutcome.REJECTED)]
    assert call(w, 3, path(hop("main", pool="shared"), customer="nobody")) == [
        CompleteCall(3, 0, AttemptOutcome.REJECTED)
    ]
    assert sent(call(w, 4, path(hop("main", pool="shared"), customer="bolt"))) == ["p1"]


@pytest.mark.parametrize(
    ("end", "effect", "goes_on"),
    [
        (AttemptOutcome.NOT_CONNECTED, Effect.IDEMPOTENT_WITH_KEY, True),
        (AttemptOutcome.REJECTED, Effect.NOT_IDEMPOTENT, True),
        (AttemptOutcome.FAILED, Effect.IDEMPOTENT, True),
        (AttemptOutcome.FAILED, Effect.IDEMPOTENT_WITH_KEY, False),
        (AttemptOutcome.FAILED, Effect.NOT_IDEMPOTENT, False),
        (AttemptOutcome.ANSWERED, Effect.IDEMPOTENT, False),
        (AttemptOutcome.NOT_AWAITED, Effect.IDEMPOTENT, False),
    ],
)
def test_a_call_uses_the_next_hop_only_where_nothing_ran_or_it_may_run_twice(
    end: AttemptOutcome, effect: Effect, goes_on: bool
) -> None:
    w = route_table()
    first = attempt(call(w, 1, path(hop("main", "a1"), hop("spare", pool="shared")), effect))
    then = w.handle(AttemptEnded(1_000, first, end))
    assert sent(then) == (["p1"] if goes_on else [])
    assert [e for e in then if isinstance(e, CompleteCall)] == (
        [] if goes_on else [CompleteCall(1, first, end)]
    )
    if goes_on:
        last = attempt(then)
        assert w.handle(AttemptEnded(2_000, last, AttemptOutcome.FAILED)) == [
            CompleteCall(1, last, AttemptOutcome.FAILED)
        ], "there is no further hop"
    assert (
        not w.open_calls
        and not w._limits.in_flight
        and not w._limits.in_flight_in_pool
        and not w._balancer_of
    )


def test_a_call_past_its_deadline_uses_no_further_hop() -> None:
    w = route_table()
    first = attempt(
        w.handle(
            CallStarted(0, 1, Effect.IDEMPOTENT, S), path(hop("main", "a1"), hop("spare", pool="shared"))
        )
    )
    assert w.handle(AttemptEnded(S - 1_000, first, AttemptOutcome.NOT_CONNECTED)) == [
        CompleteCall(1, first, AttemptOutcome.NOT_CONNECTED)
    ]


def test_attempts_on_a_route_are_as_many_as_it_allows() -> None:
    w = route_table()
    first = call(w, 1, path(hop("main", "a1", "a2", max_attempts=2), hop("spare", pool="shared")))
    again = w.handle(AttemptEnded(1_000, attempt(first), AttemptOutcome.NOT_CONNECTED)) + w.handle(
        TimerFired(2_000)
    )
    assert {*sent(first), *sent(again)} == {"a1", "a2"}, "the other server of the route"
    assert sent(w.handle(AttemptEnded(3_000, attempt(again), AttemptOutcome.NOT_CONNECTED))) == ["p1"]


def test_limits_of_a_route_and_quotas_of_a_pool_hold_and_are_released() -> None:
    w = route_table()
    limited = path(hop("main", "a1", max_in_flight=2), hop("spare", pool="shared"))
    calls = {n: call(w, n, limited) for n in range(1, 6)}
    assert [sent(calls[n]) for n in range(1, 6)] == [["a1"], ["a1"], ["p1"], ["p1"], []]
    assert calls[5] == [CompleteCall(5, 0, AttemptOutcome.REJECTED)], "its share is two of four"
    assert sent(call(w, 9, path(hop("x", pool="shared"), customer="bolt"))) == ["p1"], "bolt's is its own"
    assert call(w, 10, path(hop("x", pool="shared"), customer="bolt")) == [
        CompleteCall(10, 0, AttemptOutcome.REJECTED)
    ]
    assert [type(e) for e in w.handle(CallCancelled(5_000, 1))] == [CancelAttempt]
    w.handle(AttemptEnded(5_000, attempt(calls[3]), AttemptOutcome.ANSWERED))
    assert sent(call(w, 6, limited)) == ["a1"] and sent(call(w, 7, limited)) == ["p1"]


def test_what_one_customers_calls_have_met_decides_nothing_for_anothers_nor_for_one_made_anew() -> None:
    w = route_table(
        policy=LoadBalancingPolicy(
            hedging_enabled=False,
            consecutive_failures=2,
            max_ejected_fraction=1.0,
            panic_threshold=0.0,
            retry_budget_ratio=0.0,
            min_retries_per_s=0.0,
            max_queued_calls=0,
        )
    )
    mine, theirs = path(hop("main", pool="shared")), path(hop("main", pool="shared"), customer="bolt")
    for n in range(1, 6):
        effects = call(w, n, mine, now=n)
        if sent(effects):
            w.handle(AttemptEnded(n, attempt(effects), AttemptOutcome.FAILED))
    label = RouteKey("acme", 1, "main")
    assert w.balancers._by_route[label].endpoints.ejection.ejections >= 1
    assert (
        sent(call(w, 20, theirs, now=20)) == ["p1"]
        and not w.balancers._by_route[RouteKey("bolt", 1, "main")].endpoints.ejection.ejections
    )
    anew = path(hop("main", pool="shared"), incarnation=2)
    assert (
        sent(call(w, 21, anew, now=21)) == ["p1"]
        and not w.balancers._by_route[RouteKey("acme", 2, "main")].endpoints.ejection.ejections
    )


def test_a_server_whose_grant_ends_is_not_called_by_that_customer() -> None:
    w = route_table()
    to = path(hop("main", "a1", "a2"))
    assert sent(call(w, 1, to)) and sent(call(w, 2, None)) == ["free"]
    w.balancers.set_grants(1_000, Grants({"acme": frozenset({"a2"})}))
    assert {sent(call(w, n, to, now=2_000))[0] for n in range(3, 12)} == {"a2"}
    assert set(w.balancers.default.endpoints.by_name) == {"a1", "b1", "p1", "free"}
    assert w.handle(EndpointRemoved(3_000, "a2")) and call(w, 30, to, now=4_000) == [
        CompleteCall(30, 0, AttemptOutcome.REJECTED)
    ]


def test_a_new_revisions_weights_hold_from_the_next_call_on() -> None:
    w = route_table()
    assert sent(call(w, 1, path(Hop("main", (("a1", 1), ("a2", 0)), "", 0, 1)))) == ["a1"]
    later = path(Hop("main", (("a1", 0), ("a2", 3)), "", 0, 1))
    assert {sent(call(w, n, later))[0] for n in range(2, 9)} == {"a2"}


def test_routes_that_are_not_used_are_forgotten_and_those_with_calls_are_not() -> None:
    w = route_table()
    kept = call(w, 1, path(hop("main", "a1"), incarnation=0))
    for incarnation in range(1, MAX_BALANCERS + 300):
        effects = call(w, 2, path(hop("main", "a1"), incarnation=incarnation))
        w.handle(AttemptEnded(0, attempt(effects), AttemptOutcome.ANSWERED))
    assert len(w.balancers._by_route) <= MAX_BALANCERS
    assert w.handle(AttemptEnded(1, attempt(kept), AttemptOutcome.ANSWERED)) == [
        CompleteCall(1, attempt(kept), AttemptOutcome.ANSWERED)
    ]


def test_a_routing_decision_is_a_value_of_its_revision() -> None:
    customers = CurrentRevisions()
    draft = {
        "default": "main",
        "routes": {
            "main": {"servers": {"a1": 1}, "tries": 3, "fall_back": "spare"},
            "spare": {"pool": "shared", "limit": 7},
        },
        "rules": {"no": {"match": {"class": ["admin"]}, "refuse": "not here"}},
    }
    found = customers.install_draft("acme", (4, 2), json.dumps(draft).encode(), None)
    ruled = decide_route(found, RequestAttributes("check"))
    customers.delete("acme", (4, 3))
    assert ruled.path == path(
        hop("main", "a1", max_attempts=3), hop("spare", pool="shared", max_in_flight=7), incarnation=4
    )
    refused = decide_route(found, RequestAttributes("admin"))
    assert (refused.refusal, refused.path, refused.rule, refused.revision_id) == (
        "not here",
        None,
        "no",
        (4, 2),
    )
