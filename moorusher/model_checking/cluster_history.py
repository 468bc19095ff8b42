"""The history of a simulated cluster, as no member of it sees it: what the invariants are checked on."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

from ..replication.work_record import KeyDigest


class AnswerKind(Enum):
    """How a client was answered."""

    RAN = "ran"
    SHARED = "shared"  # with the result of another process's run
    REJECTED = "rejected"  # with the promise that it never runs
    FAILED = "failed"  # without that promise


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a key.

    Attributes:
        key: `KeyDigest`.
        process: number of the process that ran it.
        started_at: us.
        received_at: us, when the request that it is the run of was received.
    """

    key: KeyDigest
    process: int
    started_at: int
    received_at: int


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client was answered, by the process of that number, and when, in us."""

    key: KeyDigest
    process: int
    at: int
    result: bytes | None
    kind: AnswerKind


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request for a key at the process of that number, and when, in us."""

    key: KeyDigest
    process: int
    at: int


@dataclass(slots=True)
class History:
    """Everything that a simulation is checked by.

    Attributes:
        runs, answers, requests: in the order in which they came.
        granted: by key, the number of the process that holds its claim.
        results: by key, the results of its runs.
        crashed_at: by number of a process, when it crashed, in us.
        counts: the counters of all members, added up.
        messages: `int`, how many were sent.
    """

    runs: list[Run] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    granted: dict[KeyDigest, int] = field(default_factory=dict)
    results: defaultdict[KeyDigest, set[bytes]] = field(default_factory=lambda: defaultdict(set))
    crashed_at: dict[int, int] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    messages: int = 0
