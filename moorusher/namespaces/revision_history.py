"""A customer's revisions as the state of its duty: the current one, the last ones before it, what may come next.

Numbers grow by one, without gaps. Rolling back to an earlier one is a new revision with that one's draft. A submission
has an id of its own: one that is handed in again, as its answer was lost, gets the number that it has got before.
"""

from __future__ import annotations

import msgspec

from .draft_changes import draft_changes
from .errors import BudgetExceededError, PublishConflictError, RevisionNotRetainedError
from .policy import STATE_OVERHEAD_BYTES, PublishingLimits

HOUR_MS = 3_600_000
MAX_AUTHOR_LENGTH = 64  # characters


class PublishedRevision(msgspec.Struct, frozen=True, array_like=True):
    """One published revision. The order of fields is the stored form.

    submission_id: of the submission that became it.
    at_ms: when it was published, in Unix ms.
    author: who published it.
    restored_number: of the earlier revision whose draft it has again; 0 for none.
    """

    number: int
    submission_id: str
    at_ms: int
    author: str
    draft: bytes
    restored_number: int = 0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A change that somebody wants published. The order of fields is the protocol.

    submission_id: the same in each retry.
    expected_number: of the revision that it was made on top of; 0 for none, below 0 for any.
    author: who submits it.
    rollback_number: in place of a draft, the number of the earlier revision to publish again.
    """

    customer: str
    submission_id: str
    expected_number: int
    author: str
    draft: bytes = b""
    rollback_number: int = 0


class RevisionHistory(msgspec.Struct, frozen=True, array_like=True):
    """One customer's retained revisions: the state of its lease. The order of fields is the stored form.

    revisions: the newest first.
    published_at_ms: when revisions were published in the last hour, in Unix ms.
    """

    customer: str
    revisions: tuple[PublishedRevision, ...] = ()
    published_at_ms: tuple[int, ...] = ()

    @property
    def current(self) -> PublishedRevision | None:
        """The newest revision."""
        return self.revisions[0] if self.revisions else None

    @property
    def current_number(self) -> int:
        """Of the newest revision; 0 for none."""
        return self.revisions[0].number if self.revisions else 0

    def find(self, number: int) -> PublishedRevision | None:
        """Return the revision of that number; None where it is not retained."""
        return next((revision for revision in self.revisions if revision.number == number), None)

    def find_submission(self, submission_id: str) -> PublishedRevision | None:
        """Return the revision that a submission became; None where it is not retained."""
        return next(
            (revision for revision in self.revisions if revision.submission_id == submission_id), None
        )


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(RevisionHistory)


def encode_history(history: RevisionHistory) -> bytes:
    """Encode a history as the state of a lease."""
    return _encode(history)


def decode_history(state: bytes, customer: str) -> RevisionHistory:
    """Decode the state of a customer's lease; an empty one is a history without revisions.

    :raises ValueError: it is another customer's, or damaged.
    """
    if not state:
        return RevisionHistory(customer)
    try:
        history = _decoder.decode(state)
    except msgspec.MsgspecError as exc:
        raise ValueError(f"the state of {customer!r} can't be read: {exc}") from exc
    if history.customer != customer:
        raise ValueError(f"the state of {customer!r} is that of {history.customer!r}")
    return history


def draft_to_publish(history: RevisionHistory, submission: Submission) -> bytes:
    """Return the draft to check and publish.

    :raises PublishConflictError: the submission was made on top of another revision than the current one.
    :raises RevisionNotRetainedError: the revision to publish again is not retained.
    """
    expected_number = submission.expected_number
    if expected_number >= 0 and expected_number != history.current_number:
        raise _conflict(history, expected_number)
    if not submission.rollback_number:
        return submission.draft
    if (restored := history.find(submission.rollback_number)) is None:
        retained = ", ".join(str(revision.number) for revision in history.revisions)
        raise RevisionNotRetainedError(
            f"revision {submission.rollback_number} is not kept; there are {retained or 'none'}"
        )
    return restored.draft


def _conflict(history: RevisionHistory, expected_number: int) -> PublishConflictError:
    expected, current = history.find(expected_number), history.current
    changes = draft_changes(
        b"" if expected is None else expected.draft, b"" if current is None else current.draft
    )
    return PublishConflictError(expected_number, history.current_number, changes)


def add_revision(
    history: RevisionHistory, submission: Submission, draft: bytes, now_ms: int, limits: PublishingLimits
) -> RevisionHistory:
    """Return the history with that draft as the next revision, published at `now_ms`, Unix.

    :raises BudgetExceededError: too many in an hour, or too large.
    """
    recent = _recent(history.published_at_ms, now_ms)
    if len(recent) >= limits.max_per_hour:
        raise BudgetExceededError(
            f"{len(recent)} revisions within the hour; {limits.max_per_hour} are granted"
        )
    max_draft_bytes = limits.max_state_bytes - STATE_OVERHEAD_BYTES
    if len(draft) > max_draft_bytes:
        raise BudgetExceededError(f"a draft of {len(draft)} bytes; {max_draft_bytes} can be kept")
    revision = PublishedRevision(
        history.current_number + 1,
        submission.submission_id,
        now_ms,
        submission.author[:MAX_AUTHOR_LENGTH],
        draft,
        submission.rollback_number,
    )
    retained = _retained((revision, *history.revisions), limits)
    return RevisionHistory(history.customer, retained, (*recent, now_ms))


def _recent(published_at_ms: tuple[int, ...], now_ms: int) -> tuple[int, ...]:
    """Return the times within an hour, before or after: a clock that is set back or forward resets no budget, and
    blocks nobody for over an hour.
    """
    return tuple(at_ms for at_ms in published_at_ms if abs(now_ms - at_ms) < HOUR_MS)


def _retained(
    revisions: tuple[PublishedRevision, ...], limits: PublishingLimits
) -> tuple[PublishedRevision, ...]:
    """Return the newest revisions, as many as the limits permit; the first one always."""
    size_bytes = STATE_OVERHEAD_BYTES + len(revisions[0].draft)
    retained = [revisions[0]]
    for revision in revisions[1 : limits.max_revisions]:
        size_bytes += len(revision.draft)
        if size_bytes > limits.max_state_bytes:
            break
        retained.append(revision)
    return tuple(retained)
