"""Connections to the kernel: dialled, watched, replaced, and dialled again with backoff."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..config.section import Address
from ..core.clock import Alarm
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..time_units import MS
from .kernel_messages import Booted, KernelMessage
from .kernel_protocol import MAX_LOGGED_BYTES, KernelProtocol
from .kernel_session import KernelSession, SessionState
from .silence_detection import PROBE_AFTER_US, SilenceDetection, SilenceVerdict

log = logging.getLogger("moorusher")

CONNECT_TIMEOUT_S = 5
BASE_BACKOFF_US = 20 * MS  # doubled with each attempt
MAX_BACKOFF_US = 400 * MS
MAX_UNREADABLE = 3  # connections given up over the same unreadable line


class KernelClient(ClientFactory):
    """Keeps one connection to the kernel, and replaces it where it breaks, falls silent or the address changes.

    connection: the present one (KernelProtocol), None while there is none. An earlier one may serve until its
        replacement is made; after that it is ignored.
    session: what outlives connections, and takes the commands (KernelSession).
    """

    noisy = False

    def __init__(self, reactor: Any, address: Address) -> None:
        """Nothing is dialled before `start`."""
        self._reactor = reactor
        self._address = address
        self.session = KernelSession(self._booted)
        self.message_received: Callable[[KernelMessage], None] = self.session.message_received
        self.connection: KernelProtocol | None = None
        self._connected_at = 0
        self._connector: Any = None  # of the connection being made: an earlier one that fails says nothing
        self._backoff_us = BASE_BACKOFF_US
        self._reconnect_alarm: Alarm | None = None
        self._silence = SilenceDetection()
        self._silence_alarm: Alarm | None = None
        self._unreadable_lines = 0  # in a row, after the same notice
        self._unreadable_after = 0  # the number of that notice
        self._skipped_line = False  # on this connection; the line may have been BOOTED
        self._is_closing = False

    @property
    def core(self) -> RequestEngine:
        """The request engine; set by the owner, since engine and client need each other."""
        return self.session.core

    @core.setter
    def core(self, core: RequestEngine) -> None:
        self.session.core = core

    # ---- for the owner ----

    def start(self) -> None:
        """Dial."""
        self._reconnect_alarm = None
        self._connector = self._reactor.connectTCP(*self._address, self, timeout=CONNECT_TIMEOUT_S)

    def move(self, address: Address) -> None:
        """The kernel has a new address.

        A connection to the old one serves until the new one is made: the kernel takes nothing new there, but what is
        open is carried for a while.
        """
        if address == self._address or self._is_closing:
            return
        self._address = address
        self._backoff_us = BASE_BACKOFF_US
        connector = self._connector
        self._connector = None
        if connector is not None:
            connector.disconnect()
        self._reconnect_now()

    def close(self) -> None:
        """End the connection, and make no other."""
        self._is_closing = True
        if self.connection is not None:
            self.connection.transport.loseConnection()

    # ---- dialling ----

    def _reconnect_now(self) -> None:
        if self._reconnect_alarm is not None:
            self._reconnect_alarm.cancel()
        self.start()

    def _reconnect_later(self) -> None:
        if self._is_closing or self._connector is not None:
            return  # not wanted, or being made already
        self.core.begin_turn()
        if self._reconnect_alarm is not None:
            self._reconnect_alarm.cancel()
        at = self.core.clock.now + self._backoff_us
        self._reconnect_alarm = self.core.alarms.at(at, self.start)
        self._backoff_us = min(MAX_BACKOFF_US, self._backoff_us * 2)

    def buildProtocol(self, addr: object) -> KernelProtocol:
        """Make the protocol of a connection."""
        return KernelProtocol(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Dial again after a backoff."""
        if connector is self._connector:
            self._connector = None
            self._reconnect_later()

    # ---- from the protocol ----

    def connection_made(self, connection: KernelProtocol) -> None:
        """Replace the connection that there is by a new one."""
        self.core.begin_turn()
        earlier = self.connection
        self.connection = connection
        self._connected_at = self.core.clock.now
        self._connector = None
        if earlier is not None:
            self.core.kernel_status.link_lost()  # until the new one has had its answer
        self.session.connection_replaced()
        self._start_watching()
        if earlier is not None:
            earlier.transport.loseConnection()  # what was written to it goes out first
        if self._is_closing:
            connection.transport.loseConnection()
        else:
            self.session.open(connection)

    def connection_lost(self, connection: KernelProtocol, reason: str) -> None:
        """Dial again, unless the connection was replaced before."""
        if connection is not self.connection:
            return
        self.core.kernel_status.link_lost()
        log.info(
            "kernel connection lost: address=%s:%d after_ms=%d state=%s last_notice=%d "
            "unconfirmed_commands=%d reason=%s",
            *self._address,
            (self.core.clock.now - self._connected_at) // MS,
            self.session.state.value,
            self.session.last_notice,
            self.session.unconfirmed_commands,
            reason,
        )
        self.connection = None
        self.session.connection_lost()
        self.core.counters.add("kernel link: " + EndReason.CONNECTION_LOST.value)
        self._reconnect_later()

    def _booted(self, booted: Booted) -> None:
        self._backoff_us = BASE_BACKOFF_US
        state = "cold" if booted.is_empty else "warm"
        log.info(
            "kernel up: address=%s:%d state=%s started_ms_ago=%.0f", *self._address, state, booted.age_ms
        )

    def line_too_long(self) -> None:
        """Count a line beyond the bound; its connection is dropped."""
        self.core.counters.add("kernel link: " + EndReason.LINE_TOO_LONG.value)

    def line_unreadable(self, connection: KernelProtocol, line: bytes) -> None:
        """Read on from the last notice over a new connection; a line that stays unreadable is skipped in the end."""
        log.error("kernel message unreadable: line=%r", line[:MAX_LOGGED_BYTES])
        self.core.begin_turn()
        self.core.counters.add("kernel lines unread")
        last_notice = self.session.last_notice
        if self._unreadable_after != last_notice:
            self._unreadable_lines = 0
        self._unreadable_lines += 1
        self._unreadable_after = last_notice
        if self._unreadable_lines <= MAX_UNREADABLE:
            connection.transport.abortConnection()
            self.connection_lost(connection, "unreadable message")
        else:
            self._skipped_line = True

    def data_received(self, connection: KernelProtocol) -> None:
        """Take note that a connection is alive."""
        if connection is self.connection:
            self.core.begin_turn()
            self._silence.data_received(self.core.clock.now)

    # ---- silence ----

    def _start_watching(self) -> None:
        self._skipped_line = False
        self._silence.restart(self.core.clock.now)
        if self._silence_alarm is not None:
            self._silence_alarm.cancel()
        self._silence_alarm = self.core.alarms.at(self.core.clock.now + PROBE_AFTER_US, self._check_silence)

    def _check_silence(self) -> None:
        self._silence_alarm = None
        if self.connection is None or self._is_closing:
            return
        now = self.core.clock.now
        # A kernel that was never up may start late, and is silent until then.
        waits_for_start = self.session.state is SessionState.OPENING and not (
            self.session.was_up or self._skipped_line
        )
        verdict = self._silence.check(now, not waits_for_start, self._connector is None)
        if verdict is SilenceVerdict.REPLACE:
            silent_ms = self._silence.silent_for(now) // MS
            log.warning("kernel connection silent, dialling another: silent_ms=%d", silent_ms)
            self.core.counters.add("kernel link: " + EndReason.READ_TIMEOUT.value)
            self._reconnect_now()  # the silent one serves until the new one is made
        elif verdict is SilenceVerdict.PROBE:
            self.session.ask_gauges()
        self._silence_alarm = self.core.alarms.at(now + self._silence.next_check_after(), self._check_silence)
