"""A runner and its callers that are generated from a seed, and check every invariant of the scheduler on the way.

The invariants: every request gets one final answer, by its deadline; nothing that may have run is rejected, and no key
runs twice; memory and the number of runs stay within their bounds; no action is about a request that is unknown or in
another state.
"""

from __future__ import annotations

import random
from typing import Any

from moorusher.scheduling import Scheduler
from moorusher.scheduling import interface as api

from ..helpers import request, settings

DAY_MS = 17_000.0
ARRIVALS_UNTIL_MS = 12_000.0
DRAIN_FROM_MS = 9_000.0
DRAIN_LASTS_MS = 4_000.0
LONG_PAUSE_MS = 300.0  # of the whole process; answers may be late by so much
RUN_EXTRA_KB = 30.0  # what a run of helpers.request takes beyond the queued request
NOT_DRAINING = 1e9


class GeneratedDay:
    """One runner from its start to the last answer, or to its stop.

    Attributes:
        log: all actions, with their times.
        requests: by id: the request, and when it was sent.
        owed: by id: when the answer is due.
        ran: ids whose run was started.
        running: by id: when the run ends or comes to its call.
        at_call: ids that wait for their call to go out.
        calling: by id: when the call ends.
        sharing: ids that wait for another's result.
        entries: by id: until when the entry of the key is kept.
        first_of_subject: by subject: the request that has its key.
        timers: when timers are due.
        next_events: events that follow from the last actions.
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
        self.log: list[tuple[float, api.Action]] = [(0.0, action) for action in self.scheduler.open(0.0)]
        self.requests: dict[int, tuple[api.Request, float]] = {}
        self.owed: dict[int, float] = {}
        self.ran: set[int] = set()
        self.running: dict[int, float] = {}
        self.at_call: set[int] = set()
        self.calling: dict[int, float] = {}
        self.sharing: set[int] = set()
        self.entries: dict[int, float] = {}
        self.first_of_subject: dict[int, int] = {}
        self.timers: list[float] = []
        self.next_events: list[api.Event] = []

    def play(self) -> list[tuple[float, api.Action]]:
        """Play the day to its end; all actions, with their times."""
        while self.now < DAY_MS:
            self.now += self._pause_ms()
            if self.now > self.stop_at:
                break
            for action in self.scheduler.step(self.now, self._events()):
                self.log.append((self.now, action))
                self._carry_out(action)
            self._check_bounds()
        assert not self.owed
        return self.log

    # ---- events ----

    def _pause_ms(self) -> float:
        if self.rng.random() > 0.01 or self.now > self.stop_at - 400.0:
            return self.rng.choice([2.0, 5.0, 5.0, 10.0, 30.0])
        return LONG_PAUSE_MS

    def _events(self) -> list[api.Event]:
        events, self.next_events = self.next_events, []
        if self.rng.random() < 0.01:
            self.slowness = self.rng.choice([0.5, 1.0, 6.0])
        events += self._ends_of_runs()
        events += self._ends_of_calls()
        events += self._shared_results()
        if any(due <= self.now for due in self.timers):
            self.timers = [due for due in self.timers if due > self.now]
            events.append(api.Timer(0, (self.rng.random(),)))
        count = self.rng.choice([0, 0, 1, 1, 3]) if self.now < ARRIVALS_UNTIL_MS else 0
        events += [self._arrival() for _ in range(count)]
        if self.drains and self.drain_at == NOT_DRAINING and self.now > DRAIN_FROM_MS:
            self.drain_at = self.now
            self.stop_at = self.now + DRAIN_LASTS_MS
            events.append(api.DrainNotice(DRAIN_LASTS_MS))
        return events

    def _ends_of_runs(self) -> list[api.Event]:
        events: list[api.Event] = []
        for request_id in [one for one, end in self.running.items() if end <= self.now]:
            del self.running[request_id]
            may_call = self._class_of(request_id).may_call
            if may_call and request_id in self.owed and self.rng.random() < 0.5:
                self.at_call.add(request_id)
                events.append(api.CallNeeded(request_id))
            else:
                outcome = self.rng.choice([api.ExecutionOutcome.OK] * 9 + [api.ExecutionOutcome.ERROR])
                events.append(api.RunEnded(request_id, outcome))
                self.owed.pop(request_id, None)
        return events

    def _ends_of_calls(self) -> list[api.Event]:
        events: list[api.Event] = []
        for request_id in [one for one, end in self.calling.items() if end <= self.now]:
            del self.calling[request_id]
            outcome = self.rng.choice(
                [api.ExecutionOutcome.OK] * 3 + [api.ExecutionOutcome.FULL, api.ExecutionOutcome.TIMEOUT]
            )
            events.append(api.CallEnded(request_id, outcome, 40.0))
            if outcome is api.ExecutionOutcome.OK:
                self.running[request_id] = self.now + 20.0
            else:
                self.at_call.add(request_id)
        return events

    def _shared_results(self) -> list[api.Event]:
        events: list[api.Event] = []
        for request_id in sorted(self.sharing):
            if self.rng.random() < 0.1:
                self.sharing.discard(request_id)
                self.owed.pop(request_id, None)
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
            self.owed[arrival.id] = self.now + arrival.ttl_ms
        else:
            self.owed[arrival.id] = max(self.now, sent_at + request_class.deadline_ms)
        self.next_id += 1
        return arrival

    def _set_key(self, arrival: api.Request, subject: int) -> None:
        prior = self.first_of_subject.get(subject)
        if prior is not None and (prior in self.owed or self.entries.get(prior, 0.0) > self.now):
            arrival.repeat_of = prior
        else:
            self.first_of_subject[subject] = arrival.id

    # ---- actions ----

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self.timers.append(self.now + action.delay_ms)
        elif isinstance(action, api.Signal):
            assert self.settings.signal is not api.SignalKind.OFF
            assert action.value >= 0
        elif request_id := getattr(action, "id", 0):
            if request_id not in self.requests:
                raise AssertionError(f"names an unknown request: {action}")
            self._carry_out_for(request_id, action)

    def _carry_out_for(self, request_id: int, action: api.Action) -> None:
        if isinstance(action, api.Start):
            self._start(request_id)
        elif isinstance(action, (api.Reject, api.Fail)):
            self._answer(request_id, action)
        elif isinstance(action, api.Stop):
            assert self.settings.preemption is not api.Preemption.OFF
            assert request_id not in self.owed
            self.running.pop(request_id, None)
            self.next_events.append(api.RunEnded(request_id, api.ExecutionOutcome.CANCELLED))
        elif isinstance(action, api.StartCall):
            assert request_id in self.at_call
            self.at_call.discard(request_id)
            self.calling[request_id] = self.now + self.rng.expovariate(1 / 60.0)
        elif isinstance(action, api.SkipCall):
            assert request_id in self.at_call or request_id in self.calling
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
        assert request_id in self.owed
        assert request_id not in self.ran
        assert self._repeat_of(request_id) not in self.ran
        assert self._sent_at(request_id) <= self.drain_at + self.settings.drain_grace_ms
        self.ran.add(request_id)
        self.running[request_id] = self.now + self.rng.expovariate(1 / 120.0) * self.slowness

    def _answer(self, request_id: int, action: api.Reject | api.Fail) -> None:
        assert self.owed.pop(request_id, None) is not None, f"second answer {action}"
        if isinstance(action, api.Reject) and self._class_of(request_id).effect is not api.Effect.IDEMPOTENT:
            assert request_id not in self.ran
            assert self._repeat_of(request_id) is None
        self.sharing.discard(request_id)
        if request_id in self.at_call or request_id in self.calling:
            self._leave_call(request_id)
            self.next_events.append(api.RunEnded(request_id, api.ExecutionOutcome.CANCELLED))

    def _leave_call(self, request_id: int) -> None:
        self.at_call.discard(request_id)
        self.calling.pop(request_id, None)

    # ---- checks ----

    def _check_bounds(self) -> None:
        slack_ms = self.settings.answer_slack_ms + LONG_PAUSE_MS
        late = [request_id for request_id, due in self.owed.items() if self.now > due + slack_ms]
        assert not late
        started = len(self.running) + len(self.at_call) + len(self.calling)
        outstanding_kb = sum(self.requests[request_id][0].memory_kb for request_id in self.owed)
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
