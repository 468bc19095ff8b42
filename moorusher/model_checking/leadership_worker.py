"""A worker for simulated duties that submits every kind of effect."""

from __future__ import annotations

from typing import Protocol

from ..leadership.effects import Completed, FencedRequest, IntentRequest, Outcome, StateUpdate
from ..leadership.errors import LeadershipError
from ..leadership.lease_holder import LeaseHolder
from ..leadership.lease_record import Intent, IntentResolution
from ..time_units import MS
from .cluster_process import Process
from .leadership_history import AcknowledgedUpdate, DutyHistory, append_number

EFFECT_INTERVAL_MS = (20, 300)  # Minimum and maximum time between effects.
STATE_UPDATE_SHARE = 0.4  # Share of effects that update the state.
FENCED_SHARE = 0.3  # Share of effects that send a fenced request; the others do a job.


class DutyEnvironment(Protocol):
    """The part of the simulation that a worker uses.

    Attributes:
        histories: History of each duty.
    """

    histories: dict[str, DutyHistory]

    def next_update_number(self) -> int:
        """Return a number for the next state update."""

    def next_job(self) -> bytes:
        """Return a new job."""


class RandomWorker:
    """A worker that submits effects of randomly drawn kinds at random intervals."""

    def __init__(self, process: Process, environment: DutyEnvironment, lease: LeaseHolder) -> None:
        self._process = process
        self._environment = environment
        self._lease = lease
        self._history = environment.histories[lease.name]
        self._is_stopped = False
        self._state = lease.state
        lease.intents.on_resolved = self._on_resolved

    def start(self) -> None:
        """Record the leader of the term, and schedule the first effect."""
        record = self._lease.record
        self._history.leaders[record.generation, record.term].add(self._process.number)
        self._schedule()

    def before_release(self) -> None:
        """Submit a last state update before the lease is released."""
        self._update_state()

    def stop(self, reason: LeadershipError | None) -> None:
        """Stop submitting effects."""
        self._is_stopped = True

    def _schedule(self) -> None:
        sim = self._process.sim
        delay_us = round(sim.random.uniform(*EFFECT_INTERVAL_MS) * MS)
        sim.at(sim.now + delay_us, self._process, self._submit)

    def _submit(self) -> None:
        if self._is_stopped:
            return
        kind = self._process.sim.random.random()
        if kind < STATE_UPDATE_SHARE:
            self._update_state()
        elif kind < STATE_UPDATE_SHARE + FENCED_SHARE:
            self._lease.submit(FencedRequest("r", b"x"), self._on_outcome)
        else:
            self._do_job()
        self._schedule()

    def _update_state(self) -> None:
        number = self._environment.next_update_number()
        self._state = append_number(self._state, number)  # The state also contains unacknowledged updates.

        def on_outcome(outcome: Outcome) -> None:
            if isinstance(outcome, Completed):
                now = self._process.sim.now
                self._history.acknowledged.append(AcknowledgedUpdate(number, now))
            self._on_outcome(outcome)

        self._lease.submit(StateUpdate(self._state), on_outcome)

    def _do_job(self) -> None:
        job = self._environment.next_job()
        resolution = self._process.sim.random.choice(list(IntentResolution))
        if resolution == IntentResolution.REPEAT:
            self._history.idempotent.add(job)

        def on_outcome(outcome: Outcome) -> None:
            if isinstance(outcome, Completed) and outcome.done:
                self._history.reported_done.append(job)
            self._on_outcome(outcome)

        self._lease.submit(IntentRequest("s", job, resolution), on_outcome)

    def _on_outcome(self, outcome: Outcome) -> None:
        if isinstance(outcome, Completed):
            self._history.effect_times_us.append(self._process.sim.now)

    def _on_resolved(self, intent: Intent, done: bool) -> None:
        jobs = self._history.reported_done if done else self._history.resolved_undone
        jobs.append(intent.payload)
