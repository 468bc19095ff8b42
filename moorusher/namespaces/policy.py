"""What the platform grants a customer, from its settings.

Imports nothing: it is loaded where there are no customers, too. `config/namespaces.py` has the keys of the settings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

STATE_OVERHEAD_BYTES = 4 << 10  # of the state of a customer's lease, besides the drafts


@dataclass(frozen=True, slots=True)
class Budget:
    """What one customer's draft and its rules may cost.

    max_draft_bytes: of the draft as it is sent. Two further bounds apply: see `admin.namespaces.MAX_DRAFT_BYTES`.
    max_rules: in the customer's own part and all teams together.
    max_routes: by name.
    max_route_servers: in all routes together.
    max_set_members: strings, prefixes and ranges in all matchers together.
    max_check_steps: of finding out which rules are reachable; one step is one mask or one box.
    max_table_bytes: of memory for rules and look-ups, estimated.
    """

    max_draft_bytes: int = 240_000
    max_rules: int = 1_000
    max_routes: int = 64
    max_route_servers: int = 256
    max_set_members: int = 10_000
    max_check_steps: int = 2_000_000
    max_table_bytes: int = 8 << 20


_NO_BOUND = 1 << 62
UNBOUNDED = Budget(*[_NO_BOUND] * 7)


@dataclass(frozen=True, slots=True)
class Grant:
    """What one customer may use.

    servers: its own.
    pools: those that others use as well, with its quota of each, from 0 to 1.
    budget: what its rules may cost.
    """

    servers: frozenset[str] = frozenset()
    pools: Mapping[str, float] = field(default_factory=dict)
    budget: Budget = field(default_factory=Budget)


@dataclass(frozen=True, slots=True)
class PublishingLimits:
    """How much of one customer's revisions is published and retained.

    max_revisions: retained, with the current one.
    max_state_bytes: of all retained drafts together, with `STATE_OVERHEAD_BYTES`.
    max_per_hour: revisions published.
    """

    max_revisions: int = 8
    max_state_bytes: int = 256 << 10
    max_per_hour: int = 120
