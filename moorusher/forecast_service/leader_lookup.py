"""Lookup of the member that leads the forecast."""

from __future__ import annotations

from collections.abc import Callable

from ..leadership.directory import Reading
from ..leadership.errors import LeadershipError, NoMajorityError
from ..leadership.participant import Participant
from .forecaster import NAME

LeaderCallback = Callable[[str | LeadershipError], None]


class LeaderLookup:
    """Finds the seat of the leader in this member's own replica or in the register."""

    def __init__(self, participant: Participant) -> None:
        self._participant = participant

    def last_known(self) -> str:
        """Return the leader according to this member's replica; "" if it names none, or if the leader is down."""
        reading = self._participant.directory.last_known(NAME)
        holder = None if isinstance(reading, LeadershipError) else reading.record.holder
        if holder is None or not self._participant.node.is_up(holder.seat):
            return ""
        return holder.seat

    def read(self, callback: LeaderCallback) -> None:
        """Read the leader from a majority.

        :param callback: Called with the leader's seat, with NoMajorityError if there is no leader, or with the error of
            the read.
        """

        def record_read(reading: Reading | LeadershipError) -> None:
            if isinstance(reading, LeadershipError):
                return callback(reading)
            holder = reading.record.holder
            return callback(NoMajorityError(NAME) if holder is None else holder.seat)

        self._participant.directory.read(NAME, record_read, state=False)
