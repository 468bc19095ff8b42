"""The parameters of a cluster simulation: size, requests, message loss and injected faults."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """The kinds of faults. The values appear in the fault log.

    All simulations support the first nine. Only `MaintenanceSimulation` supports MACHINE_POWER_LOSS and LOWERED_LIMIT:
    in any other simulation `FaultInjector.inject` raises `ValueError` for them.
    """

    CRASH = "kill"  # Crashes one process and restarts it when the fault ends.
    QUICK_RESTART = "forget"  # Crashes one process and restarts it after QUICK_RESTART_US.
    CLOCK_SET_BACK = "clock"  # Quick restart after the clock was set back.
    PAUSE = "stop"  # Pauses one process, as SIGSTOP does.
    PARTITION = "cut"  # Cuts the links between one member and some of the others.
    ONE_WAY_PARTITION = "one way"  # Drops all messages that one member sends.
    KERNEL_OUTAGE = "kernel"  # Stops the kernel of one member.
    DRAIN = "leave"  # One member accepts no new work until the fault ends.
    POWER_FAILURE = "power"  # Crashes all processes at once.
    MACHINE_POWER_LOSS = "power of one"  # Power failure of one machine; its boot count increases.
    LOWERED_LIMIT = "limit"  # One member's settings lower the maintenance limit until the fault ends.


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
    """The parameters of one simulation.

    Attributes:
        seats: Number of members of the cluster.
        keys: Number of idempotency keys that clients request.
        seconds: Duration of the phase in which requests and faults are injected.
        window_s: Retention time of a key.
        faults: Number of injected faults.
        loss: Share of messages that are lost, from 0 to 1.
        duplication: Share of messages that are duplicated, from 0 to 1.
        rejection: Share of the work that a process rejects after taking it over.
        expiry: Share of the queued requests that a process rejects before their runs.
        repeats: Probability that another request for the same key follows a request.
        journals: Whether acceptors write a journal, which a restarted process recovers.
        fault_kinds: Kinds that faults are drawn from, all with the same probability.
    """

    seats: int = 5
    keys: int = 30
    seconds: float = 9.0
    window_s: float = 30.0
    faults: int = 7
    loss: float = 0.01
    duplication: float = 0.01
    rejection: float = 0.1
    expiry: float = 0.0
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
