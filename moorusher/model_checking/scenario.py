"""What may happen in a simulated cluster: its size, its requests, and the faults that are injected."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """What is injected; the values stand in the log of faults.

    Every simulated cluster has the first nine. Only `MaintenanceSimulation` has MACHINE_POWER_LOSS and LOWERED_LIMIT:
    with them in the scenario of another one, `FaultInjector.inject` raises `ValueError`.
    """

    CRASH = "kill"  # one process, restarted once the fault is over
    QUICK_RESTART = "forget"  # one process, at once
    CLOCK_SET_BACK = "clock"  # a quick restart on a clock that was set back
    PAUSE = "stop"  # one process, as by SIGSTOP
    PARTITION = "cut"  # between one member and some of the others
    ONE_WAY_PARTITION = "one way"  # nothing that one member sends arrives
    KERNEL_OUTAGE = "kernel"  # of one member
    DRAIN = "leave"  # one member takes nothing new for a while
    POWER_FAILURE = "power"  # of all processes
    MACHINE_POWER_LOSS = "power of one"  # of one machine that is maintained
    LOWERED_LIMIT = "limit"  # one member's settings allow less maintenance for a while


FAULTS_WITHOUT_JOURNAL = (
    FaultKind.CRASH,
    FaultKind.QUICK_RESTART,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.DRAIN,
)
FAULTS_WITH_JOURNAL = (
    FaultKind.CRASH,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.POWER_FAILURE,
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What may happen in one simulation.

    Attributes:
        seats: `int`, members of the cluster.
        keys: `int`, idempotency keys that are asked for.
        seconds: how long requests and faults are injected.
        window_s: retention time of a key.
        faults: `int`, how many are injected.
        loss, duplication: shares of messages, from 0 to 1.
        rejection: share of the work that is taken over, and then rejected.
        repeats: share of the requests for a key that are followed by a further one.
        journals: `bool`, acceptors write to disks, and a restarted one has what had been written.
        fault_kinds: which faults are drawn, each entry as likely as the others.
    """

    seats: int = 5
    keys: int = 30
    seconds: float = 9.0
    window_s: float = 30.0
    faults: int = 7
    loss: float = 0.01
    duplication: float = 0.01
    rejection: float = 0.1
    repeats: float = 0.6
    journals: bool = False
    fault_kinds: tuple[FaultKind, ...] = (
        FaultKind.CRASH,
        FaultKind.QUICK_RESTART,
        FaultKind.PAUSE,
        FaultKind.PARTITION,
        FaultKind.ONE_WAY_PARTITION,
        FaultKind.KERNEL_OUTAGE,
        FaultKind.DRAIN,
        FaultKind.CLOCK_SET_BACK,
    )
