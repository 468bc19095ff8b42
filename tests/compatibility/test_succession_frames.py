"""Frames of a hot restart between two processes of one runner, one of which may run an earlier build.

Guards against a renamed frame type, field or label: a new process would be refused, would take over no keys, or would
run a key twice, and each such restart would end with the log line `unreadable frame of the other process`. The tests
compare every frame of complete exchanges byte by byte.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterator
from typing import Any

import pytest

from moorusher.cluster_transport.hot_restart.coordinator import HotRestart
from moorusher.cluster_transport.hot_restart.peer_connection import PeerConnection
from moorusher.core.outcomes import EndReason
from moorusher.health.policy import HealthPolicy
from moorusher.health_reporting.reporter import Reporter
from moorusher.hot_restart.process_role import Event, State
from moorusher.hot_restart.shared_budget import ProcessLoad
from moorusher.server.server import Service

from ..test_core import EngineHarness
from .golden import assert_golden

PID = 4711
STATES = [state.value for state in State]


class RecordingTransport:
    """Records the bytes that are written to the other process."""

    def __init__(self) -> None:
        self.socket, _ = socket.socketpair()  # The program reads the peer's credentials from it.
        self.written, self.sent_descriptors = b"", list[int]()

    def write(self, data: bytes) -> None:
        self.written += data

    def sendFileDescriptor(self, descriptor: int) -> None:
        self.sent_descriptors.append(descriptor)

    def registerProducer(self, producer: object, streaming: bool) -> None:
        pass

    def unregisterProducer(self) -> None:
        pass

    def loseConnection(self) -> None:
        self.written += struct.pack(">I", 6) + b"closed"


# ---- adapters: only this section uses the program's names ----


class FakeService(Service):
    """The part of the service that a hot restart uses, with fixed load and listening sockets."""

    def __init__(self, harness: EngineHarness) -> None:
        self.core, self.reporter = harness.core, Reporter(harness.core, HealthPolicy(), "n1")
        self.events: list[object] = []

    def load(self) -> ProcessLoad:
        return ProcessLoad(2, 3, 1024.5, 7)

    def set_peer_load(self, load: ProcessLoad) -> None:
        self.events.append(load == ProcessLoad(5, 6, 2048.5, 8))

    def listening_sockets(self) -> dict[str, int]:
        return {"listen": 100, "uwsgi": 101}

    def usable_sockets(self, handed_over: dict[str, int]) -> dict[str, int]:
        self.events.append(sorted(handed_over))
        return handed_over

    def accept(self, handed_over: dict[str, int]) -> None:
        self.events.append(["accept", sorted(handed_over)])

    def incarnation(self) -> int:
        return 77

    def set_predecessor(self, incarnation: int) -> None:
        self.events.append(["follows", incarnation])

    def pause(self, shared: set[str]) -> None:
        self.events.append(["pause", sorted(shared)])

    def resume(self) -> None:
        self.events.append("resume")


class Process:
    """One process of the runner, without sockets of its own."""

    def __init__(self) -> None:
        self.harness = EngineHarness()
        self.service = FakeService(self.harness)
        self.hot_restart = HotRestart(self, self.harness.core, self.service, "/nowhere/socket", "n1")
        self.service.reporter.on_maintenance_changed = self.hot_restart.maintenance_changed
        self.transport, self.peer = RecordingTransport(), PeerConnection(self.hot_restart, accepted=True)

    def callLater(self, seconds: float, action: Any) -> None:
        self.harness.turns.append(action)

    def start_without_peer(self) -> None:
        self.hot_restart.handle(Event.NO_PEER)

    def connect(self, accepted: bool) -> None:
        """Accept a connection from a new process, or connect to the process in service."""
        self.peer, self.transport = PeerConnection(self.hot_restart, accepted), RecordingTransport()
        self.peer.makeConnection(self.transport)  # type: ignore[no-untyped-call]

    def receive(self, frame: bytes) -> None:
        self.peer.dataReceived(struct.pack(">I", len(frame)) + frame)  # type: ignore[no-untyped-call]
        self.harness.turn()

    def submit(self, rid: str, token: str) -> None:
        self.harness.submit(rid, token=token)
        self.harness.turn()

    def end_run(self, rid: str, result: bytes) -> None:
        self.harness.core.execution.run_ended(rid, EndReason.RUN_SUCCEEDED, result)
        self.harness.turn()

    def fail_to_start_run(self, rid: str) -> None:
        self.harness.core.execution.run_ended(rid, EndReason.RUN_NEVER_STARTED, b"")
        self.harness.turn()

    def set_maintenance(self, reason: str, duration_s: float | None) -> None:
        self.service.reporter.set_maintenance(reason, duration_s)

    def report_full_key_table(self) -> None:
        self.peer.key_table_full(9, ("acme", "other"))

    def close(self) -> None:
        self.hot_restart.close()

    def counters(self) -> dict[str, int]:
        return dict(sorted(self.harness.core.counters.total.items()))

    def answers(self) -> list[Any]:
        return [[tag, answer.content.decode()] for tag, answer in self.harness.answers]


# ---- exchanges of frames ----


def split_frames(written: bytes) -> Iterator[str]:
    while written:
        (length,) = struct.unpack_from(">I", written)
        yield written[4 : 4 + length].decode()
        written = written[4 + length :]


class Exchange:
    """Records the frames in both directions, in order, for the golden file."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.log: list[list[str]] = []

    def record_sent(self, event: str = "") -> None:
        """Record the frames sent since the last call, after the event in this process that led to them."""
        written, self.process.transport.written = self.process.transport.written, b""
        self.log += [["here", event]] if event else []
        self.log += [["out", frame] for frame in split_frames(written)]

    def receive(self, frame: str) -> None:
        self.log.append(["in", frame])
        self.process.receive(frame.encode())
        self.record_sent()


@pytest.fixture(autouse=True)
def fixed_pid(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "getpid", lambda: PID)


def test_the_frames_of_the_process_in_service_are_unchanged() -> None:
    process = Process()
    exchange = Exchange(process)
    process.start_without_peer()
    process.submit("a", "ends")
    process.end_run("a", b"result")
    process.submit("b", "runs")
    process.set_maintenance("work", 60.0)
    process.connect(accepted=True)
    exchange.receive('{"t":"HELLO","v":1,"name":"n1","pid":4712}\n')
    exchange.receive('{"t":"CLAIM","n":1,"k":["","new"],"b":7,"u":2000000000000}\n')
    exchange.receive('{"t":"CLAIM","n":2,"k":["","runs"],"b":7,"u":2000000000000}\n')
    exchange.receive('{"t":"CLAIM","n":3,"k":["","ends"],"b":7,"u":2000000000000}\n')
    exchange.receive('{"t":"CLAIM","n":4,"k":["acme","other"],"b":7,"u":2000000000000}\n')
    exchange.receive('{"t":"FREED","k":["acme","other"]}\n')
    exchange.receive('{"t":"SETTLED","k":["","new"],"b":7,"u":2000000000000,"r":true}\ntheir result')
    process.end_run("b", b"late result")
    exchange.record_sent("a run has ended")
    process.submit("c", "mine")
    exchange.record_sent("a new key")
    exchange.receive('{"t":"GRANTED","n":1,"k":["","mine"]}\n')
    process.fail_to_start_run("c")
    exchange.record_sent("a run never began")
    process.submit("d", "held")
    exchange.record_sent("a new key")
    exchange.receive('{"t":"HELD","n":2,"k":["","held"],"b":8,"u":2000000000000}\n')
    process.submit("e", "full")
    exchange.record_sent("a new key")
    exchange.receive('{"t":"FULL","n":3,"k":["","full"]}\n')
    process.report_full_key_table()
    exchange.record_sent("no room for a key")
    process.set_maintenance("more work", None)
    exchange.record_sent("taken out")
    process.harness.wait(60)
    exchange.record_sent("some time later")
    exchange.receive('{"t":"READY","labels":["listen"]}\n')
    exchange.receive('{"t":"BYE"}\n')
    results = {"frames": exchange.log, "heard": process.service.events, "answers": process.answers()}
    assert_golden("succession_handing", results | {"counters": process.counters()})


def test_the_frames_of_the_process_that_takes_over_are_unchanged() -> None:
    process = Process()
    exchange = Exchange(process)
    process.connect(accepted=False)
    exchange.record_sent("it has connected")
    for descriptor in (os.open(os.devnull, os.O_RDONLY), os.open(os.devnull, os.O_RDONLY)):
        process.peer.fileDescriptorReceived(descriptor)
    exchange.receive(
        '{"t":"WELCOME","v":1,"labels":["listen","uwsgi"],'
        '"out":{"reason":"work","since":1000000000,"until":2000000000},"bytes":100,"unsure":0,"fleet":77}\n'
    )
    exchange.receive('{"t":"KEY","k":["","over"],"b":7,"u":2000000000000,"o":true,"r":true}\nresult')
    exchange.receive('{"t":"KEY","k":["acme","open"],"b":7,"u":2000000000000,"o":false,"r":false}\n')
    exchange.receive('{"t":"SYNCED"}\n')
    exchange.receive('{"t":"LOAD","on_cores":5,"running":6,"memory_kb":2048.5,"connections":8}\n')
    exchange.receive('{"t":"GO"}\n')
    process.submit("a", "mine")
    exchange.record_sent("a new key")
    exchange.receive('{"t":"GRANTED","n":1,"k":["","mine"]}\n')
    process.end_run("a", b"result here")
    exchange.record_sent("a run has ended")
    process.set_maintenance("other work", 30.0)
    exchange.record_sent("taken out")
    exchange.receive('{"t":"OUT","out":{"reason":"theirs","since":1000000000,"until":null}}\n')
    maintenance = process.service.maintenance_fields()
    exchange.receive('{"t":"OUT","out":null}\n')
    process.close()
    exchange.record_sent("it ends")
    effects = {
        "taken out": [maintenance, process.service.maintenance_fields()],
        "heard": process.service.events,
    }
    assert_golden("succession_taking", {"frames": exchange.log, **effects, "counters": process.counters()})


def test_the_frames_to_an_unexpected_process_are_unchanged() -> None:
    """A third process receives BUSY and is disconnected; one of another protocol version receives no frame."""
    process = Process()
    exchange = Exchange(process)
    process.start_without_peer()
    process.connect(accepted=True)
    process.receive(b'{"t":"HELLO","v":1,"name":"n1","pid":4712}\n')
    process.connect(accepted=True)
    exchange.receive('{"t":"HELLO","v":1,"name":"n1","pid":4713}\n')
    process.connect(accepted=True)
    exchange.receive('{"t":"HELLO","v":2,"name":"n1","pid":4714}\n')
    assert_golden("succession_busy", exchange.log)


def test_a_frame_without_fields_leads_to_the_same_state() -> None:
    """Compares the states by the names of their counters, which operators see."""
    counters = {}
    for frame_type in ("SYNCED", "GO", "BUSY", "BYE", "NEVER"):
        process = Process()
        process.connect(accepted=False)
        process.receive(b'{"t":"WELCOME","v":1,"labels":[],"out":null,"bytes":0,"unsure":0}\n')
        process.receive(f'{{"t":"{frame_type}"}}\n'.encode())
        counters[frame_type] = process.counters()
    assert_golden("succession_words", counters)


def test_the_names_of_states_in_counters_are_unchanged() -> None:
    assert_golden("succession_states", STATES)
