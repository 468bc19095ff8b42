"""Builders of settings, requests and events that several tests use."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, TypeVar

from moorusher.scheduling import Scheduler
from moorusher.scheduling.interface import (
    Action,
    Effect,
    Event,
    ExecutionOutcome,
    Request,
    RequestClass,
    RunEnded,
    Settings,
    Start,
    Tenant,
)

A = TypeVar("A")

SAFE = RequestClass(name="read", latency_objective_ms=1000, deadline_ms=4000)
KEYED = RequestClass(
    name="write",
    latency_objective_ms=1000,
    deadline_ms=3000,
    priority_weight=2,
    effect=Effect.IDEMPOTENT_WITH_KEY,
    idempotency_window_ms=8000,
)


def settings(**changes: Any) -> Settings:
    """Return settings with two classes and two tenants, changed by the keyword arguments."""
    base: dict[str, Any] = {
        "cores": 2,
        "memory_kb": 100_000.0,
        "classes": (SAFE, KEYED),
        "tenants": (Tenant(1.0), Tenant(1.0)),
        "run_memory_factor": 4.0,
        "key_entry_kb": 10.0,
        "gauges": ("cpu_busy",),
    }
    return Settings(**(base | changes))


def opened(**changes: Any) -> Scheduler:
    """Return a scheduler that is open for requests, with the changed settings."""
    scheduler = Scheduler(settings(**changes))
    scheduler.open(0.0)
    return scheduler


def request(rid: int, tenant: int = 0, class_index: int = 0, **more: Any) -> Request:
    """Return a request of 10 kB, or with other attributes."""
    return Request(rid, class_index, memory_kb=more.pop("memory_kb", 10.0), tenant=tenant, **more)


def only(actions: Sequence[Action], kind: type[A]) -> list[A]:
    """Return the actions of one type."""
    return [a for a in actions if isinstance(a, kind)]


def started(actions: Sequence[Action]) -> list[int]:
    """Return the ids of the requests that the actions start."""
    return [a.id for a in only(actions, Start)]


def done(*ids: int) -> list[Event]:
    """Return the events that successful runs of these requests have ended."""
    return [RunEnded(i, ExecutionOutcome.OK) for i in ids]
