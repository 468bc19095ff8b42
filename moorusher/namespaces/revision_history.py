"""A customer's history: the state of the customer's duty, with the current revision and some earlier ones.

Revision numbers increase by one, without gaps. A rollback is a new revision with the draft of an earlier one. A
submission has an id, so that a retry after a lost answer returns the number of the revision already published.
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

    Attributes:
        submission_id: Id of the submission that was published as this revision.
        at_ms: Time of publication (Unix ms).
        author: Author of the submission.
        restored_number: Number of the earlier revision that a rollback restored; 0 if it is not a rollback.
    """

    number: int
    submission_id: str
    at_ms: int
    author: str
    draft: bytes
    restored_number: int = 0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A request to publish a draft or to roll back. The order of fields is the protocol.

    Attributes:
        submission_id: Id that stays the same in each retry.
        expected_number: Number of the revision that the draft is based on; 0 for none, negative for any.
        author: Author of the submission.
        rollback_number: Number of the earlier revision to restore; 0 if `draft` is to be published.
    """

    customer: str
    submission_id: str
    expected_number: int
    author: str
    draft: bytes = b""
    rollback_number: int = 0


class RevisionHistory(msgspec.Struct, frozen=True, array_like=True):
    """One customer's retained revisions: the state of its lease. The order of fields is the stored form.

    Attributes:
        revisions: Retained revisions, newest first.
        published_at_ms: Times at which revisions were published in the last hour (Unix ms).
    """

    customer: str
    revisions: tuple[PublishedRevision, ...] = ()
    published_at_ms: tuple[int, ...] = ()

    @property
    def current(self) -> PublishedRevision | None:
        """The newest revision; None if there is none."""
        return self.revisions[0] if self.revisions else None

    @property
    def current_number(self) -> int:
        """Number of the newest revision; 0 if there is none."""
        return self.revisions[0].number if self.revisions else 0

    def find(self, number: int) -> PublishedRevision | None:
        """Return the revision with that number, or None if it is not retained."""
        return next((revision for revision in self.revisions if revision.number == number), None)

    def find_submission(self, submission_id: str) -> PublishedRevision | None:
        """Return the revision that a submission was published as, or None if no such revision is retained."""
        return next(
            (revision for revision in self.revisions if revision.submission_id == submission_id), None
        )


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(RevisionHistory)


def encode_history(history: RevisionHistory) -> bytes:
    """Encode a history as the state of a lease."""
    return _encode(history)


def decode_history(state: bytes, customer: str) -> RevisionHistory:
    """Decode the state of a customer's lease; an empty state is a history without revisions.

    :raises ValueError: the state is damaged, or belongs to another customer.
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

    :raises PublishConflictError: the submission is not based on the current revision.
    :raises RevisionNotRetainedError: the revision to restore is not retained.
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
    """Return the history with the draft added as the next revision.

    :param now_ms: Time of publication (Unix ms).
    :raises BudgetExceededError: the draft is too large, or too many revisions were published within an hour.
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
    """Return the times that differ from `now_ms` by less than an hour in either direction.

    Setting the clock back or forward therefore neither resets the budget nor blocks publishing for over an hour.
    """
    return tuple(at_ms for at_ms in published_at_ms if abs(now_ms - at_ms) < HOUR_MS)


def _retained(
    revisions: tuple[PublishedRevision, ...], limits: PublishingLimits
) -> tuple[PublishedRevision, ...]:
    """Return as many of the newest revisions as the limits permit, and always the newest one."""
    size_bytes = STATE_OVERHEAD_BYTES + len(revisions[0].draft)
    retained = [revisions[0]]
    for revision in revisions[1 : limits.max_revisions]:
        size_bytes += len(revision.draft)
        if size_bytes > limits.max_state_bytes:
            break
        retained.append(revision)
    return tuple(retained)
