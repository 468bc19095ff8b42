"""The final answer of a request, and the connection that it is given to."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Verdict(Enum):
    """The three kinds of final answer. Their values are names of counters."""

    SERVED = "served"
    REJECTED = "refused"  # with the promise that this attempt never ran
    FAILED = "failed"  # without any promise


class Cause(Enum):
    """Why a request was not served. The values are read in error messages and in the names of counters."""

    NONE = "none"
    REJECTED = "turned away"
    ABANDONED = "given up by the decision module"
    RUN_FAILED = "the run failed"
    UNKNOWN_TO_KERNEL = "the kernel knows no such request"
    NO_SHARED_RESULT = "the try that it repeats gave no result"
    INTERNAL_ERROR = "fault in this runner"
    SHUTTING_DOWN = "the runner stops"
    KEY_STATE_UNKNOWN = "its key can't be told from one that ran"
    MAY_RUN_ELSEWHERE = "others may go on with it"
    FORBIDDEN_BY_RULES = "turned away by its customer's rules"


@dataclass(slots=True, frozen=True)
class Answer:
    """One final answer, before a frontend words it in its protocol.

    Attributes:
        content: the result; of a rejection by a customer's rules, their reason.
        retry_after_ms: of a rejection: when another attempt makes sense.
        final: of a rejection: no other runner would serve the request either.
    """

    verdict: Verdict
    content: bytes = b""
    cause: Cause = Cause.NONE
    retry_after_ms: float = 0.0
    final: bool = False

    @property
    def rejection_message(self) -> str:
        """The text that the caller reads of a rejection."""
        return f"{self.cause.value}: {self.content.decode()}" if self.content else self.cause.value


class Reply(Protocol):
    """The connection that a request came on."""

    def answer(self, tag: int, answer: Answer, load_signal: float | None) -> None:
        """Write the answer of the request that this connection knows by `tag`. Called at most once a request: never
        where its caller has gone."""
