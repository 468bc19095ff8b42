"""What the operator sets of the tier. Defaults; `config/loader.py` reads and bounds them from `[tier]`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MOST_SERVERS = 1000


class Speaks(Enum):
    """What a server understands."""

    HTTP = "http"  # the platform's form of calls
    UWSGI = "uwsgi"


@dataclass(frozen=True, slots=True)
class Server:
    """One below, as the operator names it. The name stays; the address may change."""

    name: str
    address: tuple[str, int]
    weight: float = 1.0
    zone: str = ""
    speaks: Speaks = Speaks.HTTP


@dataclass(frozen=True, slots=True)
class Policy:
    """Times in ms where the name ends in `_ms`, in seconds in `_s`; shares from 0 to 1."""

    zone: str = ""  # this runner's own
    subset: int = 0  # servers that this runner keeps to; 0: all
    spill: float = 2.0  # times the expected wait elsewhere, from which a call leaves its zone
    least_limit: int = 2  # calls in flight at a server, however slow,
    most_limit: int = 256  # and however fast
    queue: int = 64  # calls that may wait for a server
    consecutive: int = 5  # failures one after the other that eject a server
    failure_share: float = 0.5  # of the last calls, that ejects it
    outlier: float = 4.0  # times the tier's median latency, that ejects it
    eject_s: float = 5.0  # the first time; doubled with each further one
    most_eject_s: float = 120.0
    most_ejected: float = 0.34  # share of the servers that may be ejected at a time
    panic: float = 0.5  # share of usable weight under which nobody counts as ejected
    retry_share: float = 0.08  # of the calls: further attempts, second copies included
    retry_floor_per_s: float = 0.5  # further attempts that there are always
    backoff_ms: float = 10.0  # of the first repeat: any time up to it, twice as much with each
    most_backoff_ms: float = 250.0
    hedge: bool = True  # a second copy of a safe call, after its server's 95th percentile
    slow_start_s: float = 10.0  # until a new or returned server has its whole share
    slow_start_calls: int = (
        0  # that it may get in a window as that ends, from all runners together; 0: no bound
    )
    slow_start_window_ms: float = 1_000.0
    runners: int = 1  # that call these servers
