"""A customer's revisions as the state of its duty: the current one, the last ones before it, what may come next.

Numbers grow by one, without gaps. Taking an earlier one back is a new revision with that one's draft. A submission has
an id of its own: one that is handed in again, as its answer was lost, gets the number that it has got before.
"""

from __future__ import annotations

from typing import Any

import msgspec

from .errors import Conflict, OverBudget, Retired
from .policy import STATE_OVERHEAD_BYTES, Bounds

HOUR_MS = 3_600_000
MAX_LISTED_CHANGES = 20  # that are told of
MAX_AUTHOR_LENGTH = 64  # characters


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One published revision. The order of fields is the stored form.

    id: of the submission that became it.
    by: who published it.
    of: the number of the earlier revision whose draft it has again; 0 for none.
    """

    number: int
    id: str
    at_ms: int  # Unix
    by: str
    draft: bytes
    of: int = 0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A change that somebody wants published. The order of fields is the protocol.

    id: the same in each retry.
    expects: the number of the revision that it was made on top of; 0 for none, -1 for any.
    by: who submits it.
    back_to: in place of a draft, the number of the earlier revision to publish again.
    """

    customer: str
    id: str
    expects: int
    by: str
    draft: bytes = b""
    back_to: int = 0


class Book(msgspec.Struct, frozen=True, array_like=True):
    """One customer's retained revisions: the state of its lease. The order of fields is the stored form.

    entries: the newest first.
    times: when revisions were published in the last hour, in Unix ms.
    """

    customer: str
    entries: tuple[Entry, ...] = ()
    times: tuple[int, ...] = ()

    @property
    def current(self) -> Entry | None:
        """The newest revision."""
        return self.entries[0] if self.entries else None

    @property
    def number(self) -> int:
        """Of the newest revision; 0 for none."""
        return self.entries[0].number if self.entries else 0

    def find(self, number: int) -> Entry | None:
        """Return the revision of that number; None where it is not retained."""
        return next((entry for entry in self.entries if entry.number == number), None)

    def submitted(self, id: str) -> Entry | None:
        """Return the revision that a submission became."""
        return next((entry for entry in self.entries if entry.id == id), None)


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Book)


def pack(book: Book) -> bytes:
    """Encode a book as the state of a lease."""
    return _encode(book)


def unpack(state: bytes, customer: str) -> Book:
    """Decode the state of a customer's lease.

    :raises ValueError: it is another customer's, or damaged.
    """
    if not state:
        return Book(customer)
    try:
        book = _decoder.decode(state)
    except msgspec.MsgspecError as exc:
        raise ValueError(f"the state of {customer!r} can't be read: {exc}") from exc
    if book.customer != customer:
        raise ValueError(f"the state of {customer!r} is that of {book.customer!r}")
    return book


def draft_to_publish(book: Book, submission: Submission) -> bytes:
    """Return the draft to check and publish.

    :raises Conflict: the submission was made on top of another revision than the current one.
    :raises Retired: the revision to publish again is not retained.
    """
    if submission.expects >= 0 and submission.expects != book.number:
        before, now = book.find(submission.expects), book.current
        raise Conflict(
            submission.expects,
            book.number,
            difference(b"" if before is None else before.draft, b"" if now is None else now.draft),
        )
    if not submission.back_to:
        return submission.draft
    if (entry := book.find(submission.back_to)) is None:
        kept = ", ".join(str(e.number) for e in book.entries)
        raise Retired(f"revision {submission.back_to} is not kept; there are {kept or 'none'}")
    return entry.draft


def published(book: Book, submission: Submission, draft: bytes, now_ms: int, bounds: Bounds) -> Book:
    """Return the book with that draft as the next revision.

    :raises OverBudget: too many in an hour, or too large.
    """
    # The absolute difference: a clock that is set back or forward resets no budget, and blocks nobody for over an hour.
    times = tuple(t for t in book.times if abs(now_ms - t) < HOUR_MS)
    if len(times) >= bounds.an_hour:
        raise OverBudget(f"{len(times)} revisions within the hour; {bounds.an_hour} are granted")
    if len(draft) + STATE_OVERHEAD_BYTES > bounds.bytes:
        raise OverBudget(f"a draft of {len(draft)} bytes; {bounds.bytes - STATE_OVERHEAD_BYTES} can be kept")
    entries = [
        Entry(
            book.number + 1,
            submission.id,
            now_ms,
            submission.by[:MAX_AUTHOR_LENGTH],
            draft,
            submission.back_to,
        )
    ]
    size = len(draft) + STATE_OVERHEAD_BYTES
    for entry in book.entries[: bounds.keep - 1]:
        size += len(entry.draft)
        if size > bounds.bytes:
            break
        entries.append(entry)
    return Book(book.customer, tuple(entries), (*times, now_ms))


def difference(old: bytes, new: bytes) -> tuple[str, ...]:
    """Return what differs between two drafts, by the names of routes, rules and teams; neither need be valid."""
    a, b = _names(old), _names(new)
    told = [
        f"{'+' if name not in a else '-' if name not in b else '~'} {name}"
        for name in sorted(a.keys() | b.keys())
        if a.get(name) != b.get(name)
    ]
    return tuple(told[:MAX_LISTED_CHANGES]) + (
        (f"and {len(told) - MAX_LISTED_CHANGES} more",) if len(told) > MAX_LISTED_CHANGES else ()
    )


def _names(draft: bytes) -> dict[str, Any]:
    try:
        root = msgspec.json.decode(draft)
    except (msgspec.MsgspecError, RecursionError):
        return {}
    if not isinstance(root, dict):
        return {}
    found: dict[str, Any] = {"default": root.get("default")}
    for part in ("routes", "rules", "teams"):
        if isinstance(root.get(part), dict):
            found |= {f"{part}.{name}": value for name, value in root[part].items()}
    return found
