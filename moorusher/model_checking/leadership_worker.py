"""A worker of simulated duties that tries every kind of effect."""

from __future__ import annotations

from typing import Protocol

from ..leadership.effects import Completed, FencedRequest, IntentRequest, Outcome, StateUpdate
from ..leadership.errors import LeadershipError
from ..leadership.lease_holder import LeaseHolder
from ..leadership.lease_record import Intent, IntentResolution
from ..time_units import MS
from .cluster_process import Process
from .leadership_history import AcknowledgedUpdate, DutyHistory, append_number

EFFECT_INTERVAL_MS = (20, 300)  # least and most time
STATE_UPDATE_SHARE = 0.4  # of effects
FENCED_SHARE = 0.3


class DutyWorld(Protocol):
    """The simulation, as a worker sees it. `histories`: of each duty."""

    histories: dict[str, DutyHistory]

    def next_update_number(self) -> int:
        """Return the number of a further state update."""

    def next_job(self) -> bytes:
        """Return a further job."""


class RandomWorker:
    """Submits one effect after another, of a kind drawn anew each time."""

    def __init__(self, process: Process, world: DutyWorld, lease: LeaseHolder) -> None:
        self._process = process
        self._world = world
        self._lease = lease
        self._history = world.histories[lease.name]
        self._is_stopped = False
        self._state = lease.state
        lease.intents.on_resolved = self._on_resolved

    def start(self) -> None:
        """Begin."""
        record = self._lease.record
        self._history.leaders[record.generation, record.term].add(self._process.number)
        self._schedule()

    def before_release(self) -> None:
        """Hand a last state on."""
        self._update_state()

    def stop(self, reason: LeadershipError | None) -> None:
        """Submit nothing any more."""
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
        number = self._world.next_update_number()
        self._state = append_number(self._state, number)  # updates that are under way are in it, too

        def done(outcome: Outcome) -> None:
            if isinstance(outcome, Completed):
                now = self._process.sim.now
                self._history.acknowledged.append(AcknowledgedUpdate(number, now))
            self._on_outcome(outcome)

        self._lease.submit(StateUpdate(self._state), done)

    def _do_job(self) -> None:
        job = self._world.next_job()
        resolution = self._process.sim.random.choice(list(IntentResolution))
        if resolution == IntentResolution.REPEAT:
            self._history.idempotent.add(job)

        def done(outcome: Outcome) -> None:
            if isinstance(outcome, Completed) and outcome.done:
                self._history.reported_done.append(job)
            self._on_outcome(outcome)

        self._lease.submit(IntentRequest("s", job, resolution), done)

    def _on_outcome(self, outcome: Outcome) -> None:
        if isinstance(outcome, Completed):
            self._history.effect_times_us.append(self._process.sim.now)

    def _on_resolved(self, intent: Intent, done: bool) -> None:
        jobs = self._history.reported_done if done else self._history.resolved_undone
        jobs.append(intent.payload)
