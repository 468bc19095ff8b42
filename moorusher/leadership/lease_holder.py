"""One duty at its leader, for one term: its state, the effects that are under way, and how the term ends.

Every effect begins with a change of the duty's register that a majority takes. So a leader without a majority does
nothing new, and a former leader is told by the register itself that its term is over.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from ..membership.failure_detector import MS
from ..replication.proposer import CarriedPromise
from ..replication.work_record import Key
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
FETCH_TIMEOUT_US = 3_000 * MS  # for the state that the former leader has left
RETRY_US = 1_000 * MS  # of a register that no majority answered for, and of a fetch that found no state


class LeaseStage(Enum):
    """How far a term has come, at its leader. The values appear in the API and in messages to operators."""

    STARTING = "starting"  # the state is being fetched
    ACTIVE = "held"
    RELEASING = "yielding"  # finishes what is under way, starts nothing new
    ENDED = "over"


class LeaseObserver(Protocol):
    """Is told of the begin and the end of a term."""

    def started(self, lease: LeaseHolder) -> None:
        """The state is there: the work may begin."""

    def ended(self, lease: LeaseHolder, reason: LeadershipError | None) -> None:
        """The term is over; `reason` is None after a release in order."""


class LeaseHolder:
    """One duty at its leader, for one term.

    key: of the duty's register.
    register: of the lease; changes it.
    stage: Stage.
    state: bytes, the duty's state as last acknowledged by a majority.
    since_us: int, when the lease was acquired.
    last_error: why the last effect was not made, if so.
    intents: open intents.
    """

    effect_executor_class: type[EffectExecutor] = EffectExecutor

    def __init__(
        self,
        context: LeaderContext,
        observer: LeaseObserver,
        key: Key,
        record: LeaseRecord,
        hold: CarriedPromise | None,
    ) -> None:
        """`observer`: told of the begin and the end. `hold`: the promise of the acquisition; spares a round."""
        self.context = context
        self._observer = observer
        self.key = key
        self.register = LeaseRegister(context.services, key, record, hold, self.superseded)
        self.stage = LeaseStage.STARTING
        self.state = b""
        self.since_us = context.services.now()
        self.last_error: LeadershipError | None = None
        self.intents = IntentResolver(self)
        self._executor = self.effect_executor_class(self, self.intents)
        self._queue = SerialQueue(self._release_when_idle)
        self._release_to: str | None = None  # the first candidate, from `release` until the queue is empty
        if record.versions:
            self._fetch_state()
        else:
            self._activate(b"")

    @property
    def name(self) -> str:
        """The duty's name."""
        return self.record.name

    @property
    def record(self) -> LeaseRecord:
        """The lease record, as last read."""
        return self.register.record

    @property
    def is_ended(self) -> bool:
        """The term is over."""
        return self.stage is LeaseStage.ENDED

    @property
    def is_active(self) -> bool:
        """The lease is held, and not about to be released."""
        return self.stage is LeaseStage.ACTIVE and self.record.status == LeaseStatus.HELD

    # ---- start ----

    def _fetch_state(self) -> None:
        deadline_us = self.context.services.now() + FETCH_TIMEOUT_US
        self.context.fetching.fetch(self.key, self.record.versions[0], deadline_us, self._on_state)

    def _on_state(self, state: bytes | None) -> None:
        if self.stage is not LeaseStage.STARTING:
            return
        if state is None:
            # The replicas that have it may be back soon, and then any later leader finds it, too.
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

    # ---- effects, one after the other ----

    def submit(self, effect: Effect, callback: OutcomeCallback) -> None:
        """Carry out an effect after those submitted before it.

        `callback` is called once, with what was done or why nothing was, as far as that is known: after
        NoMajorityError a state update may come about yet.

        Errors: LeaderBusyError, LimitExceededError, NoMajorityError, LeaseSupersededError, ReceiverUnreachableError,
        IntentUncertainError, RegistersLostError.
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
        """Run a step after those that wait; it ends with `finish`."""
        self._queue.add(run, callback)

    def finish(self, outcome: Outcome) -> None:
        """End the running step, and start the next one."""
        if self.is_ended:
            return
        step = self._queue.complete()
        self.last_error = outcome if isinstance(outcome, LeadershipError) else None
        step.callback(outcome)
        self._queue.start_next()

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Call `action` after the delay, unless the term is over by then."""

        def due() -> None:
            if not self.is_ended:
                action()

        self.context.services.after(delay_us, due)

    # ---- whether the lease is held ----

    def check(self) -> None:
        """Find out whether the lease is still held, until a majority answers. For a leader that was paused."""

        def verified(found: LeaseRecord | None) -> None:
            if found is None:
                self.context.services.after(RETRY_US, self.check)

        if not self.is_ended:
            self.register.verify(verified)

    # ---- end ----

    def release(self, offered_to: str = "") -> None:
        """Finish what is under way, start nothing new, then give the lease up. `offered_to`: the first candidate."""
        if self.stage is LeaseStage.STARTING:
            self.stage = LeaseStage.ACTIVE
        if self.stage is not LeaseStage.ACTIVE:
            return
        self.stage = LeaseStage.RELEASING
        self._release_to = offered_to
        self.enqueue(lambda: self.register.change(self.finish, StartRelease), ignore_outcome)

    def _release_when_idle(self) -> None:
        if self._release_to is not None and self.stage is LeaseStage.RELEASING:
            offered_to = self._release_to
            self._release_to = None
            self._send_release(offered_to)

    def _send_release(self, offered_to: str) -> None:
        self._queue.is_blocked = True

        def released(outcome: Outcome) -> None:
            self._queue.is_blocked = False
            if isinstance(outcome, Completed):
                self.context.replication.announce_chosen(self.key, self.record)
                self.context.services.count("duties: given up")
                return self.end(None)
            # The lease is held until a majority says otherwise.
            return self.after(RETRY_US, lambda: self._send_release(offered_to))

        self.register.change(released, ReleaseLease, offered_to)

    def superseded(self, found: LeaseRecord | None) -> None:
        """Another has the lease: drop the state and everything that is under way."""
        self.context.services.count("duties: superseded")
        if found is None:
            self.end(_ended_error(self.record))
        else:
            self.end(LeaseSupersededError(self.name, self.record.term, found.holder, found.term))

    def end(self, reason: LeadershipError | None) -> None:
        """End the term. Effects that had not ended get `reason` as their outcome."""
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
    """The term is over, and nothing is known of a later leader."""
    return LeaseSupersededError(record.name, record.term, None, record.term)
