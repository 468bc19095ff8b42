"""Drives the hot-restart state machine of this process with events of its connection and its runner."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from typing import Any

from ...core.clock import Alarm
from ...core.request_engine import RequestEngine
from ...hot_restart.process_role import TIMEOUTS_MS, Event, State
from ...time_units import MS
from . import frames
from .handover import Handover, RunnerProcess
from .instruction_executor import InstructionExecutor
from .message_receiver import MessageReceiver
from .peer_connection import PeerConnection
from .rendezvous import Rendezvous

log = logging.getLogger("moorusher")


class HotRestart:
    """Hot restart as seen by one process of a runner, either the old or the new one.

    Attributes:
        core: Request engine of this process.
        role: State machine that decides what this process does.
    """

    def __init__(
        self, reactor: Any, core: RequestEngine, process: RunnerProcess, path: str, name: str
    ) -> None:
        """:param path: Path of the runner's rendezvous socket.
        :param name: Name of the runner.
        """
        self._reactor = reactor
        self.core = core
        self._process = process
        self._name = name
        self._handover = Handover()
        self.role = self._handover.role
        self._rendezvous = Rendezvous(reactor, self, path)
        self._receiver = MessageReceiver(core, process, self._handover, self.handle)
        self._executor = InstructionExecutor(core, process, self._handover, self._rendezvous)
        self._timeout: Alarm | None = None
        self._exits_as_replaced = False  # whether SIGTERM has come after a replacement
        core.key_claims.peer_unresponsive = self._claim_unanswered

    # ---- events ----

    def start(self) -> None:
        """Start looking for another process of this runner."""
        self._restart_timeout()
        self._rendezvous.discover()

    def handle(self, event: Event) -> None:
        """Pass an event to the state machine and carry out its instructions."""
        previous_state = self.role.state
        instructions = self.role.handle(event)
        state = self.role.state
        if state is not previous_state:
            log.info("hot restart: %s (%s)", state.value, event.value)
            self.core.counters.add(f"succession: {state.value}")
        if instructions or state is not previous_state:
            self._restart_timeout()
        for instruction in instructions:
            self._executor.carry_out(instruction)
        if self.role.state in (State.AWAITING_KERNEL, State.KEYS_SYNCED_LATE) and self.core.ready:
            self.handle(Event.KERNEL_UP)

    def _restart_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        timeout_ms = TIMEOUTS_MS.get(self.role.state)
        if timeout_ms is not None:
            self.core.start_turn()
            due_us = self.core.clock.now + round(timeout_ms * MS)
            self._timeout = self.core.alarms.at(due_us, lambda: self.handle(Event.TIMEOUT))

    def _claim_unanswered(self) -> bool:
        # Returns whether this process has abandoned the other one, so that it needs no claims of keys any more.
        # The old process can abandon the new one only until the new one is permitted to accept. After that, the new
        # process may have run requests with keys that the old process doesn't know.
        if self.role.state is State.HANDING_OVER:
            self.handle(Event.TIMEOUT)
        return self.core.key_claims.peer is None

    def kernel_up(self) -> None:
        """Called when the kernel has answered for the first time."""
        self.handle(Event.KERNEL_UP)

    def terminate(self) -> None:
        """Called on SIGTERM."""
        self._exits_as_replaced = self.role.state is State.REPLACED
        self.handle(Event.SIGTERM)

    def maintenance_changed(self) -> None:
        """Notify the other process that an operator has set or ended maintenance, since it applies to the runner."""
        self._handover.maintenance_changed_us = self.core.clock.now
        peer = self._handover.peer
        if peer is not None and self.role.state is not State.DISCOVERING:
            peer.send(frames.MaintenanceChanged(self._process.maintenance_fields()))

    def close(self) -> None:
        """Disconnect and unpublish on a regular exit, so that the other process doesn't wait for this one."""
        if self._handover.peer is not None:
            self._handover.peer.disconnect()
        # A replaced process leaves its socket for the successor to replace. If the successor has died instead, nobody
        # knows the keys any more, and the next process finds out by the dead socket.
        if not self._exits_as_replaced and self.role.state is not State.REPLACED:
            self._rendezvous.unpublish()

    # ---- the connection ----

    def call_soon(self, action: Callable[[], None]) -> None:
        """See `ConnectionOwner`."""
        self._reactor.callLater(0, action)

    def connected(self, peer: PeerConnection) -> None:
        """Send the handshake, if this process made the connection. The connecting side always sends first."""
        self.core.start_turn()
        if not peer.accepted:
            self._handover.peer = peer
            peer.send(frames.Hello(frames.VERSION, self._name, os.getpid()))

    def lost(self, peer: PeerConnection) -> None:
        """Called when a connection is lost without a `Bye`, which means that the other process has died."""
        self.core.start_turn()
        if peer is self._handover.peer:
            self._handover.peer = None
            self.handle(Event.PEER_DIED)

    def received(self, peer: PeerConnection, frame: frames.Frame) -> None:
        """Handle a frame. Until its handshake is accepted, a process may send nothing but the handshake."""
        if frame.kind != frames.HELLO and peer is not self._handover.peer:
            return
        message = frames.decode(frame)
        if isinstance(message, frames.Hello):
            self._hello_received(peer, message)
        else:
            self._receiver.receive(peer, message)

    def _hello_received(self, peer: PeerConnection, hello: frames.Hello) -> None:
        if hello.version != frames.VERSION or hello.name != self._name:
            log.warning(
                "hot restart: ignored a process of another version or runner: version=%r runner=%r",
                hello.version,
                hello.name,
            )
            return
        log.info("hot restart: another process of this runner connected: pid=%s", hello.pid)
        is_welcome = self.role.state is State.SOLE
        if is_welcome:
            self._handover.peer = peer
        self.handle(Event.NEWCOMER)
        if not is_welcome:
            peer.send(frames.Busy())
            peer.close()
