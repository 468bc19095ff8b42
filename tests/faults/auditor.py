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
class Asked:
    """A client wrote a whole request to a connection that the runner's machine had accepted.

    Attributes:
        effect: Effect of the request class: "free", "guarded" or "single_shot".
        runner: Name of the runner, with the number of its restarts.
        due: Time by which the answer is due.
        token: Idempotency key, or "".
        window_s: Time in which the key must not be executed again.
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
class Answered:
    """A client received an answer."""

    at: float
    rid: str
    verdict: Verdict
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class Hung:
    """A connection ended while the request was unanswered.

    Attributes:
        by_client: Whether the client closed the connection, or another reason excuses the runner. No answer is due then.
    """

    at: float
    rid: str
    by_client: bool


@dataclass(frozen=True, slots=True)
class Ran:
    """The kernel started a run."""

    at: float
    rid: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Result:
    """A run ended with a result."""

    at: float
    rid: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Called:
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
class Given:
    """The kernel received the reply to a call for which a run waited.

    Attributes:
        wanted: Body of the correct reply.
        got: Body of the received reply.
    """

    at: float
    rid: str
    wanted: bytes
    got: bytes


Seen = Union[Asked, Answered, Hung, Ran, Result, Called, Given]


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a rule by one request."""

    rule: Rule
    rid: str
    why: str


def judge(history: list[Seen], slack_s: float, end: float) -> list[Finding]:
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


def _check_answers(history: list[Seen], slack_s: float, end: float) -> list[Finding]:
    """Check that each request has one answer, in time, with the result of one of its runs."""
    found = []
    answers: dict[str, list[Answered]] = defaultdict(list)
    closed_connections = {s.rid: s for s in history if isinstance(s, Hung)}
    results: dict[str, set[bytes]] = defaultdict(set)
    requests = {s.rid: s for s in history if isinstance(s, Asked)}
    for s in history:
        if isinstance(s, Answered):
            answers[s.rid].append(s)
        elif isinstance(s, Result) and s.rid in requests:
            request = requests[s.rid]
            results[(request.token and request.runner + request.token) or s.rid].add(s.content)
    for rid, request in requests.items():
        received = answers[rid]
        if len(received) > 1:
            found.append(Finding(Rule.DUPLICATE, rid, "answered twice"))
        closed = closed_connections.get(rid)
        if not received and closed is not None and not closed.by_client:
            found.append(Finding(Rule.LOST, rid, "the runner closed the connection without an answer"))
        if not received and closed is None and request.due + slack_s < end:
            found.append(Finding(Rule.LOST, rid, "never answered"))
        if received and received[0].at > request.due + slack_s:
            found.append(Finding(Rule.LOST, rid, f"answered {received[0].at - request.due:.2f} s late"))
        expected = results[(request.token and request.runner + request.token) or rid]
        if received and received[0].verdict is Verdict.SERVED and received[0].content not in expected:
            found.append(Finding(Rule.LOST, rid, "answered with a result that none of its runs returned"))
    return found


def _check_runs(history: list[Seen]) -> list[Finding]:
    """Check that requests with side effects run once at most, and only if they were not refused."""
    found = []
    requests = {s.rid: s for s in history if isinstance(s, Asked)}
    refused = {s.rid for s in history if isinstance(s, Answered) and s.verdict is Verdict.REFUSED}
    runs: dict[str, int] = defaultdict(int)
    requests_by_key: dict[tuple[str, str], list[Asked]] = defaultdict(list)
    for s in history:
        if not isinstance(s, Ran):
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


def _check_calls(history: list[Seen]) -> list[Finding]:
    """Check that a run repeats a call with side effects only after a reply that the call was not executed.

    Each call of a run has its own body, so that a repeated body means a repeated call.
    """
    found = []
    effects = {s.rid: s.effect for s in history if isinstance(s, Asked)}
    possibly_executed: set[bytes] = set()
    for s in history:
        if isinstance(s, Called) and effects.get(s.rid) != "free":
            if s.body in possibly_executed:
                found.append(
                    Finding(Rule.DUPLICATE, s.rid, "repeated a call without proof that it was not executed")
                )
            if not s.never_ran:
                possibly_executed.add(s.body)
    return found


def _check_replies(history: list[Seen]) -> list[Finding]:
    """Check that each run receives the reply to its own call."""
    return [
        Finding(Rule.LOST, s.rid, f"received the wrong reply: {s.got!r} instead of {s.wanted!r}")
        for s in history
        if isinstance(s, Given) and s.got != s.wanted
    ]
