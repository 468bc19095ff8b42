"""Links without sockets: what comes more than once, too late, or from an address that is no longer in force."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from moorusher.backends.database import MAX_IDLE_US, SETTLE_US, DatabasePool
from moorusher.backends.kernel import MAX_UNREADABLE, KernelClient
from moorusher.backends.kernel_protocol import KernelProtocol
from moorusher.backends.silence_detection import CONFIRM_AFTER_US, MAX_SILENCE_US
from moorusher.cluster_transport.peers import PeerDialer
from moorusher.core.answer import Verdict
from moorusher.core.call import CallRequest
from moorusher.core.outcomes import EndReason
from moorusher.scheduling.interface import Downstream, Effect

from .test_core import World
from .test_fronts import Transport

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"


def asked(number: int, effect: Effect = Effect.IDEMPOTENT) -> CallRequest:
    token = f"t.{number}" if effect is Effect.IDEMPOTENT_WITH_KEY else None
    return CallRequest(f"r{number}", "read", None, effect, token, b"q", 500)


class Pool(DatabasePool):
    """Connections come up when the test says so; what became of calls is written down."""

    def __init__(self, world: World) -> None:
        super().__init__(self, ("127.0.0.1", 1))
        self.core, self.dialled, self.ends = world.core, list[Any](), list[tuple[int, EndReason]]()

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        self.dialled.append(factory)

    def up(self) -> tuple[Any, Transport]:
        connection, transport = self.dialled[-1].buildProtocol(None), Transport()
        connection.makeConnection(transport)
        return connection, transport

    def call_ended(self, number: int, ending: EndReason, body: bytes) -> None:
        self.ends.append((number, ending))
        super().call_ended(number, ending, body)


@pytest.mark.parametrize("more, closed", [(b"", False), (b"z", True), (REPLY, True), (b"\r\n", True)])
@pytest.mark.parametrize("later", [False, True])
def test_a_connection_that_got_more_than_its_reply_is_never_used_again(
    more: bytes, closed: bool, later: bool
) -> None:
    pool = Pool(world := World())
    pool.call(1, asked(1))
    connection, transport = pool.up()
    for part in (REPLY, more) if later else (REPLY + more,):
        connection.dataReceived(part)
    assert pool.ends == [(1, EndReason.CALL_ANSWERED)] and transport.aborted is closed
    pool.call(2, asked(2))  # at once: whatever else may follow the reply could still be on its way
    world.wait(SETTLE_US / 1000 + 5)
    pool.call(3, asked(3))
    assert len(pool.dialled) == 2 + closed and (b"Request-Ref: r3" in transport.value()) is not closed


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT_WITH_KEY, Effect.NOT_IDEMPOTENT])
def test_a_call_on_a_connection_that_was_forgotten_is_made_on_a_fresh_one(effect: Effect) -> None:
    pool = Pool(world := World())
    pool.call(1, asked(1))
    connection, _ = pool.up()
    connection.dataReceived(REPLY)
    world.wait(100)
    pool.call(2, asked(2, effect))  # fresh at once, since a reset would prove nothing
    assert len(pool.dialled) == 2
    pool.up()[0].connectionLost()
    pool.call(3, asked(3))
    assert len(pool.dialled) == 2
    connection.connectionLost()
    assert len(pool.dialled) == 3
    pool.up()[0].connectionLost()  # a fresh one that breaks is no such case
    assert (
        pool.ends[1:] == [(2, EndReason.CALL_CONNECTION_LOST), (3, EndReason.CALL_CONNECTION_LOST)]
        and len(pool.dialled) == 3
    )


def test_calls_go_to_the_address_that_is_in_force() -> None:
    pool = Pool(world := World())
    pool.call(1, asked(1))
    connection, transport = pool.up()
    connection.dataReceived(REPLY)
    pool.call(2, asked(2))
    busy, busy_transport = pool.up()
    pool.move(("127.0.0.1", 2))
    assert transport.disconnecting and not busy_transport.disconnecting
    busy.dataReceived(REPLY)  # may end at the old one, but nothing new goes there
    assert pool.ends[-1] == (2, EndReason.CALL_ANSWERED) and busy_transport.disconnecting
    world.wait(100)
    pool.call(3, asked(3))
    assert len(pool.dialled) == 3 and pool.dialled[-1].address == ("127.0.0.1", 2)


def test_a_call_beyond_the_descriptors_was_never_made_and_finds_room_later() -> None:
    pool = Pool(World())
    pool.max_busy = 2
    for number in (1, 2, 3):
        pool.call(number, asked(number))
    assert pool.ends == [(3, EndReason.CALL_NOT_CONNECTED)] and len(pool.dialled) == 2
    connection, _ = pool.up()
    pool.call(4, asked(4))
    assert pool.ends[1:] == [(4, EndReason.CALL_NOT_CONNECTED)], "the call that is out counts as the dial did"
    connection.dataReceived(REPLY)
    pool.call(5, asked(5))
    assert len(pool.dialled) == 3 and pool.ends[2:] == [(2, EndReason.CALL_ANSWERED)]


def test_a_spare_database_connection_is_closed_before_the_other_side_does() -> None:
    pool = Pool(world := World())
    pool.call(1, asked(1))
    connection, transport = pool.up()
    assert b"Request-Ref: r1\r\nStatement-Timeout-Ms: 500\r\nContent-Length: 1\r\n\r\nq" in transport.value()
    connection.dataReceived(REPLY)
    world.wait(SETTLE_US / 1000 + 5)
    pool.call(2, asked(2))  # the same connection again
    assert len(pool.dialled) == 1 and b"Request-Ref: r2" in transport.value()
    connection.dataReceived(REPLY)
    world.wait(MAX_IDLE_US / 1000 - 10)
    assert not transport.disconnecting
    world.wait(20)
    assert transport.disconnecting


class KernelSide(KernelClient):
    """Dials come up when the test says so."""

    def __init__(self, world: World) -> None:
        super().__init__(self, ("127.0.0.1", 1))
        self.core = world.core
        self.dialled: list[tuple[str, int]] = []
        self.start()

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> Any:
        self.dialled.append((host, port))
        return SimpleNamespace(disconnect=lambda: None)

    def up(self) -> tuple[KernelProtocol, Transport]:
        connection, transport = self.buildProtocol(None), Transport()
        connection.makeConnection(transport)  # type: ignore[no-untyped-call]
        return connection, transport


def feed(connection: KernelProtocol, data: bytes) -> None:
    connection.dataReceived(data)


def say(connection: KernelProtocol, *messages: dict[str, Any]) -> None:
    feed(connection, b"".join(json.dumps(m).encode() + b"\n" for m in messages))


BOOTED: dict[str, Any] = {"t": "BOOTED", "status": "LOADED", "time_ms": 9}
PASS: dict[str, Any] = {"t": "REAP", "rid": "a", "status": "PASS", "time_ms": 1, "b64": "cg=="}


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
def test_a_notice_that_cannot_be_read_is_asked_for_again(line: bytes) -> None:
    link = KernelSide(world := World())
    connection, transport = link.up()
    say(connection, BOOTED)
    world.take("a", 1)
    world.turn()
    feed(connection, line + b"\n")
    assert transport.aborted and link.session.last_notice == 0
    world.wait(50)
    assert len(link.dialled) == 2
    connection, transport = link.up()
    assert transport.value() == b'{"t":"OPEN","no":0}\n'
    say(connection, BOOTED, PASS | {"no": 1}, PASS | {"no": 1}, {"t": "DMESG", "no": 2, "status": "x"})
    assert world.verdicts() == [(1, Verdict.SERVED)] and link.session.last_notice == 2


def test_a_line_that_stays_unreadable_is_passed_over_in_the_end() -> None:
    link = KernelSide(world := World())
    for _ in range(MAX_UNREADABLE + 1):
        connection, transport = link.up()
        feed(connection, b"{\n")
        world.wait(500)
    assert not transport.aborted
    say(connection, BOOTED)
    assert len(link.dialled) == MAX_UNREADABLE + 1


def test_nothing_is_said_between_the_link_and_the_end_of_its_replay_and_then_once() -> None:
    link = KernelSide(world := World(downstream=Downstream.TIER))
    world.core.runs._kernel = link.session
    connection, _ = link.up()
    say(connection, BOOTED)
    world.take("a", 1)
    world.turn()
    world.core.execution.call_needed("a", 1, b"q")
    world.turn()
    connection.connectionLost()
    connection, transport = link.up()
    say(connection, BOOTED)
    transport.clear()
    world.core.execution.call_ended(world.core.table.by_rid["a"].number, EndReason.CALL_ANSWERED, b"reply")
    assert transport.value() == b""
    say(connection, {"t": "INFO", "mark": "replayed", "v": [0.5]})
    said = [json.loads(m) for m in transport.value().splitlines()]
    assert [m["t"] for m in said] == ["IODONE", "SYSINFO"]
    transport.clear()
    connection.connectionLost()  # it may have been read: said again it could be taken for that to a second call
    connection, transport = link.up()
    say(connection, BOOTED, {"t": "INFO", "mark": "replayed", "v": [0.5]})
    assert b"IODONE" not in transport.value()


@pytest.mark.parametrize("shown", [False, True])
def test_what_an_answered_question_shows_to_be_read_is_not_said_again(shown: bool) -> None:
    link = KernelSide(world := World())
    world.core.runs._kernel = link.session
    connection, transport = link.up()
    say(connection, BOOTED)
    world.take("a", 1)
    world.turn()
    link.session.ask_gauges()
    question = json.loads(transport.value().splitlines()[-1])
    assert question["t"] == "SYSINFO"
    if shown:
        say(connection, {"t": "INFO", "mark": question["mark"], "v": [0.5]})
    connection.connectionLost()
    connection, transport = link.up()
    say(connection, BOOTED, {"t": "INFO", "mark": "replayed", "v": [0.5]})
    assert (b"SCHED" in transport.value()) is not shown


@pytest.mark.parametrize("mark", ["g", "gg", "g-1", "g1.5", "g99999", "None", ""])
def test_a_mark_that_was_never_asked_shows_nothing_beyond_what_was_written(mark: str) -> None:
    link = KernelSide(world := World())
    world.core.runs._kernel = link.session
    connection, _ = link.up()
    say(connection, BOOTED, {"t": "INFO", "mark": mark, "v": [0.5]})
    world.take("a", 1)
    world.turn()
    connection.connectionLost()
    connection, transport = link.up()
    say(connection, BOOTED, {"t": "INFO", "mark": "replayed", "v": [0.5]})
    assert b"SCHED" in transport.value()


def test_the_link_moves_whether_it_is_up_dialling_or_waits_to_dial() -> None:
    link = KernelSide(world := World())
    first, _ = link.up()
    say(first, BOOTED)
    link.move(("127.0.0.1", 2))
    world.core.runs._kernel = link.session
    world.take("a", 1)  # the old link serves until the new one is up
    world.turn()
    assert b"SCHED" in first.transport.value() and not first.transport.disconnecting
    link.move(("127.0.0.1", 3))  # while it dials
    second, _ = link.up()
    assert first.transport.disconnecting and link.dialled[1:] == [("127.0.0.1", 2), ("127.0.0.1", 3)]
    first.connectionLost()
    assert link.connection is second
    second.connectionLost()
    link.move(("127.0.0.1", 4))  # while it waits to dial again
    world.wait(1_000)
    assert link.dialled[3:] == [("127.0.0.1", 4)]


class _Link:
    """As much of a fleet's link as a dial asks for."""

    def __init__(self) -> None:
        self.reactor, self.closed, self.core = MemoryReactorClock(), False, self  # type: ignore[no-untyped-call]
        self.clock = SimpleNamespace(now=0)

    def touch(self) -> None:
        self.clock.now = round(self.reactor.seconds() * 1e6)

    def unreached(self, seat: str, refused: bool) -> None: ...


def test_a_link_between_runners_that_is_hung_up_is_dialled_at_once_and_by_itself_again() -> None:
    link = _Link()
    dial = PeerDialer(link, "n1", ("127.0.0.1", 1))  # type: ignore[arg-type]
    dial.send("first")  # type: ignore[arg-type]
    made = link.reactor.tcpClients
    assert len(made) == 1
    dial._connecting = False  # it was made,
    dial.disconnected()  # and a later process has the seat
    assert len(made) == 2
    dial._connecting = False
    link.touch()
    dial.disconnected()  # and again: not at once each time
    assert len(made) == 2
    link.reactor.advance(1.1)
    assert len(made) == 3


def test_a_link_that_goes_quiet_is_replaced_and_serves_until_then() -> None:
    link = KernelSide(world := World())
    world.core.runs._kernel = link.session
    quiet, transport = link.up()
    say(quiet, BOOTED)
    world.wait(MAX_SILENCE_US / 1000)
    assert [json.loads(m)["t"] for m in transport.value().splitlines()].count("SYSINFO") >= 2 and len(
        link.dialled
    ) == 1
    world.wait(CONFIRM_AFTER_US / 1000 + 10)
    assert len(link.dialled) == 2 and not transport.disconnecting
    world.take("a", 1)
    world.turn()
    assert b'"SCHED"' in transport.value()
    say(quiet, {"t": "REAP", "no": 1, "rid": "a", "status": "PASS", "time_ms": 1, "b64": ""})
    assert world.verdicts() == [(1, Verdict.SERVED)]
    _, fresh = link.up()
    assert json.loads(fresh.value())["no"] == 1 and transport.disconnecting


def test_a_link_whose_words_waited_unread_while_this_process_stood_still_is_kept() -> None:
    link = KernelSide(world := World())
    connection, _ = link.up()
    say(connection, BOOTED)
    world.at += 10_000_000_000
    world.core.fire_timers()  # timers come before what is read
    world.turn()
    say(connection, {"t": "INFO", "mark": "g", "v": [0.5]})
    world.wait(CONFIRM_AFTER_US / 1000 + 10)
    assert len(link.dialled) == 1


def test_a_kernel_that_is_late_is_waited_for_in_silence() -> None:
    link = KernelSide(world := World())
    connection, _ = link.up()
    world.wait(20_000)
    assert len(link.dialled) == 1
    say(connection, BOOTED)
    connection.connectionLost()
    world.wait(50)
    link.up()
    world.wait((MAX_SILENCE_US + CONFIRM_AFTER_US) / 1000 + 1_000)
    assert len(link.dialled) == 3  # it is up by now: a link that says nothing is a dead one


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
def test_a_message_that_is_none_is_no_fault_of_ours_and_the_next_link_reads_on(
    line: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    link = KernelSide(world := World())
    connection, transport = link.up()
    if b"BOOTED" not in line:
        say(connection, BOOTED)
    feed(connection, line + b"\n")
    world.wait(50)
    assert transport.aborted and len(link.dialled) == 2
    say(link.up()[0], BOOTED)
    assert not any(record.exc_info for record in caplog.records)
