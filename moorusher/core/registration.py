"""Registration of requests: checks an arrival against the settings and adds it to the request and key tables."""

from __future__ import annotations

from enum import Enum

from moorusher.scheduling import interface as api
from moorusher.time_units import MS, SECOND

from .answer import Reply
from .clock import Clock
from .former_key_classes import FormerKeyClasses
from .idempotency_keys import IdempotencyKeyTable, digest, window_end
from .requests import Arrival, Request, RequestTable

# Maximum number of open requests. Each one takes memory for its body (2 KiB) and some overhead. The scheduler's own
# memory limit rejects requests long before this number is reached.
MAX_REQUESTS = 10_000
MAX_FORMER_CLASSES = 256  # number of dropped classes whose windows are stored
# Maximum difference between a stated arrival time and the current time. It allows for a paused machine or a stepped
# clock. A larger difference is the sender's mistake.
MAX_SKEW_US = 3_600 * SECOND
RETRY_AFTER_MS = 1_000.0  # retry delay sent with rejections that don't come from the scheduler


class InvalidArrival(Enum):
    """Reasons why an arrival is not accepted as a request. The values appear in error messages.

    The last five are caused by the state of the runner, all others by the sender.
    """

    UNKNOWN_CLASS = "no such class"
    UNKNOWN_TENANT = "no such tenant"
    ARRIVAL_TIME_IMPLAUSIBLE = "its time of arrival is not of today"
    IDEMPOTENCY_KEY_MISSING = "a request of this class needs a token"
    BODY_MISMATCH = "this token came before with another body"
    DUPLICATE_REQUEST_ID = "a request with this rid is open"
    TOO_MANY_REQUESTS = "too many requests are open"
    KEY_STATE_UNKNOWN = "it may be a repeat of what ran in a process that can't be asked"
    KEY_TABLE_FULL = "no room for a further key"
    NOT_READY = "the kernel is not up yet"
    RULES_UNKNOWN = "customers' rules are not known here yet"


# Reasons after which the caller may send the request to another runner: neither this attempt nor, as far as this runner
# knows, an earlier one has run.
NEVER_RAN = {
    InvalidArrival.KEY_STATE_UNKNOWN,
    InvalidArrival.KEY_TABLE_FULL,
    InvalidArrival.NOT_READY,
    InvalidArrival.RULES_UNKNOWN,
}


class Registrar:
    """Creates requests from arrivals.

    Attributes:
        settings: Settings that arrivals are checked against.
        classes: Index of each class in the settings, by name.
        tenants: Index of each tenant in the settings, by name.
        former_classes: Idempotency windows in ms of dropped classes, by name, the most recently dropped last.
    """

    def __init__(
        self, settings: api.Settings, clock: Clock, table: RequestTable, keys: IdempotencyKeyTable
    ) -> None:
        self._clock = clock
        self._table = table
        self._keys = keys
        self.former_classes: dict[str, float] = {}
        self._former_key_classes = FormerKeyClasses()
        self._set_settings(settings)

    def _set_settings(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def settings_changed(self, settings: api.Settings) -> None:
        """Apply new settings to all requests read from now on."""
        self._former_key_classes.settings_changed(self._clock.now, self.settings, settings)
        windows = self.former_classes | {cls.name: cls.idempotency_window_ms for cls in self.settings.classes}
        self._set_settings(settings)
        longer = [
            cls.idempotency_window_ms - windows.pop(cls.name, cls.idempotency_window_ms)
            for cls in settings.classes
        ]
        if max(longer) > 0:
            self._keys.extend_all(round(max(longer) * MS))
        self.former_classes = dict(list(windows.items())[-MAX_FORMER_CLASSES:])

    def register(
        self, arrival: Arrival, reply: Reply, tag: int, takes_over: bool = False
    ) -> Request | InvalidArrival:
        """Create the request and add it to the tables.

        :param takes_over: whether the request continues another runner's attempt under the same key.
        """
        now = self._clock.now
        index = self.classes.get(arrival.class_name)
        if index is None:
            return InvalidArrival.UNKNOWN_CLASS
        tenant = (arrival.tenant or "") if self.tenants else None
        if tenant is not None and tenant not in self.tenants:
            return InvalidArrival.UNKNOWN_TENANT
        cls = self.settings.classes[index]
        if arrival.token:
            cls = self._former_key_classes.effective_class(cls, now)
        keyed = cls.effect is api.Effect.IDEMPOTENT_WITH_KEY
        if keyed and not arrival.token:
            return InvalidArrival.IDEMPOTENCY_KEY_MISSING
        if arrival.rid in self._table.by_rid:
            return InvalidArrival.DUPLICATE_REQUEST_ID
        if len(self._table) >= MAX_REQUESTS:
            return InvalidArrival.TOO_MANY_REQUESTS
        arrived_us = self._arrival_time(arrival, now)
        if arrived_us is None:
            return InvalidArrival.ARRIVAL_TIME_IMPLAUSIBLE
        number = self._table.allocate_number()
        request = Request(number, arrival.rid, cls, tenant, arrival.body, arrived_us, reply, tag, arrival)
        if keyed and arrival.token:
            invalid = self._reserve_key(request, (tenant, arrival.token), takes_over)
            if invalid is not None:
                return invalid
        self._table.add(request)
        return request

    def _arrival_time(self, arrival: Arrival, now: int) -> int | None:
        """Return the arrival time by the engine's clock; None if the sender's timestamp is implausible."""
        read_us = now if arrival.arrived_us is None else arrival.arrived_us
        if arrival.t0_unix_ms is None:
            return read_us
        stamped = self._clock.from_unix_ms(arrival.t0_unix_ms, now - read_us)
        if abs(now - stamped) > MAX_SKEW_US:
            return None
        return min(now, stamped)

    def _reserve_key(
        self, request: Request, key: tuple[str | None, str], takes_over: bool
    ) -> InvalidArrival | None:
        # Reserves the key, or makes the request a retry of the attempt that has the key. Returns the reason if neither
        # is possible.
        now = self._clock.now
        request.key = key
        entry = self._keys.find(key, now)
        body_digest = digest(request.body)
        expires_us = window_end(request.arrived_us, request.request_class.idempotency_window_ms)
        if entry is not None:
            if entry.body_digest != body_digest:
                # This is a different request under the same key, which must not share the result.
                return InvalidArrival.BODY_MISMATCH
            if takes_over and entry.remote and not entry.finished:
                self._keys.take_over(entry, request.number, expires_us)
            else:
                request.retry_of = entry.number
        elif now < self._keys.incomplete_until and not takes_over:
            return InvalidArrival.KEY_STATE_UNKNOWN
        elif self._keys.is_full():
            return InvalidArrival.KEY_TABLE_FULL  # without a stored key, the request could run twice
        else:
            self._keys.reserve(key, request.number, body_digest, expires_us)
        return None

    def scheduler_event(self, request: Request) -> api.Request:
        """Return the scheduler's event for a request, with `waited_ms` and `ttl_ms` as of now."""
        arrival = request.arrival
        waited_ms = (self._clock.now - request.arrived_us) / MS
        ttl_ms = None if arrival.budget_ms is None else max(0.0, arrival.budget_ms - waited_ms)
        cls = request.request_class
        index = self.classes.get(cls.name, -1)
        tenant = None
        if request.tenant is not None:
            tenant = self.tenants.get(request.tenant)  # None if new settings have dropped the tenant
        unchanged = index >= 0 and self.settings.classes[index] is cls
        return api.Request(
            request.number,
            index,
            arrival.memory_kb,
            waited_ms,
            ttl_ms,
            arrival.caller,
            tenant,
            arrival.is_retry,
            request.key is not None,
            request.retry_of,
            arrival.rank,
            arrival.subject,
            arrival.cost_hint_ms,
            None if unchanged else cls,
        )
