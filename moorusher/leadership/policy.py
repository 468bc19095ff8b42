"""Settings of `[duties]` in the operator's file.

The module imports nothing from the package, since it is loaded even if duties are disabled.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeartbeatDuty:
    """A duty that sends heartbeats to a receiver, from one entry of `[[duties.report]]`.

    Attributes:
        name: Name of the duty.
        to: Host and port of the receiver.
        interval_ms: Interval between two heartbeats.
    """

    name: str
    to: tuple[str, int]
    interval_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class LeadershipPolicy:
    """All settings of `[duties]`. The key and the bounds of each setting are in `config/fleet.py`."""

    enabled: bool = False
    heartbeats: tuple[HeartbeatDuty, ...] = ()
    # Limit of duties in the fleet. Removed duties count, as the record of a removed name is kept.
    max_duties: int = 4_000
    # Limit of one version of a duty's state.
    max_state_bytes: int = 256 << 10
    # Number of state versions that a record retains.
    max_versions: int = 3
    # Limit of open intents per duty.
    max_open_intents: int = 16
    # Number of consecutive lost leaders after which a duty is suspended.
    max_lost_leaders: int = 3
    # First backoff during which a member that was lost is not preferred as a leader; doubled with each loss.
    # A leader that held a duty for this time also resets the duty's count of lost leaders.
    probation_ms: float = 10_000.0
    # Rate limit for duties that an overloaded member hands over to less loaded members.
    max_handovers_per_minute: float = 6.0
    # A member that is unfit for this time releases its duties. After twice this time other members take them over.
    unfit_timeout_ms: float = 1_000.0
