"""Finds the member that leads the forecast."""

from __future__ import annotations

from collections.abc import Callable

from ..leadership.directory import Reading
from ..leadership.errors import LeadershipError, NoMajorityError
from ..leadership.participant import Participant
from .forecaster import NAME

LeaderCallback = Callable[[str | LeadershipError], None]


class LeaderLookup:
    """Finds the seat of the leader, in what this member replicates or in the register."""

    def __init__(self, participant: Participant) -> None:
        self._participant = participant

    def last_known(self) -> str:
        """Return the leader by this member's own copy of the record; "" where it has none, or the leader is down."""
        known = self._participant.directory.last_known(NAME)
        holder = None if isinstance(known, LeadershipError) else known.record.holder
        if holder is None or not self._participant.node.is_up(holder.seat):
            return ""
        return holder.seat

    def read(self, callback: LeaderCallback) -> None:
        """Ask a majority for the leader. Errors: NoMajorityError, also where nobody leads it, and those of the read."""

        def got(reading: Reading | LeadershipError) -> None:
            if isinstance(reading, LeadershipError):
                return callback(reading)
            holder = reading.record.holder
            return callback(NoMajorityError(NAME) if holder is None else holder.seat)

        self._participant.directory.read(NAME, got, state=False)
