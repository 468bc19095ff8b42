"""The global history of a simulated cluster, which the invariants are checked against."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

from ..replication.work_record import KeyDigest


class AnswerKind(Enum):
    """The kinds of answers to a client."""

    RAN = "ran"  # The result of a run in the answering process.
    SHARED = "shared"  # The result of a run in another process.
    REJECTED = "rejected"  # An error that guarantees that the request never runs.
    FAILED = "failed"  # An error without that guarantee.


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a key.

    Attributes:
        key: Key of the work.
        process: Number of the process that ran it.
        started_at: Start of the run in us.
        received_at: Time in us at which the request was received.
    """

    key: KeyDigest
    process: int
    started_at: int
    received_at: int


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a client.

    Attributes:
        key: Key of the request.
        process: Number of the process that answered.
        at: Time in us.
        result: Result of the run, or None if there is none.
        kind: Kind of the answer.
    """

    key: KeyDigest
    process: int
    at: int
    result: bytes | None
    kind: AnswerKind


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request.

    Attributes:
        key: Key of the request.
        process: Number of the process that received it.
        at: Time in us.
    """

    key: KeyDigest
    process: int
    at: int


@dataclass(slots=True)
class History:
    """The events of a simulation that its invariants are checked against.

    Attributes:
        runs: All runs in order of time.
        answers: All answers in order of time.
        requests: All requests in order of time.
        granted: Maps a key to the number of the process whose claim was granted last.
        results: Maps a key to the results of its runs.
        crashed_at: Maps the number of a process to the time of its crash in us.
        counts: Sums of the counters of all members.
        messages: Number of messages sent.
    """

    runs: list[Run] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    granted: dict[KeyDigest, int] = field(default_factory=dict)
    results: defaultdict[KeyDigest, set[bytes]] = field(default_factory=lambda: defaultdict(set))
    crashed_at: dict[int, int] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    messages: int = 0
