"""Checks the rules of the protocol against what clients, the kernel and the database observed.

The auditor doesn't depend on the program. A history is a list of observations in order of time; a finding names the
violated rule, the request and the reason.

All times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import Union


class Rule(Enum):
    """What a violation means for a request."""

    LOST = "lost"
    """The request has no answer, a late one or a wrong one."""
    DUPLICATE = "duplicate"
    """The request was answered or executed more than once, or executed after a refusal."""


class Verdict(Enum):
    """How a request was answered."""

    SERVED = "served"
    REFUSED = "refused"
    """The answer promises that the request was never executed."""
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A client wrote a whole request to a connection that the runner's machine had accepted.

    Attributes:
        effect: Effect of the request class: "free", "guarded" or "single_shot".
        runner: Name of the runner, with the number of its restarts.
        due: Time by which the answer is due.
        token: Idempotency key, or "".
        window_s: Requests with the same key that are sent within this time after an executed request must not be
            executed; 0 without a key.
    """

    at: float
    rid: str
    effect: str
    runner: str
    body: bytes
    due: float
    token: str = ""
    window_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """A client received an answer."""

    at: float
    rid: str
    verdict: Verdict
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """A connection ended while the request was unanswered.

    Attributes:
        is_excused: Whether no answer is due, because the client closed the connection, the runner was killed, or the
            runner closed the idle connection before it read the request.
    """

    at: float
    rid: str
    is_excused: bool


@dataclass(frozen=True, slots=True)
class RunStarted:
    """The kernel started a run."""

    at: float
    rid: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run ended with a result."""

    at: float
    rid: str
    content: bytes


@dataclass(frozen=True, slots=True)
class CallReceived:
    """The database received a call of a run.

    Attributes:
        body: Body of the call. It is unique for each call of each run.
        never_ran: Whether the database replied that it did not execute the call.
    """

    at: float
    rid: str
    body: bytes
    never_ran: bool = False


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """The kernel received the reply to a call for which a run waited.

    Attributes:
        expected: Body of the correct reply.
        received: Body of the received reply.
    """

    at: float
    rid: str
    expected: bytes
    received: bytes


Observation = Union[
    RequestSent, AnswerReceived, ConnectionEnded, RunStarted, RunEnded, CallReceived, ReplyReceived
]


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a rule by one request."""

    rule: Rule
    rid: str
    reason: str


def audit(history: list[Observation], slack_s: float, end: float) -> list[Finding]:
    """Return the violations in a history.

    :param slack_s: Allowed delay of an answer after it is due.
    :param end: Time at which the observation ended.
    """
    return [
        *_check_answers(history, slack_s, end),
        *_check_runs(history),
        *_check_calls(history),
        *_check_replies(history),
    ]


def _check_answers(history: list[Observation], slack_s: float, end: float) -> list[Finding]:
    """Check that each request has one answer, in time, with the result of a run of the request or of its key."""
    found = []
    answers: dict[str, list[AnswerReceived]] = defaultdict(list)
    closed_connections = {s.rid: s for s in history if isinstance(s, ConnectionEnded)}
    results: dict[str, set[bytes]] = defaultdict(set)
    requests = {s.rid: s for s in history if isinstance(s, RequestSent)}
    for s in history:
        if isinstance(s, AnswerReceived):
            answers[s.rid].append(s)
        elif isinstance(s, RunEnded) and s.rid in requests:
            request = requests[s.rid]
            results[(request.token and request.runner + request.token) or s.rid].add(s.content)
    for rid, request in requests.items():
        received = answers[rid]
        if len(received) > 1:
            found.append(Finding(Rule.DUPLICATE, rid, "answered twice"))
        closed = closed_connections.get(rid)
        if not received and closed is not None and not closed.is_excused:
            found.append(Finding(Rule.LOST, rid, "the runner closed the connection without an answer"))
        if not received and closed is None and request.due + slack_s < end:
            found.append(Finding(Rule.LOST, rid, "never answered"))
        if received and received[0].at > request.due + slack_s:
            found.append(Finding(Rule.LOST, rid, f"answered {received[0].at - request.due:.2f} s late"))
        expected = results[(request.token and request.runner + request.token) or rid]
        if received and received[0].verdict is Verdict.SERVED and received[0].content not in expected:
            found.append(Finding(Rule.LOST, rid, "answered with a result that none of its runs returned"))
    return found


def _check_runs(history: list[Observation]) -> list[Finding]:
    """Check that runs have the content of their requests, and that side effects are not repeated.

    A request with side effects runs once at most, and only if it was not refused. A key runs once in its window.
    """
    found = []
    requests = {s.rid: s for s in history if isinstance(s, RequestSent)}
    refused = {s.rid for s in history if isinstance(s, AnswerReceived) and s.verdict is Verdict.REFUSED}
    runs: dict[str, int] = defaultdict(int)
    requests_by_key: dict[tuple[str, str], list[RequestSent]] = defaultdict(list)
    for s in history:
        if not isinstance(s, RunStarted):
            continue
        request = requests.get(s.rid)
        if request is None or request.body != s.body:
            found.append(Finding(Rule.LOST, s.rid, "executed with content that no client sent"))
            continue
        runs[s.rid] += 1
        if s.rid in refused and request.effect != "free":
            found.append(Finding(Rule.DUPLICATE, s.rid, "executed although it was refused as never executed"))
        if request.effect != "free" and runs[s.rid] > 1:
            found.append(Finding(Rule.DUPLICATE, s.rid, "executed twice"))
        if request.token:
            key = request.runner, request.token
            if any(
                request is not other and request.at < other.at + request.window_s
                for other in requests_by_key[key]
            ):
                found.append(Finding(Rule.DUPLICATE, s.rid, "its key was executed twice within the window"))
            requests_by_key[key].append(request)
    return found


def _check_calls(history: list[Observation]) -> list[Finding]:
    """Check that a run repeats a call with side effects only after a reply that the call was not executed.

    Each call of a run has its own body, so that a repeated body means a repeated call.
    """
    found = []
    effects = {s.rid: s.effect for s in history if isinstance(s, RequestSent)}
    possibly_executed: set[bytes] = set()
    for s in history:
        if isinstance(s, CallReceived) and effects.get(s.rid) != "free":
            if s.body in possibly_executed:
                found.append(
                    Finding(Rule.DUPLICATE, s.rid, "repeated a call without proof that it was not executed")
                )
            if not s.never_ran:
                possibly_executed.add(s.body)
    return found


def _check_replies(history: list[Observation]) -> list[Finding]:
    """Check that each run receives the reply to its own call."""
    return [
        Finding(Rule.LOST, s.rid, f"received the wrong reply: {s.received!r} instead of {s.expected!r}")
        for s in history
        if isinstance(s, ReplyReceived) and s.received != s.expected
    ]
