"""The work of the duty `namespace/<customer>`: what is submitted becomes the next revision, one after the other.

Published is what a majority of the register has taken in this owner's term; only then is anybody told so. Where an
attempt's outcome is not known, what the register holds is read before the next: two drafts never get one number.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from ..leadership.effects import Completed, Outcome, StateUpdate
from ..leadership.errors import Busy, DutyError, NoMajority
from ..leadership.lease_holder import LeaseHolder
from ..namespaces.errors import NamespaceError
from ..namespaces.policy import Bounds
from ..namespaces.revisions import Book, Submission, drafted, pack, published, unpack
from .messages import At

KIND = "namespace"
PREFIX = "namespace/"
MOST_WAITING = 16
Answer = Callable[[At | NamespaceError | DutyError], None]


def duty_of(customer: str) -> str:
    """The duty that publishes for a customer."""
    return PREFIX + customer


class Host(Protocol):
    """What the publisher needs of the member that owns the duty."""

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None: ...
    def book(self, customer: str, then: Callable[[tuple[int, Book] | DutyError], None]) -> None: ...
    def published(self, customer: str, at: At, draft: bytes) -> None: ...
    def bounds(self, customer: str) -> Bounds: ...
    def ended(self, publisher: Publisher) -> None: ...
    def unix_ms(self) -> int: ...


class Publisher:
    """Publishes one customer's revisions (`leadership.worker.Worker`)."""

    def __init__(self, lease: LeaseHolder, host: Host) -> None:
        self.lease, self.host = lease, host
        self.customer = lease.name.removeprefix(PREFIX)
        self.born = lease.record.generation
        self._book: Book | None = None
        self._waiting: deque[tuple[Submission, Answer]] = deque()
        self._stopped: DutyError | None = None
        self._over = False

    def start(self) -> None:
        """What the owner before has published may not have come to all: it is told anew."""
        try:
            self._book = unpack(self.lease.state, self.customer)
        except ValueError:
            return
        if (entry := self._book.current) is not None:
            self.host.published(self.customer, (self.born, entry.number), entry.draft)

    def before_release(self) -> None:
        return None

    def stop(self, why: DutyError | None) -> None:
        self._over, self._stopped = True, why
        self.host.ended(self)
        waiting, self._waiting = list(self._waiting), deque()
        for _, then in waiting:
            then(why or self._given_up())

    def _given_up(self) -> Busy:
        return Busy(f"{self.lease.name}: it is being given to another")

    # ---- one after the other ----

    def submit(self, s: Submission, then: Answer) -> None:
        """`then` once: what it was published as, or why it was not, as far as that is known here."""
        if self._over or s.customer != self.customer:
            return then(self._stopped or self._given_up())
        if len(self._waiting) >= MOST_WAITING:
            return then(Busy(f"{self.lease.name}: {MOST_WAITING} submissions wait already"))
        self._waiting.append((s, then))
        if len(self._waiting) == 1:
            self._first()
        return None

    def _first(self) -> None:
        if self._book is not None:
            return self._judge(self._book)

        def read(got: tuple[int, Book] | DutyError) -> None:
            if self._over:
                return
            if isinstance(got, DutyError):
                return self._done(got)
            if got[0] != self.born:
                return self._done(self._given_up())
            self._book = got[1]
            self._judge(got[1])

        return self.host.book(self.customer, read)

    def _judge(self, book: Book) -> None:
        s = self._waiting[0][0]
        if (before := book.submitted(s.id)) is not None:  # its answer was lost on the way
            return self._done((self.born, before.number))
        try:
            draft = drafted(book, s)
        except NamespaceError as exc:
            return self._done(exc)

        def checked(wrong: NamespaceError | None) -> None:
            if self._over:
                return
            if wrong is not None:
                return self._done(wrong)
            self._publish(book, s, draft)

        return self.host.check(self.customer, draft, checked)

    def _publish(self, book: Book, s: Submission, draft: bytes) -> None:
        try:
            made = published(book, s, draft, self.host.unix_ms(), self.host.bounds(self.customer))
        except NamespaceError as exc:
            return self._done(exc)

        def over(outcome: Outcome) -> None:
            if self._over:
                return
            if isinstance(outcome, Completed):
                self._book = made
                at = self.born, made.number
                self.host.published(self.customer, at, draft)
                return self._done(at)
            if isinstance(outcome, (NoMajority, Busy)):
                self._book = None  # it may come about yet: what is there is read before anything else
            return self._done(outcome)

        return self.lease.submit(StateUpdate(pack(made)), over)

    def _done(self, got: At | NamespaceError | DutyError) -> None:
        if self._over:
            return
        _, then = self._waiting.popleft()
        then(got)
        if self._waiting and not self._over:
            self._first()
