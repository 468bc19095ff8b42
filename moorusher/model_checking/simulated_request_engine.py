"""A simulated queue and kernel, which run keyed work: they take random times and produce unique results."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..replication.work_events import (
    BodyDiffers,
    ClaimGranted,
    ClaimJoined,
    ClaimUncovered,
    HandedOver,
    RejectedByAll,
    ResultKnown,
    StartConfirmed,
    StartLost,
    StartUncovered,
    WorkEvent,
    WorkInHand,
)
from ..replication.work_record import KeyDigest, WorkRequest
from ..time_units import MS, SECOND
from .cluster_history import Answer, AnswerKind, Request, Run

if TYPE_CHECKING:
    from .cluster_process import Process

MEAN_QUEUE_S = 0.3
MEAN_RUN_S = 0.2
REJECTION_DELAY_US = 5 * MS  # Time from a takeover until the work is rejected.
MEAN_EXPIRY_S = 1.0  # Time that a request which is rejected spends in the queue.
BODY_DIGEST = 1  # Digest of the request body, which is the same for all requests.


class KeyState(Enum):
    """The state of a key in one process."""

    CLAIMING = "claiming"
    QUEUED = "held"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    ELSEWHERE = "another process has it"


IN_HAND = (KeyState.QUEUED, KeyState.STARTING, KeyState.RUNNING)


class SimulatedRequestEngine:
    """The queue and the kernel of one process.

    Attributes:
        states: Maps a key to its state in this process.
        results: Maps a finished key to its result.
        received_at: Maps a key to the time in us at which its request was received.
        kernel_is_up: Whether the kernel can run work.
    """

    def __init__(self, process: Process) -> None:
        self._process = process
        self._sim = process.sim
        self._history = process.sim.history
        self.states: dict[KeyDigest, KeyState] = {}
        self.results: dict[KeyDigest, bytes | None] = {}
        self.received_at: dict[KeyDigest, int] = {}
        self.kernel_is_up = True

    # ---- requests ----

    def receive_request(self, key: KeyDigest) -> None:
        """Receive a client's request for a key, and claim the key."""
        if key in self.states or self._process.draining or not self.kernel_is_up:
            return
        now = self._sim.now
        self.received_at[key] = now
        self._history.requests.append(Request(key, self._process.number, now))
        request = WorkRequest("r", "write", None, key.decode(), b"", now / MS, None, 0, 0.0, 0.0, None)
        self.states[key] = KeyState.CLAIMING
        expires_at = now + self._sim.longest_window_us
        self._process.node.claim(key, BODY_DIGEST, request, expires_at, answer_by=expires_at)

    def accept_takeover(self, key: KeyDigest, request: WorkRequest) -> None:
        """Queue work of another runner. With the scenario's probability, reject it after `REJECTION_DELAY_US`."""
        self.received_at[key] = round(request.arrived_unix_ms * MS)
        if self._sim.random.random() < self._sim.scenario.rejection:
            self._sim.at(self._sim.now + REJECTION_DELAY_US, self._process, lambda: self._reject(key))
            self.states[key] = KeyState.QUEUED
        else:
            self._enqueue(key)

    def _reject(self, key: KeyDigest) -> None:
        if self.states.get(key) is KeyState.QUEUED:
            del self.states[key]
            self._process.node.release_work(key, rejected=True)

    def in_hand(self, key: KeyDigest) -> WorkInHand:
        """Return whether this process has a key's work in hand, whether the work has finished, and its result."""
        state = self.states.get(key)
        return WorkInHand(state in IN_HAND, state is KeyState.FINISHED, self.results.get(key))

    # ---- decisions of the node ----

    def on_event(self, event: WorkEvent) -> None:
        """Called when the node has decided something about a key."""
        key = event.key
        match event:
            case ClaimGranted():
                self._history.granted[key] = self._process.number
                if not self._may_expire(key):
                    self._enqueue(key)
            case ClaimJoined() | StartLost() | HandedOver():
                self.states[key] = KeyState.ELSEWHERE
            case BodyDiffers():
                self.states.pop(key, None)
            case ClaimUncovered():
                self._drop_request(key, AnswerKind.REJECTED if event.proven else AnswerKind.FAILED)
            case StartConfirmed():
                self.run(key)
            case StartUncovered():
                self.states.pop(key, None)
                self._process.node.release_work(key)
                self._answer(key, None, AnswerKind.FAILED)
            case ResultKnown():
                self.states[key] = KeyState.FINISHED
                self.results[key] = event.result
                self._answer(key, event.result, AnswerKind.SHARED)
            case RejectedByAll():
                self._drop_request(key, AnswerKind.REJECTED)
            case _:
                pass

    def _drop_request(self, key: KeyDigest, kind: AnswerKind) -> None:
        self.states.pop(key, None)
        self._answer(key, None, kind)

    def _answer(self, key: KeyDigest, result: bytes | None, kind: AnswerKind) -> None:
        self._history.answers.append(Answer(key, self._process.number, self._sim.now, result, kind))

    # ---- requests that are rejected before their runs ----

    def _may_expire(self, key: KeyDigest) -> bool:
        """Queue a request that is never started but rejected, with the scenario's probability."""
        scenario, random = self._sim.scenario, self._sim.random
        if not scenario.expiry or random.random() >= scenario.expiry:
            return False
        self.states[key] = KeyState.QUEUED
        wait_us = round(random.expovariate(1 / MEAN_EXPIRY_S) * SECOND)
        self._sim.at(self._sim.now + wait_us, self._process, lambda: self._expire(key))
        return True

    def _expire(self, key: KeyDigest) -> None:
        if self.states.get(key) is not KeyState.QUEUED:
            return
        del self.states[key]
        self.reject(key)

    def reject(self, key: KeyDigest) -> None:
        """Reject a queued request: answer it once the release of its key is confirmed."""

        def released(is_confirmed: bool) -> None:
            self._answer(key, None, AnswerKind.REJECTED if is_confirmed else AnswerKind.FAILED)

        self._process.node.release_work(key, on_released=released)

    # ---- queue and kernel ----

    def _enqueue(self, key: KeyDigest) -> None:
        self.states[key] = KeyState.QUEUED
        wait_us = round(self._sim.random.expovariate(1 / MEAN_QUEUE_S) * SECOND)
        self._sim.at(self._sim.now + wait_us, self._process, lambda: self.start(key))

    def start(self, key: KeyDigest) -> None:
        """Start queued work: ask the node to confirm that it may run."""
        if self.states.get(key) is KeyState.QUEUED and self.kernel_is_up:
            self.states[key] = KeyState.STARTING
            if not self._process.node.start_work(key):
                self.states[key] = KeyState.QUEUED

    def run(self, key: KeyDigest) -> None:
        """Run work whose start the node has confirmed."""
        if self.states.get(key) is not KeyState.STARTING:
            return
        self.states[key] = KeyState.RUNNING
        now = self._sim.now
        self._history.runs.append(Run(key, self._process.number, now, self.received_at[key]))
        duration_us = round(self._sim.random.expovariate(1 / MEAN_RUN_S) * SECOND)
        self._sim.at(now + duration_us, self._process, lambda: self._finish(key))

    def _finish(self, key: KeyDigest) -> None:
        if self.states.get(key) is not KeyState.RUNNING or not self.kernel_is_up:
            return
        self.states[key] = KeyState.FINISHED
        result = b"%d of %d" % (self._sim.now, self._process.number)
        self.results[key] = result
        self._history.results[key].add(result)
        self._process.node.finish_work(key, result)
        self._answer(key, result, AnswerKind.RAN)

    def restore_kernel(self) -> None:
        """End the kernel's outage: schedule the start of queued work, and finish the runs that it interrupted."""
        self.kernel_is_up = True
        for key, state in list(self.states.items()):
            if state is KeyState.QUEUED:
                self._enqueue(key)
            elif state is KeyState.RUNNING:
                self._finish(key)
