"""What the rules of one runner share: the time, the jobs, the resources and the actions of this step."""

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
        settings: the present settings.
        now: time of this step, in ms of the runner's clock; never steps back.
        window_started_at: when the present window began.
        actions: what is to be done about this step's events, in order. Each step begins a new list.
        jobs: all jobs by their request's number, from the arrival until no answer is owed and no work is
            left.
        service_time: estimates of run length and cost.
        queue: queued jobs and the virtual clock.
        concurrency: slots and runs.
        memory: reserved memory.
        keys: entries in the table of idempotency keys.
        draining: when the runner drains and stops.
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
        """The runner opens: windows and warming up count from now."""
        self.now = now
        self.window_started_at = now
        self.concurrency.started_at = now

    def use_settings(self, settings: Settings) -> None:
        """Let all parts read new settings. Learnt state is adapted in `reconfiguration`."""
        self.settings = settings
        self.concurrency.settings = settings
        self.memory.settings = settings

    def use_predecessor(self, predecessor: PredecessorLoad) -> None:
        """Another process of this runner, which this one replaces, takes so much at present."""
        self.concurrency.predecessor = predecessor
        self.memory.predecessor = predecessor

    def advance(self, now: float) -> None:
        """Move the clocks on to `now`, by the state that held since the last step."""
        elapsed_ms = now - self.now
        self.now = now
        self.concurrency.advance(elapsed_ms, self.queue.waiting > 0)
        self.queue.advance(elapsed_ms)

    def expected_slot_ms(self) -> float:
        """Time for which a run is expected to keep a slot."""
        concurrency = self.concurrency
        return self.service_time.expected_slot_ms(self.now, concurrency.slots, concurrency.on_cores)
