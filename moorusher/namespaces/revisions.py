"""A customer's revisions as the state of its duty: the current one, the last ones before it, what may come next.

Numbers grow by one, without gaps. Taking an earlier one back is a new revision with that one's draft. A submission has
an id of its own: one that is handed in again, as its answer was lost, gets the number that it has got before.
"""

from __future__ import annotations

from typing import Any

import msgspec

from .errors import Conflict, OverBudget, Retired
from .policy import SMALL, Bounds

HOUR_MS = 3_600_000
MAX_LISTED_CHANGES = 20  # that are told of
MAX_AUTHOR_LENGTH = 64  # characters


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One that was published. `of`: the number of the one that it brings back, or 0."""

    number: int
    id: str
    at_ms: int
    by: str
    draft: bytes
    of: int = 0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """`expects`: the number that it was made on top of, 0 for the first one, -1 for whichever there is. `back_to`: in
    place of a draft, the number of an earlier one."""

    customer: str
    id: str
    expects: int
    by: str
    draft: bytes = b""
    back_to: int = 0


class Book(msgspec.Struct, frozen=True, array_like=True):
    """`entries`: the newest first; `times`: of what was published in the last hour, in Unix ms."""

    customer: str
    entries: tuple[Entry, ...] = ()
    times: tuple[int, ...] = ()

    @property
    def current(self) -> Entry | None:
        return self.entries[0] if self.entries else None

    @property
    def number(self) -> int:
        return self.entries[0].number if self.entries else 0

    def find(self, number: int) -> Entry | None:
        return next((e for e in self.entries if e.number == number), None)

    def submitted(self, id: str) -> Entry | None:
        return next((e for e in self.entries if e.id == id), None)


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Book)


def pack(book: Book) -> bytes:
    """A book as bytes, for the duty's state."""
    return _encode(book)


def unpack(state: bytes, customer: str) -> Book:
    """Raises ValueError where it is another's, or none."""
    if not state:
        return Book(customer)
    try:
        book = _decoder.decode(state)
    except msgspec.MsgspecError as exc:
        raise ValueError(f"the state of {customer!r} can't be read: {exc}") from exc
    if book.customer != customer:
        raise ValueError(f"the state of {customer!r} is that of {book.customer!r}")
    return book


def draft_to_publish(book: Book, s: Submission) -> bytes:
    """What is to be checked and published. Raises Conflict, Retired."""
    if s.expects >= 0 and s.expects != book.number:
        before, now = book.find(s.expects), book.current
        raise Conflict(
            s.expects,
            book.number,
            difference(b"" if before is None else before.draft, b"" if now is None else now.draft),
        )
    if not s.back_to:
        return s.draft
    if (entry := book.find(s.back_to)) is None:
        kept = ", ".join(str(e.number) for e in book.entries)
        raise Retired(f"revision {s.back_to} is not kept; there are {kept or 'none'}")
    return entry.draft


def published(book: Book, s: Submission, draft: bytes, now_ms: int, bounds: Bounds) -> Book:
    """With that draft on top. Raises OverBudget."""
    # A clock that is set back or forward forgives nothing, and shuts nobody out for longer than an hour.
    times = tuple(t for t in book.times if abs(now_ms - t) < HOUR_MS)
    if len(times) >= bounds.an_hour:
        raise OverBudget(f"{len(times)} revisions within the hour; {bounds.an_hour} are granted")
    if len(draft) + SMALL > bounds.bytes:
        raise OverBudget(f"a draft of {len(draft)} bytes; {bounds.bytes - SMALL} can be kept")
    entries = [Entry(book.number + 1, s.id, now_ms, s.by[:MAX_AUTHOR_LENGTH], draft, s.back_to)]
    size = len(draft) + SMALL
    for entry in book.entries[: bounds.keep - 1]:
        size += len(entry.draft)
        if size > bounds.bytes:
            break
        entries.append(entry)
    return Book(book.customer, tuple(entries), (*times, now_ms))


def difference(old: bytes, new: bytes) -> tuple[str, ...]:
    """In words, by the names of what is there; neither need be in order."""
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
