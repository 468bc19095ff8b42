"""A stand-in for the kernel that runs a runner's requests: JSON messages by line, work on emulated cores."""

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
"""Cores are looked at at least this often while something runs: speeds change under it."""
_GAUGE_WINDOW_US = 250_000
"""The use of processors is told of the time since the last window of this length."""
_ENDLESS_WORK_US = 1e12
_UNBOUNDED = 1e9
_WORK_PREFIX = b"work "
"""A body that begins so says what its run takes: `work 20 30` is 20 ms, a call, and 30 ms more."""


class RunState(enum.Enum):
    """The states of one run."""

    RUNNING = enum.auto()
    WAITING = enum.auto()
    """It has made a call and has no reply yet."""
    ENDED = enum.auto()


class KernelRun(NamedTuple):
    """One run that the kernel was told to begin."""

    request_id: str
    class_name: str
    body: bytes


@dataclass(slots=True)
class _Run:
    """What the kernel keeps of a run; `remaining_us` are the pieces of work before each of its calls and the end."""

    state: RunState
    body: bytes
    remaining_us: list[float]


@dataclass(frozen=True, slots=True)
class _PendingOpen:
    """A link that was opened before the kernel was up."""

    link: KernelConnection
    last_notice: int
    boot_timer: Any


class KernelConnection(TrackedConnection, LineOnlyReceiver):
    """One connection of a runner to the kernel."""

    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def lineReceived(self, line: bytes) -> None:
        """Hand the message to the kernel."""
        self.server.message_received(self, json.loads(line))

    def send_message(self, message: dict[str, Any]) -> None:
        """Write one message as a line."""
        self.transport.write(json.dumps(message).encode() + b"\n")


class Kernel(StandInServer):
    """A kernel whose runs share the cores of one emulated machine.

    :param cores: of the machine, where no `machine` is given.
    :param work: seconds of a core that a run takes, where its body does not say it (see `_WORK_PREFIX`).
    :param hang: whether runs never end.
    :param calls: whether each run makes one call halfway.
    :param boot_delay_s: seconds until the kernel is up.
    :param state: what it says as it boots: "LOADED", or "EMPTY" for a cold machine.
    :param machine: the cores, and what makes them slow or fall over.
    :param gauges: the names of the gauges it tells.
    :param age_ms: what it says of its age as it boots.
    :ivar fixed_gauges: gauges told in place of the measured ones.
    :ivar on_collapse: called once, where more runs than the machine survives have run on it for too long.
    :ivar worst_runs_per_core: the highest mean of runs a core in the window of the machine.
    :ivar runs: all runs that were begun, in order.
    :ivar message_counts: messages received, by kind.
    :ivar opened: the last notice that each opened link had seen.
    :ivar call_replies: the reply to the last call of each run, by request.
    :ivar skipped_calls: numbers of the notices whose calls were skipped.
    :ivar refuse: kinds of messages that get EINVAL.
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
        self.refuse: set[str] = set()
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
        """Stop listening, abort all connections, look at the cores no more."""
        super().close()
        if self._poll_timer is not None and self._poll_timer.active():
            self._poll_timer.cancel()

    def move(self) -> None:
        """Listen on a new port: the old one takes nothing new, its link stays until the next replaces it."""
        self.deafen()
        self.listen()

    def slow(self, factor: float) -> None:
        """Make all cores this many times as fast; 0 pauses them."""
        self._poll()
        self.cores.factor = factor
        self._poll()

    def come_up(self) -> None:
        """Be up now, whatever `boot_delay_s` said: a cold kernel warms from here on."""
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
        """Send a numbered notice, and keep it for links that are opened later."""
        notice["no"] = len(self._notices) + 1
        self._notices.append(notice)
        if self.link is not None:
            self.link.send_message(notice)

    def message_received(self, link: KernelConnection, message: dict[str, Any]) -> None:
        """One message of a runner; `t` is its kind, `rid` the request that it is about."""
        kind = message["t"]
        request_id = message.get("rid", "")
        self.message_counts[kind] += 1
        run = self._run_of.get(request_id)
        if kind == "OPEN":
            self._open(link, message["no"])
        elif kind in self.refuse:
            link.send_message({"t": "EINVAL", "status": kind, "rid": request_id})
        elif kind == "SYSINFO":
            link.send_message(
                {"t": "INFO", "mark": message["mark"], "v": self.fixed_gauges or self._measure_gauges()}
            )
        elif kind == "SCHED" and run is None:
            self._begin_run(request_id, message["route"], base64.b64decode(message["b64"]))
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
            timer = self.reactor.callLater(boot_us / 1e6, self.come_up)
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
        """Whether it was told to begin this request."""
        return request_id in self._run_of

    def is_waiting(self, request_id: str) -> bool:
        """Whether the run of this request waits for the reply to a call."""
        run = self._run_of.get(request_id)
        return run is not None and run.state is RunState.WAITING

    def _begin_run(self, request_id: str, class_name: str, body: bytes) -> None:
        self.runs.append(KernelRun(request_id, class_name, body))
        run = _Run(RunState.RUNNING, body, self._work_pieces_us(body))
        self._run_of[request_id] = run
        self._continue_run(request_id, run)
        running = sum(other.state is RunState.RUNNING for other in self._run_of.values())
        self.max_running = max(self.max_running, running)

    def _work_pieces_us(self, body: bytes) -> list[float]:
        """Pieces of work in us; a call lies between two."""
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
        """End what is done, and look again when the next is."""
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
    """Cores that bear any number of runs."""
    return MachineSpec(cores, degradation_threshold=_UNBOUNDED, collapse_runs_per_core=_UNBOUNDED)
