"""State that the scheduling rules share: the time, the jobs, the resources and the actions of this step."""

from __future__ import annotations

from moorusher.scheduling.concurrency import Concurrency
from moorusher.scheduling.draining import Draining
from moorusher.scheduling.fair_queue import FairQueue
from moorusher.scheduling.idempotency import StoredKeys
from moorusher.scheduling.interface import Action, PredecessorLoad, Settings
from moorusher.scheduling.job import Job
from moorusher.scheduling.memory import MemoryBudget
from moorusher.scheduling.service_time import ServiceTime


class SchedulerState:
    """The state of one runner's scheduler.

    Attributes:
        settings: Current settings.
        now: Time of this step, in ms of the runner's clock. Monotonic.
        window_started_at: Time when the current window started.
        actions: Actions of this step, in order. Each step starts a new list.
        jobs: Jobs by request number, from arrival until the request is answered and its run has ended.
        service_time: Estimates of the duration and cost of runs.
        queue: Queued jobs and the virtual clock.
        concurrency: Slots and runs.
        memory: Memory budget.
        keys: Entries in the table of idempotency keys.
        draining: State of the shutdown.
    """

    __slots__ = (
        "actions",
        "concurrency",
        "draining",
        "jobs",
        "keys",
        "memory",
        "now",
        "queue",
        "service_time",
        "settings",
        "window_started_at",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.now = 0.0
        self.window_started_at = 0.0
        self.actions: list[Action] = []
        self.jobs: dict[int, Job] = {}
        self.service_time = ServiceTime(settings.classes)
        self.queue = FairQueue(settings.tenants, settings.cores, self.service_time)
        self.concurrency = Concurrency(settings)
        self.memory = MemoryBudget(settings)
        self.keys = StoredKeys(self.memory)
        self.draining = Draining()

    def open(self, now: float) -> None:
        """Open the runner: windows and the warm-up start now."""
        self.now = now
        self.window_started_at = now
        self.concurrency.started_at = now

    def use_settings(self, settings: Settings) -> None:
        """Replace the settings of all parts. `reconfiguration` adapts the estimates and queues."""
        self.settings = settings
        self.concurrency.settings = settings
        self.memory.settings = settings

    def set_predecessor_load(self, predecessor: PredecessorLoad) -> None:
        """Set the current load of the process that this one replaces."""
        self.concurrency.predecessor = predecessor
        self.memory.predecessor = predecessor

    def advance(self, now: float) -> None:
        """Advance all clocks to `now`, based on the state since the last step."""
        elapsed_ms = now - self.now
        self.now = now
        self.concurrency.advance(elapsed_ms, self.queue.waiting > 0)
        self.queue.advance(elapsed_ms)

    def expected_slot_ms(self) -> float:
        """Return the time for which a run is expected to hold a slot, in ms."""
        concurrency = self.concurrency
        return self.service_time.expected_slot_ms(self.now, concurrency.slots, concurrency.on_cores)
