"""Calls along customers' route paths: order of hops, limits, quotas, changes of grants, isolation of customers."""

from __future__ import annotations

import json
import random
from dataclasses import replace
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
    MembershipChanged,
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


# An endpoint serves two calls at once; further ones wait.
QUEUEING_POLICY = replace(POLICY, max_concurrency=2, max_queued_calls=8)


def route_table(grants: Grants = GRANTS, policy: LoadBalancingPolicy = POLICY) -> RouteTable:
    servers = [EndpointConfig(n, ("127.0.0.1", 1)) for n in ("a1", "a2", "b1", "p1", "free")]
    return RouteTable(servers, policy, "r", random.Random(1).random, 0, grants)


def hop(route: str, *servers: str, pool: str = "", max_in_flight: int = 0, max_attempts: int = 1) -> Hop:
    return Hop(route, tuple((s, 1) for s in servers), pool, max_in_flight, max_attempts)


def path(*hops: Hop, customer: str = "acme", incarnation: int = 1) -> RoutePath:
    return RoutePath(customer, incarnation, hops)


def endpoints_of(instructions: list[Any]) -> list[str]:
    return [e.endpoint for e in instructions if isinstance(e, SendAttempt)]


def start_call(
    table: RouteTable,
    call_id: int,
    route_path: RoutePath | None,
    effect: Effect = Effect.IDEMPOTENT,
    now: int = 0,
) -> list[Any]:
    return table.handle(CallStarted(now, call_id, effect, now + 10 * S), route_path)


def attempt_id_of(instructions: list[Any]) -> int:
    return next(e.attempt_id for e in instructions if isinstance(e, SendAttempt))


def test_requests_without_rules_use_servers_that_are_granted_to_no_customer() -> None:
    table = route_table()
    assert {endpoints_of(start_call(table, n, None))[0] for n in range(5)} == {"free"}


def test_a_route_uses_only_granted_servers_and_pools() -> None:
    table = route_table()
    assert endpoints_of(start_call(table, 1, path(hop("main", "b1", "a2", "free", "nowhere")))) == ["a2"]
    assert start_call(table, 2, path(hop("main", "b1"))) == [CompleteCall(2, 0, AttemptOutcome.REJECTED)]
    assert start_call(table, 3, path(hop("main", pool="shared"), customer="nobody")) == [
        CompleteCall(3, 0, AttemptOutcome.REJECTED)
    ]
    assert endpoints_of(start_call(table, 4, path(hop("main", pool="shared"), customer="bolt"))) == ["p1"]


@pytest.mark.parametrize(
    ("outcome", "effect", "uses_next_hop"),
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
def test_a_call_uses_the_next_hop_only_if_nothing_ran_or_it_may_run_twice(
    outcome: AttemptOutcome, effect: Effect, uses_next_hop: bool
) -> None:
    table = route_table()
    first = attempt_id_of(start_call(table, 1, path(hop("main", "a1"), hop("spare", pool="shared")), effect))
    instructions = table.handle(AttemptEnded(1_000, first, outcome))
    assert endpoints_of(instructions) == (["p1"] if uses_next_hop else [])
    assert [e for e in instructions if isinstance(e, CompleteCall)] == (
        [] if uses_next_hop else [CompleteCall(1, first, outcome)]
    )
    if uses_next_hop:
        last = attempt_id_of(instructions)
        assert table.handle(AttemptEnded(2_000, last, AttemptOutcome.FAILED)) == [
            CompleteCall(1, last, AttemptOutcome.FAILED)
        ], "the path has no other hop"
    assert (
        not table.open_calls
        and not table._limits.in_flight
        and not table._limits.in_flight_in_pool
        and not table._balancer_of
    )


def test_a_call_close_to_its_deadline_uses_no_other_hop() -> None:
    table = route_table()
    first = attempt_id_of(
        table.handle(
            CallStarted(0, 1, Effect.IDEMPOTENT, S), path(hop("main", "a1"), hop("spare", pool="shared"))
        )
    )
    assert table.handle(AttemptEnded(S - 1_000, first, AttemptOutcome.NOT_CONNECTED)) == [
        CompleteCall(1, first, AttemptOutcome.NOT_CONNECTED)
    ]


def test_a_hop_makes_at_most_its_maximum_number_of_attempts() -> None:
    table = route_table()
    first = start_call(table, 1, path(hop("main", "a1", "a2", max_attempts=2), hop("spare", pool="shared")))
    second = table.handle(
        AttemptEnded(1_000, attempt_id_of(first), AttemptOutcome.NOT_CONNECTED)
    ) + table.handle(TimerFired(2_000))
    assert {*endpoints_of(first), *endpoints_of(second)} == {"a1", "a2"}, (
        "the retry uses the other server of the route"
    )
    assert endpoints_of(
        table.handle(AttemptEnded(3_000, attempt_id_of(second), AttemptOutcome.NOT_CONNECTED))
    ) == ["p1"]


def test_route_limits_and_pool_quotas_are_enforced_and_released() -> None:
    table = route_table()
    limited = path(hop("main", "a1", max_in_flight=2), hop("spare", pool="shared"))
    calls = {n: start_call(table, n, limited) for n in range(1, 6)}
    assert [endpoints_of(calls[n]) for n in range(1, 6)] == [["a1"], ["a1"], ["p1"], ["p1"], []]
    assert calls[5] == [CompleteCall(5, 0, AttemptOutcome.REJECTED)], "acme's pool quota is 2 of 4"
    assert endpoints_of(start_call(table, 9, path(hop("x", pool="shared"), customer="bolt"))) == ["p1"], (
        "bolt has a separate quota"
    )
    assert start_call(table, 10, path(hop("x", pool="shared"), customer="bolt")) == [
        CompleteCall(10, 0, AttemptOutcome.REJECTED)
    ]
    assert [type(e) for e in table.handle(CallCancelled(5_000, 1))] == [CancelAttempt]
    table.handle(AttemptEnded(5_000, attempt_id_of(calls[3]), AttemptOutcome.ANSWERED))
    assert endpoints_of(start_call(table, 6, limited)) == ["a1"] and endpoints_of(
        start_call(table, 7, limited)
    ) == ["p1"]


def test_ejections_of_one_customer_do_not_affect_another_customer_or_a_recreated_namespace() -> None:
    table = route_table(
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
    acme_path = path(hop("main", pool="shared"))
    bolt_path = path(hop("main", pool="shared"), customer="bolt")
    for n in range(1, 6):
        instructions = start_call(table, n, acme_path, now=n)
        if endpoints_of(instructions):
            table.handle(AttemptEnded(n, attempt_id_of(instructions), AttemptOutcome.FAILED))
    acme_key = RouteKey("acme", 1, "main")
    assert table.balancers._by_route[acme_key].endpoints.ejection.ejections >= 1
    assert (
        endpoints_of(start_call(table, 20, bolt_path, now=20)) == ["p1"]
        and not table.balancers._by_route[RouteKey("bolt", 1, "main")].endpoints.ejection.ejections
    )
    recreated_path = path(hop("main", pool="shared"), incarnation=2)
    assert (
        endpoints_of(start_call(table, 21, recreated_path, now=21)) == ["p1"]
        and not table.balancers._by_route[RouteKey("acme", 2, "main")].endpoints.ejection.ejections
    )


def test_a_customer_does_not_call_a_server_after_its_grant_has_ended() -> None:
    table = route_table()
    route_path = path(hop("main", "a1", "a2"))
    assert endpoints_of(start_call(table, 1, route_path)) and endpoints_of(start_call(table, 2, None)) == [
        "free"
    ]
    table.balancers.set_grants(1_000, Grants({"acme": frozenset({"a2"})}))
    assert {endpoints_of(start_call(table, n, route_path, now=2_000))[0] for n in range(3, 12)} == {"a2"}
    assert set(table.balancers.default.endpoints.by_name) == {"a1", "b1", "p1", "free"}
    assert table.handle(EndpointRemoved(3_000, "a2")) and start_call(table, 30, route_path, now=4_000) == [
        CompleteCall(30, 0, AttemptOutcome.REJECTED)
    ]


def test_waiting_calls_go_to_servers_that_are_granted_when_they_are_sent() -> None:
    """Calls that waited for a server were sent to it after it had become another customer's alone."""
    table = route_table(policy=QUEUEING_POLICY)
    route_path = path(hop("main", "a1"), hop("spare", "a2"))
    first, second = (attempt_id_of(start_call(table, n, route_path)) for n in (1, 2))
    assert not start_call(table, 3, route_path) and not start_call(table, 4, path(hop("main", "a1")))
    table.balancers.set_grants(1_000, Grants({"acme": frozenset({"a2"})}))
    changed = table.handle(MembershipChanged(1_000))
    assert endpoints_of(changed) == ["a2"] and CompleteCall(4, 0, AttemptOutcome.REJECTED) in changed
    ended = [table.handle(AttemptEnded(2_000, n, AttemptOutcome.ANSWERED)) for n in (first, second)]
    assert not [endpoint for instructions in ended for endpoint in endpoints_of(instructions)]


def test_a_waiting_call_is_sent_to_a_server_that_is_granted_meanwhile() -> None:
    table = route_table(Grants({"acme": frozenset({"a1"})}), QUEUEING_POLICY)
    route_path = path(hop("main", "a1", "a2"))
    for call_id in (1, 2):
        start_call(table, call_id, route_path)
    assert not start_call(table, 3, route_path)
    table.balancers.set_grants(1_000, Grants({"acme": frozenset({"a2"})}))
    assert endpoints_of(table.handle(MembershipChanged(1_000))) == ["a2"]


def test_a_call_that_may_have_run_is_not_reported_as_rejected_when_its_last_server_is_gone() -> None:
    policy = replace(QUEUEING_POLICY, base_backoff_ms=50.0, max_backoff_ms=50.0)
    table = route_table(policy=policy)
    instructions = start_call(table, 1, path(hop("main", "a1", max_attempts=3)))
    assert not table.handle(AttemptEnded(1_000, attempt_id_of(instructions), AttemptOutcome.FAILED))
    table.balancers.set_grants(2_000, Grants({}))
    assert table.handle(MembershipChanged(2_000)) == [CompleteCall(1, 0, AttemptOutcome.FAILED)]


def test_a_drained_server_gets_no_calls_of_routes_and_grants_that_come_later() -> None:
    """`servers drain` reached only the balancers that existed: the next new route sent its calls to the server."""
    table = route_table()
    assert table.balancers.drain("a1")
    assert endpoints_of(start_call(table, 1, path(hop("first", "a1", "a2")))) == ["a2"]
    assert endpoints_of(start_call(table, 2, path(hop("second", "a1"), hop("spare", "a2")))) == ["a2"]
    table.balancers.set_grants(1_000, Grants({}))
    assert "a1" not in {endpoints_of(start_call(table, n, None, now=2_000))[0] for n in range(3, 30)}
    table.balancers.set_grants(3_000, GRANTS)
    table.balancers.put(3_000, EndpointConfig("a1", ("127.0.0.1", 1)))
    assert endpoints_of(start_call(table, 40, path(hop("first", "a1")), now=4_000)) == ["a1"]


def test_the_weights_of_a_new_revision_apply_from_the_next_call() -> None:
    table = route_table()
    assert endpoints_of(start_call(table, 1, path(Hop("main", (("a1", 1), ("a2", 0)), "", 0, 1)))) == ["a1"]
    new_revision = path(Hop("main", (("a1", 0), ("a2", 3)), "", 0, 1))
    assert {endpoints_of(start_call(table, n, new_revision))[0] for n in range(2, 9)} == {"a2"}


def test_balancers_of_unused_routes_are_discarded_and_those_with_open_calls_are_not() -> None:
    table = route_table()
    in_flight = start_call(table, 1, path(hop("main", "a1"), incarnation=0))
    for incarnation in range(1, MAX_BALANCERS + 300):
        instructions = start_call(table, 2, path(hop("main", "a1"), incarnation=incarnation))
        table.handle(AttemptEnded(0, attempt_id_of(instructions), AttemptOutcome.ANSWERED))
    assert len(table.balancers._by_route) <= MAX_BALANCERS
    assert table.handle(AttemptEnded(1, attempt_id_of(in_flight), AttemptOutcome.ANSWERED)) == [
        CompleteCall(1, attempt_id_of(in_flight), AttemptOutcome.ANSWERED)
    ]


def test_a_routing_decision_does_not_change_when_its_namespace_is_deleted() -> None:
    customers = CurrentRevisions()
    draft = {
        "default": "main",
        "routes": {
            "main": {"servers": {"a1": 1}, "tries": 3, "fall_back": "spare"},
            "spare": {"pool": "shared", "limit": 7},
        },
        "rules": {"no": {"match": {"class": ["admin"]}, "refuse": "not here"}},
    }
    revision = customers.install_draft("acme", (4, 2), json.dumps(draft).encode(), None)
    decision = decide_route(revision, RequestAttributes("check"))
    customers.delete("acme", (4, 3))
    assert decision.path == path(
        hop("main", "a1", max_attempts=3), hop("spare", pool="shared", max_in_flight=7), incarnation=4
    )
    refusal = decide_route(revision, RequestAttributes("admin"))
    assert (refusal.refusal, refusal.path, refusal.rule, refusal.revision_id) == (
        "not here",
        None,
        "no",
        (4, 2),
    )
