"""Machines and messages of the interleavings of maintenance."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from ..maintenance.transitions import Change


@dataclass(slots=True)
class ModelMachine:
    """A machine and its process.

    incarnation, boot: int.
    is_alive: bool.
    known: the register's value, as last read.
    has_operator: bool, the operator is there, to be told.
    is_cleared: bool, the operator may begin at any time.
    is_away: bool, it is being worked on, or has come back cold from that.
    is_drained, is_warm: bool.
    """

    incarnation: int = 1
    boot: int = 1
    is_alive: bool = True
    known: bytes | None = b""
    has_operator: bool = True
    is_cleared: bool = False
    is_away: bool = False
    is_drained: bool = False
    is_warm: bool = True

    def go_down_for_work(self) -> None:
        """Its operator begins the work."""
        self._lose_power()
        self.is_away = True

    def crash(self, is_power_lost: bool) -> None:
        """The process ends; with the power also whoever waits there, or was told, is gone."""
        if is_power_lost:
            self._lose_power()
        self.is_alive = False

    def _lose_power(self) -> None:
        self.is_cleared = False
        self.has_operator = False
        self.is_alive = False
        self.boot += 1
        self.is_warm = False

    def print(self) -> Hashable:
        """Return what tells two states of the search apart."""
        return (
            self.incarnation,
            self.boot,
            self.is_alive,
            self.known,
            self.has_operator,
            self.is_cleared,
            self.is_away,
            self.is_drained,
            self.is_warm,
        )


@dataclass(frozen=True, slots=True)
class SentChange:
    """A change on its way. `sender`: who hears of it; empty if it was abandoned."""

    sender: str
    incarnation: int
    change: Change
    text: str
