"""The link to the kernel: JSON, a message a line. It is kept open, and reads on where a broken one ended."""

from __future__ import annotations

import binascii
import json
import logging
from enum import Enum
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from ..config.section import Address
from ..core.clock import MS, SECOND, Alarm
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..core.run import NOT_WRITTEN
from .kernel_messages import (
    Booted,
    CallNeeded,
    CommandRefused,
    Gauges,
    KernelMessage,
    Notice,
    RunOver,
    UnreadableMessage,
    read_message,
)

log = logging.getLogger("moorusher")

RETRY, RETRY_MOST = 20 * MS, 400 * MS
MOST_UNREAD = 3  # links given up over the same unreadable line
SYNC = "replayed"
READ = "g"  # begins the mark of a question for the gauges; how many commands were written before it follows
ASK_EVERY = SECOND  # a link without a byte for so long is asked for the gauges,
QUIET = 3 * SECOND  # and given up where it has not said anything for so long
SURE = 250 * MS  # until it is looked at once more: after a pause of ours, its words wait unread


class LinkState(Enum):
    """How far the link to the kernel has come."""

    DOWN = "down"
    OPENING = "opening"  # OPEN has been said; BOOTED waits until the kernel is up
    REPLAYING = "replaying"  # notices after the last one read are coming; commands wait for their end
    UP = "up"


class KernelConnection(LineOnlyReceiver):
    """One connection to the kernel: lines in, commands out."""

    transport: Any  # zope's interfaces mean nothing to mypy
    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def __init__(self, link: KernelLink) -> None:
        self.link = link

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.link.opened(self)

    def say(self, message: dict[str, object]) -> None:
        self.transport.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:
        self.link.heard(self)
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        if self.link.connection is not self:
            return  # a newer link has taken over
        try:
            message = read_message(line)
        except UnreadableMessage:
            return self.link.unreadable(self, line)
        try:
            self.link.read(message)
        except Exception:  # a fault of ours over one notice must not end the program
            log.exception("the kernel sent %r", line[:200])

    def lineLengthExceeded(self, line: bytes) -> None:
        self.link.core.counters.add("kernel link: " + EndReason.LINE_TOO_LONG.value)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.link.lost(self, reason.getErrorMessage() if reason is not None else "")


class KernelLink(ClientFactory):
    """Holds what outlives a connection: the number of the last notice. Commands for a link that is down are
    dropped; `Runs` says them again once the replay has been read."""

    noisy = False

    def __init__(self, reactor: Any, address: Address) -> None:
        self._reactor, self._address = reactor, address
        self.core: RequestEngine  # set by the owner: core and link need each other
        self.connection: KernelConnection | None = None
        self.last = 0
        self._unread = self._unread_after = 0
        self._written = NOT_WRITTEN  # commands, over all links
        self._read = NOT_WRITTEN  # of them, as far as the kernel has shown that it has read them
        self._made = 0  # when the connection was made
        self._state = LinkState.DOWN
        self._was_up = False
        self._heard = 0  # when the last bytes came
        self._doubted = False  # it was quiet for too long when it was last looked at
        self._passed_over = False  # a line of this link, which may have been BOOTED
        self._look: Alarm | None = None  # the next one
        self._pause = RETRY
        self._closing = False
        self._dialling: Any = None  # the connector under way: an older one that fails says nothing
        self._alarm: Alarm | None = None  # of the next try

    def start(self) -> None:
        self._alarm = None
        self._dialling = self._reactor.connectTCP(*self._address, self, timeout=5)

    def move(self, address: Address) -> None:
        """The kernel has a new address. A link to the old one serves until the new one is up: it takes nothing
        new there, but what is open is carried for a while."""
        if address == self._address or self._closing:
            return
        self._address, self._pause = address, RETRY
        dialling, self._dialling = self._dialling, None
        if dialling is not None:
            dialling.disconnect()
        self._redial()

    def close(self) -> None:
        self._closing = True
        if self.connection is not None:
            self.connection.transport.loseConnection()

    def buildProtocol(self, addr: object) -> KernelConnection:
        return KernelConnection(self)

    def opened(self, connection: KernelConnection) -> None:
        self.core.begin_turn()
        before, self.connection = self.connection, connection
        self._made = self.core.clock.now
        if before is not None:
            self.core.kernel_status.link_lost()  # until the new one has had its answer
        self._dialling, self._state = None, LinkState.OPENING
        self._watch()
        if before is not None:
            before.transport.loseConnection()  # what was said on it goes out first
        if self._closing:
            connection.transport.loseConnection()
        else:
            connection.say({"t": "OPEN", "no": self.last})  # before anything else

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        if connector is self._dialling:
            self._dialling = None
            self._again()

    def lost(self, connection: KernelConnection, why: str = "") -> None:
        if connection is self.connection:
            self.core.kernel_status.link_lost()
            log.info(
                "kernel link to %s:%d lost after %d ms, %s: last notice %d, %d commands not known to be read%s",
                *self._address,
                (self.core.clock.now - self._made) // MS,
                self._state.value,
                self.last,
                self._written - self._read,
                why and f" ({why})",
            )
            self.connection, self._state = None, LinkState.DOWN
            self.core.counters.add("kernel link: " + EndReason.CONNECTION_LOST.value)
            self._again()

    def _again(self) -> None:
        if not self._closing and self._dialling is None:  # else a new link is on its way already
            self.core.begin_turn()
            if self._alarm is not None:
                self._alarm.cancel()
            self._alarm = self.core.alarms.at(self.core.clock.now + self._pause, self.start)
            self._pause = min(RETRY_MOST, self._pause * 2)

    # ---- a link that goes quiet ----

    def heard(self, connection: KernelConnection) -> None:
        """Bytes have come, whatever they say."""
        if connection is self.connection:
            self.core.begin_turn()
            self._heard, self._doubted = self.core.clock.now, False

    def _watch(self) -> None:
        self._heard, self._doubted, self._passed_over = self.core.clock.now, False, False
        if self._look is not None:
            self._look.cancel()
        self._look = self.core.alarms.at(self.core.clock.now + ASK_EVERY, self._look_after)

    def _look_after(self) -> None:
        """A connection may die without a word: then nothing is heard on it, and nothing said on it arrives."""
        self._look = None
        if self.connection is None or self._closing:
            return
        quiet = self.core.clock.now - self._heard
        waits_for_start = self._state is LinkState.OPENING and not (self._was_up or self._passed_over)
        doubtful = quiet >= QUIET and not waits_for_start
        if doubtful and self._doubted and self._dialling is None:
            log.warning(
                "the link to the kernel has been quiet for %.1f s: a new one is dialled", quiet / SECOND
            )
            self.core.counters.add("kernel link: " + EndReason.READ_TIMEOUT.value)
            self._redial()  # the quiet one serves until the new one is up
        elif quiet >= ASK_EVERY:
            self.ask_gauges()
        self._doubted = doubtful
        wait = SURE if doubtful else ASK_EVERY
        self._look = self.core.alarms.at(self.core.clock.now + wait, self._look_after)

    def _redial(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self.start()

    # ---- notices ----

    def unreadable(self, connection: KernelConnection, line: bytes) -> None:
        """Read on from the last whole notice, on a new link. Where that gives the same again, it is passed over."""
        log.error("the kernel sent what can't be read: %r", line[:200])
        self.core.begin_turn()
        self.core.counters.add("kernel lines unread")
        self._unread = self._unread + 1 if self._unread_after == self.last else 1
        self._unread_after = self.last
        if self._unread <= MOST_UNREAD:
            connection.transport.abortConnection()
            self.lost(connection)
        else:
            self._passed_over = True

    def read(self, message: KernelMessage) -> None:
        """One whole message of the link that is in force."""
        if isinstance(message, Notice):
            self._noticed(message)
        elif isinstance(message, Gauges):
            if message.mark == SYNC:
                self._state = LinkState.UP
                self.core.execution.reconnected(self._read)
            elif message.mark.startswith(READ) and message.mark[len(READ) :].isdecimal():
                self._read = max(self._read, min(int(message.mark[len(READ) :]), self._written))
            self.core.kernel_status.gauges_received(message.values)
        elif isinstance(message, Booted):
            self._booted(message)
        elif isinstance(message, CommandRefused):
            self.core.execution.command_rejected(message.command, message.rid)
        else:
            log.warning("the kernel sent an unknown message %r", message.kind)

    def _noticed(self, notice: Notice) -> None:
        if notice.number <= self.last:
            return  # replayed or written twice, and read before
        self.last = notice.number
        if isinstance(notice, CallNeeded):
            self.core.execution.call_needed(notice.rid, notice.number, notice.body)
        elif isinstance(notice, RunOver):
            self.core.execution.run_ended(notice.rid, notice.ending, notice.body)

    def _booted(self, booted: Booted) -> None:
        self._pause = RETRY
        state = "cold" if booted.cold else "warm"
        log.info("kernel up at %s:%d: %s, started %.0f ms ago", *self._address, state, booted.age_ms)
        if self._was_up and self.connection is not None:
            # The answer to this comes after the replay: only then is it known what to say again. Nothing is said
            # before: `Runs` would say it twice, and a second reply could be taken for that of a later call.
            self._state = LinkState.REPLAYING
            self.connection.say({"t": "SYSINFO", "mark": SYNC})
        else:
            self._state, self._was_up = LinkState.UP, True
        self.core.kernel_status.link_up()
        self.core.kernel_up(cold=booted.cold, age_ms=booted.age_ms)

    # ---- commands ----

    def _say(self, message: dict[str, object]) -> int:
        """The command's place among all that were written."""
        if self._state is not LinkState.UP or self.connection is None:
            return NOT_WRITTEN
        self._written += 1
        self.connection.say(message)
        return self._written

    def run(self, rid: str, route: str, body: bytes) -> int:
        """Run the request."""
        return self._say({"t": "SCHED", "rid": rid, "route": route, "b64": _b64(body)})

    def stop(self, rid: str) -> int:
        """Stop its run."""
        return self._say({"t": "PREEMPT", "rid": rid})

    def call_done(self, rid: str, body: bytes) -> int:
        """The reply to its call. It must not be said twice: the question behind it shows soon that it was read."""
        written = self._say({"t": "IODONE", "rid": rid, "b64": _b64(body)})
        self.ask_gauges()
        return written

    def call_skipped(self, rid: str, notice: int) -> int:
        """Go on without the call of that notice."""
        return self._say({"t": "NOIO", "rid": rid, "no": notice})

    def ask_gauges(self) -> None:
        """The kernel reads a link in its order: the answer shows that all before the question was read."""
        if self._state is LinkState.UP and self.connection is not None:
            self.connection.say({"t": "SYSINFO", "mark": f"{READ}{self._written}"})


def _b64(body: bytes) -> str:
    return binascii.b2a_base64(body, newline=False).decode()
