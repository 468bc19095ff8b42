"""What all stages of a request share."""

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
    """The tables and clocks of one engine. The stages are handed this object whole, and change it by its methods.

    Attributes:
        settings: in force; replaced by `RequestEngine.reconfigure`.
        healthy: what the scheduler wants health checks to be told.
        load_signal: the value that accompanies every answer (`Settings.signal` says what it means); None before the
            scheduler has set one.
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
        """The longest time for which an idempotency key counts; 0 where no class has keys."""
        windows = (
            cls.idempotency_window_ms
            for cls in self.settings.classes
            if cls.effect is api.Effect.IDEMPOTENT_WITH_KEY
        )
        return max(windows, default=0.0)

    def forget_keys_for_a_window(self) -> None:
        """A process is gone whose keys nobody knows: until the longest window is over, a key that is new here may have
        run there."""
        self.keys.unknown_until = window_end(self.clock.now, self.longest_key_window_ms())
