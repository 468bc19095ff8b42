"""Links without sockets: what comes more than once, too late, or from an address that is no longer in force."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.core.call import Asked
from moorusher.core.endings import Ending
from moorusher.links.database import IDLE, SETTLE, DatabasePool

from .test_core import World
from .test_fronts import Transport

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"


def asked(number: int, token: str | None = None) -> Asked:
    return Asked(f"r{number}", "read", None, token, b"q", 500)


class Pool(DatabasePool):
    """Connections come up when the test says so; what became of calls is written down."""

    def __init__(self, world: World) -> None:
        super().__init__(self, ("127.0.0.1", 1))
        self.core, self.dialled, self.ends = world.core, list[Any](), list[tuple[int, Ending]]()

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        self.dialled.append(factory)

    def up(self) -> tuple[Any, Transport]:
        connection, transport = self.dialled[-1].buildProtocol(None), Transport()
        connection.makeConnection(transport)
        return connection, transport

    def over(self, number: int, ending: Ending, body: bytes) -> None:
        self.ends.append((number, ending))
        super().over(number, ending, body)


@pytest.mark.parametrize("more, closed", [(b"", False), (b"z", True), (REPLY, True), (b"\r\n", True)])
@pytest.mark.parametrize("later", [False, True])
def test_a_connection_that_got_more_than_its_reply_is_never_used_again(more: bytes, closed: bool, later: bool) -> None:
    pool = Pool(world := World())
    pool.call(1, asked(1))
    connection, transport = pool.up()
    for part in (REPLY, more) if later else (REPLY + more,):
        connection.dataReceived(part)
    assert pool.ends == [(1, Ending.CALL_ANSWERED)] and transport.aborted is closed
    pool.call(2, asked(2))  # at once: whatever else may follow the reply could still be on its way
    world.wait(SETTLE / 1000 + 5)
    pool.call(3, asked(3))
    assert len(pool.dialled) == 2 + closed and (b"Request-Ref: r3" in transport.value()) is not closed


def test_a_call_on_a_connection_that_was_forgotten_is_made_on_a_fresh_one() -> None:
    pool = Pool(world := World())
    pool.call(1, asked(1))
    connection, _ = pool.up()
    connection.dataReceived(REPLY)
    world.wait(100)
    pool.call(2, asked(2, "t.1"))  # keyed: fresh at once, since a reset would prove nothing
    assert len(pool.dialled) == 2
    pool.up()[0].connectionLost()
    pool.call(3, asked(3))
    assert len(pool.dialled) == 2
    connection.connectionLost()
    assert len(pool.dialled) == 3
    pool.up()[0].connectionLost()  # a fresh one that breaks is no such case
    assert pool.ends[1:] == [(2, Ending.CALL_CUT_OFF), (3, Ending.CALL_CUT_OFF)] and len(pool.dialled) == 3


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
    assert pool.ends[-1] == (2, Ending.CALL_ANSWERED) and busy_transport.disconnecting
    world.wait(100)
    pool.call(3, asked(3))
    assert len(pool.dialled) == 3 and pool.dialled[-1].address == ("127.0.0.1", 2)


def test_a_spare_database_connection_is_closed_before_the_other_side_does() -> None:
    pool = Pool(world := World())
    pool.call(1, asked(1))
    connection, transport = pool.up()
    assert b"Request-Ref: r1\r\nStatement-Timeout-Ms: 500\r\nContent-Length: 1\r\n\r\nq" in transport.value()
    connection.dataReceived(REPLY)
    world.wait(SETTLE / 1000 + 5)
    pool.call(2, asked(2))  # the same connection again
    assert len(pool.dialled) == 1 and b"Request-Ref: r2" in transport.value()
    connection.dataReceived(REPLY)
    world.wait(IDLE / 1000 - 10)
    assert not transport.disconnecting
    world.wait(20)
    assert transport.disconnecting
