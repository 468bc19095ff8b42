"""A simulated runner with callers that are generated from a seed. It checks the scheduler's invariants at each step.

The invariants: every request gets one final answer by its deadline; no request that may have run is rejected unless its
class is idempotent, and no key runs twice; memory and the number of runs stay within their limits; no action names an
unknown request or a request in a wrong state.
"""

from __future__ import annotations

import random
from typing import Any

from moorusher.scheduling import Scheduler
from moorusher.scheduling import interface as api

from ..helpers import request, settings

DAY_MS = 17_000.0
ARRIVALS_UNTIL_MS = 12_000.0
DRAIN_START_MS = 9_000.0
DRAIN_DURATION_MS = 4_000.0
LONG_PAUSE_MS = 300.0  # pause of the whole process; answers may be late by this time
RUN_EXTRA_KB = 30.0  # additional memory of a run of `helpers.request`
NOT_DRAINING = 1e9


class GeneratedDay:
    """A simulated day: one runner from its start to the last answer, or to its stop.

    Attributes:
        action_log: All actions, with their times.
        requests: The request and the time when it was sent, by id.
        deadlines: Time by which the answer is due, by id, for requests that are not answered.
        started: Ids of requests whose run was started.
        running: Time when the run ends or needs its call, by id.
        awaiting_call: Ids of requests whose call is not sent.
        calling: Time when the call ends, by id.
        sharing: Ids of requests that wait for the result of another request.
        entries: Time when the entry of the idempotency key expires, by id.
        first_of_subject: The request that owns the idempotency key, by subject.
        timers: Times of the outstanding timers.
        next_events: Events that result from the last actions.
    """

    def __init__(self, seed: int, changes: dict[str, Any]) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(**changes)
        self.scheduler = Scheduler(self.settings)
        self.drains = seed % 2 == 1
        self.now = 0.0
        self.next_id = 1
        self.drain_at = NOT_DRAINING
        self.stop_at = NOT_DRAINING
        self.slowness = 1.0
        self.action_log: list[tuple[float, api.Action]] = [
            (0.0, action) for action in self.scheduler.open(0.0)
        ]
        self.requests: dict[int, tuple[api.Request, float]] = {}
        self.deadlines: dict[int, float] = {}
        self.started: set[int] = set()
        self.running: dict[int, float] = {}
        self.awaiting_call: set[int] = set()
        self.calling: dict[int, float] = {}
        self.sharing: set[int] = set()
        self.entries: dict[int, float] = {}
        self.first_of_subject: dict[int, int] = {}
        self.timers: list[float] = []
        self.next_events: list[api.Event] = []

    def run(self) -> list[tuple[float, api.Action]]:
        """Simulate the runner until its last answer or its stop, and return all actions with their times."""
        while self.now < DAY_MS:
            self.now += self._pause_ms()
            if self.now > self.stop_at:
                break
            for action in self.scheduler.step(self.now, self._events()):
                self.action_log.append((self.now, action))
                self._execute(action)
            self._check_bounds()
        assert not self.deadlines
        return self.action_log

    # ---- events ----

    def _pause_ms(self) -> float:
        if self.rng.random() > 0.01 or self.now > self.stop_at - 400.0:
            return self.rng.choice([2.0, 5.0, 5.0, 10.0, 30.0])
        return LONG_PAUSE_MS

    def _events(self) -> list[api.Event]:
        events, self.next_events = self.next_events, []
        if self.rng.random() < 0.01:
            self.slowness = self.rng.choice([0.5, 1.0, 6.0])
        events += self._run_ends()
        events += self._call_ends()
        events += self._shared_results()
        if any(due <= self.now for due in self.timers):
            self.timers = [due for due in self.timers if due > self.now]
            events.append(api.Timer(0, (self.rng.random(),)))
        count = self.rng.choice([0, 0, 1, 1, 3]) if self.now < ARRIVALS_UNTIL_MS else 0
        events += [self._arrival() for _ in range(count)]
        if self.drains and self.drain_at == NOT_DRAINING and self.now > DRAIN_START_MS:
            self.drain_at = self.now
            self.stop_at = self.now + DRAIN_DURATION_MS
            events.append(api.DrainNotice(DRAIN_DURATION_MS))
        return events

    def _run_ends(self) -> list[api.Event]:
        events: list[api.Event] = []
        for request_id in [running_id for running_id, end in self.running.items() if end <= self.now]:
            del self.running[request_id]
            may_call = self._class_of(request_id).may_call
            if may_call and request_id in self.deadlines and self.rng.random() < 0.5:
                self.awaiting_call.add(request_id)
                events.append(api.CallNeeded(request_id))
            else:
                outcome = self.rng.choice([api.ExecutionOutcome.OK] * 9 + [api.ExecutionOutcome.ERROR])
                events.append(api.RunEnded(request_id, outcome))
                self.deadlines.pop(request_id, None)
        return events

    def _call_ends(self) -> list[api.Event]:
        events: list[api.Event] = []
        for request_id in [calling_id for calling_id, end in self.calling.items() if end <= self.now]:
            del self.calling[request_id]
            outcome = self.rng.choice(
                [api.ExecutionOutcome.OK] * 3 + [api.ExecutionOutcome.FULL, api.ExecutionOutcome.TIMEOUT]
            )
            events.append(api.CallEnded(request_id, outcome, 40.0))
            if outcome is api.ExecutionOutcome.OK:
                self.running[request_id] = self.now + 20.0
            else:
                self.awaiting_call.add(request_id)
        return events

    def _shared_results(self) -> list[api.Event]:
        events: list[api.Event] = []
        for request_id in sorted(self.sharing):
            if self.rng.random() < 0.1:
                self.sharing.discard(request_id)
                self.deadlines.pop(request_id, None)
                events.append(api.RunEnded(request_id, api.ExecutionOutcome.OK))
        return events

    def _arrival(self) -> api.Request:
        waited_ms = self.rng.choice([0.0, 5.0, 400.0])
        class_index = self.rng.randrange(len(self.settings.classes))
        subject = self.rng.randrange(40)
        request_class = self.settings.classes[class_index]
        arrival = request(
            self.next_id,
            self.rng.randrange(2),
            class_index,
            waited_ms=waited_ms,
            caller=self.rng.randrange(3),
            cost_hint_ms=self.rng.choice([None, 30.0]),
            ttl_ms=self.rng.choice([None, 900.0]),
        )
        if request_class.effect is api.Effect.IDEMPOTENT_WITH_KEY:
            self._set_key(arrival, subject)
        sent_at = self.now - waited_ms
        self.requests[arrival.id] = (arrival, sent_at)
        if arrival.ttl_ms:
            self.deadlines[arrival.id] = self.now + arrival.ttl_ms
        else:
            self.deadlines[arrival.id] = max(self.now, sent_at + request_class.deadline_ms)
        self.next_id += 1
        return arrival

    def _set_key(self, arrival: api.Request, subject: int) -> None:
        prior = self.first_of_subject.get(subject)
        if prior is not None and (prior in self.deadlines or self.entries.get(prior, 0.0) > self.now):
            arrival.repeat_of = prior
        else:
            self.first_of_subject[subject] = arrival.id

    # ---- actions ----

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self.timers.append(self.now + action.delay_ms)
        elif isinstance(action, api.Signal):
            assert self.settings.signal is not api.SignalKind.OFF
            assert action.value >= 0
        elif request_id := getattr(action, "id", 0):
            if request_id not in self.requests:
                raise AssertionError(f"action names an unknown request: {action}")
            self._execute_for_request(request_id, action)

    def _execute_for_request(self, request_id: int, action: api.Action) -> None:
        if isinstance(action, api.Start):
            self._start(request_id)
        elif isinstance(action, (api.Reject, api.Fail)):
            self._answer(request_id, action)
        elif isinstance(action, api.Stop):
            assert self.settings.preemption is not api.Preemption.OFF
            assert request_id not in self.deadlines
            self.running.pop(request_id, None)
            self.next_events.append(api.RunEnded(request_id, api.ExecutionOutcome.CANCELLED))
        elif isinstance(action, api.StartCall):
            assert request_id in self.awaiting_call
            self.awaiting_call.discard(request_id)
            self.calling[request_id] = self.now + self.rng.expovariate(1 / 60.0)
        elif isinstance(action, api.SkipCall):
            assert request_id in self.awaiting_call or request_id in self.calling
            assert self._class_of(request_id).value_fraction_without_call > 0
            self._leave_call(request_id)
            self.running[request_id] = self.now + 20.0
        elif isinstance(action, api.StoreKey):
            self.entries[request_id] = self.now + action.ttl_ms
            window_ms = self._class_of(request_id).idempotency_window_ms
            assert self.now + action.ttl_ms >= self._sent_at(request_id) + window_ms
        elif isinstance(action, api.DropKey):
            self.entries.pop(request_id, None)
        elif isinstance(action, api.ShareResult):
            self.sharing.add(request_id)

    def _start(self, request_id: int) -> None:
        assert request_id in self.deadlines
        assert request_id not in self.started
        assert self._repeat_of(request_id) not in self.started
        assert self._sent_at(request_id) <= self.drain_at + self.settings.drain_grace_ms
        self.started.add(request_id)
        self.running[request_id] = self.now + self.rng.expovariate(1 / 120.0) * self.slowness

    def _answer(self, request_id: int, action: api.Reject | api.Fail) -> None:
        assert self.deadlines.pop(request_id, None) is not None, f"request is answered twice: {action}"
        if isinstance(action, api.Reject) and self._class_of(request_id).effect is not api.Effect.IDEMPOTENT:
            assert request_id not in self.started
            assert self._repeat_of(request_id) is None
        self.sharing.discard(request_id)
        if request_id in self.awaiting_call or request_id in self.calling:
            self._leave_call(request_id)
            self.next_events.append(api.RunEnded(request_id, api.ExecutionOutcome.CANCELLED))

    def _leave_call(self, request_id: int) -> None:
        self.awaiting_call.discard(request_id)
        self.calling.pop(request_id, None)

    # ---- checks ----

    def _check_bounds(self) -> None:
        slack_ms = self.settings.answer_slack_ms + LONG_PAUSE_MS
        late = [request_id for request_id, due in self.deadlines.items() if self.now > due + slack_ms]
        assert not late
        started = len(self.running) + len(self.awaiting_call) + len(self.calling)
        outstanding_kb = sum(self.requests[request_id][0].memory_kb for request_id in self.deadlines)
        entries = sum(1 for end in self.entries.values() if end > self.now)
        reserved_kb = outstanding_kb + RUN_EXTRA_KB * started + self.settings.key_entry_kb * entries
        assert reserved_kb <= self.settings.memory_kb
        assert len(self.running) <= self.settings.cores * self.settings.survivable_runs_per_core

    def _class_of(self, request_id: int) -> api.RequestClass:
        return self.settings.classes[self.requests[request_id][0].class_index]

    def _sent_at(self, request_id: int) -> float:
        return self.requests[request_id][1]

    def _repeat_of(self, request_id: int) -> int | None:
        return self.requests[request_id][0].repeat_of
