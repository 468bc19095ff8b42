"""Replies that a database sends twice, over real sockets whose system withholds the second write."""

from __future__ import annotations

import asyncio
import socket
import threading
from collections.abc import Iterator
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import pytest

from moorusher.backends.database import REUSE_DELAY_US, DatabasePool
from moorusher.core.clock import Alarms, Clock
from moorusher.core.outcomes import EndReason
from moorusher.time_units import SECOND

from .stand_ins import HOST, reactor
from .test_links import call_request
from .test_sockets import asynchronous_test

CALLS = 30
BETWEEN_CALLS_S = REUSE_DELAY_US / SECOND + 0.005  # a connection is reused as soon as it may be


def serve(connection: socket.socket, copies_every: int) -> None:
    """Answer each call with its reference, and write every so many replies a second time at once."""
    with connection, suppress(OSError):
        served = 0
        while request := connection.recv(65_536):
            reference = request.split(b"Request-Ref: ")[1].split(b"\r\n")[0]
            reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(reference), reference)
            connection.sendall(reply)
            served += 1
            if served % copies_every == 0:
                connection.sendall(reply)


@pytest.fixture(params=[1, 3])
def database(request: pytest.FixtureRequest) -> Iterator[tuple[str, int]]:
    """A database of plain blocking sockets with the system's default options."""
    listening = socket.create_server((HOST, 0))

    def accept() -> None:
        with suppress(OSError):
            while True:
                connection, _ = listening.accept()
                threading.Thread(target=serve, args=(connection, request.param), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield listening.getsockname()
    listening.close()


class Caller:
    """The owner of a pool (`owner.BackendOwner`), which records the replies."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.alarms = Alarms(self.clock, lambda when: None)
        self.counters: Any = SimpleNamespace(add=lambda name: None)
        self.execution = self
        self.start_turn = self.clock.read
        self.replies: dict[int, asyncio.Future[bytes]] = {}

    def call_ended(self, number: int, reason: EndReason, body: bytes) -> None:
        self.replies[number].set_result(body)


@asynchronous_test
async def test_a_reply_that_comes_twice_is_not_taken_for_the_reply_to_the_next_call(
    database: tuple[str, int],
) -> None:
    """The copy arrived behind the next call on the connection: its request got the data of another tenant's."""
    caller = Caller()
    pool = DatabasePool(reactor(), database)
    pool.core = caller  # type: ignore[assignment]
    foreign = []
    for number in range(1, CALLS + 1):
        caller.start_turn()
        caller.replies[number] = asyncio.get_running_loop().create_future()
        pool.call(number, call_request(number))
        reply = await asyncio.wait_for(caller.replies[number], 5)
        if reply != b"r%d" % number:
            foreign.append((number, reply))
        await asyncio.sleep(BETWEEN_CALLS_S)
    pool.close()
    assert not foreign
