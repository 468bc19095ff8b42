"""Tree broadcast: a revision goes down a tree over all seats, and who lacks it is reported back up.

The origin covers the range of all seats. It splits its range between up to `FAN_OUT` heads, each of which covers its
part in the same way, so that each member sends to few others however many seats there are. A head that does not
acknowledge is skipped, and its range is split among others. `anti_entropy` repairs what a broadcast misses.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from ..namespaces.revision_id import RevisionId
from ..time_units import MS
from .messages import Disseminate, DisseminateReceived, DisseminateResult
from .services import Member, ObtainsRevisions

FAN_OUT = 4
ACKNOWLEDGE_TIMEOUT_US = 250 * MS
LEVEL_MARGIN_US = (
    150 * MS
)  # a member gives up this much sooner than its parent, so that its result arrives in time
MAX_INLINE_DRAFT_BYTES = 32 << 10  # larger drafts are requested by the receiver
MAX_LACKING = 64  # seats named in a result
Lacking = dict[str, str]  # seat to the reason why it lacks the revision
LackingCallback = Callable[[Lacking], None]


class BroadcastMember(Member, Protocol):
    """What broadcasting uses of a member."""

    def count(self, name: str) -> None:
        """Increment a counter."""
        ...

    def unreachable_reason(self, seat: str) -> str:
        """Return why nothing is sent to a seat; "" where it is alive."""
        ...


class DraftSource(ObtainsRevisions, Protocol):
    """What broadcasting uses of a member's revisions."""

    def draft(self, customer: str, revision_id: RevisionId) -> bytes | None:
        """Return the draft of exactly that revision, where it is current."""
        ...


@dataclass(slots=True, eq=False)
class _Broadcast:
    """One range of seats that this member covers.

    pending: subtrees without a result yet, and one while the range is being split.
    """

    customer: str
    revision_id: RevisionId
    deleted: bool
    draft: bytes | None
    deadline_us: int
    then: LackingCallback
    lacking: Lacking = field(default_factory=dict)
    pending: int = 1
    finished: bool = False

    def finish(self) -> None:
        """Report the result once."""
        self.finished = True
        self.then(self.lacking)


@dataclass(slots=True, eq=False)
class _Subtree:
    """The seats from index `head` up to, without, `high`, given to the seat `head`."""

    broadcast: _Broadcast
    head: int
    high: int
    acknowledged: bool = False


class Disseminator:
    """Broadcasts new revisions over a tree of members, and collects which seats lack them."""

    def __init__(
        self, member: BroadcastMember, revisions: DraftSource, seats: tuple[str, ...], incarnation: int = 0
    ) -> None:
        """`incarnation`: of this process. Serials begin there: a result for an earlier process of this seat matches
        no broadcast of this one.
        """
        self._member = member
        self._revisions = revisions
        self.seats = tuple(sorted(seats))
        self._subtrees: dict[int, _Subtree] = {}
        self._serial = incarnation

    def broadcast(
        self, customer: str, revision_id: RevisionId, deleted: bool, timeout_us: int, then: LackingCallback
    ) -> None:
        """Broadcast a revision that this member has; call `then` within the timeout with the seats that lack it."""
        draft = None if deleted else self._revisions.draft(customer, revision_id)
        deadline_us = self._member.now() + timeout_us
        self._cover(_Broadcast(customer, revision_id, deleted, draft, deadline_us, then), 0, len(self.seats))

    def _cover(self, broadcast: _Broadcast, low: int, high: int) -> None:
        self._split(broadcast, low, high)
        self._complete_one(broadcast)
        if not broadcast.finished:
            self._member.call_at(broadcast.deadline_us, lambda: self._on_deadline(broadcast))

    def _split(self, broadcast: _Broadcast, low: int, high: int) -> None:
        """Divide a range between up to `FAN_OUT` heads."""
        size = max(1, -(-(high - low) // FAN_OUT))
        for first in range(low, high, size):
            self._send_to_head(broadcast, first, min(first + size, high))

    def _send_to_head(self, broadcast: _Broadcast, low: int, high: int) -> None:
        """Give a range to its first seat that is alive."""
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
        left_us = broadcast.deadline_us - LEVEL_MARGIN_US - self._member.now()
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
            max(0, left_us // MS),
            draft,
        )

    def _on_acknowledge_timeout(self, serial: int) -> None:
        """Skip a head that does not answer, and cover what it was given in another way."""
        subtree = self._subtrees.get(serial)
        if subtree is None or subtree.acknowledged:
            return
        del self._subtrees[serial]
        self._member.count("namespaces: a seat passed over")
        self._add_lacking(subtree.broadcast, self.seats[subtree.head], "does not answer")
        self._split(subtree.broadcast, subtree.head + 1, subtree.high)
        self._complete_one(subtree.broadcast)

    def _add_lacking(self, broadcast: _Broadcast, seat: str, reason: str) -> None:
        """Name a seat in the result, as long as there is space."""
        if seat in broadcast.lacking or len(broadcast.lacking) < MAX_LACKING:
            broadcast.lacking[seat] = reason

    def _complete_one(self, broadcast: _Broadcast) -> None:
        broadcast.pending -= 1
        if not broadcast.pending and not broadcast.finished:
            broadcast.finish()

    def _on_deadline(self, broadcast: _Broadcast) -> None:
        """Report all seats of the subtrees without a result as lacking."""
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
        """Obtain the revision, cover the range, and answer when both are finished."""
        self._member.send(seat, DisseminateReceived(message.serial))
        deadline_us = self._member.now() + message.left_ms * MS
        pending = 2
        lacking: Lacking = {}

        def finished_one(more: Lacking) -> None:
            nonlocal pending
            lacking.update(more)
            pending -= 1
            if not pending:
                first = dict(list(lacking.items())[:MAX_LACKING])
                self._member.send(seat, DisseminateResult(message.serial, first))

        def obtained(reason: str) -> None:
            finished_one({self._member.me: reason} if reason else {})

        def cover(draft: bytes | None) -> None:
            broadcast = _Broadcast(
                message.customer, message.revision_id, message.deleted, draft, deadline_us, finished_one
            )
            self._cover(broadcast, message.low, message.high)

        def obtained_then_cover(reason: str) -> None:
            obtained(reason)
            cover(self._revisions.draft(message.customer, message.revision_id))

        inline = message.deleted or message.draft is not None
        # Seats below request a large draft from this member, so they are notified only once it is here.
        self._revisions.obtain(
            message.customer,
            message.revision_id,
            message.deleted,
            message.draft,
            seat,
            obtained if inline else obtained_then_cover,
        )
        if inline:
            cover(message.draft)

    def on_received(self, seat: str, message: DisseminateReceived) -> None:
        """A head has acknowledged."""
        subtree = self._subtrees.get(message.serial)
        if subtree is not None and self.seats[subtree.head] == seat:
            subtree.acknowledged = True

    def on_result(self, seat: str, message: DisseminateResult) -> None:
        """A head has covered its range."""
        subtree = self._subtrees.get(message.serial)
        if subtree is None or self.seats[subtree.head] != seat:
            return
        del self._subtrees[message.serial]
        for name, reason in message.lacking.items():
            self._add_lacking(subtree.broadcast, name, reason)
        self._complete_one(subtree.broadcast)
