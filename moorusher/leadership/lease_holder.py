"""A duty at its leader for one term: the duty's state, the queued effects and the end of the term.

Every effect starts with a change of the duty's register, which a majority must accept. So a leader without a majority
can't start an effect, and a former leader learns from the register that its term has ended.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from ..replication.proposer import CarriedPromise
from ..replication.work_record import KeyDigest
from ..time_units import MS
from .effect_executor import EffectExecutor
from .effects import Completed, Effect, IntentRequest, Outcome, OutcomeCallback
from .errors import (
    LeaderBusyError,
    LeadershipError,
    LeaseSupersededError,
    LimitExceededError,
    StateDamagedError,
)
from .holder_changes import ClearLostLeaders, ReleaseLease, StartRelease
from .intent_resolution import IntentResolver
from .lease_interface import LeaderContext
from .lease_record import MAX_INTENT_BYTES, LeaseRecord, LeaseStatus
from .lease_register import LeaseRegister
from .serial_queue import SerialQueue, ignore_outcome

MAX_QUEUED_EFFECTS = 64
# Timeout for fetching the state of the previous leader at the start of a term.
FETCH_TIMEOUT_US = 3_000 * MS
# Delay before a register request without a majority, or a fetch without a result, is retried.
RETRY_US = 1_000 * MS


class LeaseStage(Enum):
    """Stage of a term at its leader. The values appear in the API and in messages to operators."""

    # The state is being fetched.
    STARTING = "starting"
    ACTIVE = "held"
    # The leader finishes queued effects and accepts no new ones.
    RELEASING = "yielding"
    ENDED = "over"


class LeaseObserver(Protocol):
    """Is notified of the start and the end of a term."""

    def started(self, lease: LeaseHolder) -> None:
        """Called when the state is available and the work can start."""

    def ended(self, lease: LeaseHolder, reason: LeadershipError | None) -> None:
        """Called when the term has ended. `reason` is None after an orderly release."""


class LeaseHolder:
    """A duty at its leader, for one term.

    Attributes:
        context: Objects that all leases of the member share.
        key: Key of the duty's register.
        register: Register of the lease.
        stage: Stage of the term.
        state: The duty's state as last acknowledged by a majority.
        since_us: Time at which the lease was acquired.
        last_error: Error of the latest effect or state fetch; None if it succeeded.
        intents: Resolver of the duty's intents.
    """

    effect_executor_class: type[EffectExecutor] = EffectExecutor

    def __init__(
        self,
        context: LeaderContext,
        observer: LeaseObserver,
        key: KeyDigest,
        record: LeaseRecord,
        carried_promise: CarriedPromise | None,
    ) -> None:
        self.context = context
        self._observer = observer
        self.key = key
        # The promise obtained with the acquisition saves the first change one round trip.
        self.register = LeaseRegister(context.services, key, record, carried_promise, self.superseded)
        self.stage = LeaseStage.STARTING
        self.state = b""
        self.since_us = context.services.now()
        self.last_error: LeadershipError | None = None
        self.intents = IntentResolver(self)
        self._executor = self.effect_executor_class(self, self.intents)
        self._queue = SerialQueue(self._release_when_idle)
        # Seat to which the lease is offered first; set from `release` until the queue is empty.
        self._offered_to: str | None = None
        if record.versions:
            self._fetch_state()
        else:
            self._activate(b"")

    @property
    def name(self) -> str:
        """Name of the duty."""
        return self.record.name

    @property
    def record(self) -> LeaseRecord:
        """The lease record as last read."""
        return self.register.record

    @property
    def is_ended(self) -> bool:
        """Whether the term has ended."""
        return self.stage is LeaseStage.ENDED

    @property
    def is_active(self) -> bool:
        """Whether the lease is held and not being released."""
        return self.stage is LeaseStage.ACTIVE and self.record.status == LeaseStatus.HELD

    # ---- start ----

    def _fetch_state(self) -> None:
        deadline_us = self.context.services.now() + FETCH_TIMEOUT_US
        self.context.fetching.fetch(self.key, self.record.versions[0], deadline_us, self._on_state)

    def _on_state(self, state: bytes | None) -> None:
        if self.stage is not LeaseStage.STARTING:
            return
        if state is None:
            # Keep the lease and retry: the state becomes available once replicas that store it rejoin.
            self.last_error = StateDamagedError(f"{self.name}: no whole copy of its state")
            self.context.services.count("duties: state not found")
            self.context.services.after(RETRY_US, self._fetch_state)
            return
        self._activate(state)

    def _activate(self, state: bytes) -> None:
        self.state = state
        self.stage = LeaseStage.ACTIVE
        self.last_error = None
        self.context.replication.announce_chosen(self.key, self.record)
        self._observer.started(self)
        self.intents.resolve_open()
        if self.record.lost_leaders:
            stable_after_us = round(self.context.policy.probation_ms * MS)
            self.context.services.after(stable_after_us, self._clear_lost_leaders)

    def _clear_lost_leaders(self) -> None:
        if self.stage is LeaseStage.ACTIVE and self.record.lost_leaders:
            self.enqueue(lambda: self.register.change(self.finish, ClearLostLeaders), ignore_outcome)

    # ---- effects, executed one at a time ----

    def submit(self, effect: Effect, callback: OutcomeCallback) -> None:
        """Queue an effect for execution.

        :param callback: Called once with the outcome: Completed, or one of LeaderBusyError, LimitExceededError,
            NoMajorityError, LeaseSupersededError, ReceiverUnreachableError, IntentUncertainError and
            RegistersLostError. After NoMajorityError a state update may still be applied later.
        """
        if self.is_ended:
            return callback(_ended_error(self.record))
        if self.stage is not LeaseStage.ACTIVE or len(self._queue) >= MAX_QUEUED_EFFECTS:
            return callback(LeaderBusyError(f"{self.name}: {self.stage.value}"))
        if isinstance(effect, IntentRequest) and len(effect.payload) > MAX_INTENT_BYTES:
            size = len(effect.payload)
            return callback(
                LimitExceededError(f"{self.name}: an intent of {size} bytes; {MAX_INTENT_BYTES} at most")
            )
        return self.enqueue(lambda: self._executor.execute(effect), callback)

    def enqueue(self, run: Callable[[], None], callback: OutcomeCallback) -> None:
        """Queue a step; it must end with a call of `finish`."""
        self._queue.add(run, callback)

    def finish(self, outcome: Outcome) -> None:
        """End the running step with its outcome and start the next step."""
        if self.is_ended:
            return
        step = self._queue.complete()
        self.last_error = outcome if isinstance(outcome, LeadershipError) else None
        step.callback(outcome)
        self._queue.start_next()

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Call `action` after the delay unless the term has ended by then."""

        def run_action() -> None:
            if not self.is_ended:
                action()

        self.context.services.after(delay_us, run_action)

    # ---- verification of the lease ----

    def check(self) -> None:
        """Verify that the lease is still held; retry until a majority answers. Used after a pause of the process."""

        def verified(found: LeaseRecord | None) -> None:
            if found is None:
                self.context.services.after(RETRY_US, self.check)

        if not self.is_ended:
            self.register.verify(verified)

    # ---- end of the term ----

    def release(self, offered_to: str = "") -> None:
        """Accept no new effects, and release the lease once the queued effects have ended.

        :param offered_to: Seat to which the lease is offered first; empty for any candidate.
        """
        if self.stage is LeaseStage.STARTING:
            self.stage = LeaseStage.ACTIVE
        if self.stage is not LeaseStage.ACTIVE:
            return
        self.stage = LeaseStage.RELEASING
        self._offered_to = offered_to
        self.enqueue(lambda: self.register.change(self.finish, StartRelease), ignore_outcome)

    def _release_when_idle(self) -> None:
        if self._offered_to is not None and self.stage is LeaseStage.RELEASING:
            offered_to = self._offered_to
            self._offered_to = None
            self._send_release(offered_to)

    def _send_release(self, offered_to: str) -> None:
        self._queue.is_blocked = True

        def released(outcome: Outcome) -> None:
            self._queue.is_blocked = False
            if isinstance(outcome, Completed):
                self.context.replication.announce_chosen(self.key, self.record)
                self.context.services.count("duties: given up")
                return self.end(None)
            # Without confirmation by a majority the lease is still held.
            return self.after(RETRY_US, lambda: self._send_release(offered_to))

        self.register.change(released, ReleaseLease, offered_to)

    def superseded(self, found: LeaseRecord | None) -> None:
        """Called when the lease is no longer held: end the term and drop the state."""
        self.context.services.count("duties: superseded")
        if found is None:
            self.end(_ended_error(self.record))
        else:
            self.end(LeaseSupersededError(self.name, self.record.term, found.holder, found.term))

    def end(self, reason: LeadershipError | None) -> None:
        """End the term; unfinished effects get `reason` as outcome. It is None after an orderly release."""
        if self.is_ended:
            return
        unfinished = self._queue.close()
        self.stage = LeaseStage.ENDED
        self.state = b""
        self.register.close()
        self._observer.ended(self, reason)
        for step in unfinished:
            step.callback(reason or _ended_error(self.record))


def _ended_error(record: LeaseRecord) -> LeaseSupersededError:
    """Return the error for a term that has ended if no later leader is known."""
    return LeaseSupersededError(record.name, record.term, None, record.term)
