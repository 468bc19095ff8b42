"""A stand-in for the kernel that executes a runner's requests.

It exchanges JSON messages, one per line, and emulates the work of runs on shared cores.
"""

from __future__ import annotations

import base64
import enum
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from twisted.protocols.basic import LineOnlyReceiver

from ..clock import now_us
from ..cores import NEVER, Cores, MachineSpec
from .base import StandInServer, TrackedConnection

_POLL_US = 50_000
"""Maximum interval between two checks for completed runs, needed because the speed of the cores changes over time."""
_GAUGE_WINDOW_US = 250_000
"""Minimum length of the interval over which processor usage is measured."""
_ENDLESS_WORK_US = 1e12
_UNBOUNDED = 1e9
_WORK_PREFIX = b"work "
"""Prefix of a body that specifies the work of its run: `work 20 30` is 20 ms, a call, and another 30 ms."""


class RunState(enum.Enum):
    """The states of one run."""

    RUNNING = enum.auto()
    WAITING = enum.auto()
    """The run waits for the reply to a call."""
    ENDED = enum.auto()


class KernelRun(NamedTuple):
    """A run that a runner has started.

    Attributes:
        request_id: Id of the request.
        class_name: Name of the request class.
        body: Body of the request.
    """

    request_id: str
    class_name: str
    body: bytes


@dataclass(slots=True)
class _Run:
    """The kernel's record of a run.

    Attributes:
        state: State of the run.
        body: Body of the request.
        remaining_us: Pieces of work that the run has not started; there is a call between two pieces.
    """

    state: RunState
    body: bytes
    remaining_us: list[float]


@dataclass(frozen=True, slots=True)
class _PendingOpen:
    """A link that a runner opened before the kernel had booted.

    Attributes:
        link: Connection of the runner.
        last_notice: Number of the last notice that the runner has received.
        boot_timer: Timer of the end of the boot.
    """

    link: KernelConnection
    last_notice: int
    boot_timer: Any


class KernelConnection(TrackedConnection, LineOnlyReceiver):
    """One connection of a runner to the kernel."""

    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def lineReceived(self, line: bytes) -> None:
        """Pass the message to the kernel."""
        self.server.message_received(self, json.loads(line))

    def send_message(self, message: dict[str, Any]) -> None:
        """Send one message as a line."""
        self.transport.write(json.dumps(message).encode() + b"\n")


class Kernel(StandInServer):
    """A kernel whose runs share the cores of one emulated machine.

    :param cores: number of cores if no `machine` is given.
    :param boot_delay_s: time until the kernel has booted.
    :param machine: cores of the machine and their limits; without it, any number of runs is possible.

    Attributes:
        cores: Emulated cores.
        work: Core time of a run in seconds, unless its body specifies it (see `_WORK_PREFIX`).
        hang: Whether runs never end.
        calls: Whether each run makes one call halfway.
        state: State reported after the boot: "LOADED", or "EMPTY" for a cold machine.
        up_at: Time at which the kernel has booted, in us.
        age_ms: Age reported after the boot.
        gauges: Names of the reported gauges.
        fixed_gauges: Gauges reported instead of the measured ones, None for the measured ones.
        on_collapse: Called once when the machine collapses.
        worst_runs_per_core: Highest mean of runs per core in the window of the machine.
        runs: All runs that were started, in order.
        message_counts: Number of received messages by kind.
        opened: For each link that the runner opened, the number of the last notice that it had received before.
        call_replies: Reply to the last call of each run, by request.
        skipped_calls: Numbers of the notices whose calls were skipped.
        rejected_kinds: Kinds of messages that are answered with EINVAL.
        max_running: Highest number of concurrent runs, without waiting ones.
        link: Current connection of the runner, None if there is none.
    """

    protocol = KernelConnection

    def __init__(
        self,
        reactor: Any,
        cores: int = 2,
        work: float = 0.02,
        hang: bool = False,
        calls: bool = False,
        boot_delay_s: float = 0.0,
        state: str = "LOADED",
        machine: MachineSpec | None = None,
        gauges: tuple[str, ...] = ("cpu_busy",),
        age_ms: int = 5000,
    ) -> None:
        super().__init__(reactor)
        self.cores = Cores(machine or _unbounded_machine(cores), now_us(), starts_cold=state == "EMPTY")
        self.work = work
        self.hang = hang
        self.calls = calls
        self.state = state
        self.up_at = now_us() + round(boot_delay_s * 1e6)
        self.age_ms = age_ms
        self.gauges = gauges
        self.fixed_gauges: list[float] | None = None
        self.on_collapse: Callable[[], None] | None = None
        self.worst_runs_per_core = 0.0
        self.runs: list[KernelRun] = []
        self.message_counts: Counter[str] = Counter()
        self.opened: list[int] = []
        self.call_replies: dict[str, bytes] = {}
        self.skipped_calls: list[int] = []
        self.rejected_kinds: set[str] = set()
        self.max_running = 0
        self.link: KernelConnection | None = None
        self._notices: list[dict[str, Any]] = []
        self._run_of: dict[str, _Run] = {}
        self._poll_timer: Any = None
        self._pending_open: _PendingOpen | None = None
        self._gauge_since_us = now_us()
        self._gauge_busy_us = 0.0

    # ---- faults ----

    def cut(self) -> None:
        """Abort the link to the runner."""
        if self.link is not None:
            self.link.transport.abortConnection()
            self.link = None

    def close(self) -> None:
        """Stop listening, abort all connections, and stop the timer of the cores."""
        super().close()
        if self._poll_timer is not None and self._poll_timer.active():
            self._poll_timer.cancel()

    def move(self) -> None:
        """Listen on a new port instead of the old one; the old link remains until a new one replaces it."""
        self.stop_listening()
        self.listen()

    def slow(self, factor: float) -> None:
        """Set the speed of all cores relative to normal; 0 pauses them."""
        self._poll()
        self.cores.factor = factor
        self._poll()

    def finish_boot(self) -> None:
        """Finish the boot now, regardless of `boot_delay_s`. A cold kernel starts to warm up."""
        self.cores.started_at = now_us()
        self.up_at = self.cores.started_at
        pending = self._pending_open
        self._pending_open = None
        if pending is None:
            return
        if pending.boot_timer.active():
            pending.boot_timer.cancel()
        self._link_opened(pending.link, pending.last_notice)

    # ---- messages ----

    def notify(self, **notice: Any) -> None:
        """Send a numbered notice, and store it for links that are opened later."""
        notice["no"] = len(self._notices) + 1
        self._notices.append(notice)
        if self.link is not None:
            self.link.send_message(notice)

    def message_received(self, link: KernelConnection, message: dict[str, Any]) -> None:
        """Process one message of a runner; `t` is its kind and `rid` the id of the request it refers to."""
        kind = message["t"]
        request_id = message.get("rid", "")
        self.message_counts[kind] += 1
        run = self._run_of.get(request_id)
        if kind == "OPEN":
            self._open(link, message["no"])
        elif kind in self.rejected_kinds:
            link.send_message({"t": "EINVAL", "status": kind, "rid": request_id})
        elif kind == "SYSINFO":
            link.send_message(
                {"t": "INFO", "mark": message["mark"], "v": self.fixed_gauges or self._measure_gauges()}
            )
        elif kind == "SCHED" and run is None:
            self._start_run(request_id, message["route"], base64.b64decode(message["b64"]))
        elif kind == "PREEMPT" and run is not None and run.state is not RunState.ENDED:
            self.cores.stop(now_us(), request_id)
            self._end_run(request_id, "KILLED", b"")
        elif kind == "IODONE" and run is not None and run.state is RunState.WAITING:
            self.call_replies[request_id] = base64.b64decode(message["b64"])
            self._continue_run(request_id, run)
        elif kind == "NOIO" and run is not None and run.state is RunState.WAITING:
            self.skipped_calls.append(message["no"])
            self.call_replies[request_id] = b""
            self._continue_run(request_id, run)
        self._poll()

    def _open(self, link: KernelConnection, last_notice: int) -> None:
        boot_us = self.up_at - now_us()
        if boot_us > 0:
            timer = self.reactor.callLater(boot_us / 1e6, self.finish_boot)
            self._pending_open = _PendingOpen(link, last_notice, timer)
        else:
            self._link_opened(link, last_notice)

    def _link_opened(self, link: KernelConnection, last_notice: int) -> None:
        self.link = link
        self.opened.append(last_notice)
        link.send_message({"t": "BOOTED", "status": self.state, "time_ms": self.age_ms})
        for notice in self._notices[last_notice:]:
            link.send_message(notice)

    # ---- runs ----

    def has_run(self, request_id: str) -> bool:
        """Return whether a run of this request was started."""
        return request_id in self._run_of

    def is_waiting(self, request_id: str) -> bool:
        """Return whether the run of this request waits for the reply to a call."""
        run = self._run_of.get(request_id)
        return run is not None and run.state is RunState.WAITING

    def _start_run(self, request_id: str, class_name: str, body: bytes) -> None:
        self.runs.append(KernelRun(request_id, class_name, body))
        run = _Run(RunState.RUNNING, body, self._work_pieces_us(body))
        self._run_of[request_id] = run
        self._continue_run(request_id, run)
        running = sum(other.state is RunState.RUNNING for other in self._run_of.values())
        self.max_running = max(self.max_running, running)

    def _work_pieces_us(self, body: bytes) -> list[float]:
        """Return the pieces of work of a run, in us; there is a call between two pieces."""
        if body.startswith(_WORK_PREFIX):
            return [float(piece_ms) * 1000 for piece_ms in body[len(_WORK_PREFIX) :].split()]
        work_us = _ENDLESS_WORK_US if self.hang else self.work * 1e6
        return [work_us / 2, work_us / 2] if self.calls else [work_us]

    def _continue_run(self, request_id: str, run: _Run) -> None:
        run.state = RunState.RUNNING
        self.cores.start(now_us(), request_id, run.remaining_us.pop(0))

    def _work_done(self, request_id: str) -> None:
        run = self._run_of[request_id]
        if run.remaining_us:
            run.state = RunState.WAITING
            self.notify(t="IOREQ", rid=request_id, b64=base64.b64encode(b"ask " + run.body).decode())
        else:
            self._end_run(request_id, "PASS", b"did " + run.body)

    def _end_run(self, request_id: str, status: str, result: bytes) -> None:
        self._run_of[request_id].state = RunState.ENDED
        self.notify(
            t="REAP", rid=request_id, status=status, time_ms=20, b64=base64.b64encode(result).decode()
        )

    # ---- the machine ----

    def _measure_gauges(self) -> list[float]:
        now = now_us()
        self.cores.advance(now)
        since_us = self._gauge_since_us
        busy_us = self.cores.busy_us - self._gauge_busy_us
        if now - since_us > _GAUGE_WINDOW_US:
            self._gauge_since_us = now
            self._gauge_busy_us = self.cores.busy_us
        values = {
            "cpu_busy": min(1.0, busy_us / max(1, now - since_us) / self.cores.machine.cores),
            "runnable": float(len(self.cores)),
            "mem_used": 0.1,
            "sockets": 1.0,
        }
        return [values[name] for name in self.gauges]

    def _poll(self) -> None:
        """End completed runs, check for a collapse, and schedule the next poll."""
        now = now_us()
        for request_id in self.cores.completed(now):
            self._work_done(request_id)
        self.worst_runs_per_core = max(
            self.worst_runs_per_core, self.cores.concurrency.mean(now) / self.cores.machine.cores
        )
        if self.on_collapse is not None and self.cores.has_collapsed(now):
            on_collapse = self.on_collapse
            self.on_collapse = None
            return on_collapse()
        if self._poll_timer is not None and self._poll_timer.active():
            self._poll_timer.cancel()
        due = self.cores.next_completion(now)
        if due < NEVER:
            self._poll_timer = self.reactor.callLater(min(due - now, _POLL_US) / 1e6, self._poll)


def _unbounded_machine(cores: int) -> MachineSpec:
    """Return a machine that never slows down or collapses under load."""
    return MachineSpec(cores, degradation_threshold=_UNBOUNDED, collapse_runs_per_core=_UNBOUNDED)
