"""What a simulation has done to one duty, as no member of the cluster sees it, and the rules that it must keep."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from ..leadership.effects import ReceiverResponse
from ..leadership.fencing_token import FencingToken, TokenVerdict, check_token
from ..leadership.lease_record import Intent

TOKEN_BYTES = 4


@dataclass(frozen=True, slots=True)
class AcknowledgedUpdate:
    """A state update that a leader was told is done: the number that it added, and when, in us."""

    number: int
    when_us: int


@dataclass(slots=True)
class DutyHistory:
    """The history of one duty.

    leaders: the processes that led it, by generation and term.
    acknowledged: state updates that a leader was told are done.
    highest: the highest token at the receiver that compares.
    accepted: the tokens that it has accepted, in order.
    performed: how often the receiver that can't compare has done a job.
    idempotent: jobs that may be done more than once.
    refused_intents: intents that were asked for before they came: never done from then on.
    jobs_by_intent: the jobs that were done, by the revision of their intent.
    resolved_undone: jobs that were settled as never done.
    reported_done: jobs that a leader was told are done.
    effect_times_us: when effects were completed.
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
        """A request with a token arrives. `compares`: False is a seeded mistake."""
        verdict = check_token(self.highest, token) if compares else TokenVerdict.CURRENT
        if verdict is TokenVerdict.STALE:
            return ReceiverResponse(answered=True, highest_token=self.highest)
        if verdict is TokenVerdict.CURRENT:
            self.highest = token
            self.accepted.append(token)
        return ReceiverResponse(answered=True, done=True)

    def receive_intent(self, intent: Intent) -> ReceiverResponse:
        """An intent arrives: its job is done, unless its receiver has said that it never will be."""
        if intent.revision in self.refused_intents:
            return ReceiverResponse(answered=True, done=False)
        self.performed[intent.payload] += 1
        self.jobs_by_intent[intent.revision] = intent.payload
        return ReceiverResponse(answered=True, done=True)

    def receive_query(self, intent: Intent) -> ReceiverResponse:
        """A leader asks whether an intent was done; if not, it never will be."""
        self.refused_intents.add(intent.revision)
        return ReceiverResponse(answered=True, done=intent.revision in self.jobs_by_intent)

    # ---- the rules ----

    def broken_rule(self) -> str | None:
        """Return which rule the history breaks, in words."""
        return self._broken_order() or self._broken_job()

    def _broken_order(self) -> str | None:
        for term, processes in self.leaders.items():
            if len(processes) > 1:
                return f"term {term} was had by processes {sorted(processes)}"
        for first, second in pairwise(self.accepted):
            if second <= first:
                return f"its receiver took {second} after {first}"
        return None

    def _broken_job(self) -> str | None:
        for job, times in self.performed.items():
            if times > 1 and job not in self.idempotent:
                return f"{job!r} was done twice"
        for job in self.reported_done:
            if not self.performed[job]:
                return f"{job!r} was said to be done"
        for job in self.resolved_undone:
            if self.performed[job] and job not in self.idempotent:
                return f"{job!r} was settled as never done"
        return None

    def missing_updates(self, state: bytes, before_us: int | None = None) -> list[int]:
        """Return the acknowledged updates that a state lacks; only those acknowledged before a time, if given."""
        numbers = numbers_in(state)
        return [
            update.number
            for update in self.acknowledged
            if (before_us is None or update.when_us < before_us) and update.number not in numbers
        ]


def numbers_in(state: bytes) -> set[int]:
    """Return the numbers of all updates that a state holds."""
    return {
        int.from_bytes(state[start : start + TOKEN_BYTES], "big")
        for start in range(0, len(state), TOKEN_BYTES)
    }


def append_number(state: bytes, number: int) -> bytes:
    """Return the state after the update with that number."""
    return state + number.to_bytes(TOKEN_BYTES, "big")
