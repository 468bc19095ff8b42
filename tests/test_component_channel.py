"""Messages between the components of two nodes while a seat has two processes: one that drains, and its successor."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from moorusher.cluster_transport.peer_links import PeerLinks
from moorusher.config.fleet import FleetConfig
from moorusher.membership.failure_detector import FailureDetector
from moorusher.membership.policy import Seat
from moorusher.replication.component_channel import ComponentChannel
from moorusher.replication.messages import PROTOCOL_VERSION, ComponentMessage, Hello

OLD, NEW = 1, 2  # Incarnations of the two processes of the seat n1.


class RecordingNode:
    """A node that records its messages with the incarnation of the process that receives each."""

    def __init__(self) -> None:
        self.asker = NEW
        self.sent: list[tuple[int, ComponentMessage]] = []
        self.timers: list[Callable[[], None]] = []

    def send(self, seat: str, message: ComponentMessage) -> None:
        self.sent.append((NEW, message))

    def replier(self, seat: str) -> Callable[[ComponentMessage], None]:
        asker = self.asker
        return lambda message: self.sent.append((asker, message))

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.timers.append(action)

    def clock(self) -> int:
        return 0


def test_an_answer_reaches_the_process_that_has_asked_though_its_seat_has_another_one_by_now() -> None:
    """Answers to a replaced process went to its successor: a replaced leader never learned that its state is stored."""
    node = RecordingNode()
    channel = ComponentChannel(node, "n0", "duties", str.encode, lambda seat, message: None)  # type: ignore[arg-type]
    node.asker = OLD
    channel.reply("n1", "at once")
    reply_later = channel.replier("n1")
    node.asker = NEW
    reply_later("later")
    channel.send("n1", "of its own accord")
    assert [(to, message.body) for to, message in node.sent] == [
        (OLD, b"at once"),
        (OLD, b"later"),
        (NEW, b"of its own accord"),
    ]


def test_messages_of_a_member_to_itself_arrive_in_a_later_turn() -> None:
    node, received = RecordingNode(), list[Any]()
    channel = ComponentChannel(
        node,  # type: ignore[arg-type]
        "n0",
        "duties",
        str.encode,
        lambda seat, message: received.append((seat, message)),
    )
    channel.send("n0", "question")
    channel.reply("n0", "answer")
    assert not received and not node.sent
    for run_timer in node.timers:
        run_timer()
    assert received == [("n0", "question"), ("n0", "answer")]


class RecordingConnection:
    """A connection to or from a process of the seat n1."""

    def __init__(self, incarnation: int, is_outgoing: bool) -> None:
        self.seat, self.incarnation, self.is_outgoing, self.is_closed = "n1", incarnation, is_outgoing, False
        self.transport = self

    def loseConnection(self) -> None:
        self.is_closed = True


@pytest.mark.parametrize("successor_is_connected", [True, False])
def test_a_connection_that_was_accepted_by_a_replaced_process_is_remade(successor_is_connected: bool) -> None:
    """A peer that reconnected while the old process still accepted sent everything for the seat to that process.

    If the successor has died, its predecessor serves on, and the connection to it is kept.
    """
    detector = FailureDetector("n0", 1, ("n0", "n1"), SimpleNamespace(clock=lambda: 0))
    detector.by_seat["n1"].incarnation = NEW
    node = SimpleNamespace(me="n0", owner=SimpleNamespace(seat="n0", incarnation=1), detector=detector)
    config = FleetConfig(name="f", seats=tuple(Seat(name, ("127.0.0.1", 1)) for name in ("n0", "n1")))
    links = PeerLinks(MemoryReactorClock(), SimpleNamespace(), config, "digest", node)  # type: ignore[arg-type, no-untyped-call]
    if successor_is_connected:
        links.incoming.add(RecordingConnection(NEW, False))  # type: ignore[arg-type]
    connection = RecordingConnection(0, True)
    assert links.check_hello(connection, Hello(PROTOCOL_VERSION, "f", "digest", "n1", OLD)) is None  # type: ignore[arg-type]
    assert connection.is_closed is successor_is_connected
