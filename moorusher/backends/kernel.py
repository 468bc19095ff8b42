"""The connection to the kernel: reconnects with backoff, and replacement of silent connections."""

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
BASE_BACKOFF_US = 20 * MS  # Doubled with each attempt.
MAX_BACKOFF_US = 400 * MS
MAX_UNREADABLE_RECONNECTS = 3  # Reconnects because of the same unreadable line, before the line is skipped.


class KernelClient(ClientFactory):
    """Keeps one connection to the kernel, and replaces it if it breaks, falls silent or the address changes.

    Attributes:
        connection: The current connection, None if there is none. It stays in use until its replacement is
            established, and is ignored after that.
        session: The state that is kept across connections. Commands are sent through it.
        message_received: Handler for messages of the current connection.
    """

    noisy = False

    def __init__(self, reactor: Any, address: Address) -> None:
        """Create a client that connects when `start` is called."""
        self._reactor = reactor
        self._address = address
        self.session = KernelSession(self._kernel_booted)
        self.message_received: Callable[[KernelMessage], None] = self.session.message_received
        self.connection: KernelProtocol | None = None
        self._connected_at = 0
        self._connector: Any = None  # Of the latest attempt. Failures of earlier attempts are ignored.
        self._backoff_us = BASE_BACKOFF_US
        self._reconnect_alarm: Alarm | None = None
        self._silence_detection = SilenceDetection()
        self._silence_alarm: Alarm | None = None
        self._unreadable_lines = 0  # Consecutive unreadable lines after the same notice.
        self._unreadable_after_notice = 0  # Number of that notice.
        # Whether a line of this connection was skipped. That line may have been BOOTED.
        self._skipped_line = False
        self._is_closing = False

    @property
    def core(self) -> RequestEngine:
        """The request engine. Set by the owner, since engine and client refer to each other."""
        return self.session.core

    @core.setter
    def core(self, core: RequestEngine) -> None:
        """Set the request engine."""
        self.session.core = core

    # ---- called by the owner ----

    def start(self) -> None:
        """Start connecting."""
        self._reconnect_alarm = None
        self._connector = self._reactor.connectTCP(*self._address, self, timeout=CONNECT_TIMEOUT_S)

    def set_address(self, address: Address) -> None:
        """Connect to a new address of the kernel.

        The connection to the old address stays in use until the new one is established: the kernel accepts nothing
        new there, but still handles open runs for a while.
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
        """Close the connection without reconnecting."""
        self._is_closing = True
        if self.connection is not None:
            self.connection.transport.loseConnection()

    # ---- connecting ----

    def _reconnect_now(self) -> None:
        if self._reconnect_alarm is not None:
            self._reconnect_alarm.cancel()
        self.start()

    def _reconnect_later(self) -> None:
        if self._is_closing or self._connector is not None:
            return  # The client is closing, or an attempt is already in progress.
        self.core.start_turn()
        if self._reconnect_alarm is not None:
            self._reconnect_alarm.cancel()
        at = self.core.clock.now + self._backoff_us
        self._reconnect_alarm = self.core.alarms.at(at, self.start)
        self._backoff_us = min(MAX_BACKOFF_US, self._backoff_us * 2)

    def buildProtocol(self, addr: object) -> KernelProtocol:
        """Return the protocol of a new connection."""
        return KernelProtocol(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Retry after a backoff."""
        if connector is self._connector:
            self._connector = None
            self._reconnect_later()

    # ---- called by the protocol ----

    def connection_made(self, connection: KernelProtocol) -> None:
        """Use a new connection, and close the one that it replaces."""
        self.core.start_turn()
        previous = self.connection
        self.connection = connection
        self._connected_at = self.core.clock.now
        self._connector = None
        if previous is not None:
            self.core.kernel_status.link_lost()  # until the kernel answers on the new connection
        self.session.connection_replaced()
        self._start_silence_checks()
        if previous is not None:
            previous.transport.loseConnection()  # after pending writes
        if self._is_closing:
            connection.transport.loseConnection()
        else:
            self.session.open(connection)

    def connection_lost(self, connection: KernelProtocol, reason: str) -> None:
        """Reconnect, unless the connection was already replaced."""
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

    def _kernel_booted(self, booted: Booted) -> None:
        self._backoff_us = BASE_BACKOFF_US
        state = "cold" if booted.is_empty else "warm"
        log.info(
            "kernel up: address=%s:%d state=%s started_ms_ago=%.0f", *self._address, state, booted.age_ms
        )

    def line_too_long(self) -> None:
        """Count a line that is too long. The protocol aborts its connection."""
        self.core.counters.add("kernel link: " + EndReason.LINE_TOO_LONG.value)

    def line_unreadable(self, connection: KernelProtocol, line: bytes) -> None:
        """Reconnect, so that the kernel sends the notices after the last valid one again.

        A line that is still unreadable after `MAX_UNREADABLE_RECONNECTS` reconnects is skipped.
        """
        log.error("kernel message unreadable: line=%r", line[:MAX_LOGGED_BYTES])
        self.core.start_turn()
        self.core.counters.add("kernel lines unread")
        last_notice = self.session.last_notice
        if self._unreadable_after_notice != last_notice:
            self._unreadable_lines = 0
        self._unreadable_lines += 1
        self._unreadable_after_notice = last_notice
        if self._unreadable_lines <= MAX_UNREADABLE_RECONNECTS:
            connection.transport.abortConnection()
            self.connection_lost(connection, "unreadable message")
        else:
            self._skipped_line = True

    def data_received(self, connection: KernelProtocol) -> None:
        """Record that the connection is alive."""
        if connection is self.connection:
            self.core.start_turn()
            self._silence_detection.data_received(self.core.clock.now)

    # ---- silence ----

    def _start_silence_checks(self) -> None:
        self._skipped_line = False
        self._silence_detection.restart(self.core.clock.now)
        if self._silence_alarm is not None:
            self._silence_alarm.cancel()
        self._silence_alarm = self.core.alarms.at(self.core.clock.now + PROBE_AFTER_US, self._check_silence)

    def _check_silence(self) -> None:
        self._silence_alarm = None
        if self.connection is None or self._is_closing:
            return
        now = self.core.clock.now
        # A kernel that has never answered may still be starting, and is silent until it is up.
        may_be_starting = self.session.state is SessionState.OPENING and not (
            self.session.was_up or self._skipped_line
        )
        verdict = self._silence_detection.check(now, not may_be_starting, self._connector is None)
        if verdict is SilenceVerdict.REPLACE:
            silent_ms = self._silence_detection.silent_for(now) // MS
            log.warning("kernel connection is silent, connecting again: silent_ms=%d", silent_ms)
            self.core.counters.add("kernel link: " + EndReason.READ_TIMEOUT.value)
            self._reconnect_now()  # The silent connection stays in use until the new one is established.
        elif verdict is SilenceVerdict.PROBE:
            self.session.request_gauges()
        self._silence_alarm = self.core.alarms.at(
            now + self._silence_detection.next_check_after(), self._check_silence
        )
