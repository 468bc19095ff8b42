"""Machines and messages of the maintenance model."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from ..maintenance.transitions import Change


@dataclass(slots=True)
class ModelMachine:
    """A machine and its process.

    Attributes:
        incarnation: Incarnation of the process.
        boot: Number of the machine's boot.
        is_alive: Whether the process is running.
        known: Value of the register when the process last read it; None before the first read.
        has_operator: Whether an operator waits at the machine to be notified.
        is_cleared: Whether the operator was notified and may begin the work at any time.
        is_out: Whether work on the machine has begun and the machine has not warmed up since.
        is_drained: Whether the process has finished its work.
        is_warm: Whether the process serves at full capacity.
    """

    incarnation: int = 1
    boot: int = 1
    is_alive: bool = True
    known: bytes | None = b""
    has_operator: bool = True
    is_cleared: bool = False
    is_out: bool = False
    is_drained: bool = False
    is_warm: bool = True

    def go_down_for_work(self) -> None:
        """Shut the machine down as the operator begins the work."""
        self._lose_power()
        self.is_out = True

    def crash(self, is_power_lost: bool) -> None:
        """End the process.

        :param is_power_lost: Whether the machine loses power, which also ends the operator's wait and clearance.
        """
        if is_power_lost:
            self._lose_power()
        self.is_alive = False

    def _lose_power(self) -> None:
        self.is_cleared = False
        self.has_operator = False
        self.is_alive = False
        self.boot += 1
        self.is_warm = False

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for equivalent machines."""
        return (
            self.incarnation,
            self.boot,
            self.is_alive,
            self.known,
            self.has_operator,
            self.is_cleared,
            self.is_out,
            self.is_drained,
            self.is_warm,
        )


@dataclass(frozen=True, slots=True)
class SentChange:
    """A change in transit to the register.

    Attributes:
        sender: Seat that receives the result; empty if the sender has abandoned the change.
        incarnation: Incarnation of the sender.
        change: Change to apply.
        text: Description that identifies the change.
    """

    sender: str
    incarnation: int
    change: Change
    text: str
