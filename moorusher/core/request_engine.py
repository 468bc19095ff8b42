"""The engine: all stages of a request, put together, without any wire.

The way of a request:

1. `intake`: a frontend submits what it has read. It is registered (`registration`), its idempotency key is claimed with
   the other process of this runner (`key_claims`) and with the other runners (`coordination`, `remote_claims`), and its
   customer's rules are applied (`routes`).
2. `dispatch`: at the end of the turn the scheduler is asked once, and `action_executor` carries out what it decides.
3. `execution`: the run in the kernel (`run`) and its downstream calls (`call`).
4. `completion`: the one place where a request is answered.
"""

from __future__ import annotations

from collections.abc import Callable

from moorusher.scheduling import interface as api
from moorusher.scheduling.scheduler import Scheduler

from .action_executor import ActionExecutor
from .answer import Answer, Cause, Reply, Verdict
from .call import CallTransport
from .clock import Alarms, Clock
from .completion import Completion
from .coordination import NoCoordinator
from .dispatch import Dispatcher
from .engine_state import EngineState
from .execution import Execution
from .intake import Intake
from .kernel_status import KernelStatus
from .reconfiguration import Plan
from .registration import RETRY_AFTER_MS, InvalidArrival
from .remote_claims import RemoteClaims
from .requests import Arrival, Request, RequestStage
from .run import KernelTransport
from .turn import Turn


class RequestEngine:
    """Frontends submit requests; the kernel's connection and the call transports report what becomes of them.

    Attributes:
        state: what the stages share; its parts are attributes of the engine as well.
        hooks: where the rest of the runner attaches itself.
        intake, dispatcher, execution, completion: the stages.
        remote_claims: the cluster's answers about idempotency keys.
        key_claims: the same with another process of this runner.
        kernel_status: what the kernel has told of itself.
        begin_turn: to be called by whoever brings an event, before it reads the clock or changes anything.
    """

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        alarms: Alarms,
        kernel: KernelTransport,
        calls: CallTransport,
        call_soon: Callable[[Callable[[], None]], None],
        make_scheduler: Callable[[api.Settings], Scheduler] = Scheduler,
        memory_mb: float = 192.0,
    ) -> None:
        """`call_soon` has the event loop call a function once, after what else is ready now has been read.

        `memory_mb` is the limit of the process.
        """
        turn = Turn(clock, call_soon)
        state = EngineState(settings, clock, alarms, turn, kernel, calls, memory_mb)
        self.state = state
        self.clock = clock
        self.alarms = alarms
        self.hooks = state.hooks
        self.counters = state.counters
        self.table = state.table
        self.keys = state.keys
        self.runs = state.runs
        self.calls = state.calls
        self.drain_state = state.drain_state
        self.kernel_status = KernelStatus(state)
        self.completion = Completion(state)
        self.intake = Intake(state, self.completion)
        self.registrar = self.intake.registrar
        self.key_claims = self.intake.key_claims
        self.execution = Execution(state, self.completion)
        self.remote_claims = RemoteClaims(state, self.completion, self.intake, self.execution)
        executor = ActionExecutor(state, self.completion, self.execution, self.kernel_status)
        self.dispatcher = Dispatcher(state, self.completion, executor, self.kernel_status, make_scheduler)
        self.begin_turn = turn.begin

    @property
    def settings(self) -> api.Settings:
        """The settings in force."""
        return self.state.settings

    @property
    def scheduler_open(self) -> bool:
        """The kernel is up, and the scheduler with it."""
        return self.dispatcher.scheduler is not None

    @property
    def ready(self) -> bool:
        """Requests can be taken."""
        return self.scheduler_open and self.hooks.routes.ready

    def fire_timers(self) -> None:
        """The event loop's timer is due."""
        self.begin_turn()
        self.alarms.ring()

    # ---- frontends ----

    def submit(self, arrival: Arrival, reply: Reply, tag: int) -> Request | InvalidArrival:
        """Take a request that was read whole; `reply` gets its answer, with `tag`. What is invalid is answered by the
        frontend, in its protocol's words."""
        if self.dispatcher.scheduler is None:
            self.begin_turn()
            return self.intake.invalid(InvalidArrival.NOT_READY)
        return self.intake.submit(arrival, reply, tag)

    def caller_disconnected(self, request: Request) -> None:
        """The caller has cancelled the request, or its connection is lost."""
        self.intake.caller_disconnected(request)

    # ---- the kernel ----

    def kernel_up(self, cold: bool, age_ms: float) -> None:
        """The first word of the kernel, which may have started long before or after this process."""
        self.begin_turn()
        if self.dispatcher.scheduler is None:
            self.kernel_status.started(cold, age_ms)
            self.dispatcher.open()
            self.state.kernel.ask_gauges()
            self.hooks.kernel_up()

    # ---- the life of the process ----

    def drain(self, stop_ms: float, replaced: bool = False) -> None:
        """The notice to shut down within `stop_ms`; `replaced`: this process alone, another one serves on. A second
        notice changes nothing."""
        if not self.drain_state.shutting_down:
            self.begin_turn()
            self.drain_state.begin(stop_ms, replaced)
            self.state.turn.events.append(api.DrainNotice(stop_ms, replaced))
            self.hooks.observer.state_changed()

    def coexist(self, on_cores: int, running: int, memory_kb: float) -> None:
        """What the process that this one replaces still takes."""
        self.dispatcher.coexist(api.PredecessorLoad(on_cores, running, memory_kb))

    def answer_all(self) -> None:
        """The process ends: the scheduler has its last say on what came until now, and what is still owed an answer
        then gets one without it."""
        self.begin_turn()
        self.dispatcher.end_turn()
        for request in [r for r in self.table.by_number.values() if r.reply is not None]:
            self.completion.answer(request, self._last_answer(request))

    def _last_answer(self, request: Request) -> Answer:
        """A rejection promises that the request never runs: not where other runners may go on with it."""
        no_other_runner = request.key is None or isinstance(self.hooks.coordinator, NoCoordinator)
        if request.stage is RequestStage.QUEUED and request.retry_of is None and no_other_runner:
            return Answer(Verdict.REJECTED, cause=Cause.SHUTTING_DOWN, retry_after_ms=RETRY_AFTER_MS)
        return Answer(Verdict.FAILED, cause=Cause.SHUTTING_DOWN)

    def reconfigure(self, plan: Plan) -> None:
        """New settings hold from now on. What was read before is decided first, by the settings that it was read
        under."""
        self.begin_turn()
        if self.state.turn.events:
            self.dispatcher.end_turn()
            self.begin_turn()
        self.state.settings = plan.settings
        self.registrar.settings_changed(plan.settings)
        self.dispatcher.settings_changed(plan.settings, plan.classes, plan.tenants)
