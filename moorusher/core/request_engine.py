"""The request engine: connects all stages of a request, independent of protocols.

A request passes these stages:

1. `intake`: a frontend submits the request. It is registered (`registration`), its idempotency key is claimed with the
   other process of this runner (`key_claims`) and with the other runners (`coordination`, `remote_claims`), and its
   customer's rules are applied (`routes`).
2. `dispatch`: at the end of the turn the scheduler is called once, and `action_executor` carries out its actions.
3. `execution`: the run in the kernel (`run`) and its downstream calls (`call`).
4. `completion`: the only place where a request is answered.
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
    """Processes the requests of the frontends, and the reports of the kernel connection and the call transports.

    Attributes:
        state: State that the stages share; its parts are also attributes of the engine.
        hooks: Interfaces set by other parts of the runner.
        intake, dispatcher, execution, completion: The stages.
        remote_claims: Receives the cluster's decisions about idempotency keys.
        key_claims: Claims idempotency keys with another process of this runner.
        kernel_status: Age, gauges and connection state of the kernel.
        start_turn: Must be called on each event before the clock is read or any state is changed.
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
        """Create the engine and its stages.

        :param call_soon: has the event loop call a function once, after all input that is ready has been read.
        :param memory_mb: memory limit of the process.
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
        self.start_turn = turn.start

    @property
    def settings(self) -> api.Settings:
        """Settings currently in force."""
        return self.state.settings

    @property
    def scheduler_open(self) -> bool:
        """Whether the kernel is up and the scheduler has been created."""
        return self.dispatcher.scheduler is not None

    @property
    def ready(self) -> bool:
        """Whether the engine accepts requests."""
        return self.scheduler_open and self.hooks.routes.ready

    def fire_timers(self) -> None:
        """Run the alarms that are due. Called when the event loop's timer expires."""
        self.start_turn()
        self.alarms.run_due()

    # ---- frontends ----

    def submit(self, arrival: Arrival, reply: Reply, tag: int) -> Request | InvalidArrival:
        """Submit a request that was read completely.

        :param reply: receives the answer, with `tag`.
        :returns: the request, or the reason why it is invalid. Invalid requests are answered by the frontend.
        """
        if self.dispatcher.scheduler is None:
            self.start_turn()
            return self.intake.invalid(InvalidArrival.NOT_READY)
        return self.intake.submit(arrival, reply, tag)

    def caller_disconnected(self, request: Request) -> None:
        """Record that the caller has cancelled the request or lost its connection."""
        self.intake.caller_disconnected(request)

    # ---- the kernel ----

    def kernel_up(self, caches_empty: bool, age_ms: float) -> None:
        """Create the scheduler. Called on the kernel's first message.

        :param caches_empty: whether the kernel's caches were empty when it started.
        :param age_ms: time since the kernel started, which may have been long before or after this process started.
        """
        self.start_turn()
        if self.dispatcher.scheduler is None:
            self.kernel_status.started(caches_empty, age_ms)
            self.dispatcher.open()
            self.state.kernel.request_gauges()
            self.hooks.kernel_up()

    # ---- shutdown and reconfiguration ----

    def drain(self, stop_ms: float, replaced: bool = False) -> None:
        """Begin to drain. A second call has no effect.

        :param stop_ms: time until the process must exit.
        :param replaced: whether another process of this runner continues to serve.
        """
        if not self.drain_state.shutting_down:
            self.start_turn()
            self.drain_state.start(stop_ms, replaced)
            self.state.turn.events.append(api.DrainNotice(stop_ms, replaced))
            self.hooks.observer.state_changed()

    def coexist(self, on_cores: int, running: int, memory_kb: float) -> None:
        """Report to the scheduler the load of the process that this one replaces."""
        self.dispatcher.coexist(api.PredecessorLoad(on_cores, running, memory_kb))

    def answer_all(self) -> None:
        """Answer all requests before the process exits."""
        # The scheduler handles the pending events first. Requests that it leaves unanswered are answered without it.
        self.start_turn()
        self.dispatcher.end_turn()
        for request in [r for r in self.table.by_number.values() if r.reply is not None]:
            self.completion.answer(request, self._shutdown_answer(request))
        self.completion.fail_unconfirmed()

    def _shutdown_answer(self, request: Request) -> Answer:
        """Return a rejection if the request can't run anywhere, else a failure."""
        # A rejection promises that the request never runs. Another runner may still run a request that has a key.
        no_other_runner = request.key is None or isinstance(self.hooks.coordinator, NoCoordinator)
        if request.stage is RequestStage.QUEUED and request.retry_of is None and no_other_runner:
            return Answer(Verdict.REJECTED, cause=Cause.SHUTTING_DOWN, retry_after_ms=RETRY_AFTER_MS)
        return Answer(Verdict.FAILED, cause=Cause.SHUTTING_DOWN)

    def reconfigure(self, plan: Plan) -> None:
        """Apply new settings, after the pending events are processed under the current ones."""
        self.start_turn()
        if self.state.turn.events:
            self.dispatcher.end_turn()
            self.start_turn()
        self.state.settings = plan.settings
        self.registrar.settings_changed(plan.settings)
        self.dispatcher.settings_changed(plan.settings, plan.classes, plan.tenants)
