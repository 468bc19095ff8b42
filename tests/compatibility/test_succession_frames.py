"""Frames between two processes of one runner, of which one may be of an earlier build.

Guards against a word, a field or a label that changes its name: a new process would not be let on, would take over no
keys, or would run a key twice, and each such replacement would end in a log line `unreadable frame of the other
process`. Every frame that comes and goes in whole conversations is compared byte by byte.
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

from ..test_core import World
from .golden import assert_golden

PID = 4711
STATES = [state.value for state in State]


class Transport:
    """Takes down what is written to the other process."""

    def __init__(self) -> None:
        self.socket, _ = socket.socketpair()  # credentials are asked of it
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


# ---- the names of the program, once ----


class Runner(Service):
    """The service as far as its other process hears of it, with what it takes and listens on given."""

    def __init__(self, world: World) -> None:
        self.core, self.reporter = world.core, Reporter(world.core, HealthPolicy(), "n1")
        self.heard: list[object] = []

    def load(self) -> ProcessLoad:
        return ProcessLoad(2, 3, 1024.5, 7)

    def set_peer_load(self, load: ProcessLoad) -> None:
        self.heard.append(load == ProcessLoad(5, 6, 2048.5, 8))

    def listening_sockets(self) -> dict[str, int]:
        return {"listen": 100, "uwsgi": 101}

    def usable_sockets(self, handed_over: dict[str, int]) -> dict[str, int]:
        self.heard.append(sorted(handed_over))
        return handed_over

    def accept(self, handed_over: dict[str, int]) -> None:
        self.heard.append(["accept", sorted(handed_over)])

    def incarnation(self) -> int:
        return 77

    def set_predecessor(self, incarnation: int) -> None:
        self.heard.append(["follows", incarnation])

    def pause(self, shared: set[str]) -> None:
        self.heard.append(["pause", sorted(shared)])

    def resume(self) -> None:
        self.heard.append("resume")


class Process:
    """One process of the runner, without sockets of its own."""

    def __init__(self) -> None:
        self.world = World()
        self.owner = Runner(self.world)
        self.link = HotRestart(self, self.world.core, self.owner, "/nowhere/socket", "n1")
        self.owner.reporter.on_maintenance_changed = self.link.maintenance_changed
        self.transport, self.peer = Transport(), PeerConnection(self.link, accepted=True)

    def callLater(self, seconds: float, action: Any) -> None:
        self.world.turns.append(action)

    def alone(self) -> None:
        self.link.handle(Event.NO_PEER)

    def meets(self, came: bool) -> None:
        """A connection, from a further process or to the one in service."""
        self.peer, self.transport = PeerConnection(self.link, came), Transport()
        self.peer.makeConnection(self.transport)  # type: ignore[no-untyped-call]

    def reads(self, frame: bytes) -> None:
        self.peer.dataReceived(struct.pack(">I", len(frame)) + frame)  # type: ignore[no-untyped-call]
        self.world.turn()

    def takes(self, rid: str, token: str) -> None:
        self.world.take(rid, token=token)
        self.world.turn()

    def ends_run(self, rid: str, result: bytes) -> None:
        self.world.core.execution.run_ended(rid, EndReason.RUN_SUCCEEDED, result)
        self.world.turn()

    def fails_run(self, rid: str) -> None:
        self.world.core.execution.run_ended(rid, EndReason.RUN_NEVER_STARTED, b"")
        self.world.turn()

    def taken_out(self, reason: str, for_s: float | None) -> None:
        self.owner.reporter.set_maintenance(reason, for_s)

    def has_no_room(self) -> None:
        self.peer.key_table_full(9, ("acme", "other"))

    def says_goodbye(self) -> None:
        self.link.close()

    def counted(self) -> dict[str, int]:
        return dict(sorted(self.world.core.counters.total.items()))

    def answers(self) -> list[Any]:
        return [[tag, answer.content.decode()] for tag, answer in self.world.answers]


# ---- conversations ----


def frames(written: bytes) -> Iterator[str]:
    while written:
        (length,) = struct.unpack_from(">I", written)
        yield written[4 : 4 + length].decode()
        written = written[4 + length :]


class Conversation:
    """Frames in and out, in their order, as they go into the golden file."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.said: list[list[str]] = []

    def note(self, what: str = "") -> None:
        """What has been written since; `what` is where this process did something by itself."""
        written, self.process.transport.written = self.process.transport.written, b""
        self.said += [["here", what]] if what else []
        self.said += [["out", frame] for frame in frames(written)]

    def read(self, frame: str) -> None:
        self.said.append(["in", frame])
        self.process.reads(frame.encode())
        self.note()


@pytest.fixture(autouse=True)
def same_process(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "getpid", lambda: PID)


def test_the_process_in_service_hands_over_in_these_bytes() -> None:
    process = Process()
    talk = Conversation(process)
    process.alone()
    process.takes("a", "ends")
    process.ends_run("a", b"result")
    process.takes("b", "runs")
    process.taken_out("work", 60.0)
    process.meets(came=True)
    talk.read('{"t":"HELLO","v":1,"name":"n1","pid":4712}\n')
    talk.read('{"t":"CLAIM","n":1,"k":["","new"],"b":7,"u":2000000000000}\n')
    talk.read('{"t":"CLAIM","n":2,"k":["","runs"],"b":7,"u":2000000000000}\n')
    talk.read('{"t":"CLAIM","n":3,"k":["","ends"],"b":7,"u":2000000000000}\n')
    talk.read('{"t":"CLAIM","n":4,"k":["acme","other"],"b":7,"u":2000000000000}\n')
    talk.read('{"t":"FREED","k":["acme","other"]}\n')
    talk.read('{"t":"SETTLED","k":["","new"],"b":7,"u":2000000000000,"r":true}\ntheir result')
    process.ends_run("b", b"late result")
    talk.note("a run has ended")
    process.takes("c", "mine")
    talk.note("a new key")
    talk.read('{"t":"GRANTED","n":1,"k":["","mine"]}\n')
    process.fails_run("c")
    talk.note("a run never began")
    process.takes("d", "held")
    talk.note("a new key")
    talk.read('{"t":"HELD","n":2,"k":["","held"],"b":8,"u":2000000000000}\n')
    process.takes("e", "full")
    talk.note("a new key")
    talk.read('{"t":"FULL","n":3,"k":["","full"]}\n')
    process.has_no_room()
    talk.note("no room for a key")
    process.taken_out("more work", None)
    talk.note("taken out")
    process.world.wait(60)
    talk.note("some time later")
    talk.read('{"t":"READY","labels":["listen"]}\n')
    talk.read('{"t":"BYE"}\n')
    told = {"frames": talk.said, "heard": process.owner.heard, "answers": process.answers()}
    assert_golden("succession_handing", told | {"counters": process.counted()})


def test_the_process_that_comes_takes_over_in_these_bytes() -> None:
    process = Process()
    talk = Conversation(process)
    process.meets(came=False)
    talk.note("it has connected")
    for descriptor in (os.open(os.devnull, os.O_RDONLY), os.open(os.devnull, os.O_RDONLY)):
        process.peer.fileDescriptorReceived(descriptor)
    talk.read(
        '{"t":"WELCOME","v":1,"labels":["listen","uwsgi"],'
        '"out":{"reason":"work","since":1000000000,"until":2000000000},"bytes":100,"unsure":0,"fleet":77}\n'
    )
    talk.read('{"t":"KEY","k":["","over"],"b":7,"u":2000000000000,"o":true,"r":true}\nresult')
    talk.read('{"t":"KEY","k":["acme","open"],"b":7,"u":2000000000000,"o":false,"r":false}\n')
    talk.read('{"t":"SYNCED"}\n')
    talk.read('{"t":"LOAD","on_cores":5,"running":6,"memory_kb":2048.5,"connections":8}\n')
    talk.read('{"t":"GO"}\n')
    process.takes("a", "mine")
    talk.note("a new key")
    talk.read('{"t":"GRANTED","n":1,"k":["","mine"]}\n')
    process.ends_run("a", b"result here")
    talk.note("a run has ended")
    process.taken_out("other work", 30.0)
    talk.note("taken out")
    talk.read('{"t":"OUT","out":{"reason":"theirs","since":1000000000,"until":null}}\n')
    told = process.owner.maintenance_fields()
    talk.read('{"t":"OUT","out":null}\n')
    process.says_goodbye()
    talk.note("it ends")
    heard = {"taken out": [told, process.owner.maintenance_fields()], "heard": process.owner.heard}
    assert_golden("succession_taking", {"frames": talk.said, **heard, "counters": process.counted()})


def test_a_further_process_is_sent_away_in_these_bytes() -> None:
    process = Process()
    talk = Conversation(process)
    process.alone()
    process.meets(came=True)
    process.reads(b'{"t":"HELLO","v":1,"name":"n1","pid":4712}\n')
    process.meets(came=True)
    talk.read('{"t":"HELLO","v":1,"name":"n1","pid":4713}\n')
    process.meets(came=True)
    talk.read('{"t":"HELLO","v":2,"name":"n1","pid":4714}\n')
    assert_golden("succession_busy", talk.said)


def test_a_word_without_fields_leads_to_the_same_state() -> None:
    """As the golden file says by the counters of the states, which operators see."""
    told = {}
    for word in ("SYNCED", "GO", "BUSY", "BYE", "NEVER"):
        process = Process()
        process.meets(came=False)
        process.reads(b'{"t":"WELCOME","v":1,"labels":[],"out":null,"bytes":0,"unsure":0}\n')
        process.reads(f'{{"t":"{word}"}}\n'.encode())
        told[word] = process.counted()
    assert_golden("succession_words", told)


def test_every_state_is_counted_under_the_same_words() -> None:
    assert_golden("succession_states", STATES)
