"""What the rest of the runner attaches to the engine; each hook has a default that does nothing."""

from __future__ import annotations

from collections.abc import Callable

from .coordination import KeyCoordinator, NoCoordinator
from .demand import DemandObserver
from .observer import EngineObserver
from .routes import NoRoutes, Routes


def _nothing() -> None:
    return None


def _no_connections(idle_ms: int) -> None:
    return None


class EngineHooks:
    """Read anew at each use, so that an owner may attach its part at any time.

    Attributes:
        coordinator: asked whether other runners have a say in a request's idempotency key.
        routes: asked for the rules of the request's customer.
        demand: notified of demand.
        observer: notified of what health is judged by.
        kernel_up: called once, with the first word of the kernel.
        trim_connections: called with a time in ms; closes client connections that are idle for longer.
        turn_ended_while_draining: called after each turn from the notice to shut down on.
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
        self.kernel_up: Callable[[], None] = _nothing
        self.trim_connections: Callable[[int], None] = _no_connections
        self.turn_ended_while_draining: Callable[[], None] = _nothing
