"""The value itself. Nothing of tenants, bodies or tokens is in it; ages instead of times, since clocks differ."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from ..load_balancing.endpoint import Endpoint, EndpointState

MOST_SERVERS = 1000
MOST_NAME = 64


class Condition(Enum):
    """How the donor itself was when it made the value: it decides how far its figures are believed."""

    WELL = "well"
    SLOW = "slow"
    CROWDED = "crowded"
    COLD = "cold"
    PAUSED = "paused"


class ServerFacts(msgspec.Struct, frozen=True, omit_defaults=True):
    """One server as one runner knows it. Times in us of the donor's calls, ages in seconds at the time of making."""

    name: str
    short_us: float = 0.0
    long_us: float = 0.0
    spread_us: float = 0.0
    samples: int = 0
    answered: float = 1.0  # share of the last calls
    limit: float = 0.0
    out: bool = False  # ejected, or waiting for its probe
    ejections: int = 0
    first_seen_s: float = 0.0
    last_seen_s: float = 0.0


class Knowledge(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one runner knew at one moment. `age_s` is what had passed since when it was made or handed on."""

    donor: str
    condition: Condition = Condition.WELL
    up_s: float = 0.0  # how long the donor had served: what is five seconds old knows little
    age_s: float = 0.0
    servers: tuple[ServerFacts, ...] = ()

    def older(self, by_s: float) -> Knowledge:
        return msgspec.structs.replace(self, age_s=self.age_s + max(0.0, by_s))


def make(
    donor: str, members: Iterable[Endpoint], now: int, up_us: int, condition: Condition = Condition.WELL
) -> Knowledge:
    """Of a router's members, at `now` (us). Servers that were never measured nor out are left out: they say nothing."""
    facts = [
        ServerFacts(
            m.config.name,
            m.latency.short,
            m.latency.long,
            m.latency.spread,
            m.latency.samples,
            m.outliers.success_rate(),
            m.limit.value,
            m.is_unavailable,
            m.outliers.ejections,
            (now - m.first_seen) / 1e6,
            (now - m.last_seen) / 1e6,
        )
        for m in members
        if m.latency.samples or m.failures or m.state is not EndpointState.ACTIVE
    ]
    facts.sort(key=lambda f: f.last_seen_s)
    return Knowledge(donor, condition, up_us / 1e6, 0.0, tuple(facts[:MOST_SERVERS]))
