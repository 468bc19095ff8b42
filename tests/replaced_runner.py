"""A runner whose process is replaced again and again, in one test process: real engines and hot restarts, no sockets.

The test decides when a process reads what the other one has written, when its runs end and when it is killed.
"""

from __future__ import annotations

import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from moorusher.cluster_transport.hot_restart import coordinator
from moorusher.cluster_transport.hot_restart.peer_connection import PeerConnection
from moorusher.cluster_transport.hot_restart.rendezvous import DISCOVER_RETRY_US
from moorusher.core.answer import Answer
from moorusher.core.outcomes import EndReason
from moorusher.core.registration import InvalidArrival
from moorusher.core.requests import Arrival, Request
from moorusher.hot_restart.process_role import Event, State
from moorusher.hot_restart.shared_budget import ProcessLoad

from .test_core import EngineHarness

RESULT = b"did"
NS_PER_MS = 1_000_000
START_NS = 1_000_000_000_000


class Transport:
    """One end of a connection between two processes.

    Attributes:
        unread: What this end has written and the other process has not read.
        closed: Whether this end is closed; the other end is closed once it has read everything.
    """

    _sockets = socket.socketpair()

    def __init__(self) -> None:
        self.socket = self._sockets[0]  # the program reads the peer's credentials from it
        self.unread: deque[bytes] = deque()
        self.closed = False

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.unread.append(data)

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Do nothing: the buffer has no limit."""

    def unregisterProducer(self) -> None:
        """Do nothing."""

    def loseConnection(self) -> None:
        self.closed = True

    def abortConnection(self) -> None:
        self.closed = True


class Connection:
    """A connection between a new process and the one in service."""

    def __init__(self, new: Process, old: Process) -> None:
        self.ends = {
            new: PeerConnection(new.hot_restart, accepted=False),
            old: PeerConnection(old.hot_restart, accepted=True),
        }
        self._transports = {new: Transport(), old: Transport()}
        for process in (old, new):
            self.ends[process].makeConnection(self._transports[process])  # type: ignore[no-untyped-call]

    def other(self, process: Process) -> Process:
        return next(end for end in self.ends if end is not process)

    def read(self, reader: Process, max_writes: int = 1_000) -> bool:
        """Let a process read what the other one has written. Return whether there was anything to read."""
        written = self._transports[self.other(reader)]
        read = 0
        while written.unread and read < max_writes:
            data = written.unread.popleft()
            self.ends[reader].dataReceived(data)  # type: ignore[no-untyped-call]
            read += 1
        if written.closed and not written.unread and not self._transports[reader].closed:
            self.close(reader)
            self.ends[reader].connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
        return bool(read)

    def close(self, process: Process) -> None:
        """Close the process's end, as the system does when the process exits."""
        self._transports[process].closed = True


class Rendezvous:
    """Finds the process that has published itself last, instead of a Unix socket."""

    def __init__(self, process: Process, owner: coordinator.HotRestart, path: str) -> None:
        self._process = process
        self._owner = owner
        self._dead: Process | None = None

    def discover(self) -> None:
        """Connect to the published process, or report its death when it is found dead for the second time."""
        runner = self._process.runner
        if runner.published is None:
            self._owner.handle(Event.NO_PEER)
        elif not runner.published.alive:
            if self._dead is runner.published:
                self._owner.handle(Event.DEAD_PEER_FOUND)
            else:
                self._dead = runner.published
                self.discover_later()
        else:
            runner.connections.append(Connection(self._process, runner.published))

    def discover_later(self) -> None:
        core = self._process.core
        core.alarms.at(core.clock.now + DISCOVER_RETRY_US, self._retry)

    def _retry(self) -> None:
        if self._process.alive:
            self.discover()

    def publish(self) -> None:
        self._process.runner.published = self._process

    def unpublish(self) -> None:
        if self._process.runner.published is self._process:
            self._process.runner.published = None


class Service:
    """The service of one process (`handover.RunnerProcess`), which only records its state.

    Attributes:
        accepting: Whether it accepts connections.
        maintenance: Fields of the maintenance that is in effect; None if there is none.
    """

    def __init__(self) -> None:
        self.accepting = False
        self.maintenance: dict[str, Any] | None = None

    def accept(self, handed_over: dict[str, int]) -> None:
        self.accepting = True

    def pause(self, shared: set[str]) -> None:
        self.accepting = False

    def resume(self) -> None:
        self.accepting = True

    def drain(self) -> None:
        self.accepting = False

    def finish(self) -> None:
        self.accepting = False

    def usable_sockets(self, handed_over: dict[str, int]) -> dict[str, int]:
        return handed_over

    def listening_sockets(self) -> dict[str, int]:
        return {}

    def load(self) -> ProcessLoad:
        return ProcessLoad()

    def set_peer_load(self, load: ProcessLoad) -> None:
        """Do nothing."""

    def maintenance_fields(self) -> dict[str, Any] | None:
        return self.maintenance

    def follow_maintenance(self, fields: dict[str, Any] | None) -> None:
        self.maintenance = fields

    def incarnation(self) -> int:
        return 0

    def set_predecessor(self, incarnation: int) -> None:
        """Do nothing."""


class Process:
    """One process of the runner.

    Attributes:
        harness: Its request engine.
        alive: Whether it has not exited.
    """

    def __init__(self, runner: ReplacedRunner, now_ns: int, memory_mb: float) -> None:
        self.runner = runner
        self.alive = True
        self.harness = EngineHarness()
        self.harness.now_ns = now_ns
        self.core = self.harness.core
        self.core.keys.limits.set_memory_limit(memory_mb)
        self.service = Service()
        self.hot_restart = coordinator.HotRestart(self, self.core, self.service, "", "n1")

    def callLater(self, seconds: float, action: Callable[[], None]) -> None:
        self.harness.turns.append(action)

    @property
    def state(self) -> State:
        return self.hot_restart.role.state

    def set_maintenance(self, reason: str | None) -> None:
        """Set maintenance at this process as an operator does, or end it."""
        now_us = self.core.clock.now
        self.service.maintenance = (
            None if reason is None else {"reason": reason, "since": now_us, "until": None}
        )
        self.hot_restart.maintenance_changed()

    @property
    def is_alone(self) -> bool:
        return self.state is State.SOLE

    def submit(self, key: str) -> Request | InvalidArrival:
        """Send an attempt of the request with this key; its result is in `answer_to`."""
        tag = self.runner.next_tag()
        arrival = Arrival(f"{key}-{tag}", "write", b"x", token=key, memory_kb=10.0)
        self.last_tag = tag
        return self.core.submit(arrival, self.harness, tag)

    def answer_to(self, tag: int) -> Answer | None:
        return next((answer for answered, answer in self.harness.answers if answered == tag), None)

    def open_runs(self) -> list[str]:
        """Return the ids of the runs that have not ended."""
        return [rid for rid in map(str, self.harness.runs()) if self._is_running(rid)]

    def _is_running(self, rid: str) -> bool:
        request = self.core.table.by_rid.get(rid)
        return request is not None and self.core.runs.get(request.number) is not None

    def end_run(self, rid: str, reason: EndReason = EndReason.RUN_SUCCEEDED) -> None:
        if reason is EndReason.RUN_NEVER_STARTED:
            self.runner.never_started.add(rid)
        self.core.execution.run_ended(rid, reason, RESULT)


class ReplacedRunner:
    """All processes that the runner has had.

    Attributes:
        published: Process that new processes connect to; it may have died.
        never_started: Ids of the runs that the kernel has not started.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(coordinator, "Rendezvous", Rendezvous)
        self.processes: list[Process] = []
        self.connections: list[Connection] = []
        self.published: Process | None = None
        self.never_started: set[str] = set()
        self._tags = 0

    def next_tag(self) -> int:
        self._tags += 1
        return self._tags

    @property
    def alive(self) -> list[Process]:
        return [process for process in self.processes if process.alive]

    @property
    def serving(self) -> Process:
        """The process that accepts; fails if there is none, or more than one."""
        (process,) = [process for process in self.alive if process.service.accepting]
        return process

    def start(self, memory_mb: float = 192.0) -> Process:
        """Start another process."""
        now_ns = self.processes[-1].harness.now_ns if self.processes else START_NS
        process = Process(self, now_ns, memory_mb)
        self.processes.append(process)
        process.hot_restart.start()
        return process

    def settle(self) -> None:
        """Let all processes act and read until nothing is left to do."""
        active = True
        while active:
            active = False
            for process in self.alive:
                active = active or bool(process.harness.turns)
                process.harness.turn()
            for connection in self.connections:
                for process in connection.ends:
                    if process.alive:
                        active = connection.read(process) or active

    def wait(self, ms: float) -> None:
        """Let time pass for all processes, none of which is stopped: each reads what was written before."""
        self.settle()
        for process in self.processes:
            process.harness.now_ns += round(ms * NS_PER_MS)
            if process.alive:
                process.core.fire_timers()

    def kill(self, process: Process) -> None:
        """Kill a process. What it has written can still be read."""
        process.alive = False
        for connection in self.connections:
            if process in connection.ends:
                connection.close(process)

    def exit(self, process: Process) -> None:
        """Let a process that has been replaced exit, once it has answered its requests."""
        process.hot_restart.close()
        self.kill(process)

    def replace(self, **options: Any) -> Process:
        """Replace the process in service completely."""
        old = self.serving
        new = self.start(**options)
        self.settle()
        assert (old.state, new.state) == (State.REPLACED, State.SUCCESSOR)
        self.exit(old)
        self.settle()
        assert new.is_alone
        return new

    def serve(self, *keys: str) -> None:
        """Send a request with each key to the process in service, and let it run and end there."""
        process = self.serving
        for key in keys:
            process.submit(key)
            self.settle()
            process.end_run(process.open_runs()[-1])
            self.settle()

    def ask(self, key: str) -> Answer | InvalidArrival | None:
        """Send an attempt to the process in service, and return its answer, or None while it is open."""
        process = self.serving
        request = process.submit(key)
        self.settle()
        return process.answer_to(process.last_tag) if isinstance(request, Request) else request

    def runs(self) -> Counter[str]:
        """Return how often each key ran, in all processes together."""
        started = [str(rid) for process in self.processes for rid in process.harness.runs()]
        return Counter(rid.partition("-")[0] for rid in started if rid not in self.never_started)


def started_runner(monkeypatch: pytest.MonkeyPatch) -> ReplacedRunner:
    """Return a runner whose first process serves."""
    runner = ReplacedRunner(monkeypatch)
    runner.start()
    runner.settle()
    return runner
