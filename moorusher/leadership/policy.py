"""Settings of `[duties]` in the operator's file. Imports nothing, as it is read also if there are no duties."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Report:
    """A heartbeat duty: `[[duties.report]]`.

    name: str, of the duty.
    to: host and port of the receiver.
    every_ms: float.
    """

    name: str
    to: tuple[str, int]
    every_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class LeadershipPolicy:
    """The settings; each field has the name of its key. `config/fleet.py` reads and bounds them."""

    on: bool = False
    reports: tuple[Report, ...] = ()
    most: int = 4_000  # duties of the fleet, removed ones included: a name is never quite forgotten
    state_bytes: int = 256 << 10  # of one version of one duty's state
    versions: int = 3  # that are kept
    intents: int = 16  # open at a time, of one duty
    most_lost: int = 3  # leaders lost one after another, before a duty is suspended
    steady_ms: float = 10_000.0  # a member that came back gets no duty for so long; doubled each time
    moves_a_minute: float = 6.0  # duties that one member gives up so that others have as many
    patience_ms: float = (
        1_000.0  # unfit for so long, a member gives its duties up; for twice as long, others take them
    )
