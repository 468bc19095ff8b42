"""One member's part in all customers' revisions: what it has, what it is told and asked, what is submitted at it.

Between the office of duties, whose owners publish, and whoever reads drafts, stores them and routes by them. A revision
is had once it is read and current here; a member goes from one to a later one only, whole.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from ..leadership.directory import Reading
from ..leadership.errors import ERRORS as DUTY_ERRORS
from ..leadership.errors import Busy, DutyError, NoMajority, Superseded, Unknown
from ..leadership.lease_holder import LeaseHolder
from ..leadership.lease_record import LeaseRecord, LeaseStatus
from ..leadership.participant import Participant
from ..membership.failure_detector import MS
from ..membership.member import MemberState
from ..namespaces.customers import Customers, Revision, Stale
from ..namespaces.document import Namespace
from ..namespaces.errors import ERRORS as NAMESPACE_ERRORS
from ..namespaces.errors import NamespaceError, NoSuchCustomer, Retired
from ..namespaces.policy import Bounds, Granted
from ..namespaces.revisions import Book, Submission, unpack
from ..replication.messages import ComponentMessage
from . import messages
from .anti_entropy import Comparing
from .dissemination import MOST_LACKING, Casting, Lacking
from .messages import PART, At, Cast, Compare, Covered, Differ, Given, Heard, Submit, Submitted, Want
from .publisher import KIND, Publisher, duty_of

Error = NamespaceError | DutyError
Answer = Callable[[At | Error], None]
PATIENCE = 8_000 * MS  # for what is submitted here
OWNER_SAYS = 1_500 * MS  # by then, or it is looked for anew
LOOK_AGAIN = 100 * MS
CAST = 2_000 * MS
GONE = 1 << 62  # the number that a deleted namespace has in its incarnation
MOST_SUBMITTED = 256  # here, at a time
MOST_HAVING = 1_024  # revisions that are being had, at a time
HAVE = 5_000 * MS
WHY_STATE = {
    MemberState.SUSPECT: "suspected",
    MemberState.DEAD: "down",
    MemberState.UNKNOWN: "never heard of",
}
_KINDS: tuple[type[Error], ...] = (*NAMESPACE_ERRORS, *DUTY_ERRORS)
_ERRORS = {kind.__name__: kind for kind in _KINDS}


def error_of(name: str, what: str) -> Error:
    """As it was raised at another runner. Some have parts of their own, which are in their words already."""
    kind = _ERRORS.get(name, NoMajority)
    made = kind.__new__(kind)
    Exception.__init__(made, what)
    return made


class Host(Protocol):
    """The process."""

    def granted(self, customer: str) -> Granted | None: ...  # None: no customer of the settings
    def bounds(self, customer: str) -> Bounds: ...
    def check(
        self, draft: bytes, granted: Granted, then: Callable[[NamespaceError | None], None]
    ) -> None: ...
    def read(self, draft: bytes, then: Callable[[Namespace | NamespaceError], None]) -> None: ...
    def keep(self, customer: str, at: At, draft: bytes | None) -> None: ...  # None: it is gone
    def unix_ms(self) -> int: ...
    def became_ready(self) -> None: ...
    def changed(self, customer: str) -> None: ...  # another revision is current, or none


@dataclass(slots=True, eq=False)
class _Submitted:
    submission: Submission
    then: Answer
    until: int
    sent: int = 0  # grows with each attempt
    created: bool = False
    told: Error | None = None


@dataclass(slots=True, eq=False)
class _Having:
    at: At
    whence: str
    then: list[tuple[At, Callable[[str], None]]] = field(default_factory=list)
    reading: bool = False


class Replica:
    """One member's copy of all customers' revisions, and its part in publishing them."""

    def __init__(self, participant: Participant, host: Host, most: int) -> None:
        self.participant, self._host = participant, host
        self.customers = Customers(most)
        node = participant.node
        node.components[PART] = self._heard
        self.casting = Casting(self, node.placement.names, node.owner.incarnation)
        self.comparing = Comparing(self, len(node.placement.names))
        self.publishers: dict[str, Publisher] = {}
        self._submitted: dict[int, _Submitted] = {}
        self._having: dict[str, _Having] = {}
        self._serial = (
            node.owner.incarnation
        )  # answers to an earlier process of this seat are none to this one
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            Submit: self._submit_to_us,
            Submitted: self._was_submitted,
            Want: self._want,
            Given: self._given,
            Cast: self.casting.cast,
            Heard: self.casting.heard,
            Covered: self.casting.covered,
            Compare: self.comparing.compare,
            Differ: self.comparing.differ,
        }

    # ---- what its parts ask of it ----

    @property
    def me(self) -> str:
        return self.participant.services.me

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.participant.services.at(when, action)

    def clock(self) -> int:
        return self.participant.services.now()

    def count(self, name: str) -> None:
        self.participant.services.count(name)

    def random(self) -> float:
        return self.participant.node.random()

    def say(self, seat: str, message: Any) -> None:
        if seat == self.me:
            self.at(self.clock(), lambda: self._handlers[type(message)](seat, message))
        else:
            self.participant.node.send(seat, ComponentMessage(PART, messages.encode(message)))

    def others(self) -> list[str]:
        return [s for s, m in self.participant.node.detector.by_seat.items() if m.is_alive and s != self.me]

    def state_of(self, seat: str) -> str:
        return WHY_STATE.get(self.participant.node.detector.by_seat[seat].state, "alive")

    def has(self, customer: str) -> tuple[At, bool]:
        return self.customers.at(customer), self.customers.gone(customer)

    def draft(self, customer: str, at: At) -> bytes | None:
        found = self.customers.of(customer)
        return found.draft if found is not None and found.at == at else None

    def became_ready(self) -> None:
        self._host.became_ready()

    # ---- its life ----

    def start(self, stored: list[tuple[str, At, bytes | None]], patience: int) -> None:
        """With what this runner's disk still has."""
        for customer, at, draft in stored:
            self.have(customer, at, draft is None, draft, self.me, lambda why: None)
        self.comparing.start(patience)

    def _heard(self, seat: str, body: bytes) -> None:
        try:
            message = messages.decode(body)
        except msgspec.MsgspecError:
            self.count("namespaces: a message that can't be read")
            return
        self._handlers[type(message)](seat, message)

    # ---- revisions that this member comes to have ----

    def have(
        self, customer: str, at: At, gone: bool, draft: bytes | None, whence: str, then: Callable[[str], None]
    ) -> None:
        """`then("")` once that one, or a later one, is current here; else why not."""
        if at <= self.customers.at(customer):
            return then("")
        if gone:
            self.customers.delete(customer, at)
            self._now(customer, None)
            return then("")
        having = self._having.get(customer)
        if having is None:
            if len(self._having) >= MOST_HAVING:
                return then("too many at a time")
            having = self._having[customer] = _Having((0, 0), whence)
            self.at(self.clock() + HAVE, lambda: self._not_had(customer, having, "it did not come in time"))
        having.then.append((at, then))
        if at > having.at:
            having.at, having.whence = at, whence
        if draft is not None:
            self._read(customer, at, draft, having)
        elif not having.reading:
            self.say(whence, Want(customer, at))
        return None

    def _read(self, customer: str, at: At, draft: bytes, having: _Having) -> None:
        having.reading = True

        def read(got: Namespace | NamespaceError) -> None:
            having.reading = False
            if isinstance(got, NamespaceError):
                self.count("namespaces: a revision that can't be read")
                return self._not_had(customer, having, f"it can't be read: {got}")
            try:
                self.customers.put(Revision(customer, at, got, draft))
            except Stale:
                return self._were_had(customer, having)
            self._now(customer, draft)
            return self._were_had(customer, having)

        self._host.read(draft, read)

    def _now(self, customer: str, draft: bytes | None) -> None:
        self.comparing.noted(customer)
        self._host.keep(customer, self.customers.at(customer), draft)
        self._host.changed(customer)

    def _were_had(self, customer: str, having: _Having) -> None:
        there = self.customers.at(customer)
        done = [then for at, then in having.then if at <= there]
        having.then = [(at, then) for at, then in having.then if at > there]
        if not having.then and self._having.get(customer) is having:
            del self._having[customer]
        elif having.then and not having.reading:
            self.say(having.whence, Want(customer, having.at))
        for then in done:
            then("")

    def _not_had(self, customer: str, having: _Having, why: str) -> None:
        if self._having.get(customer) is having:
            del self._having[customer]
        waiting, having.then = having.then, []
        for _, then in waiting:
            then(why)

    def _want(self, seat: str, m: Want) -> None:
        found = self.customers.of(m.customer)
        if found is not None and found.at >= m.at:
            self.say(seat, Given(m.customer, found.at, False, found.draft))
        elif self.customers.gone(m.customer) and self.customers.at(m.customer) >= m.at:
            self.say(seat, Given(m.customer, self.customers.at(m.customer), True, b""))

    def _given(self, seat: str, m: Given) -> None:
        having = self._having.get(m.customer)
        if having is None or m.at <= self.customers.at(m.customer):
            return
        if m.gone:
            self.customers.delete(m.customer, m.at)
            self._now(m.customer, None)
            self._were_had(m.customer, having)
        elif not having.reading:
            self._read(m.customer, m.at, m.draft, having)

    # ---- as an owner ----

    def work(self, lease: LeaseHolder) -> Publisher:
        made = self.publishers[lease.name] = Publisher(lease, self)
        return made

    def ended(self, publisher: Publisher) -> None:
        if self.publishers.get(publisher.lease.name) is publisher:
            del self.publishers[publisher.lease.name]

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None:
        granted = self._host.granted(customer)
        if granted is None:
            return then(NoSuchCustomer(f"{customer!r} is no customer in this runner's settings"))
        return self._host.check(draft, granted, then)

    def bounds(self, customer: str) -> Bounds:
        return self._host.bounds(customer)

    def unix_ms(self) -> int:
        return self._host.unix_ms()

    def published(self, customer: str, at: At, draft: bytes) -> None:
        self.count("namespaces: published")
        self.have(customer, at, False, draft, self.me, lambda why: self._spread(customer, at, why))

    def _spread(self, customer: str, at: At, why: str) -> None:
        if not why and self.customers.at(customer) == at:
            self.casting.begin(customer, at, False, CAST, lambda lacking: None)

    def _submit_to_us(self, seat: str, m: Submit) -> None:
        def over(got: At | Error) -> None:
            if isinstance(got, Exception):
                self.say(seat, Submitted(m.serial, (0, 0), type(got).__name__, str(got)))
            else:
                self.say(seat, Submitted(m.serial, got))

        name = duty_of(m.submission.customer)
        publisher = self.publishers.get(name)
        if publisher is None:
            return over(Busy(f"{name}: not with this runner"))
        return publisher.submit(m.submission, over)

    # ---- submitted at this member ----

    def submit(self, s: Submission, then: Answer) -> None:
        """`then` once: as what it is published, or why it is not. Given up after `PATIENCE`; handing it in again with
        the same id is safe then."""
        if self._host.granted(s.customer) is None:
            return then(NoSuchCustomer(f"{s.customer!r} is no customer in this runner's settings"))
        if len(self._submitted) >= MOST_SUBMITTED:
            return then(Busy(f"{MOST_SUBMITTED} submissions wait at this runner"))
        self._serial += 1
        serial = self._serial
        self._submitted[serial] = _Submitted(s, then, self.clock() + PATIENCE)
        return self._find_owner(serial)

    def _find_owner(self, serial: int) -> None:
        w = self._submitted.get(serial)
        if w is None:
            return
        if self.clock() >= w.until:
            del self._submitted[serial]
            return w.then(w.told or NoMajority(duty_of(w.submission.customer)))
        w.sent += 1
        sent = w.sent
        name = duty_of(w.submission.customer)

        def again() -> None:
            if self._submitted.get(serial) is w and w.sent == sent:
                self._find_owner(serial)

        def later(us: int) -> None:
            self.at(self.clock() + us, again)

        def looked(got: Reading | DutyError) -> None:
            if self._submitted.get(serial) is not w or w.sent != sent:
                return
            if isinstance(got, Unknown):
                if not w.created:
                    w.created = True
                    return self.participant.directory.create(name, KIND, lambda made: later(0))
                return later(LOOK_AGAIN)
            if isinstance(got, DutyError):
                w.told = got
                return later(LOOK_AGAIN)
            record = got.record
            if record.status == LeaseStatus.HELD and record.holder is not None:
                self.say(record.holder.seat, Submit(serial, w.submission))
                return later(OWNER_SAYS)
            w.told = Busy(f"{name}: nobody has it at this time ({LeaseStatus(record.status).api_name})")
            return later(LOOK_AGAIN)

        self.participant.directory.read(name, looked, state=False)

    def _was_submitted(self, seat: str, m: Submitted) -> None:
        w = self._submitted.get(m.serial)
        if w is None:
            return
        if not m.error:
            del self._submitted[m.serial]
            return w.then(m.at)
        error = error_of(m.error, m.what)
        if isinstance(error, (Busy, NoMajority, Superseded)):  # not by that one; another may
            w.told, w.sent = error, w.sent + 1
            sent = w.sent

            def again() -> None:
                if w.sent == sent:
                    self._find_owner(m.serial)

            return self.at(self.clock() + LOOK_AGAIN, again)
        del self._submitted[m.serial]
        return w.then(error)

    def everywhere(self, customer: str, at: At, then: Callable[[Lacking], None], within: int = CAST) -> None:
        """Who has not that revision, nor a later one, and why; all other seats have."""
        until = self.clock() + within

        def had(why: str) -> None:
            if why:  # then nobody was asked
                seats = list(self.participant.node.detector.by_seat)[:MOST_LACKING]
                return then({seat: why if seat == self.me else "not asked" for seat in seats})
            return self.casting.begin(
                customer,
                self.customers.at(customer),
                self.customers.gone(customer),
                max(0, until - self.clock()),
                then,
            )

        def fetched(draft: bytes | None) -> None:
            if draft is not None or self.customers.at(customer) >= at:
                return self.have(customer, at, False, draft, self.me, had)
            if self.clock() >= until:
                return had("its draft is not to be had")
            return self.at(self.clock() + LOOK_AGAIN, lambda: self._fetch(customer, at, fetched))

        if at[1] == GONE or self.customers.at(customer) >= at:
            return self.have(customer, at, at[1] == GONE, None, self.me, had)
        return self._fetch(customer, at, fetched)

    def _fetch(self, customer: str, at: At, then: Callable[[bytes | None], None]) -> None:
        """From the register: that very revision."""

        def got(found: tuple[int, Book] | DutyError) -> None:
            entry = None if isinstance(found, DutyError) or found[0] != at[0] else found[1].find(at[1])
            then(None if entry is None else entry.draft)

        self.book(customer, got)

    def delete(self, customer: str, then: Answer) -> None:
        """The namespace and all that is its own; made anew, it is another one."""

        def removed(got: LeaseRecord | DutyError) -> None:
            if isinstance(got, DutyError):
                return then(got)
            at = (
                (got.generation if got.status == LeaseStatus.REMOVED else got.generation - 1),
                GONE,
            )  # made anew already
            self.have(
                customer,
                at,
                True,
                None,
                self.me,
                lambda why: self.casting.begin(customer, at, True, CAST, lambda lacking: None),
            )
            return then(at)

        self.participant.directory.remove(duty_of(customer), removed)

    def book(self, customer: str, then: Callable[[tuple[int, Book] | DutyError], None]) -> None:
        """As a majority has it now, with its incarnation. What its owner has given up does not come about after it."""
        name = duty_of(customer)

        def read(got: Reading | DutyError) -> None:
            if isinstance(got, DutyError):
                return then(got)
            try:
                return then((got.record.generation, unpack(got.state or b"", customer)))
            except ValueError as exc:
                return then(error_of("Damaged", str(exc)))  # type: ignore[arg-type]

        self.participant.directory.read(
            name, read, after_abandoned_changes=duty_of(customer) in self.publishers
        )

    def revision(self, customer: str, at: At, then: Callable[[Revision | Error], None]) -> None:
        """That very one, current or not: for work that another runner has read under it."""
        found = self.customers.of(customer)
        if found is not None and found.at == at:
            return then(found)

        def got(looked: tuple[int, Book] | DutyError) -> None:
            if isinstance(looked, DutyError):
                return then(looked)
            entry = looked[1].find(at[1]) if looked[0] == at[0] else None
            if entry is None:
                return then(Retired(f"revision {at[1]} of {customer!r} is kept no longer"))
            draft = entry.draft
            return self._host.read(
                draft,
                lambda read: then(
                    read if isinstance(read, NamespaceError) else Revision(customer, at, read, draft)
                ),
            )

        return self.book(customer, got)
