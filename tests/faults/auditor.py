"""The rules of the protocol page, judged from outside: by what clients, the kernel and the database have seen.

It knows nothing of the program. A history is a list of what was seen, in order of time; a finding names the rule, the
request and why.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import Union


class Rule(Enum):
    """In the field's terms, as the operators report them."""

    LOST = "lost"
    DUPLICATE = "duplicate"


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"  # with the promise that it never ran
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Asked:
    """A request was written whole to a connection that the runner's machine had accepted."""

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
    at: float
    rid: str
    verdict: Verdict
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class Hung:
    """The connection ended, by the runner's doing, before the answer; or by the client's, and then none is owed."""

    at: float
    rid: str
    by_client: bool


@dataclass(frozen=True, slots=True)
class Ran:
    """The kernel began the run."""

    at: float
    rid: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Result:
    """The run has ended with this."""

    at: float
    rid: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Called:
    """A call for a run reached the database: its body names the run's call."""

    at: float
    rid: str
    body: bytes
    never_ran: bool = False  # it was answered so


@dataclass(frozen=True, slots=True)
class Given:
    """The kernel took a reply for the call that a run waited for."""

    at: float
    rid: str
    wanted: bytes
    got: bytes


Seen = Union[Asked, Answered, Hung, Ran, Result, Called, Given]


@dataclass(frozen=True, slots=True)
class Finding:
    rule: Rule
    rid: str
    why: str


def judge(history: list[Seen], slack_s: float, ends: float) -> list[Finding]:
    """`ends`: until when the day was watched."""
    return [*_answers(history, slack_s, ends), *_runs(history), *_calls(history), *_replies(history)]


def _answers(history: list[Seen], slack_s: float, ends: float) -> list[Finding]:
    found = []
    answers: dict[str, list[Answered]] = defaultdict(list)
    hung = {s.rid: s for s in history if isinstance(s, Hung)}
    results: dict[str, set[bytes]] = defaultdict(set)
    asked = {s.rid: s for s in history if isinstance(s, Asked)}
    for s in history:
        if isinstance(s, Answered):
            answers[s.rid].append(s)
        elif isinstance(s, Result) and s.rid in asked:
            one = asked[s.rid]
            results[(one.token and one.runner + one.token) or s.rid].add(s.content)
    for rid, one in asked.items():
        given = answers[rid]
        if len(given) > 1:
            found.append(Finding(Rule.DUPLICATE, rid, "answered twice"))
        gone = hung.get(rid)
        if not given and gone is not None and not gone.by_client:
            found.append(Finding(Rule.LOST, rid, "its connection ended without an answer"))
        if not given and gone is None and one.due + slack_s < ends:
            found.append(Finding(Rule.LOST, rid, "never answered"))
        if given and given[0].at > one.due + slack_s:
            found.append(Finding(Rule.LOST, rid, f"answered {given[0].at - one.due:.2f} s late"))
        made = results[(one.token and one.runner + one.token) or rid]
        if given and given[0].verdict is Verdict.SERVED and given[0].content not in made:
            found.append(Finding(Rule.LOST, rid, "served with what no run of it made"))
    return found


def _runs(history: list[Seen]) -> list[Finding]:
    found = []
    asked = {s.rid: s for s in history if isinstance(s, Asked)}
    refused = {s.rid for s in history if isinstance(s, Answered) and s.verdict is Verdict.REFUSED}
    runs: dict[str, int] = defaultdict(int)
    by_key: dict[tuple[str, str], list[Asked]] = defaultdict(list)
    for s in history:
        if not isinstance(s, Ran):
            continue
        one = asked.get(s.rid)
        if one is None or one.body != s.body:
            found.append(Finding(Rule.LOST, s.rid, "run with a body that was never sent"))
            continue
        runs[s.rid] += 1
        if s.rid in refused and one.effect != "free":
            found.append(Finding(Rule.DUPLICATE, s.rid, "refused as never run, and run"))
        if one.effect != "free" and runs[s.rid] > 1:
            found.append(Finding(Rule.DUPLICATE, s.rid, "run twice"))
        if one.token:
            key = one.runner, one.token
            if any(one is not other and one.at < other.at + one.window_s for other in by_key[key]):
                found.append(Finding(Rule.DUPLICATE, s.rid, "its key has run in its window"))
            by_key[key].append(one)
    return found


def _calls(history: list[Seen]) -> list[Finding]:
    """The same call again, or the next one of a run, is another call: bodies tell them apart."""
    found = []
    effects = {s.rid: s.effect for s in history if isinstance(s, Asked)}
    unproven: set[bytes] = set()
    for s in history:
        if isinstance(s, Called) and effects.get(s.rid) != "free":
            if s.body in unproven:
                found.append(Finding(Rule.DUPLICATE, s.rid, "made its call again without proof"))
            if not s.never_ran:
                unproven.add(s.body)
    return found


def _replies(history: list[Seen]) -> list[Finding]:
    return [
        Finding(Rule.LOST, s.rid, f"given {s.got!r} for {s.wanted!r}")
        for s in history
        if isinstance(s, Given) and s.got != s.wanted
    ]
