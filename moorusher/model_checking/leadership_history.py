"""The global history of one duty in a simulation, and its invariants."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from ..leadership.effects import ReceiverResponse
from ..leadership.fencing_token import FencingToken, TokenVerdict, check_token
from ..leadership.lease_record import Intent

NUMBER_BYTES = 4


@dataclass(frozen=True, slots=True)
class AcknowledgedUpdate:
    """A state update that was acknowledged to a leader.

    Attributes:
        number: Number that the update added to the state.
        when_us: Time of the acknowledgement.
    """

    number: int
    when_us: int


@dataclass(slots=True)
class DutyHistory:
    """The history of one duty.

    Attributes:
        leaders: Numbers of the processes that led the duty, by generation and term.
        acknowledged: State updates that were acknowledged to a leader.
        highest: Highest token at the receiver that compares tokens.
        accepted: Tokens accepted by the receiver that compares tokens, in order.
        performed: Number of times that the receiver that can't compare tokens has done each job.
        idempotent: Jobs that may be done more than once.
        refused_intents: Revisions of intents that a leader queried. The receiver does no job whose intent arrives
            after the query.
        jobs_by_intent: Jobs that were done, by the revision of their intent.
        resolved_undone: Jobs that were resolved as never done.
        reported_done: Jobs that were reported to a leader as done.
        effect_times_us: Times at which effects were completed.
    """

    leaders: dict[tuple[int, int], set[int]] = field(default_factory=lambda: defaultdict(set))
    acknowledged: list[AcknowledgedUpdate] = field(default_factory=list)
    highest: FencingToken | None = None
    accepted: list[FencingToken] = field(default_factory=list)
    performed: dict[bytes, int] = field(default_factory=lambda: defaultdict(int))
    idempotent: set[bytes] = field(default_factory=set)
    refused_intents: set[int] = field(default_factory=set)
    jobs_by_intent: dict[int, bytes] = field(default_factory=dict)
    resolved_undone: list[bytes] = field(default_factory=list)
    reported_done: list[bytes] = field(default_factory=list)
    effect_times_us: list[int] = field(default_factory=list)

    # ---- the receivers ----

    def receive_fenced(self, token: FencingToken, compares: bool) -> ReceiverResponse:
        """Receive a request with a fencing token.

        :param compares: Whether the receiver compares tokens. False is a deliberate mistake.
        """
        verdict = check_token(self.highest, token) if compares else TokenVerdict.CURRENT
        if verdict is TokenVerdict.STALE:
            return ReceiverResponse(answered=True, highest_token=self.highest)
        if verdict is TokenVerdict.CURRENT:
            self.highest = token
            self.accepted.append(token)
        return ReceiverResponse(answered=True, done=True)

    def receive_intent(self, intent: Intent) -> ReceiverResponse:
        """Receive an intent, and do its job unless a query has ruled it out."""
        if intent.revision in self.refused_intents:
            return ReceiverResponse(answered=True, done=False)
        self.performed[intent.payload] += 1
        self.jobs_by_intent[intent.revision] = intent.payload
        return ReceiverResponse(answered=True, done=True)

    def receive_query(self, intent: Intent) -> ReceiverResponse:
        """Answer a leader's query whether an intent's job was done, and refuse the intent if it arrives later."""
        self.refused_intents.add(intent.revision)
        return ReceiverResponse(answered=True, done=intent.revision in self.jobs_by_intent)

    # ---- invariants ----

    def find_violation(self) -> str | None:
        """Return a description of the first violated invariant, or None."""
        return self._find_order_violation() or self._find_job_violation()

    def _find_order_violation(self) -> str | None:
        for term, processes in self.leaders.items():
            if len(processes) > 1:
                return f"term {term} had more than one leader: processes {sorted(processes)}"
        for first, second in pairwise(self.accepted):
            if second <= first:
                return f"the receiver accepted {second} after {first}"
        return None

    def _find_job_violation(self) -> str | None:
        for job, times in self.performed.items():
            if times > 1 and job not in self.idempotent:
                return f"{job!r} was done more than once"
        for job in self.reported_done:
            if not self.performed[job]:
                return f"{job!r} was reported as done but never done"
        for job in self.resolved_undone:
            if self.performed[job] and job not in self.idempotent:
                return f"{job!r} was resolved as never done although it was done"
        return None

    def missing_updates(self, state: bytes, before_us: int | None = None) -> list[int]:
        """Return the numbers of acknowledged updates that a state lacks.

        :param before_us: Consider only updates acknowledged before this time. None means all.
        """
        numbers = numbers_in(state)
        return [
            update.number
            for update in self.acknowledged
            if (before_us is None or update.when_us < before_us) and update.number not in numbers
        ]


def numbers_in(state: bytes) -> set[int]:
    """Return the numbers of all updates that a state contains."""
    return {
        int.from_bytes(state[start : start + NUMBER_BYTES], "big")
        for start in range(0, len(state), NUMBER_BYTES)
    }


def append_number(state: bytes, number: int) -> bytes:
    """Return the state after the update with this number."""
    return state + number.to_bytes(NUMBER_BYTES, "big")
