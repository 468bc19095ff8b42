"""Reconfiguration while serving: plan, scheduler, core and file; an invalid file changes nothing."""

from __future__ import annotations

import copy
import errno
import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from moorusher.backends.database import MAX_IDLE_CONNECTIONS, DatabasePool
from moorusher.config import fleet as cluster_settings
from moorusher.config import model, platform_file, section
from moorusher.core.answer import Verdict
from moorusher.core.outcomes import EndReason
from moorusher.core.reconfiguration import NEW, plan
from moorusher.core.registration import InvalidArrival
from moorusher.core.requests import Arrival
from moorusher.frontends.jsonrpc_session import MAX_ERRORS, MAX_ERRORS_BEFORE_LEAVING, MAX_OPEN_REQUESTS
from moorusher.membership.policy import Seat
from moorusher.scheduling import Scheduler
from moorusher.scheduling import interface as api
from moorusher.server.connection_budget import (
    FIXED_DESCRIPTORS,
    IDLE_BACKEND_DIVISOR,
    MIN_CONSOLE_CONNECTIONS,
)
from moorusher.server.server import Service

from .helpers import KEYED, SAFE, done, only, opened, request, settings, started
from .stand_ins import SETTINGS
from .test_core import EngineHarness
from .test_fronts import connected_frontend, request_line, take_messages

FAST = replace(SAFE, name="fast", latency_objective_ms=300, deadline_ms=900)


def settings_with_classes(*listed: api.RequestClass, **more: Any) -> api.Settings:
    """Return default settings with these request classes; `more` overrides other settings."""
    return settings(classes=listed, **more)


# ---- the plan ----


@pytest.mark.parametrize(
    "new, positions, added, dropped, redefined",
    [
        ((SAFE, KEYED), (0, 1), (), (), ()),
        ((KEYED, SAFE), (1, 0), (), (), ()),
        ((SAFE, KEYED, FAST), (0, 1, NEW), ("fast",), (), ()),
        ((FAST, KEYED), (NEW, 1), ("fast",), ("read",), ()),
        ((replace(SAFE, latency_objective_ms=9), KEYED), (0, 1), (), (), ("read",)),
        ((replace(KEYED, effect=api.Effect.IDEMPOTENT), FAST), (1, NEW), ("fast",), ("read",), ("write",)),
    ],
)
def test_a_reconfiguration_maps_each_request_class_to_its_former_position(
    new: Any, positions: Any, added: Any, dropped: Any, redefined: Any
) -> None:
    reconfiguration = plan(settings(), settings_with_classes(*new))
    assert (
        reconfiguration.classes,
        reconfiguration.added,
        reconfiguration.dropped,
        reconfiguration.redefined,
    ) == (positions, added, dropped, redefined)
    assert reconfiguration.settings.classes == new and not reconfiguration.deferred


def test_changes_of_machine_limits_are_deferred_to_the_next_start_and_named() -> None:
    reconfiguration = plan(
        settings(), settings(cores=9, memory_kb=5.0, gauges=("x",), warming_up=True, drain_grace_ms=7.0)
    )
    assert reconfiguration.deferred == ("cores", "memory_kb", "gauges")
    assert reconfiguration.settings == replace(settings(), drain_grace_ms=7.0)


# ---- the scheduler ----


def reconfigure_scheduler(scheduler: Scheduler, now: float, new: api.Settings) -> None:
    """Apply new settings to a scheduler."""
    reconfiguration = plan(scheduler.state.settings, new)
    scheduler.step(
        now, [api.Reconfiguration(reconfiguration.settings, reconfiguration.classes, reconfiguration.tenants)]
    )


def test_learned_service_times_move_with_their_class_and_are_dropped_with_it() -> None:
    scheduler = opened()
    for i in range(4):
        scheduler.step(i * 100.0, [request(i, class_index=1)])
        scheduler.step(i * 100.0 + 80, done(i))
    service_time = scheduler.state.service_time
    tenant = scheduler.state.queue.tenants[0]
    learned = service_time.classes[1]
    ratio = tenant.max_cost_ratios[learned]
    reconfigure_scheduler(scheduler, 500, settings_with_classes(FAST, KEYED, SAFE))
    assert service_time.classes[1] is learned and tenant.max_cost_ratios == {learned: ratio}
    assert service_time.classes[0].request_class is FAST
    reconfigure_scheduler(scheduler, 510, settings_with_classes(SAFE, FAST))
    assert not scheduler.state.queue.tenants[0].max_cost_ratios
    reconfigure_scheduler(scheduler, 520, settings_with_classes(KEYED, SAFE))
    assert service_time.classes[0].request_class is KEYED and service_time.classes[0].run_ms != learned.run_ms


def test_a_queued_request_keeps_its_deadline_and_position_across_a_reconfiguration() -> None:
    """The deadline of a class is shortened while a request of the class is queued; the request keeps the old one."""
    scheduler = opened(cores=1, survivable_runs_per_core=1.0)
    assert started(scheduler.step(0, [request(1), request(2)])) == [1]
    reconfigure_scheduler(
        scheduler, 10, settings_with_classes(replace(SAFE, latency_objective_ms=50, deadline_ms=60), KEYED)
    )
    for now_ms in range(20, 400, 25):  # These times are after the new deadline and before the old one.
        assert not only(scheduler.step(now_ms, [api.Timer(0, (1.0,))]), api.Reject)
    assert started(scheduler.step(400, done(1))) == [2]


def test_queued_requests_of_a_removed_tenant_run_and_quotas_are_recomputed() -> None:
    """A tenant is removed while one of its requests is queued."""
    scheduler = opened(
        cores=1, survivable_runs_per_core=1.0, tenants=(api.Tenant(1, "a"), api.Tenant(1, "b"))
    )
    scheduler.step(0, [request(1, tenant=0), request(2, tenant=1)])
    reconfigure_scheduler(scheduler, 10, settings(tenants=(api.Tenant(3, "c"), api.Tenant(1, "a"))))
    assert [round(scheduler.state.queue.tenants[i].weight, 2) for i in (0, 1)] == [1.5, 0.5]
    assert started(scheduler.step(20, done(1))) == [2] and started(scheduler.step(30, done(2))) == []
    assert abs(scheduler.state.queue.active_weight) < 1e-9
    reconfigure_scheduler(scheduler, 40, settings(tenants=()))
    assert started(scheduler.step(50, [api.Request(3, 0, 10.0)])) == [3]


# ---- the core ----


def reconfigure_core(world: EngineHarness, new: api.Settings) -> None:
    """Apply new settings to the core, and finish the turn of the event loop."""
    world.core.reconfigure(plan(world.core.settings, new))
    world.turn()


def test_requests_in_flight_of_a_removed_class_are_served_and_new_ones_are_rejected() -> None:
    """A class is removed while one of its requests runs and another has just been read."""
    world = EngineHarness()
    world.submit("a", 1)
    world.turn()
    world.submit("b", 2, token="u")  # Read in the same turn of the event loop as the change.
    reconfigure_core(world, settings_with_classes(SAFE))
    assert world.runs() == ["a", "b"]
    world.submit("c", 3, klass="read", token=None)
    assert world.core.submit(Arrival("d", "write", b"x", token="t"), world, 4) is InvalidArrival.UNKNOWN_CLASS
    world.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    world.turn()
    assert (1, Verdict.SERVED) in world.verdicts()


def test_idempotency_keys_survive_the_removal_of_their_class_and_keep_the_longer_window() -> None:
    """A class is removed and added again. A retry with a key that was used before must not run again."""
    world = EngineHarness()
    world.submit("a", 1)
    world.turn()
    world.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    reconfigure_core(world, settings_with_classes(SAFE))
    world.wait(1000)
    # The class is added again, at another position.
    reconfigure_core(world, settings_with_classes(FAST, replace(KEYED, idempotency_window_ms=20_000), SAFE))
    world.now_ns += 15_000 * 1_000_000
    world.core.start_turn()
    world.turn()
    world.submit("b", 2)
    world.turn()
    assert world.runs() == ["a"] and world.verdicts()[-1] == (2, Verdict.SERVED)
    reconfigure_core(world, settings_with_classes(replace(KEYED, idempotency_window_ms=10), SAFE))
    world.submit("c", 3)
    world.turn()
    assert world.runs() == ["a"]


def test_a_retry_under_a_new_class_with_the_same_idempotency_key_does_not_run_again() -> None:
    """After a first request, a class with another name is added. A retry uses the new class and the same key."""
    world = EngineHarness()
    world.submit("a", 1)
    world.turn()
    reconfigure_core(world, settings_with_classes(SAFE, KEYED, replace(KEYED, name="write-next")))
    world.submit("b", 2, klass="write-next")
    world.turn()
    assert world.runs() == ["a"]
    world.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    world.turn()
    assert sorted(tag for tag, verdict in world.verdicts() if verdict is Verdict.SERVED) == [1, 2]


def test_a_request_that_waits_for_its_key_claim_keeps_its_class() -> None:
    """A class is removed while the claim of a request's idempotency key is not confirmed yet."""

    class UnresponsivePeer:
        """Ignores every call, so that the claim stays pending."""

        def __getattr__(self, kind: str) -> Any:
            return lambda *args: None

    world = EngineHarness()
    world.core.key_claims.peer = UnresponsivePeer()
    world.submit("a", 1)
    key = ("", "t")
    reconfigure_core(world, settings_with_classes(SAFE))
    world.core.key_claims.claim_granted(1, key)
    world.turn()
    assert world.runs() == ["a"]


def test_errors_for_a_removed_class_do_not_close_a_connection_with_a_request_in_flight() -> None:
    """A client continues to send requests of a removed class.

    The connection is closed after too many errors, but not before the answer to its request in flight.
    """
    world, _, connection, transport = connected_frontend()
    connection.dataReceived(request_line(1, "read", rid="r1"))
    world.turn()
    world.core.reconfigure(plan(world.core.settings, settings_with_classes(KEYED)))
    for i in range(2, 60):
        connection.dataReceived(request_line(i, "read"))
    assert not transport.disconnecting and not transport.half_closed
    # A client may know a new class before this runner does, so many errors are allowed before the connection is closed.
    for i in range(60, 60 + MAX_ERRORS_BEFORE_LEAVING + MAX_OPEN_REQUESTS):
        connection.dataReceived(request_line(i, "never existed"))
    assert (
        connection.leaving
        and sum("error" in message for message in take_messages(transport))
        == 58 + MAX_ERRORS_BEFORE_LEAVING + MAX_OPEN_REQUESTS
    )
    for i in range(200, 200 + MAX_ERRORS):
        connection.dataReceived(request_line(i, "never existed"))
    assert not transport.half_closed  # There were too many errors, but a request is in flight.
    take_messages(transport)
    world.core.execution.run_ended("r1", EndReason.RUN_SUCCEEDED, b"did")
    assert take_messages(transport)[-1]["id"] == 1 and transport.half_closed


# ---- the file ----

CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:8443",
    "kernel": "127.0.0.1:7300",
    "console": "127.0.0.1:8444",
    "seed": "ab",
    "stop_ms": 4000,
    "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 512},
    "settings": SETTINGS,
}


def cluster_config(*seats: Seat) -> cluster_settings.FleetConfig:
    """Return the configuration of a cluster with these members."""
    return cluster_settings.FleetConfig(("127.0.0.1", 1), "f", seats)


class ReloadableServer:
    """A server on an in-memory reactor that reads its configuration from `file`."""

    def __init__(self, fleet: cluster_settings.FleetConfig | None = None, **more: Any) -> None:
        self.fleet = fleet or cluster_settings.FleetConfig()
        self.config = CONFIG | more
        self.file = json.dumps(self.config).encode()
        self.service = Service(self.load(), MemoryReactorClock())  # type: ignore[no-untyped-call]

    def load(self, running: Any = None) -> model.Config:
        operator = model.OperatorConfig(fleet=self.fleet)
        return platform_file.parse_platform_file(self.file, {}, operator, running)

    def reload(self, text: str | bytes) -> bool:
        """Reload with this file; return whether it was applied, after checking that a rejected one changed nothing."""
        before = (
            self.service.config,
            self.service.core.settings,
            self.service.core.keys.limits.max_result_bytes,
        )
        self.file = text.encode() if isinstance(text, str) else text
        self.service.reload(self.load)
        total = self.service.core.counters.total
        if total["configurations read"]:
            return True
        assert total["configurations turned down"]
        assert before == (
            self.service.config,
            self.service.core.settings,
            self.service.core.keys.limits.max_result_bytes,
        )
        return False


def test_the_retry_time_for_a_listening_address_restarts_after_a_success() -> None:
    """An address is in use at the start, and again an hour later; the runner has the whole timeout both times."""
    service = ReloadableServer().service
    address_in_use = OSError(errno.EADDRINUSE, "Address already in use")
    failing: list[OSError] = [address_in_use]

    def open_listeners(handed_over: dict[str, int]) -> None:
        if failing:
            raise failing.pop()

    service.listeners.open = open_listeners  # type: ignore[method-assign]
    service.accept({})
    assert service._listen_retry.failing_since_us is not None and not service.serving
    service.accept({})
    assert service._listen_retry.failing_since_us is None and service.serving
    service.clock.now += 3_600_000_000
    failing.append(address_in_use)
    service.accept({})
    assert not service.failed, "an hour later it must have the whole timeout again"


def test_a_valid_file_is_applied_without_a_restart() -> None:
    server = ReloadableServer()
    new = copy.deepcopy(CONFIG)
    new["settings"]["classes"].append(new["settings"]["classes"][0] | {"name": "lint", "deadlineMs": 4000})
    new["limits"] = {"cores": 1.0, "memory_mb": 40, "sockets": 128}
    assert server.reload(json.dumps(new))
    core = server.service.core
    assert list(core.registrar.classes) == ["check", "submit", "lint"]
    assert (
        core.keys.limits.max_result_bytes < 20_000_000
        and server.service.jsonrpc.limiter.max_connections < 128
    )


def test_idle_database_connections_follow_the_limit_of_file_descriptors() -> None:
    server = ReloadableServer(db="127.0.0.1:7700")
    pool = server.service.backend
    assert isinstance(pool, DatabasePool) and pool.max_idle == MAX_IDLE_CONNECTIONS
    assert server.reload(
        json.dumps(server.config | {"limits": {"cores": 1.0, "memory_mb": 80, "sockets": 60}})
    )
    descriptors_for_backends = 60 // 2
    max_connections = server.service.jsonrpc.limiter.max_connections
    assert pool.max_idle == descriptors_for_backends // IDLE_BACKEND_DIVISOR and pool.max_busy >= 1
    assert max_connections == 30, "half of the descriptors are for front ends"
    assert max_connections + MIN_CONSOLE_CONNECTIONS + FIXED_DESCRIPTORS + pool.max_idle + pool.max_busy <= 60


def test_a_file_truncated_at_any_byte_changes_nothing() -> None:
    """The file is read while it is being written, or is damaged."""
    file = json.dumps(CONFIG | {"stop_ms": 5000, "kernel": "127.0.0.1:1"})
    server = ReloadableServer()
    assert not any(server.reload(file[:length]) for length in range(len(file)))
    assert (
        not server.reload(b"\xff\xfe" + file.encode())
        and not server.reload("[]")
        and not server.reload("null")
    )


@pytest.mark.parametrize(
    "deadline", ["8000", None, True, [], {}, 0, -1, -0.0, float("nan"), float("inf"), -float("inf"), 10**400]
)
def test_a_deadline_that_is_not_a_positive_number_changes_nothing(deadline: Any) -> None:
    server = ReloadableServer()
    for i in (0, 1):
        new = copy.deepcopy(CONFIG) | {"kernel": "127.0.0.1:1"}
        new["settings"]["classes"][i]["deadlineMs"] = deadline
        assert not server.reload(json.dumps(new))


def required_key_paths(value: Any, prefix: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each key that a file must have."""
    for key, inner in (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    ):
        if isinstance(key, str) and key not in platform_file.OPTIONAL_KEYS and key != "windowMs":
            yield (*prefix, key)
        yield from required_key_paths(inner, (*prefix, key))


def test_a_file_that_lacks_a_key_of_the_running_one_changes_nothing_and_the_error_names_the_key() -> None:
    server = ReloadableServer()
    for path in required_key_paths(CONFIG):
        new = copy.deepcopy(CONFIG)
        parent = new
        for key in path[:-1]:
            parent = parent[key]
        del parent[path[-1]]
        assert not server.reload(json.dumps(new)), path
        dotted_key = ".".join(str(part) for part in path if isinstance(part, str)).removeprefix(
            "settings.classes."
        )
        with pytest.raises(section.ConfigError, match=dotted_key.split(".")[-1]):
            server.load(CONFIG)


@pytest.mark.parametrize("name", ["", "submit"])
def test_request_classes_need_unique_names_that_are_not_empty(name: str) -> None:
    new = copy.deepcopy(CONFIG)
    new["settings"]["classes"][0]["name"] = name
    server = ReloadableServer()
    assert not server.reload(json.dumps(new))
    with pytest.raises(section.ConfigError, match=r"settings.classes\[\d\].name"):
        server.load(CONFIG)


def test_the_error_names_the_request_class_by_its_index() -> None:
    new = copy.deepcopy(CONFIG)
    new["settings"]["classes"][1]["deadlineMs"] = -5
    server = ReloadableServer()
    assert not server.reload(json.dumps(new))
    with pytest.raises(section.ConfigError, match=r"classes\[1\].deadline_ms"):
        server.load(CONFIG)


def test_addresses_of_cluster_members_change_at_once_and_their_set_at_the_next_start(
    caplog: pytest.LogCaptureFixture,
) -> None:
    first = Seat("n1", ("127.0.0.1", 1))
    second = Seat("n2", ("127.0.0.1", 2))
    server = ReloadableServer(cluster_config(first, second))
    link = server.service.cluster.replication
    server.fleet = cluster_config(first, Seat("n2", ("127.0.0.1", 3)))
    with caplog.at_level("INFO"):
        assert server.reload(json.dumps(CONFIG))
    assert link.links.address_of("n2") == ("127.0.0.1", 3) and "deferred to the next start" not in caplog.text
    server.fleet = cluster_config(first, Seat("n2", ("127.0.0.1", 4)), Seat("n3", ("127.0.0.1", 5)))
    with caplog.at_level("INFO"):
        server.reload(json.dumps(CONFIG))
    assert "fleet: changed, deferred to the next start" in caplog.text and link.links.address_of("n2") == (
        "127.0.0.1",
        3,
    )
