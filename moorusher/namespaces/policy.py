"""What the platform grants a customer, from its settings.

Imports nothing: it is loaded where there are no customers, too. Names of fields are keys of `[namespaces]`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

STATE_OVERHEAD_BYTES = 4 << 10  # of the state of a customer's lease, besides the drafts


@dataclass(frozen=True, slots=True)
class Budget:
    """What one customer may cost."""

    bytes: int = 240_000  # of the draft
    rules: int = 1_000
    routes: int = 64
    route_servers: int = 256  # in all routes together
    words: int = 10_000  # strings and ranges in all rules together
    steps: int = 2_000_000  # of finding out which rules are reachable
    table_bytes: int = 8 << 20


_NO_BOUND = 1 << 62
UNBOUNDED = Budget(*[_NO_BOUND] * 7)


@dataclass(frozen=True, slots=True)
class Granted:
    """What one customer may use.

    servers: its own.
    pools: those that others use as well, with its quota of each, from 0 to 1.
    budget: what its rules may cost.
    """

    servers: frozenset[str] = frozenset()
    pools: Mapping[str, float] = field(default_factory=dict)
    budget: Budget = field(default_factory=Budget)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much of one customer's revisions is published and retained."""

    keep: int = 8  # revisions
    bytes: int = 256 << 10  # of all retained revisions together
    an_hour: int = 120  # revisions published
