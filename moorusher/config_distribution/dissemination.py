"""Tree broadcast: a revision is sent down a tree of all seats, and the seats that lack it are reported back up."""

# The member that starts a broadcast covers the range of all seats. It splits the range into up to `FAN_OUT` parts. The
# first seat of each part, its head, covers its part in the same way, so the number of messages per member is small for
# any number of seats. A head that does not acknowledge is skipped, and the rest of its part is split between other
# heads. `anti_entropy` distributes revisions that a broadcast did not deliver.

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from ..namespaces.revision_id import RevisionId
from ..time_units import MS
from .messages import Disseminate, DisseminateReceived, DisseminateResult
from .services import Member, RevisionObtainer

FAN_OUT = 4
ACKNOWLEDGE_TIMEOUT_US = 250 * MS
# A member's deadline is this much earlier than that of its parent, so that its result arrives in time.
LEVEL_MARGIN_US = 150 * MS
MAX_INLINE_DRAFT_BYTES = 32 << 10  # Receivers request larger drafts separately.
MAX_LACKING = 64  # Maximum number of seats in a result.
Lacking = dict[str, str]  # For each seat that lacks the revision, the reason.
LackingCallback = Callable[[Lacking], None]


class BroadcastMember(Member, Protocol):
    """The interface of a member that broadcasting uses."""

    def count(self, name: str) -> None:
        """Increment a counter."""
        ...

    def unreachable_reason(self, seat: str) -> str:
        """Return why nothing is sent to a seat; empty if it is alive."""
        ...


class DraftSource(RevisionObtainer, Protocol):
    """The interface of a member's revisions that broadcasting uses."""

    def draft(self, customer: str, revision_id: RevisionId) -> bytes | None:
        """Return the draft of exactly that revision, or None if it is not current."""
        ...


@dataclass(slots=True, eq=False)
class _Broadcast:
    """The broadcast of a revision to one range of seats, which this member covers.

    Attributes:
        pending: Number of subtrees without a result, plus one while the range is being split.
    """

    customer: str
    revision_id: RevisionId
    deleted: bool
    draft: bytes | None
    deadline_us: int
    callback: LackingCallback
    lacking: Lacking = field(default_factory=dict)
    pending: int = 1
    finished: bool = False

    def finish(self) -> None:
        """Mark the broadcast as finished and report its result."""
        self.finished = True
        self.callback(self.lacking)


@dataclass(slots=True, eq=False)
class _Subtree:
    """The seats with indexes in [head, high), assigned to the seat with index `head`."""

    broadcast: _Broadcast
    head: int
    high: int
    acknowledged: bool = False


class Disseminator:
    """Broadcasts new revisions over a tree of members, and collects the seats that lack them.

    Attributes:
        seats: All seats, sorted.
    """

    def __init__(
        self, member: BroadcastMember, revisions: DraftSource, seats: tuple[str, ...], incarnation: int = 0
    ) -> None:
        self._member = member
        self._revisions = revisions
        self.seats = tuple(sorted(seats))
        self._subtrees: dict[int, _Subtree] = {}
        # Serials start at the process's incarnation, so that a result for an earlier process of this seat matches no
        # broadcast of this one.
        self._serial = incarnation

    def broadcast(
        self,
        customer: str,
        revision_id: RevisionId,
        deleted: bool,
        timeout_us: int,
        callback: LackingCallback,
    ) -> None:
        """Broadcast a revision that this member has; call `callback` within the timeout with the seats that lack it."""
        draft = None if deleted else self._revisions.draft(customer, revision_id)
        deadline_us = self._member.now() + timeout_us
        self._cover(
            _Broadcast(customer, revision_id, deleted, draft, deadline_us, callback), 0, len(self.seats)
        )

    def _cover(self, broadcast: _Broadcast, low: int, high: int) -> None:
        self._split(broadcast, low, high)
        self._decrement_pending(broadcast)
        if not broadcast.finished:
            self._member.call_at(broadcast.deadline_us, lambda: self._on_deadline(broadcast))

    def _split(self, broadcast: _Broadcast, low: int, high: int) -> None:
        """Split a range between up to `FAN_OUT` heads."""
        size = max(1, -(-(high - low) // FAN_OUT))
        for first in range(low, high, size):
            self._send_to_head(broadcast, first, min(first + size, high))

    def _send_to_head(self, broadcast: _Broadcast, low: int, high: int) -> None:
        """Assign a range to its first live seat other than this member."""
        for head in range(low, high):
            seat = self.seats[head]
            if seat == self._member.me:
                continue
            if reason := self._member.unreachable_reason(seat):
                self._add_lacking(broadcast, seat, reason)
                continue
            self._serial += 1
            serial = self._serial
            self._subtrees[serial] = _Subtree(broadcast, head, high)
            broadcast.pending += 1
            self._member.send(seat, self._request(serial, broadcast, head, high))
            self._member.call_at(
                self._member.now() + ACKNOWLEDGE_TIMEOUT_US, partial(self._on_acknowledge_timeout, serial)
            )
            return

    def _request(self, serial: int, broadcast: _Broadcast, head: int, high: int) -> Disseminate:
        remaining_us = broadcast.deadline_us - LEVEL_MARGIN_US - self._member.now()
        draft = broadcast.draft
        if draft is not None and len(draft) > MAX_INLINE_DRAFT_BYTES:
            draft = None
        return Disseminate(
            serial,
            broadcast.customer,
            broadcast.revision_id,
            broadcast.deleted,
            head,
            high,
            max(0, remaining_us // MS),
            draft,
        )

    def _on_acknowledge_timeout(self, serial: int) -> None:
        """Skip a head that did not acknowledge, and split the rest of its range."""
        subtree = self._subtrees.get(serial)
        if subtree is None or subtree.acknowledged:
            return
        del self._subtrees[serial]
        self._member.count("namespaces: a seat passed over")
        self._add_lacking(subtree.broadcast, self.seats[subtree.head], "does not answer")
        self._split(subtree.broadcast, subtree.head + 1, subtree.high)
        self._decrement_pending(subtree.broadcast)

    def _add_lacking(self, broadcast: _Broadcast, seat: str, reason: str) -> None:
        """Add a seat to the result, unless `MAX_LACKING` is reached."""
        if seat in broadcast.lacking or len(broadcast.lacking) < MAX_LACKING:
            broadcast.lacking[seat] = reason

    def _decrement_pending(self, broadcast: _Broadcast) -> None:
        broadcast.pending -= 1
        if not broadcast.pending and not broadcast.finished:
            broadcast.finish()

    def _on_deadline(self, broadcast: _Broadcast) -> None:
        """Report all seats in subtrees without a result as lacking the revision."""
        if broadcast.finished:
            return
        for serial, subtree in list(self._subtrees.items()):
            if subtree.broadcast is broadcast:
                del self._subtrees[serial]
                for seat in self.seats[subtree.head : subtree.high]:
                    if seat != self._member.me:
                        self._add_lacking(broadcast, seat, "no word of it in time")
        broadcast.finish()

    # ---- messages ----

    def on_disseminate(self, seat: str, message: Disseminate) -> None:
        """Obtain the revision, cover the range, and send the result when both are finished."""
        reply = self._member.replier(seat)
        reply(DisseminateReceived(message.serial))
        deadline_us = self._member.now() + message.timeout_ms * MS
        pending = 2  # Obtaining the revision, and covering the range.
        lacking: Lacking = {}

        def on_part_finished(part_lacking: Lacking) -> None:
            nonlocal pending
            lacking.update(part_lacking)
            pending -= 1
            if not pending:
                truncated = dict(list(lacking.items())[:MAX_LACKING])
                reply(DisseminateResult(message.serial, truncated))

        def on_obtained(reason: str) -> None:
            on_part_finished({self._member.me: reason} if reason else {})

        def cover(draft: bytes | None) -> None:
            broadcast = _Broadcast(
                message.customer, message.revision_id, message.deleted, draft, deadline_us, on_part_finished
            )
            self._cover(broadcast, message.low, message.high)

        def on_draft_obtained(reason: str) -> None:
            on_obtained(reason)
            cover(self._revisions.draft(message.customer, message.revision_id))

        inline = message.deleted or message.draft is not None
        # Seats below this member request a large draft from it, so they are notified only once it has the draft.
        self._revisions.obtain(
            message.customer,
            message.revision_id,
            message.deleted,
            message.draft,
            seat,
            on_obtained if inline else on_draft_obtained,
        )
        if inline:
            cover(message.draft)

    def on_received(self, seat: str, message: DisseminateReceived) -> None:
        """Record that a head has acknowledged."""
        subtree = self._subtrees.get(message.serial)
        if subtree is not None and self.seats[subtree.head] == seat:
            subtree.acknowledged = True

    def on_result(self, seat: str, message: DisseminateResult) -> None:
        """Merge the result of a head that has covered its range."""
        subtree = self._subtrees.get(message.serial)
        if subtree is None or self.seats[subtree.head] != seat:
            return
        del self._subtrees[message.serial]
        for name, reason in message.lacking.items():
            self._add_lacking(subtree.broadcast, name, reason)
        self._decrement_pending(subtree.broadcast)
