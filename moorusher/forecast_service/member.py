"""One member's part in the forecast: it counts, tells the owner of the duty, and asks it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ..errors import kind_of
from ..forecasting.demand import Tally
from ..forecasting.policy import Policy
from ..leadership.directory import Reading
from ..leadership.errors import LeadershipError, NoMajorityError
from ..leadership.lease_holder import LeaseHolder
from ..leadership.participant import Participant
from ..membership.failure_detector import MS
from ..replication.messages import ComponentMessage
from . import messages
from .errors import ERRORS, ForecastError, NotYet
from .forecaster import KIND, NAME, Forecaster
from .messages import PART, Ask, Elsewhere, Load, Past, Report, Told, Took

ANSWER = 2_000 * MS
LOOK = 1_000 * MS  # between two looks into the register; more, by chance
UNANSWERED = 3  # reports, before another owner is looked for
MOST_ASKED = 64
MOST_TOLD = 400 << 10  # bytes of what an owner tells
_KINDS: tuple[type[ForecastError], ...] = ERRORS
_ERRORS = {kind_of(kind): kind for kind in _KINDS}
Then = Callable[[bytes | ForecastError | LeadershipError], None]


class Host(Protocol):
    """What a member needs of the process."""

    def unix_ms(self) -> int: ...
    def worker(self, lease: LeaseHolder) -> Forecaster: ...


class Member:
    """One member's part in the forecast: it tells what it counted, and may own the duty."""

    def __init__(self, participant: Participant, host: Host, policy: Policy) -> None:
        self.participant, self._host, self.policy = participant, host, policy
        self.zone = participant.node.placement.by_name[participant.services.me].zone
        self.tally = Tally(
            participant.services.me,
            participant.services.incarnation,
            self.zone,
            host.unix_ms(),
            policy.routes,
        )
        self.forecaster: Forecaster | None = None
        self._serial = (
            participant.services.incarnation
        )  # answers to an earlier process of this seat are none to this one
        self._asked: dict[int, Then] = {}
        self._whom, self._unanswered = "", 0  # who has the duty, as last heard
        self._look_at = 0
        participant.node.components[PART] = self._heard
        participant.directory.declare(NAME, KIND)

    def start(self) -> None:
        self._tick()

    def say(self, seat: str, message: Any) -> None:
        if seat == self.participant.services.me:
            self.participant.services.at(
                self.participant.services.now(), lambda: self._told_of(seat, message)
            )
        else:
            self.participant.node.send(seat, ComponentMessage(PART, messages.encode(message)))

    def _heard(self, seat: str, body: bytes) -> None:
        try:
            message = messages.decode(body)
        except msgspec.MsgspecError:
            self.participant.services.count("forecast: a message that can't be read")
            return
        self._told_of(seat, message)

    def _told_of(self, seat: str, m: Any) -> None:
        if isinstance(m, Report):
            if self.forecaster is not None:
                self.forecaster.report(seat, m)
            else:
                self.say(seat, Elsewhere(m.serial, self._known()))
        elif isinstance(m, Took):
            self._whom, self._unanswered = seat, 0
            self.tally.acknowledged(m.told)
        elif isinstance(m, Elsewhere):
            self._whom = m.seat if m.seat != seat else ""
        elif isinstance(m, Ask):
            self.say(seat, self._tell(m))
        elif isinstance(m, Load):
            self._load(seat, m)
        elif (then := self._asked.pop(m.serial, None)) is not None:
            then(_ERRORS.get(m.error, NotYet)(m.what) if m.error else m.body)

    # ---- counts ----

    def _tick(self) -> None:
        self.participant.services.at(
            self.participant.services.now() + round(self.policy.report_ms * MS), self._tick
        )
        self.tally.tick(self._host.unix_ms())
        self.tell()

    def tell(self) -> None:
        """To whoever has the duty, as far as is known, what it has not acknowledged; told twice it counts once. The
        register is asked only where nobody answers: of a thousand runners that read it with each report, none would get
        through, and the owner's own changes neither."""
        if not (parts := self.tally.parts(self._host.unix_ms())):
            return
        if self._unanswered >= UNANSWERED:
            self._whom = ""
        whom = self.participant.services.me if self.forecaster is not None else self._whom or self._known()
        if whom:
            self._unanswered += 1
            self._serial += 1
            self.say(whom, Report(self._serial, parts))
        elif self.participant.services.now() >= self._look_at:
            self._look_at = self.participant.services.now() + round(
                LOOK * (1 + 2 * self.participant.node.random())
            )
            self._owner(self._found)

    def _found(self, owner: str | LeadershipError) -> None:
        if isinstance(owner, str):
            self._whom, self._unanswered = owner, 0

    def _known(self) -> str:
        """By the news of its register, where this member keeps it."""
        known = self.participant.directory.last_known(NAME)
        owner = None if isinstance(known, LeadershipError) else known.record.holder
        return "" if owner is None or not self.participant.node.is_up(owner.seat) else owner.seat

    def _owner(self, then: Callable[[str | LeadershipError], None]) -> None:
        def read(got: Reading | LeadershipError) -> None:
            if isinstance(got, LeadershipError):
                return then(got)
            owner = got.record.holder
            return then(NoMajorityError(NAME) if owner is None else owner.seat)

        if self.forecaster is not None:
            return then(self.participant.services.me)
        return self.participant.directory.read(NAME, read, state=False)

    # ---- to be asked ----

    def ask(self, customer: str, then: Then) -> None:
        self._of_the_owner(lambda serial: Ask(serial, customer), then)

    def load(self, past: list[Past], then: Then) -> None:
        self._of_the_owner(lambda serial: Load(serial, past), then)

    def _of_the_owner(self, make: Callable[[int], Any], then: Then) -> None:
        if len(self._asked) >= MOST_ASKED:
            return then(NotYet(f"{MOST_ASKED} questions wait at this runner"))

        def found(owner: str | LeadershipError) -> None:
            if isinstance(owner, LeadershipError):
                return then(owner)
            self._serial += 1
            serial = self._serial
            self._asked[serial] = then

            def late() -> None:
                if self._asked.pop(serial, None) is not None:
                    then(NotYet(f"{owner} has the forecast, and does not answer"))

            self.participant.services.at(self.participant.services.now() + ANSWER, late)
            return self.say(owner, make(serial))

        return self._owner(found)

    def _tell(self, m: Ask) -> Told:
        try:
            if self.forecaster is None:
                raise NotYet(f"{self.participant.services.me} has not got the forecast")
            body = msgspec.json.encode(self.forecaster.told(m.customer))
        except ForecastError as exc:
            return Told(m.serial, b"", kind_of(type(exc)), str(exc))
        if len(body) > MOST_TOLD:
            return Told(m.serial, b"", "NotYet", f"{len(body)} bytes: ask for one customer")
        return Told(m.serial, body)

    def _load(self, seat: str, m: Load) -> None:
        def done(wrong: Exception | None) -> None:
            self.say(
                seat,
                Told(m.serial, b"{}")
                if wrong is None
                else Told(m.serial, b"", kind_of(type(wrong)), str(wrong)),
            )

        if self.forecaster is None:
            return done(NotYet(f"{self.participant.services.me} has not got the forecast"))
        return self.forecaster.load(m.past, done)

    # ---- as an owner ----

    def work(self, lease: LeaseHolder) -> Forecaster:
        self.forecaster = self._host.worker(lease)
        return self.forecaster

    def ended(self, worker: Forecaster) -> None:
        if self.forecaster is worker:
            self.forecaster = None
