"""What comes in: checked against the settings, numbered, and tied to the try that it repeats."""

from __future__ import annotations

from enum import Enum

from moorusher.scheduling import interface as api

from .answer import Reply
from .clock import MS, SECOND, Clock
from .former_key_classes import FormerKeys
from .idempotency_keys import Keys, digest, window_end
from .requests import Arrival, Request, Table

# A held request takes its body, 2 KiB, and small change; the module refuses long before by its own memory.
MOST_REQUESTS = 10_000
MOST_FORMER = 256  # names of dropped classes that are remembered
# A machine may pause, and a clock be stepped; what came an hour ago, or will, is a mistake or a try to be served
# outside of its window.
MOST_SKEW = 3_600 * SECOND


# Nothing of such a request has run, nor any earlier try of it that is known here: it may go elsewhere.
BUSY_MS = 1_000.0


class Fault(Enum):
    """Why something that was read is no request: the sender's mistake, except for the last five."""

    NO_SUCH_CLASS = "no such class"
    NO_SUCH_TENANT = "no such tenant"
    NO_SUCH_TIME = "its time of arrival is not of today"
    TOKEN_MISSING = "a request of this class needs a token"
    BODY_DIFFERS = "this token came before with another body"
    RID_IN_USE = "a request with this rid is open"
    TOO_MANY = "too many requests are open"
    KEY_UNSURE = "it may be a repeat of what ran in a process that can't be asked"
    KEYS_FULL = "no room for a further key"
    NOT_READY = "the kernel is not up yet"
    RULES_UNKNOWN = "customers' rules are not known here yet"


NEVER_RAN = {Fault.KEY_UNSURE, Fault.KEYS_FULL, Fault.NOT_READY, Fault.RULES_UNKNOWN}


class Intake:
    """Checks what was read against the settings, and makes a request of it."""

    def __init__(self, settings: api.Settings, clock: Clock, table: Table, keys: Keys) -> None:
        self._clock, self._table, self._keys = clock, table, keys
        self.former: dict[str, float] = {}  # classes that were dropped, with their windows; the latest last
        self._former_keys = FormerKeys()
        self._know(settings)

    def _know(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.tenants = {t.name: i for i, t in enumerate(settings.tenants)}

    def follow(self, settings: api.Settings) -> None:
        """New settings hold for what is read from here on."""
        self._former_keys.follow(self._clock.now, self.settings, settings)
        windows = self.former | {c.name: c.idempotency_window_ms for c in self.settings.classes}
        self._know(settings)
        longer = [
            cls.idempotency_window_ms - windows.pop(cls.name, cls.idempotency_window_ms)
            for cls in settings.classes
        ]
        if max(longer) > 0:
            self._keys.widen(round(max(longer) * MS))
        self.former = dict(list(windows.items())[-MOST_FORMER:])

    def take(self, a: Arrival, reply: Reply, tag: int, takes_up: bool = False) -> Request | Fault:
        """The request, in the table. `takes_up`: it goes on with what another runner held under this key."""
        klass, now = self.classes.get(a.klass), self._clock.now
        if klass is None:
            return Fault.NO_SUCH_CLASS
        tenant = (a.tenant or "") if self.tenants else None
        if tenant is not None and tenant not in self.tenants:  # whoever names none is nobody's
            return Fault.NO_SUCH_TENANT
        cls = self.settings.classes[klass]
        if a.token:
            cls = self._former_keys.taken_as(cls, now)
        keyed = cls.effect is api.Effect.IDEMPOTENT_WITH_KEY
        if keyed and not a.token:
            return Fault.TOKEN_MISSING
        if a.rid in self._table.by_rid:
            return Fault.RID_IN_USE
        if len(self._table) >= MOST_REQUESTS:
            return Fault.TOO_MANY
        came = now if a.came is None else a.came
        if a.t0_unix_ms is not None:
            stamped = self._clock.stamped(a.t0_unix_ms, 0 if a.came is None else now - a.came)
            if abs(now - stamped) > MOST_SKEW:
                return Fault.NO_SUCH_TIME
            came = min(now, stamped)
        request = Request(self._table.number(), a.rid, cls, tenant, a.body, came, reply, tag, a)
        if keyed and a.token:
            request.key = (tenant, a.token)
            entry = self._keys.find(request.key, now)
            body = digest(a.body)
            if entry is not None:
                if entry.body != body:
                    return Fault.BODY_DIFFERS  # another request under this key: its result would be wrong
                if takes_up and entry.theirs and not entry.over:
                    self._keys.take_up(entry, request.number, window_end(came, cls.idempotency_window_ms))
                else:
                    request.repeats = entry.number
            elif now < self._keys.unsure_until and not takes_up:
                return Fault.KEY_UNSURE
            elif self._keys.full():
                return Fault.KEYS_FULL  # without its key remembered it could run twice
            else:
                self._keys.hold(
                    request.key, request.number, body, window_end(came, cls.idempotency_window_ms)
                )
        self._table.add(request)
        return request

    def event(self, request: Request) -> api.Request:
        """What the module is told of a request: how long it has waited is a matter of when that is."""
        a, waited = request.arrival, (self._clock.now - request.came) / MS
        left = None if a.budget_ms is None else max(0.0, a.budget_ms - waited)
        klass, tenant = self.classes.get(request.cls.name, -1), None
        if request.tenant is not None:
            tenant = self.tenants.get(request.tenant)  # one that is gone meanwhile counts as nobody's
        same = klass >= 0 and self.settings.classes[klass] is request.cls
        return api.Request(
            request.number,
            klass,
            a.memory_kb,
            waited,
            left,
            a.caller,
            tenant,
            a.is_retry,
            request.key is not None,
            request.repeats,
            a.rank,
            a.subject,
            a.hint_ms,
            None if same else request.cls,
        )
