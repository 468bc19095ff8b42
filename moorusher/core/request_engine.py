"""One turn: gather its events, ask the module once, carry out its actions in their order."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from moorusher.scheduling import interface as api
from moorusher.scheduling.balancer import Balancer

from .action_executor import Actions
from .answer import Answer, Cause, Reply, Verdict
from .call import Calls, OpenCalls
from .clock import MS, Alarms, Clock
from .coordination import KeyCoordinator, NoCoordinator
from .counters import Counters
from .demand import Demand
from .idempotency_keys import Keys, window_end
from .intake import BUSY_MS, Fault, Intake
from .key_claims import Claims
from .observer import Watch
from .outcomes import OUTCOMES, Ending
from .reconfiguration import Plan
from .remote_claims import Others
from .requests import UNDER_WAY, Arrival, Request, Stage, Table
from .routes import NoRoutes, Routes
from .run import Kernel, Runs

log = logging.getLogger("moorusher")

MOST_NAMED = 8  # requests in one line of the log
FAILED_BY = {Ending.RUN_NOT_ACCEPTED: Cause.NOT_ACCEPTED}


class Decider:
    """The core: fronts hand in requests, links report what became of runs and calls.

    `soon` has the loop call `turn_over` once, after what else is ready in this turn has been read.
    """

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        alarms: Alarms,
        kernel: Kernel,
        calls: Calls,
        soon: Callable[[Callable[[], None]], None],
        make: Callable[[api.Settings], Balancer] = Balancer,
        memory_mb: float = 192.0,
    ) -> None:
        self.settings, self.clock, self.alarms = settings, clock, alarms
        self.counters, self.table, self.keys = Counters(), Table(), Keys(memory_mb)
        self.intake = Intake(settings, clock, self.table, self.keys)
        self.runs = Runs(kernel, clock)
        self.claims = Claims(
            self.keys, self.table, clock, alarms, self.counters, self._claimed, self.turn_away, self.shared
        )
        self.coordinator: KeyCoordinator = NoCoordinator()
        self.others = Others(self)
        self.routes: Routes = NoRoutes()
        self.demand = Demand()
        self.unwanted: set[int] = set()  # stopped while others were asked whether they may begin
        self.calls = OpenCalls(calls, clock, alarms)
        self._kernel, self._soon, self._make = kernel, soon, make
        self._balancer: Balancer | None = None
        self.events: list[api.Event] = []
        self._turning = False
        self._gauges: tuple[float, ...] = ()
        self.gauges_at = 0  # by the clock of the turn before they came: never told younger than they are
        self.watch = Watch()
        self.link_since: int | None = 0  # without the kernel's link since then; None while there is one
        self._stop_at: int | None = None
        self.replaced = False  # leaving, and another process of this runner serves on
        self._beside = api.PredecessorLoad()
        self.up: Callable[[], None] = lambda: None  # called once, with the kernel's first word
        self._cold, self._born = False, 0  # the kernel's state and time when it started
        self._opened_cold = False  # what the module was told of it
        self.healthy, self.hint = True, None  # type: bool, float | None
        self.trim: Callable[[int], None] = lambda idle: None  # set by the fronts' owner
        self.settled: Callable[[], None] = lambda: None  # called after each turn while draining
        self._actions = Actions(self, kernel)

    # ---- turns ----

    def touch(self) -> None:
        """Something has happened: the first in a turn reads the clock and sees to the turn's end."""
        if not self._turning:
            self._turning = True
            self.clock.read()
            self._soon(self.turn_over)

    def ring(self) -> None:
        """The loop's timer is due."""
        self.touch()
        self.alarms.ring()

    def turn_over(self) -> None:
        self._turning = False
        events, self.events = self.events, []
        if self._balancer is not None and events:
            try:
                actions = self._balancer.step(self.clock.module_ms(), events)
            except Exception:
                log.exception("the decision module failed on %s", events)
                self._start_afresh()
                actions = []
            for action in actions:
                try:
                    self._actions.carry_out(action)
                except Exception:
                    log.exception("%s could not be carried out", action)
                    self._fail_all_of(getattr(action, "id", 0))
        if self._stop_at is not None:
            self.settled()

    def _start_afresh(self) -> None:
        """After a fault in a step nothing that the module knew can be trusted: all that is owed is failed, and
        a new instance goes on. Keys stay, so nothing runs twice; runs that go on end unheard."""
        self.counters.add("faults")
        for request in list(self.table.by_number.values()):
            self._fail_all_of(request.number)
        self._open_module()

    def _fail_all_of(self, number: int) -> None:
        if (request := self.table.by_number.get(number)) is None:
            return
        self.answer(request, Answer(Verdict.FAILED, cause=Cause.FAULT))
        if request.stage not in UNDER_WAY:
            self.drop_unrun(number)
        elif request.cls.effect is api.Effect.IDEMPOTENT:
            self.runs.stop(number)

    def _open_module(self) -> None:
        """Cold or warm is the kernel's word: the settings tell how things stood when they were written. A warm
        instance opens now, whatever the kernel's age: the module's first window reaches back to its opening."""
        cold = self._cold and self.clock.now - self._born < self.settings.warm_up_ms * MS
        self._opened_cold = cold
        self._balancer = self._make(replace(self.settings, warming_up=cold))
        opened = self._balancer.open(self.clock.module_ms(self._born if cold else None))
        for action in opened:
            self._actions.carry_out(action)
        self.events.append(self._beside)
        if self._stop_at is not None:
            self.events.append(
                api.DrainNotice(max(0.0, (self._stop_at - self.clock.now) / MS), self.replaced)
            )

    def watched_by(self, watch: Watch) -> None:
        self.watch = self.runs.watch = watch

    # ---- what fronts tell ----

    @property
    def opened(self) -> bool:
        """The kernel is up, and the module with it."""
        return self._balancer is not None

    @property
    def ready(self) -> bool:
        return self.opened and self.routes.ready

    @property
    def leaving(self) -> bool:
        """Had the notice to end, whoever serves on."""
        return self._stop_at is not None

    @property
    def draining(self) -> bool:
        """The runner leaves: nobody serves on."""
        return self.leaving and not self.replaced

    @property
    def owed(self) -> int:
        return sum(r.reply is not None for r in self.table.by_number.values())

    def take(self, arrival: Arrival, reply: Reply, tag: int) -> Request | Fault:
        """A request has been read whole. A fault is answered by the front, in the words of its protocol."""
        self.touch()
        if not self.ready:
            self.counters.add("faulty")
            return Fault.NOT_READY if self._balancer is None else Fault.RULES_UNKNOWN
        taken = self.intake.take(arrival, reply, tag)
        if isinstance(taken, Fault):
            self.counters.add("faulty")
            return taken
        taken.ruling = self.routes.rule(arrival, taken.tenant)
        taken.first = not arrival.is_retry
        self.counters.add("taken", taken.tenant)
        self.watch.came(self.clock.now)
        if not self.claims.hold_back(taken):
            self._claimed(taken)
        return taken

    def _claimed(self, request: Request) -> None:
        """No other process of this runner has its key: are there runners that may?"""
        if not self.coordinator.hold_back(request):
            self.hand_on(request)

    def hand_on(self, request: Request) -> None:
        """Its key is this runner's, or it repeats what was read before: only now is it sure that a refusal by its
        customer's rules comes after no run."""
        self.touch()
        self._count(request)
        if request.ruling is not None and request.ruling.refusal and request.repeats is None:
            return self._rule_out(request)
        self.events.append(self.intake.event(request))

    def turn_away(self, request: Request, why: str, proven: bool = True) -> None:
        """Before the module has heard of it: its key is the other process's business, or that one is silent."""
        self.touch()
        self._count(request)
        log.warning("request %s turned away: %s", request.rid, why)
        self.answer(
            request,
            Answer(Verdict.REFUSED, b"", Cause.KEY_UNSURE, BUSY_MS)
            if proven
            else Answer(Verdict.FAILED, cause=Cause.MAY_GO_ON),
        )
        self.drop_unrun(request.number)

    def _count(self, request: Request) -> None:
        """As demand: once, and only where no earlier try of it is known, here or at others."""
        if request.first and request.repeats is None:
            self.demand.asked(request)
        request.first = False

    def _rule_out(self, request: Request) -> None:
        """Nobody else would serve it: there is no use in coming back."""
        self.counters.add("ruled out", request.tenant)
        self.answer(
            request, Answer(Verdict.REFUSED, request.ruling.refusal.encode(), Cause.RULED_OUT, BUSY_MS, True)
        )
        self.drop_unrun(request.number)

    def gone(self, request: Request) -> None:
        """Its caller waits no longer, or the connection is lost: no answer is owed."""
        if request.reply is None:
            return
        self.touch()
        request.reply = None
        self.counters.add("gone", request.tenant)
        self.events.append(api.RequestAbandoned(request.number))
        if request.stage not in UNDER_WAY:
            self.drop_unrun(request.number)

    def load(self) -> float:
        """How busy the cores are, as the kernel last said: 0 where it says nothing of that."""
        told = dict(zip(self.settings.gauges, self._gauges, strict=False))
        return told.get("cpu_busy", 0.0)

    def told_gauges(self) -> tuple[float, ...]:
        """As the kernel last said them, in the order of the settings; () before its first word."""
        return self._gauges

    def speed(self) -> float:
        """The least share of full speed that the settings promise at this age of the kernel: 1 once warm."""
        if not self._cold or self.settings.warm_up_ms <= 0:
            return 1.0
        part = min(1.0, (self.clock.now - self._born) / (self.settings.warm_up_ms * MS))
        return self.settings.warm_up_initial_speed + (1 - self.settings.warm_up_initial_speed) * part

    def held(self) -> tuple[int, int]:
        """How many are held, and the age of the oldest in us."""
        came = [r.came for r in self.table.by_number.values() if r.stage is Stage.HELD]
        return len(came), max(0, self.clock.now - min(came)) if came else 0

    @property
    def left_us(self) -> int:
        """Of the time to leave in; 0 before the notice."""
        return 0 if self._stop_at is None else max(0, self._stop_at - self.clock.now)

    def drain(self, stop_ms: float, replaced: bool = False) -> None:
        """The notice to end; `replaced`: for this process alone, another one serves on."""
        if self._stop_at is None:
            self.touch()
            self._stop_at, self.replaced = self.clock.now + round(stop_ms * MS), replaced
            self.events.append(api.DrainNotice(stop_ms, replaced))
            self.watch.changed()

    # ---- beside another process of this runner ----

    def memory_kb(self) -> float:
        """What the requests here are booked for in the kernel, about."""
        factor = self.settings.run_memory_factor
        return sum(
            r.arrival.memory_kb * (factor if r.stage is Stage.RUNNING else 1.0)
            for r in self.table.by_number.values()
        )

    def beside(self, on_cores: int, running: int, memory_kb: float) -> None:
        """What the process that this one replaces still takes."""
        self.touch()
        self._beside = api.PredecessorLoad(on_cores, running, memory_kb)
        self.events.append(self._beside)

    def keyed_windows(self) -> list[float]:
        return [
            c.idempotency_window_ms
            for c in self.settings.classes
            if c.effect is api.Effect.IDEMPOTENT_WITH_KEY
        ]

    def unsure_for_a_window(self) -> None:
        self.keys.unsure_until = window_end(self.clock.now, max(self.keyed_windows(), default=0.0))

    # ---- what links tell ----

    def kernel_up(self, cold: bool, age_ms: float) -> None:
        """The first word of the kernel. Warming counts from its start, which may lie long before or after ours."""
        self.touch()
        if self._balancer is None:
            self._cold, self._born = cold, self.clock.now - round(age_ms * MS)
            self._open_module()
            self._kernel.ask_gauges()
            self.up()

    def link_up(self) -> None:
        self.touch()
        self.link_since = None
        self.watch.link_up(self.clock.now)

    def link_lost(self) -> None:
        self.touch()
        if self.link_since is None:
            self.link_since = self.clock.now
        self.watch.link_lost(self.clock.now)

    def kernel_read_again(self, read: int) -> None:
        """A new link to the kernel has read its replay. `read`: how many commands the kernel is known to have read."""
        self.touch()
        said = self.runs.say_again(read, self._is_wanted)
        self.counters.add("kernel commands said again", by=len(said.runs) + len(said.replies))
        self.counters.add("kernel replies that may be lost", by=len(said.uncertain))
        for number in said.uncertain:
            self._reply_is_uncertain(number)
        for number in said.unwanted:
            if (run := self.runs.get(number)) is not None:
                self.run_over(run.request.rid, Ending.RUN_NEVER_BEGAN, b"")
        if said.runs or said.replies or said.uncertain:
            log.info(
                "said again on a new link to the kernel: %d runs, %d replies; may be lost: %s",
                len(said.runs),
                len(said.replies),
                self._rids(said.uncertain) or "none",
            )

    def _is_wanted(self, request: Request) -> bool:
        """Its caller waits, or that of a repeat of it."""
        entry = self.keys.of_try(request.number)
        return request.reply is not None or (entry is not None and bool(entry.waiters))

    def _rids(self, numbers: list[int]) -> str:
        return " ".join(
            self.table.by_number[n].rid for n in numbers[:MOST_NAMED] if n in self.table.by_number
        )

    def _reply_is_uncertain(self, number: int) -> None:
        if (request := self.table.by_number.get(number)) is not None:
            due = max(request.due, self.clock.now)
            self.alarms.at(due, lambda: self.runs.stop_uncertain(number))

    def gauges(self, values: tuple[float, ...]) -> None:
        """As the kernel tells them, in the order of the settings."""
        self._gauges, self.gauges_at = values, self.clock.now

    def run_over(self, rid: str, ending: Ending, body: bytes) -> None:
        self.touch()
        request = self.table.by_rid.get(rid)
        if request is None or (run := self.runs.over(request.number)) is None:
            return  # told twice
        if ending is Ending.RUN_NOT_ACCEPTED and run.known:
            log.error("the kernel takes back a run that it had begun: %s", rid)
        self.calls.drop(request.number)
        self.demand.ran(request, run.core_us(self.clock.now, self.settings.cores, self.runs.on_cores + 1))
        passed = ending is Ending.RUN_PASSED
        self.counters.add("runs " + ("passed" if passed else "not passed"), request.tenant)
        self.answer(
            request,
            Answer(Verdict.SERVED, body)
            if passed
            else Answer(Verdict.FAILED, cause=FAILED_BY.get(ending, Cause.RUN_FAILED)),
        )
        self.over(request, ending)
        for waiter in self.keys.settle(request.number, body if passed else None):
            self.shared(waiter, body if passed else None)

    def command_refused(self, command: str, rid: str) -> None:
        """EINVAL. Only a run that the kernel never took up ends by it; other commands came too late."""
        self.counters.add("commands refused")
        request = self.table.by_rid.get(rid)
        run = self.runs.get(request.number) if request else None
        log.warning("the kernel refused %s for %s", command, rid)
        if command == "SCHED" and run is not None and not run.known:
            self.run_over(rid, Ending.RUN_NOT_ACCEPTED, b"")

    def call_needed(self, rid: str, notice: int, body: bytes) -> None:
        self.touch()
        request = self.table.by_rid.get(rid)
        if request is not None and self.runs.needs_call(request.number, notice, body):
            self.calls.drop(request.number)
            self.events.append(api.CallNeeded(request.number))

    def call_over(self, number: int, ending: Ending, body: bytes) -> None:
        self.touch()
        took = self.calls.end(number, ending)
        if took is None:
            return  # given up before
        outcome = OUTCOMES[ending]
        self.counters.add("calls " + ("answered" if outcome is api.Outcome.OK else ending.value))
        if outcome is api.Outcome.OK:
            self.runs.go_on(number, body)
        self.events.append(api.CallEnded(number, outcome, took))

    # ---- how requests go on and end ----

    def command(self, request: Request) -> None:
        """Have the kernel run it, unless another try holds its key."""
        if request.key is not None and not self.keys.runs(
            request.number, self.clock.now, request.cls.idempotency_window_ms
        ):
            # Never twice by one key, whatever the module says.
            log.error("request %s was to run, and another try holds its key", request.rid)
            self.answer(request, Answer(Verdict.FAILED, cause=Cause.FAULT))
            self.over(request, Ending.RUN_NOT_ACCEPTED)
            return
        request.stage = Stage.RUNNING
        self.counters.add("runs", request.tenant)
        self.runs.start(request)

    def drop_unrun(self, number: int) -> None:
        """Over without a run of its own."""
        request = self.table.by_number.get(number)
        if request is None or request.stage in UNDER_WAY:
            return
        if request.reply is not None:
            return  # a key is forgotten before its request is over: the table keeps it until then
        self.table.remove(request)
        for waiter in self.keys.drop(number):
            self.shared(waiter, None)

    def shared(self, number: int, result: bytes | None) -> None:
        """A request that waited for the result of another try; None: there is none."""
        request = self.table.by_number.get(number)
        if request is None:
            return
        self.touch()
        self.answer(
            request,
            Answer(Verdict.FAILED, cause=Cause.NO_RESULT)
            if result is None
            else Answer(Verdict.SERVED, result),
        )
        self.over(request, Ending.RUN_FAILED if result is None else Ending.RUN_PASSED)

    def over(self, request: Request, ending: Ending) -> None:
        """Its run, or its wait for another's, has ended so."""
        took = (self.clock.now - request.came) / MS
        self.events.append(api.RunEnded(request.number, OUTCOMES[ending], took))
        self.touch()
        self.table.remove(request)

    # ---- answers ----

    def answer(self, request: Request, answer: Answer) -> None:
        """The one place where an answer is given: once, as the way back is taken off the request."""
        reply, request.reply = request.reply, None
        if reply is not None:
            self.counters.add(answer.verdict.value, request.tenant)
            if answer.verdict is Verdict.REFUSED:
                self.demand.refused(request)
            if answer.verdict is Verdict.FAILED:
                self.counters.add("failed: " + answer.cause.value)
            reply.answer(request.tag, answer, self.hint)

    def answer_all(self) -> None:
        """The program ends: the module has its last say on what came until now, and what is still owed then is answered
        without it."""
        self.touch()
        self.turn_over()
        for request in [r for r in self.table.by_number.values() if r.reply is not None]:
            alone = request.key is None or isinstance(
                self.coordinator, NoCoordinator
            )  # else other runners may go on with it
            never_ran = request.stage is Stage.HELD and request.repeats is None and alone
            self.answer(
                request,
                Answer(
                    Verdict.REFUSED if never_ran else Verdict.FAILED,
                    cause=Cause.STOPPING,
                    backoff_ms=BUSY_MS if never_ran else 0.0,
                ),
            )

    # ---- new settings ----

    def retune(self, plan: Plan) -> None:
        """Between two turns: what was read before is decided first, by the settings that it was read under."""
        self.touch()
        if self.events:
            self.turn_over()
            self.touch()
        self.settings = plan.settings
        self.intake.follow(plan.settings)
        if self._balancer is not None:
            settings = replace(plan.settings, warming_up=self._opened_cold)
            self.events.append(api.Reconfiguration(settings, plan.classes, plan.tenants))
