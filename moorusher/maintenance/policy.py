"""Figures of `[outage]` in the operator's file. Imports nothing: it is read where there is none, too."""

from __future__ import annotations

from dataclasses import dataclass

BOOT_ID = "/proc/sys/kernel/random/boot_id"


@dataclass(frozen=True, slots=True)
class Policy:
    """Times in seconds, shares from 0 to 1. Times set only when something is tried or said: none of them lets a machine
    go, nor counts one back in."""

    on: bool = False
    most: int = 1  # machines out at a time, lost ones included, whatever could be spared
    most_zone: int = 1  # of one zone,
    most_group: int = 1  # and of one group of the seats' list
    least_share: float = 0.5  # of the fleet's cores that must stay
    fill: float = 0.95  # of what stays that the load may take, and the highest of the last while
    peak_s: float = 600.0  # that while
    settle_s: float = 3.0  # what stays must not have shrunk for so long before the next one goes
    drain_s: float = 60.0  # a machine that still has work after that goes back into the order
    go_s: float = 300.0  # told to go, and still up: said
    overdue: float = 1.5  # times what the work was to last, after which it is said
    back_s: float = 120.0  # back, and still cold or without its memory after that: it counts as it is
    ages_s: float = 3_600.0  # of waiting that weigh as much as one step of priority
    most_asks: int = 64  # asks that are open at a time
    most_kept: int = 64  # ends that are remembered
    machine_id: str = BOOT_ID  # a file that has something else in it after each start of the machine
