"""Settings of `[duties]` in the operator's file. Imports nothing, as it is read also if there are no duties."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeartbeatDuty:
    """A heartbeat duty: `[[duties.report]]`.

    name: str, of the duty.
    to: host and port of the receiver.
    interval_ms: float, between two heartbeats.
    """

    name: str
    to: tuple[str, int]
    interval_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class LeadershipPolicy:
    """The settings; `config/fleet.py` has the key and the bounds of each."""

    enabled: bool = False
    heartbeats: tuple[HeartbeatDuty, ...] = ()
    max_duties: int = 4_000  # duties of the fleet, removed ones included: a name is never quite forgotten
    max_state_bytes: int = 256 << 10  # of one version of one duty's state
    max_versions: int = 3  # that are kept
    max_open_intents: int = 16  # open at a time, of one duty
    max_lost_leaders: int = 3  # leaders lost one after another, before a duty is suspended
    probation_ms: float = 10_000.0  # a member that came back gets no duty for so long; doubled each time
    max_handovers_per_minute: float = 6.0  # duties that one member gives up so that others have as many
    # Unfit for so long, a member gives its duties up; for twice as long, others take them.
    unfit_timeout_ms: float = 1_000.0
