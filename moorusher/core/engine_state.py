"""State shared by all stages of a request."""

from __future__ import annotations

from moorusher.scheduling import interface as api

from .call import CallTransport, OpenCalls
from .clock import Alarms, Clock
from .counters import Counters
from .drain_state import DrainState
from .hooks import EngineHooks
from .idempotency_keys import IdempotencyKeyTable, window_end
from .requests import RequestTable
from .run import KernelTransport, Runs
from .turn import Turn


class EngineState:
    """Settings, clocks, tables and transports of one engine.

    Attributes:
        settings: Settings currently in force; replaced by `RequestEngine.reconfigure`.
        healthy: Whether health checks succeed; set by the scheduler.
        load_signal: Value sent with every answer (see `Settings.signal`); None until the scheduler sets one.
    """

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        alarms: Alarms,
        turn: Turn,
        kernel: KernelTransport,
        calls: CallTransport,
        memory_mb: float,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.alarms = alarms
        self.turn = turn
        self.kernel = kernel
        self.hooks = EngineHooks()
        self.counters = Counters()
        self.table = RequestTable()
        self.keys = IdempotencyKeyTable(memory_mb)
        self.runs = Runs(kernel, clock, self.hooks)
        self.calls = OpenCalls(calls, clock, alarms)
        self.drain_state = DrainState(clock)
        self.healthy = True
        self.load_signal: float | None = None

    def longest_key_window_ms(self) -> float:
        """Return the longest idempotency window of all classes, or 0 if no class has keys."""
        windows = (
            cls.idempotency_window_ms
            for cls in self.settings.classes
            if cls.effect is api.Effect.IDEMPOTENT_WITH_KEY
        )
        return max(windows, default=0.0)

    def distrust_new_keys(self) -> None:
        """Assume that requests with keys missing from the table may have run, until the longest window has passed.

        Called when another process of this runner has exited and its keys are unknown here.
        """
        self.keys.unknown_until = window_end(self.clock.now, self.longest_key_window_ms())
