"""What the platform's settings grant to a customer.

This module imports no other module of the program, because it is loaded even if no customers are configured.
`config/namespaces.py` has the keys of the settings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

STATE_OVERHEAD_BYTES = 4 << 10  # Size of the state of a customer's lease without the drafts.


@dataclass(frozen=True, slots=True)
class Budget:
    """Limits on one customer's draft and the resources that its rules use.

    Attributes:
        max_draft_bytes: Size of the draft as sent. `admin.namespaces.MAX_DRAFT_BYTES` describes two other limits.
        max_rules: Number of rules, including those of teams.
        max_routes: Number of routes.
        max_route_servers: Number of servers in all routes together.
        max_set_members: Number of strings, prefixes and ranges in all matchers together.
        max_check_steps: Steps of the reachability check; one step processes one mask or one box.
        max_table_bytes: Estimated memory of the rules and look-up tables.
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
    """The servers, pools and budget that one customer may use.

    Attributes:
        servers: Names of the customer's own servers.
        pools: Names of shared pools, with the customer's share of each, from 0 to 1.
        budget: Limits on the customer's draft.
    """

    servers: frozenset[str] = frozenset()
    pools: Mapping[str, float] = field(default_factory=dict)
    budget: Budget = field(default_factory=Budget)


@dataclass(frozen=True, slots=True)
class PublishingLimits:
    """Limits on publishing and retaining one customer's revisions.

    Attributes:
        max_revisions: Number of retained revisions, including the current one.
        max_state_bytes: Size of all retained drafts together, plus `STATE_OVERHEAD_BYTES`.
        max_per_hour: Number of revisions published within an hour.
    """

    max_revisions: int = 8
    max_state_bytes: int = 256 << 10
    max_per_hour: int = 120
