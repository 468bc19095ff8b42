"""One server below, as this runner knows it: what is in flight, how it answers, whether it is left out for a while."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .concurrency_limit import Limit
from .latency import Latency
from .policy import Policy, Server
from .prior import OWN, Prior
from .slow_start import LEAST_RAMP, SlotCounter, StartBudget, phase_of

LATELY = 30  # calls that a failure share is taken from
MANY = 15  # calls under which there is no share, and no outlier
FORGET = 60_000_000  # us without an ejection after which the next is the first again


class State(Enum):
    """Whether a server gets calls."""

    IN = "in"
    EJECTED = "ejected"
    PROBED = "probed"  # its time is over: one safe call says whether it returns
    LEAVING = "leaving"  # an operator drains it: no new calls


class Why(Enum):
    """Of an ejection."""

    CONSECUTIVE = "failures one after the other"
    SHARE = "share of failures"
    OUTLIER = "far slower than the others"
    PROBE = "its probe failed"
    HANGS = "calls hang"


@dataclass(slots=True)
class InFlight:
    """An attempt that has not ended."""

    since: int
    probe: bool = False


class Member:
    """One server: its calls, its latency, its limit, and whether it is ejected."""

    def __init__(
        self, server: Server, policy: Policy, now: int, established: bool = False, runner: str = ""
    ) -> None:
        self.server, self.policy = server, policy
        self.state, self.retires = State.IN, False  # leaving, and to be forgotten once nothing is in flight
        self.latency, self.limit = Latency(), Limit(policy.least_limit, policy.most_limit)
        self.in_flight: dict[int, InFlight] = {}  # by attempt, the oldest first
        self.first_seen = self.last_seen = now
        self.calls = self.failures = self.ejections = 0
        self.consecutive = 0
        self.prior: Prior | None = None
        self._outcomes: list[bool] = []  # the last calls, True where answered
        self.until = 0  # of the ejection
        self.why: Why | None = None
        self._ejected_at = -FORGET
        self._times = 0
        slow = round(policy.slow_start_s * 1e6)
        self._whole_at = now if established else now + slow  # gets its whole share from then on
        self._slow = slow
        self._slots: SlotCounter | None = None  # while it starts, of this runner's part of what it may get
        if policy.slow_start_calls and slow:
            budget = StartBudget(
                policy.slow_start_calls, round(policy.slow_start_window_ms * 1e3), policy.runners
            )
            self._slots = SlotCounter(budget, phase_of(runner, server.name), now)

    # ---- what it is worth ----

    def ramp(self, now: int) -> float:
        """Of its whole share: a tenth as it comes or returns, growing evenly."""
        if now >= self._whole_at or not self._slow:
            return 1.0
        return max(LEAST_RAMP, 1.0 - (self._whole_at - now) / self._slow)

    def _starting_slots(self, now: int) -> SlotCounter | None:
        """One that waits for its probe starts with it."""
        return self._slots if now < self._whole_at or self.state is State.PROBED else None

    def _start_ramp(self, now: int) -> float:
        return LEAST_RAMP if self.state is State.PROBED else self.ramp(now)

    def may_get(self, now: int) -> bool:
        """One more call: while it starts, only in its turn."""
        slots = self._starting_slots(now)
        return slots is None or slots.is_open(now, self._start_ramp(now))

    def has_room(self, now: int) -> bool:
        return self.limit.room(len(self.in_flight)) and self.may_get(now)

    def next_turn(self, now: int) -> int | None:
        """When it may get one again; None where it need not wait for that."""
        slots = self._starting_slots(now)
        return None if slots is None else slots.opens_at(now, self._start_ramp(now))

    def answered_share(self) -> float:
        return sum(self._outcomes) / len(self._outcomes) if self._outcomes else 1.0

    def cost(self, now: int, typical: float) -> float:
        """The expected wait of one more call, in us, by this server's weight. `typical` stands for what is unknown;
        how often one in slow start is chosen is a matter of the draw."""
        wait = self.latency.expected(now) or typical or 1.0
        good = self.answered_share()
        if self.prior is not None:
            told = self.prior.weight * max(0.0, 1 - self.latency.samples / OWN)
            wait += told * ((typical or 1.0) * self.prior.ratio - wait)
            told = self.prior.weight * max(0.0, 1 - len(self._outcomes) / OWN)
            good += told * (self.prior.answered - good)
        if self.in_flight:  # one that hangs tells nothing: its silence does
            wait = max(wait, now - next(iter(self.in_flight.values())).since)
        # What fails at once must not draw calls by being quick.
        good = max(0.1, good)
        return wait * (len(self.in_flight) + 1) / (self.server.weight * good * good)

    # ---- calls ----

    def sent(self, now: int, attempt: int, probe: bool) -> None:
        if (slots := self._starting_slots(now)) is not None:
            slots.sent(now, self._start_ramp(now))
        self.in_flight[attempt] = InFlight(now, probe)
        self.calls += 1

    def ended(self, now: int, attempt: int, answered: bool, counts: bool) -> bool:
        """Whether the attempt was a probe. `counts`: False where its end says nothing of the server."""
        flight = self.in_flight.pop(attempt, None)
        if flight is None or not counts:
            if flight is not None and flight.probe:
                self.state = State.PROBED
            return False
        self.last_seen = now
        if len(self._outcomes) >= LATELY:
            del self._outcomes[0]
        self._outcomes.append(answered)
        if answered:
            self.consecutive = 0
            self.latency.add(now, now - flight.since)
            self.limit.answered(self.latency.short, self.latency.long, len(self.in_flight) + 1)
        else:
            self.failures += 1
            self.consecutive += 1
        return flight.probe

    # ---- ejection ----

    def faulty(self, typical: float) -> Why | None:
        """Reason to eject it now. `typical` is the tier's median latency in us, 0 where too few are known."""
        policy = self.policy
        if self.consecutive >= policy.consecutive:
            return Why.CONSECUTIVE
        if len(self._outcomes) >= MANY and 1 - self.answered_share() > policy.failure_share:
            return Why.SHARE
        if typical and self.latency.samples >= MANY and self.latency.short > policy.outlier * typical:
            return Why.OUTLIER
        return None

    def eject(self, now: int, why: Why) -> None:
        self._times = (
            1 if now - self._ejected_at > FORGET + self.until - self._ejected_at else self._times + 1
        )
        lasts = min(self.policy.most_eject_s, self.policy.eject_s * 2 ** min(self._times - 1, 16))
        self.state, self.why, self._ejected_at = State.EJECTED, why, now
        self.until = now + round(lasts * 1e6)
        self.ejections += 1
        self.consecutive = 0

    def back(self, now: int) -> None:
        """Its probe was answered: it returns slowly, and what it was before counts no more. One that was out by the
        word of others alone has nothing to return from."""
        self.state, self.why = State.IN, None
        if not self.ejections:
            return
        self._outcomes.clear()
        latency = Latency()
        latency.long = self.latency.long
        self.latency = latency
        self._whole_at = now + self._slow
