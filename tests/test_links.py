"""Connections to the database, the kernel and other runners, without sockets: duplicates, delays, new addresses."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from moorusher.backends.database import MAX_IDLE_US, REUSE_DELAY_US, DatabasePool
from moorusher.backends.kernel import MAX_UNREADABLE_RECONNECTS, KernelClient
from moorusher.backends.kernel_protocol import KernelProtocol
from moorusher.backends.silence_detection import CONFIRM_AFTER_US, MAX_SILENCE_US
from moorusher.cluster_transport.peers import PeerDialer
from moorusher.core.answer import Verdict
from moorusher.core.call import CallRequest
from moorusher.core.outcomes import EndReason
from moorusher.scheduling.interface import Downstream, Effect

from .test_core import EngineHarness
from .test_fronts import Transport

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"


def call_request(number: int, effect: Effect = Effect.IDEMPOTENT) -> CallRequest:
    """Return the request for a call with this number."""
    token = f"t.{number}" if effect is Effect.IDEMPOTENT_WITH_KEY else None
    return CallRequest(f"r{number}", "read", None, effect, token, b"q", 500)


class RecordingPool(DatabasePool):
    """A pool whose connections are established by the test, and that records the outcomes of its calls."""

    def __init__(self, world: EngineHarness) -> None:
        super().__init__(self, ("127.0.0.1", 1))
        self.core = world.core
        self.dialled: list[Any] = []
        self.outcomes: list[tuple[int, EndReason]] = []

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        self.dialled.append(factory)

    def establish(self) -> tuple[Any, Transport]:
        """Establish the connection that was requested last."""
        connection = self.dialled[-1].buildProtocol(None)
        transport = Transport()
        connection.makeConnection(transport)
        return connection, transport

    def call_ended(self, number: int, ending: EndReason, body: bytes) -> None:
        self.outcomes.append((number, ending))
        super().call_ended(number, ending, body)


@pytest.mark.parametrize("extra, closed", [(b"", False), (b"z", True), (REPLY, True), (b"\r\n", True)])
@pytest.mark.parametrize("in_second_segment", [False, True])
def test_a_connection_that_received_more_than_its_reply_is_not_reused(
    extra: bytes, closed: bool, in_second_segment: bool
) -> None:
    """The database sends more than one reply to a call, at once or a moment later.

    If the connection were reused, the rest would be read as the reply to the next call.
    """
    pool = RecordingPool(world := EngineHarness())
    pool.call(1, call_request(1))
    connection, transport = pool.establish()
    for part in (REPLY, extra) if in_second_segment else (REPLY + extra,):
        connection.dataReceived(part)
    assert pool.outcomes == [(1, EndReason.CALL_ANSWERED)] and transport.aborted is closed
    pool.call(2, call_request(2))  # not reused at once: more bytes may still arrive after the reply
    world.wait(REUSE_DELAY_US / 1000 + 5)
    pool.call(3, call_request(3))
    assert len(pool.dialled) == 2 + closed and (b"Request-Ref: r3" in transport.value()) is not closed


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT_WITH_KEY, Effect.NOT_IDEMPOTENT])
def test_only_idempotent_calls_reuse_an_idle_connection_and_are_retried_if_it_is_lost(
    effect: Effect,
) -> None:
    """The database has closed an idle connection, and the runner has not noticed yet.

    A call sent on it may or may not have run, so only idempotent calls use such a connection, and they are retried.
    """
    pool = RecordingPool(world := EngineHarness())
    pool.call(1, call_request(1))
    connection, _ = pool.establish()
    connection.dataReceived(REPLY)
    world.wait(100)
    # The call does not use the idle connection, since the loss of that connection would not prove that it never ran.
    pool.call(2, call_request(2, effect))
    assert len(pool.dialled) == 2
    pool.establish()[0].connectionLost()
    pool.call(3, call_request(3))
    assert len(pool.dialled) == 2
    connection.connectionLost()
    assert len(pool.dialled) == 3
    pool.establish()[0].connectionLost()  # a call on a new connection is not retried
    assert (
        pool.outcomes[1:] == [(2, EndReason.CALL_CONNECTION_LOST), (3, EndReason.CALL_CONNECTION_LOST)]
        and len(pool.dialled) == 3
    )


def test_calls_go_to_the_current_address_of_the_database() -> None:
    """The database moves while one connection to it is idle and another has a call in flight."""
    pool = RecordingPool(world := EngineHarness())
    pool.call(1, call_request(1))
    connection, transport = pool.establish()
    connection.dataReceived(REPLY)
    pool.call(2, call_request(2))
    busy, busy_transport = pool.establish()
    pool.set_address(("127.0.0.1", 2))
    assert transport.disconnecting and not busy_transport.disconnecting
    # The call in flight may finish at the old address; new calls are not sent there.
    busy.dataReceived(REPLY)
    assert pool.outcomes[-1] == (2, EndReason.CALL_ANSWERED) and busy_transport.disconnecting
    world.wait(100)
    pool.call(3, call_request(3))
    assert len(pool.dialled) == 3 and pool.dialled[-1].address == ("127.0.0.1", 2)


def test_calls_beyond_the_connection_limit_fail_without_being_sent() -> None:
    """All connections to the database are in use: another call fails as never sent, and a later one succeeds."""
    pool = RecordingPool(EngineHarness())
    pool.max_busy = 2
    for number in (1, 2, 3):
        pool.call(number, call_request(number))
    assert pool.outcomes == [(3, EndReason.CALL_NOT_CONNECTED)] and len(pool.dialled) == 2
    connection, _ = pool.establish()
    pool.call(4, call_request(4))
    assert pool.outcomes[1:] == [(4, EndReason.CALL_NOT_CONNECTED)], (
        "the call in flight must count as the pending connection did"
    )
    connection.dataReceived(REPLY)
    pool.call(5, call_request(5))
    assert len(pool.dialled) == 3 and pool.outcomes[2:] == [(2, EndReason.CALL_ANSWERED)]


def test_an_idle_database_connection_is_reused_and_closed_after_its_idle_timeout() -> None:
    pool = RecordingPool(world := EngineHarness())
    pool.call(1, call_request(1))
    connection, transport = pool.establish()
    assert b"Request-Ref: r1\r\nStatement-Timeout-Ms: 500\r\nContent-Length: 1\r\n\r\nq" in transport.value()
    connection.dataReceived(REPLY)
    world.wait(REUSE_DELAY_US / 1000 + 5)
    pool.call(2, call_request(2))  # reuses the connection
    assert len(pool.dialled) == 1 and b"Request-Ref: r2" in transport.value()
    connection.dataReceived(REPLY)
    world.wait(MAX_IDLE_US / 1000 - 10)
    assert not transport.disconnecting
    world.wait(20)
    assert transport.disconnecting


class RecordingKernelClient(KernelClient):
    """A kernel client whose connections are established by the test."""

    def __init__(self, world: EngineHarness) -> None:
        super().__init__(self, ("127.0.0.1", 1))
        self.core = world.core
        self.dialled: list[tuple[str, int]] = []
        self.start()

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> Any:
        self.dialled.append((host, port))
        return SimpleNamespace(disconnect=lambda: None)

    def establish(self) -> tuple[KernelProtocol, Transport]:
        """Establish the connection that was requested last."""
        connection = self.buildProtocol(None)
        transport = Transport()
        connection.makeConnection(transport)  # type: ignore[no-untyped-call]
        return connection, transport


def receive(connection: KernelProtocol, data: bytes) -> None:
    """Let the connection receive these bytes."""
    connection.dataReceived(data)


def receive_messages(connection: KernelProtocol, *messages: dict[str, Any]) -> None:
    """Let the connection receive these messages of the kernel, one line each."""
    receive(connection, b"".join(json.dumps(message).encode() + b"\n" for message in messages))


BOOTED: dict[str, Any] = {"t": "BOOTED", "status": "LOADED", "time_ms": 9}
PASSED: dict[str, Any] = {"t": "REAP", "rid": "a", "status": "PASS", "time_ms": 1, "b64": "cg=="}


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"\xff",
        b"[]",
        b'{"no":1}',
        b'{"t":"REAP","rid":"a","status":"PASS","b64":"cg=="}',
        b'{"t":"REAP","no":"1","rid":"a","status":"PASS","b64":"cg=="}',
        b'{"t":"REAP","no":1,"rid":"a","status":"PASS","b64":"c"}',
        b'{"t":"REAP","no":1,"rid":"a","status":"WELL"}',
        b'{"t":"IOREQ","no":1,"b64":""}',
    ],
)
def test_an_unreadable_notice_of_the_kernel_is_requested_again_on_a_new_connection(line: bytes) -> None:
    """The kernel sends a malformed line, which may have reported the end of a run.

    The runner reconnects and requests the notices after the last one that it read. A repeated notice counts once.
    """
    link = RecordingKernelClient(world := EngineHarness())
    connection, transport = link.establish()
    receive_messages(connection, BOOTED)
    world.submit("a", 1)
    world.turn()
    receive(connection, line + b"\n")
    assert transport.aborted and link.session.last_notice == 0
    world.wait(50)
    assert len(link.dialled) == 2
    connection, transport = link.establish()
    assert transport.value() == b'{"t":"OPEN","no":0}\n'
    receive_messages(
        connection, BOOTED, PASSED | {"no": 1}, PASSED | {"no": 1}, {"t": "DMESG", "no": 2, "status": "x"}
    )
    assert world.verdicts() == [(1, Verdict.SERVED)] and link.session.last_notice == 2


def test_a_line_that_remains_unreadable_is_skipped_after_a_limited_number_of_reconnects() -> None:
    """The kernel sends the same malformed line on each connection: the runner must not reconnect for ever."""
    link = RecordingKernelClient(world := EngineHarness())
    for _ in range(MAX_UNREADABLE_RECONNECTS + 1):
        connection, transport = link.establish()
        receive(connection, b"{\n")
        world.wait(500)
    assert not transport.aborted
    receive_messages(connection, BOOTED)
    assert len(link.dialled) == MAX_UNREADABLE_RECONNECTS + 1


def test_nothing_is_sent_on_a_new_connection_before_the_replay_ends_and_a_reply_is_sent_once() -> None:
    """The connection to the kernel is lost while a run waits for the reply to its call."""
    link = RecordingKernelClient(world := EngineHarness(downstream=Downstream.TIER))
    world.core.runs._kernel = link.session
    connection, _ = link.establish()
    receive_messages(connection, BOOTED)
    world.submit("a", 1)
    world.turn()
    world.core.execution.call_needed("a", 1, b"q")
    world.turn()
    connection.connectionLost()
    connection, transport = link.establish()
    receive_messages(connection, BOOTED)
    transport.clear()
    world.core.execution.call_ended(world.core.table.by_rid["a"].number, EndReason.CALL_ANSWERED, b"reply")
    assert transport.value() == b""
    receive_messages(connection, {"t": "INFO", "mark": "replayed", "v": [0.5]})
    sent = [json.loads(message) for message in transport.value().splitlines()]
    assert [message["t"] for message in sent] == ["IODONE", "SYSINFO"]
    transport.clear()
    connection.connectionLost()  # The kernel may have read the reply. A repeated reply could answer a later call.
    connection, transport = link.establish()
    receive_messages(connection, BOOTED, {"t": "INFO", "mark": "replayed", "v": [0.5]})
    assert b"IODONE" not in transport.value()


@pytest.mark.parametrize("is_acknowledged", [False, True])
def test_commands_acknowledged_by_an_answered_mark_are_not_resent(is_acknowledged: bool) -> None:
    """The connection is lost after a command, which is resent unless an answered mark proves that it was read."""
    link = RecordingKernelClient(world := EngineHarness())
    world.core.runs._kernel = link.session
    connection, transport = link.establish()
    receive_messages(connection, BOOTED)
    world.submit("a", 1)
    world.turn()
    link.session.request_gauges()
    question = json.loads(transport.value().splitlines()[-1])
    assert question["t"] == "SYSINFO"
    if is_acknowledged:
        receive_messages(connection, {"t": "INFO", "mark": question["mark"], "v": [0.5]})
    connection.connectionLost()
    connection, transport = link.establish()
    receive_messages(connection, BOOTED, {"t": "INFO", "mark": "replayed", "v": [0.5]})
    assert (b"SCHED" in transport.value()) is not is_acknowledged


@pytest.mark.parametrize("mark", ["g", "gg", "g-1", "g1.5", "g99999", "None", ""])
def test_a_mark_that_was_never_sent_acknowledges_nothing(mark: str) -> None:
    """The kernel answers a mark that it was never sent: this must not acknowledge any later command."""
    link = RecordingKernelClient(world := EngineHarness())
    world.core.runs._kernel = link.session
    connection, _ = link.establish()
    receive_messages(connection, BOOTED, {"t": "INFO", "mark": mark, "v": [0.5]})
    world.submit("a", 1)
    world.turn()
    connection.connectionLost()
    connection, transport = link.establish()
    receive_messages(connection, BOOTED, {"t": "INFO", "mark": "replayed", "v": [0.5]})
    assert b"SCHED" in transport.value()


def test_the_kernel_connection_moves_whether_it_is_up_connecting_or_waiting_to_reconnect() -> None:
    link = RecordingKernelClient(world := EngineHarness())
    first, _ = link.establish()
    receive_messages(first, BOOTED)
    link.set_address(("127.0.0.1", 2))
    world.core.runs._kernel = link.session
    world.submit("a", 1)  # the old connection is used until the new one is established
    world.turn()
    assert b"SCHED" in first.transport.value() and not first.transport.disconnecting
    link.set_address(("127.0.0.1", 3))  # The address changes while the client connects.
    second, _ = link.establish()
    assert first.transport.disconnecting and link.dialled[1:] == [("127.0.0.1", 2), ("127.0.0.1", 3)]
    first.connectionLost()
    assert link.connection is second
    second.connectionLost()
    link.set_address(("127.0.0.1", 4))  # The address changes while the client waits to reconnect.
    world.wait(1_000)
    assert link.dialled[3:] == [("127.0.0.1", 4)]


class DialerOwner:
    """The part of `PeerOwner` that a dialer uses."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.closed = False
        self.core = self
        self.clock = SimpleNamespace(now=0)

    def start_turn(self) -> None:
        self.clock.now = round(self.reactor.seconds() * 1e6)

    def connect_failed(self, seat: str, refused: bool) -> None: ...


def test_a_lost_connection_to_another_runner_is_remade_at_once_and_then_with_a_delay() -> None:
    """The other side closes the connection repeatedly: the runner must not reconnect in a busy loop."""
    owner = DialerOwner()
    dialer = PeerDialer(owner, "n1", ("127.0.0.1", 1))  # type: ignore[arg-type]
    dialer.send("first")  # type: ignore[arg-type]
    dialled = owner.reactor.tcpClients
    assert len(dialled) == 1
    dialer._connecting = False  # the connection was established
    dialer.disconnected()  # and closed by the other side
    assert len(dialled) == 2
    dialer._connecting = False
    owner.start_turn()
    dialer.disconnected()  # After the second loss, the dialer waits before it connects.
    assert len(dialled) == 2
    owner.reactor.advance(1.1)
    assert len(dialled) == 3


def test_a_silent_kernel_connection_is_replaced_and_used_until_then() -> None:
    """The connection to the kernel is dead or slow: nothing arrives on it, not even answers to `SYSINFO`.

    It is replaced. Messages that arrive on it before the new connection is established are still handled.
    """
    link = RecordingKernelClient(world := EngineHarness())
    world.core.runs._kernel = link.session
    silent, transport = link.establish()
    receive_messages(silent, BOOTED)
    world.wait(MAX_SILENCE_US / 1000)
    assert [json.loads(message)["t"] for message in transport.value().splitlines()].count(
        "SYSINFO"
    ) >= 2 and len(link.dialled) == 1
    world.wait(CONFIRM_AFTER_US / 1000 + 10)
    assert len(link.dialled) == 2 and not transport.disconnecting
    world.submit("a", 1)
    world.turn()
    assert b'"SCHED"' in transport.value()
    receive_messages(silent, {"t": "REAP", "no": 1, "rid": "a", "status": "PASS", "time_ms": 1, "b64": ""})
    assert world.verdicts() == [(1, Verdict.SERVED)]
    _, replacement = link.establish()
    assert json.loads(replacement.value())["no"] == 1 and transport.disconnecting


def test_a_kernel_connection_with_unread_input_is_kept_after_a_pause_of_this_process() -> None:
    """This process was paused: the kernel only seems silent, as its messages wait in the socket's buffer."""
    link = RecordingKernelClient(world := EngineHarness())
    connection, _ = link.establish()
    receive_messages(connection, BOOTED)
    world.now_ns += 10_000_000_000
    world.core.fire_timers()  # The event loop runs due timers before it reads from sockets.
    world.turn()
    receive_messages(connection, {"t": "INFO", "mark": "g", "v": [0.5]})
    world.wait(CONFIRM_AFTER_US / 1000 + 10)
    assert len(link.dialled) == 1


def test_a_kernel_that_boots_slowly_is_not_treated_as_silent() -> None:
    link = RecordingKernelClient(world := EngineHarness())
    connection, _ = link.establish()
    world.wait(20_000)
    assert len(link.dialled) == 1
    receive_messages(connection, BOOTED)
    connection.connectionLost()
    world.wait(50)
    link.establish()
    world.wait((MAX_SILENCE_US + CONFIRM_AFTER_US) / 1000 + 1_000)
    assert len(link.dialled) == 3  # after the first boot, a silent connection is treated as dead


@pytest.mark.parametrize(
    "line",
    [
        b'{"t":"BOOTED","status":"LOADED","time_ms":"soon"}',
        b'{"t":"BOOTED","status":"LOADED","time_ms":NaN}',
        b'{"t":"INFO","mark":"g","v":5}',
        b'{"t":"INFO","mark":"g","v":["x"]}',
        b'{"t":"INFO","mark":"g","v":[null]}',
        b'{"t":"REAP","no":1,"rid":"a","status":[],"b64":""}',
        b'{"t":"IOREQ","no":true,"rid":"a","b64":""}',
        b"[]",
        b"null",
    ],
)
def test_a_malformed_message_closes_the_connection_without_an_exception_and_the_next_one_reads_on(
    line: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """The kernel sends JSON that is not a valid message: no exception is logged, and the runner reconnects."""
    link = RecordingKernelClient(world := EngineHarness())
    connection, transport = link.establish()
    if b"BOOTED" not in line:
        receive_messages(connection, BOOTED)
    receive(connection, line + b"\n")
    world.wait(50)
    assert transport.aborted and len(link.dialled) == 2
    receive_messages(link.establish()[0], BOOTED)
    assert not any(record.exc_info for record in caplog.records)
