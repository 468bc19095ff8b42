"""New settings in service: the plan, what the module and the core make of it; a damaged file changes nothing."""

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
from moorusher.config import fleet as settings_of_fleet
from moorusher.config import model, platform_file, section
from moorusher.core.answer import Verdict
from moorusher.core.outcomes import EndReason
from moorusher.core.reconfiguration import NEW, plan
from moorusher.core.registration import InvalidArrival
from moorusher.core.requests import Arrival
from moorusher.frontends.jsonrpc_session import MAX_FAULTS, MAX_FAULTS_BEFORE_LEAVE, MAX_OPEN_REQUESTS
from moorusher.membership.policy import Seat
from moorusher.scheduling import Scheduler
from moorusher.scheduling import interface as api
from moorusher.server.connection_budget import FIXED_DESCRIPTORS, IDLE_BACKEND_SHARE, MIN_CONSOLE_CONNECTIONS
from moorusher.server.server import Service

from .helpers import KEYED, SAFE, done, only, opened, request, settings, started
from .stand_ins import SETTINGS
from .test_core import World
from .test_fronts import connected_frontend, request_line, take_messages

FAST = replace(SAFE, name="fast", latency_objective_ms=300, deadline_ms=900)


def classes(*listed: api.RequestClass, **more: Any) -> api.Settings:
    return settings(classes=listed, **more)


# ---- the plan ----


@pytest.mark.parametrize(
    "new, places, added, dropped, redefined",
    [
        ((SAFE, KEYED), (0, 1), (), (), ()),
        ((KEYED, SAFE), (1, 0), (), (), ()),
        ((SAFE, KEYED, FAST), (0, 1, NEW), ("fast",), (), ()),
        ((FAST, KEYED), (NEW, 1), ("fast",), ("read",), ()),
        ((replace(SAFE, latency_objective_ms=9), KEYED), (0, 1), (), (), ("read",)),
        ((replace(KEYED, effect=api.Effect.IDEMPOTENT), FAST), (1, NEW), ("fast",), ("read",), ("write",)),
    ],
)
def test_a_plan_says_where_each_class_was(
    new: Any, places: Any, added: Any, dropped: Any, redefined: Any
) -> None:
    p = plan(settings(), classes(*new))
    assert (p.classes, p.added, p.dropped, p.redefined) == (places, added, dropped, redefined)
    assert p.settings.classes == new and not p.deferred


def test_facts_about_the_machine_wait_and_are_named() -> None:
    p = plan(settings(), settings(cores=9, memory_kb=5.0, gauges=("x",), warming_up=True, drain_grace_ms=7.0))
    assert p.deferred == ("cores", "memory_kb", "gauges")
    assert p.settings == replace(settings(), drain_grace_ms=7.0)


# ---- the module ----


def retune(scheduler: Scheduler, now: float, new: api.Settings) -> None:
    p = plan(scheduler.state.settings, new)
    scheduler.step(now, [api.Reconfiguration(p.settings, p.classes, p.tenants)])


def test_what_was_learnt_moves_with_its_class_and_a_name_that_returns_starts_anew() -> None:
    scheduler = opened()
    for i in range(4):
        scheduler.step(i * 100.0, [request(i, class_index=1)])
        scheduler.step(i * 100.0 + 80, done(i))
    service_time, tenant = scheduler.state.service_time, scheduler.state.queue.tenants[0]
    learnt = service_time.classes[1]
    ratio = tenant.max_cost_ratios[learnt]
    retune(scheduler, 500, classes(FAST, KEYED, SAFE))
    assert service_time.classes[1] is learnt and tenant.max_cost_ratios == {learnt: ratio}
    assert service_time.classes[0].request_class is FAST
    retune(scheduler, 510, classes(SAFE, FAST))
    assert not scheduler.state.queue.tenants[0].max_cost_ratios
    retune(scheduler, 520, classes(KEYED, SAFE))
    assert service_time.classes[0].request_class is KEYED and service_time.classes[0].run_ms != learnt.run_ms


def test_an_open_request_keeps_its_deadline_and_its_place() -> None:
    scheduler = opened(cores=1, survivable_runs_per_core=1.0)
    assert started(scheduler.step(0, [request(1), request(2)])) == [1]
    retune(scheduler, 10, classes(replace(SAFE, latency_objective_ms=50, deadline_ms=60), KEYED))
    for at in range(20, 400, 25):
        assert not only(
            scheduler.step(at, [api.Timer(0, (1.0,))]), api.Reject
        )  # by the new deadline it were long over
    assert started(scheduler.step(400, done(1))) == [2]


def test_a_dropped_tenants_held_request_runs_and_shares_follow() -> None:
    scheduler = opened(
        cores=1, survivable_runs_per_core=1.0, tenants=(api.Tenant(1, "a"), api.Tenant(1, "b"))
    )
    scheduler.step(0, [request(1, tenant=0), request(2, tenant=1)])
    retune(scheduler, 10, settings(tenants=(api.Tenant(3, "c"), api.Tenant(1, "a"))))
    assert [round(scheduler.state.queue.tenants[i].weight, 2) for i in (0, 1)] == [1.5, 0.5]
    assert started(scheduler.step(20, done(1))) == [2] and started(scheduler.step(30, done(2))) == []
    assert abs(scheduler.state.queue.active_weight) < 1e-9
    retune(scheduler, 40, settings(tenants=()))
    assert started(scheduler.step(50, [api.Request(3, 0, 10.0)])) == [3]


# ---- the core ----


def follow(w: World, new: api.Settings) -> None:
    w.core.reconfigure(plan(w.core.settings, new))
    w.turn()


def test_open_requests_of_a_dropped_class_are_served_and_new_ones_have_their_error() -> None:
    w = World()
    w.take("a", 1)
    w.turn()
    w.take("b", 2, token="u")  # read in the very turn of the change
    follow(w, classes(SAFE))
    assert w.runs() == ["a", "b"]
    w.take("c", 3, klass="read", token=None)
    assert w.core.submit(Arrival("d", "write", b"x", token="t"), w, 4) is InvalidArrival.UNKNOWN_CLASS
    w.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    w.turn()
    assert (1, Verdict.SERVED) in w.verdicts()


def test_keys_outlive_their_classs_absence_and_keep_the_longer_window() -> None:
    w = World()
    w.take("a", 1)
    w.turn()
    w.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    follow(w, classes(SAFE))
    w.wait(1000)
    follow(
        w, classes(FAST, replace(KEYED, idempotency_window_ms=20_000), SAFE)
    )  # back, elsewhere in the list
    w.at += 15_000 * 1_000_000
    w.core.begin_turn()
    w.turn()
    w.take("b", 2)
    w.turn()
    assert w.runs() == ["a"] and w.verdicts()[-1] == (2, Verdict.SERVED)
    follow(w, classes(replace(KEYED, idempotency_window_ms=10), SAFE))
    w.take("c", 3)
    w.turn()
    assert w.runs() == ["a"]


def test_a_try_under_the_name_of_a_class_that_took_anothers_place_is_a_repeat() -> None:
    w = World()
    w.take("a", 1)
    w.turn()
    follow(w, classes(SAFE, KEYED, replace(KEYED, name="write-next")))
    w.take("b", 2, klass="write-next")
    w.turn()
    assert w.runs() == ["a"]
    w.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    w.turn()
    assert sorted(tag for tag, verdict in w.verdicts() if verdict is Verdict.SERVED) == [1, 2]


def test_a_request_whose_claim_is_under_way_keeps_its_class() -> None:
    class Silent:
        def __getattr__(self, kind: str) -> Any:
            return lambda *args: None

    w = World()
    w.core.key_claims.peer = Silent()
    w.take("a", 1)
    key = ("", "t")
    follow(w, classes(SAFE))
    w.core.key_claims.claim_granted(1, key)
    w.turn()
    assert w.runs() == ["a"]


def test_many_errors_for_a_dropped_class_end_no_connection_that_owes_an_answer() -> None:
    world, _, connection, transport = connected_frontend()
    connection.dataReceived(request_line(1, "read", rid="r1"))
    world.turn()
    world.core.reconfigure(plan(world.core.settings, classes(KEYED)))
    for i in range(2, 60):
        connection.dataReceived(request_line(i, "read"))
    assert not transport.disconnecting and not transport.half_closed
    for i in range(
        60, 60 + MAX_FAULTS_BEFORE_LEAVE + MAX_OPEN_REQUESTS
    ):  # a new class may be sent before it is known here
        connection.dataReceived(request_line(i, "never was"))
    assert (
        connection.leaving
        and sum("error" in m for m in take_messages(transport))
        == 58 + MAX_FAULTS_BEFORE_LEAVE + MAX_OPEN_REQUESTS
    )
    for i in range(200, 200 + MAX_FAULTS):
        connection.dataReceived(request_line(i, "never was"))
    assert not transport.half_closed  # too faulty by now, and still owed an answer
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


def fleet(*seats: Seat) -> settings_of_fleet.FleetConfig:
    return settings_of_fleet.FleetConfig(("127.0.0.1", 1), "f", seats)


class Running:
    def __init__(self, fleet: settings_of_fleet.FleetConfig | None = None, **more: Any) -> None:
        self.fleet = fleet or settings_of_fleet.FleetConfig()
        self.config = CONFIG | more
        self.file = json.dumps(self.config).encode()
        self.service = Service(self.load(), MemoryReactorClock())  # type: ignore[no-untyped-call]

    def load(self, running: Any = None) -> model.Config:
        off = model.OperatorConfig(fleet=self.fleet)
        return platform_file.parse_platform_file(self.file, {}, off, running)

    def reload(self, text: str | bytes) -> bool:
        """Whether it was taken."""
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


def test_time_spent_waiting_for_an_address_is_counted_anew_once_there_was_one() -> None:
    service = Running().service
    taken = OSError(errno.EADDRINUSE, "Address already in use")
    failing: list[OSError] = [taken]

    def opened(handed_over: dict[str, int]) -> None:
        if failing:
            raise failing.pop()

    service.listeners.open = opened  # type: ignore[method-assign]
    service.accept({})
    assert service._listen_retry.failing_since_us is not None and not service.serving
    service.accept({})
    assert service._listen_retry.failing_since_us is None and service.serving
    service.clock.now += 3_600_000_000
    failing.append(taken)
    service.accept({})
    assert not service.failed, "an hour later it is as patient as at its start"


def test_a_good_file_is_taken_and_what_can_change_has() -> None:
    r, new = Running(), copy.deepcopy(CONFIG)
    new["settings"]["classes"].append(new["settings"]["classes"][0] | {"name": "lint", "deadlineMs": 4000})
    new["limits"] = {"cores": 1.0, "memory_mb": 40, "sockets": 128}
    assert r.reload(json.dumps(new))
    core = r.service.core
    assert list(core.registrar.classes) == ["check", "submit", "lint"]
    assert core.keys.limits.max_result_bytes < 20_000_000 and r.service.jsonrpc.limiter.max_connections < 128


def test_connections_below_that_are_kept_without_a_call_follow_the_descriptors() -> None:
    r = Running(db="127.0.0.1:7700")
    below = r.service.backend
    assert isinstance(below, DatabasePool) and below.max_idle == MAX_IDLE_CONNECTIONS
    assert r.reload(json.dumps(r.config | {"limits": {"cores": 1.0, "memory_mb": 80, "sockets": 60}}))
    spare, places = 60 // 2, r.service.jsonrpc.limiter.max_connections
    assert below.max_idle == spare // IDLE_BACKEND_SHARE and below.max_busy >= 1
    assert places == 30, "front ends may open half of them"
    assert places + MIN_CONSOLE_CONNECTIONS + FIXED_DESCRIPTORS + below.max_idle + below.max_busy <= 60


def test_a_file_cut_at_any_byte_changes_nothing() -> None:
    whole = json.dumps(CONFIG | {"stop_ms": 5000, "kernel": "127.0.0.1:1"})
    r = Running()
    assert not any(r.reload(whole[:at]) for at in range(len(whole)))
    assert not r.reload(b"\xff\xfe" + whole.encode()) and not r.reload("[]") and not r.reload("null")


@pytest.mark.parametrize(
    "deadline", ["8000", None, True, [], {}, 0, -1, -0.0, float("nan"), float("inf"), -float("inf"), 10**400]
)
def test_a_deadline_that_is_no_number_above_0_changes_nothing(deadline: Any) -> None:
    r = Running()
    for i in (0, 1):
        new = copy.deepcopy(CONFIG) | {"kernel": "127.0.0.1:1"}
        new["settings"]["classes"][i]["deadlineMs"] = deadline
        assert not r.reload(json.dumps(new))


def paths(value: Any, here: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    for key, inner in (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    ):
        if isinstance(key, str) and key not in platform_file.OPTIONAL_KEYS and key != "windowMs":
            yield (*here, key)
        yield from paths(inner, (*here, key))


def test_a_file_that_lacks_any_key_of_the_running_one_changes_nothing_and_is_told_which() -> None:
    r = Running()
    for path in paths(CONFIG):
        new = copy.deepcopy(CONFIG)
        at = new
        for key in path[:-1]:
            at = at[key]
        del at[path[-1]]
        assert not r.reload(json.dumps(new)), path
        named = ".".join(str(p) for p in path if isinstance(p, str)).removeprefix("settings.classes.")
        with pytest.raises(section.ConfigError, match=named.split(".")[-1]):
            r.load(CONFIG)


@pytest.mark.parametrize("name", ["", "submit"])
def test_a_class_needs_a_name_of_its_own(name: str) -> None:
    new = copy.deepcopy(CONFIG)
    new["settings"]["classes"][0]["name"] = name
    r = Running()
    assert not r.reload(json.dumps(new))
    with pytest.raises(section.ConfigError, match=r"settings.classes\[\d\].name"):
        r.load(CONFIG)


def test_the_error_names_the_class_by_its_place() -> None:
    new = copy.deepcopy(CONFIG)
    new["settings"]["classes"][1]["deadlineMs"] = -5
    r = Running()
    assert not r.reload(json.dumps(new))
    with pytest.raises(section.ConfigError, match=r"classes\[1\].deadline_ms"):
        r.load(CONFIG)


def test_seats_of_a_fleet_may_be_reached_elsewhere_and_are_otherwise_for_the_next_start(
    caplog: pytest.LogCaptureFixture,
) -> None:
    here, there = Seat("n1", ("127.0.0.1", 1)), Seat("n2", ("127.0.0.1", 2))
    running = Running(fleet(here, there))
    link = running.service.cluster.replication
    running.fleet = fleet(here, Seat("n2", ("127.0.0.1", 3)))
    with caplog.at_level("INFO"):
        assert running.reload(json.dumps(CONFIG))
    assert link.links.address_of("n2") == ("127.0.0.1", 3) and "for the next start" not in caplog.text
    running.fleet = fleet(here, Seat("n2", ("127.0.0.1", 4)), Seat("n3", ("127.0.0.1", 5)))
    with caplog.at_level("INFO"):
        running.reload(json.dumps(CONFIG))
    assert "fleet: changed, for the next start" in caplog.text and link.links.address_of("n2") == (
        "127.0.0.1",
        3,
    )
