"""Figures of `[duties]` in the operator's file. Imports nothing: it is read where there are none, too."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Report:
    """A duty of the fleet that tells a receiver, again and again, that the fleet is there and how it is."""

    name: str
    to: tuple[str, int]
    every_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class Policy:
    """What the operator sets of duties; `config/fleet.py` reads and bounds it."""

    on: bool = False
    reports: tuple[Report, ...] = ()
    most: int = 4_000  # duties of the fleet, those that are gone included: a name is never quite forgotten
    state_bytes: int = 256 << 10  # of one version of one duty's state
    versions: int = 3  # that are kept
    intents: int = 16  # open at a time, of one duty
    most_lost: int = 3  # owners lost one after the other, before it is put aside
    steady_ms: float = 10_000.0  # a member that came back gets none for so long; doubled each time
    moves_a_minute: float = 6.0  # duties that one member gives up so that others have as many
    patience_ms: float = (
        1_000.0  # not fit for so long, it gives up what it has; for twice as long, others take it
    )
