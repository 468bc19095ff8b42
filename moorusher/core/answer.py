"""The final answer of a request, and who gets it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Verdict(Enum):
    """The three kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"  # the try never ran
    FAILED = "failed"


class Cause(Enum):
    """Why a request was not served, for counters and for fronts that tell these apart."""

    NONE = "none"
    TURNED_AWAY = "turned away"
    GIVEN_UP = "given up by the decision module"
    RUN_FAILED = "the run failed"
    NOT_ACCEPTED = "the kernel knows no such request"
    NO_RESULT = "the try that it repeats gave no result"
    FAULT = "fault in this runner"
    STOPPING = "the runner stops"
    KEY_UNSURE = "its key can't be told from one that ran"
    MAY_GO_ON = "others may go on with it"
    RULED_OUT = "turned away by its customer's rules"


@dataclass(slots=True, frozen=True)
class Answer:
    """One final answer, in no wire's words yet."""

    verdict: Verdict
    content: bytes = b""  # the result; of a refusal by a customer's rules, their reason
    cause: Cause = Cause.NONE
    backoff_ms: float = 0.0
    final: bool = False

    @property
    def words(self) -> str:
        """Of a refusal."""
        return f"{self.cause.value}: {self.content.decode()}" if self.content else self.cause.value


class Reply(Protocol):
    """The connection that a request came on. It is told once, or never where the caller has gone."""

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None: ...
