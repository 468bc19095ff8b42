"""Hooks of the engine, set by other parts of the runner. The default of each hook does nothing."""

from __future__ import annotations

from collections.abc import Callable

from .coordination import KeyCoordinator, NoCoordinator
from .demand import DemandObserver
from .observer import EngineObserver
from .routes import NoRoutes, Routes


def _no_op() -> None:
    return None


def _no_connections(idle_us: int) -> None:
    return None


class EngineHooks:
    """Hooks of the engine. They are looked up at each use, so they may be set at any time.

    Attributes:
        coordinator: Coordinates idempotency keys with the other runners.
        routes: Applies the customers' rules to requests.
        demand: Receives notifications about demand.
        observer: Receives the events that the runner's health is derived from.
        kernel_up: Called once, on the kernel's first message.
        trim_connections: Called with the time in us after which idle client connections are to be closed.
        turn_ended_while_draining: Called after each turn once a shutdown has begun.
    """

    __slots__ = (
        "coordinator",
        "demand",
        "kernel_up",
        "observer",
        "routes",
        "trim_connections",
        "turn_ended_while_draining",
    )

    def __init__(self) -> None:
        self.coordinator: KeyCoordinator = NoCoordinator()
        self.routes: Routes = NoRoutes()
        self.demand = DemandObserver()
        self.observer = EngineObserver()
        self.kernel_up: Callable[[], None] = _no_op
        self.trim_connections: Callable[[int], None] = _no_connections
        self.turn_ended_while_draining: Callable[[], None] = _no_op
