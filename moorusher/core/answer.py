"""The final answer of a request, and the interface of the connection that receives it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Verdict(Enum):
    """Kind of a final answer. The values are counter names."""

    SERVED = "served"
    REJECTED = "refused"  # promises that this attempt never ran
    FAILED = "failed"  # promises nothing: the attempt may have run


class Cause(Enum):
    """Reason why a request was not served. The values appear in error messages and counter names."""

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
    """Final answer of a request, before a frontend encodes it in its protocol.

    Attributes:
        verdict: Kind of the answer.
        content: Result of the run; for a rejection by a customer's rules, the reason that the rules give.
        cause: Reason why the request was not served.
        retry_after_ms: For a rejection: delay before the next attempt.
        final: For a rejection: whether other runners would reject the request, too.
    """

    verdict: Verdict
    content: bytes = b""
    cause: Cause = Cause.NONE
    retry_after_ms: float = 0.0
    final: bool = False

    @property
    def rejection_message(self) -> str:
        """Text of a rejection for the caller."""
        return f"{self.cause.value}: {self.content.decode()}" if self.content else self.cause.value


class Reply(Protocol):
    """Connection on which a request arrived."""

    def answer(self, tag: int, answer: Answer, load_signal: float | None) -> None:
        """Send the answer of the request with this tag.

        Called at most once per request, and never after its caller has disconnected.
        """
