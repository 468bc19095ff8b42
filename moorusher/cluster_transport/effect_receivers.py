"""What duties do outside: one HTTP exchange for each effect, with the fence or the intent in its body.

    POST /fenced  {"duty", "fence": [born, term, number], "body"}   200 {"verdict": "new" or "again"}
                                                                   409 {"highest": [born, term, number]}
    POST /intent  {"duty", "number", "term", "what"}                200 {"done": true or false}
    POST /asked   {"duty", "number"}                                200 {"done": true or false}: from then on never

Bodies are base64. What is not heard within a second may have arrived all the same.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..backends.http_client import HttpClient
from ..config.section import parse_address
from ..core.clock import MS, Alarm
from ..core.request_engine import RequestEngine
from ..leadership.effects import Told
from ..leadership.fencing_token import Fence
from ..leadership.lease_record import Intent

log = logging.getLogger("moorusher")

WITHIN = 1_000 * MS
MOST_OPEN = 256  # exchanges at a time; further ones count as not heard


class Answer(msgspec.Struct):
    """What a receiver has said, as it came."""

    verdict: str = ""
    done: bool = False
    highest: tuple[int, int, int] | None = None


class _Exchange(HttpClient):
    def __init__(self, post: Post) -> None:
        super().__init__()
        self._post = post

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.asked()
        self.transport.write(
            b"POST %s HTTP/1.1\r\nHost: receiver\r\nContent-Type: application/json\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n%s"
            % (self._post.path, len(self._post.body), self._post.body)
        )

    def replied(self, status: int, headers: dict[bytes, bytes], body: bytes, keep: bool) -> None:
        self.transport.loseConnection()
        try:
            answer = msgspec.json.decode(body, type=Answer)
        except (msgspec.MsgspecError, RecursionError):
            return self._post.over(Told(False))
        if status == 409 and answer.highest is not None:
            return self._post.over(Told(True, highest=Fence(*answer.highest)))
        return self._post.over(Told(status == 200, answer.done or answer.verdict in ("new", "again"), body))

    def garbled(self, why: str) -> None:
        log.warning("duties: a receiver: %s", why)
        self.transport.abortConnection()

    def stray(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self._post.over(Told(False))


class Post(ClientFactory):
    """One exchange with a receiver, given up after a second."""

    noisy = False

    def __init__(self, link: Receivers, path: bytes, body: bytes, then: Callable[[Told], None]) -> None:
        self._link, self.path, self.body = link, path, body
        self._then: Callable[[Told], None] | None = then
        self._made: _Exchange | None = None
        core = link.core
        self._late: Alarm = core.alarms.at(core.clock.now + WITHIN, self._give_up)

    def buildProtocol(self, addr: object) -> _Exchange:
        self._made = _Exchange(self)
        return self._made

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.over(Told(False))

    def _give_up(self) -> None:
        if self._made is not None and self._made.transport is not None:
            self._made.transport.abortConnection()
        self.over(Told(False))

    def over(self, told: Told) -> None:
        then, self._then = self._then, None
        if then is not None:
            self._late.cancel()
            self._link.open -= 1
            self._link.core.begin_turn()
            then(told)


class Receivers:
    """All exchanges of this runner with receivers outside."""

    def __init__(self, reactor: Any, core: RequestEngine) -> None:
        self.reactor, self.core, self.open = reactor, core, 0

    def _send(self, to: str, path: bytes, body: dict[str, Any], then: Callable[[Told], None]) -> None:
        if self.open >= MOST_OPEN:
            core = self.core
            core.alarms.at(core.clock.now, lambda: then(Told(False)))
            return
        self.open += 1
        self.reactor.connectTCP(
            *parse_address(to, "receiver"), Post(self, path, msgspec.json.encode(body), then), timeout=1
        )

    def perform(self, to: str, duty: str, fence: Fence, body: bytes, then: Callable[[Told], None]) -> None:
        self._send(to, b"/fenced", {"duty": duty, "fence": fence, "body": body}, then)

    def intend(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None:
        self._send(
            to,
            b"/intent",
            {"duty": duty, "number": intent.number, "term": intent.term, "what": intent.what},
            then,
        )

    def asked(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None:
        self._send(to, b"/asked", {"duty": duty, "number": intent.number}, then)
