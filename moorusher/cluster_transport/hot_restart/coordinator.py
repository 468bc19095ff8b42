"""Carries out the role of this process beside another one of its runner."""

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
    """The role of this process, and the connection to the other one.

    Attributes:
        core: the engine of this process.
        role: decides what is to be done.
    """

    def __init__(
        self, reactor: Any, core: RequestEngine, process: RunnerProcess, path: str, name: str
    ) -> None:
        """`path` is where processes of this runner find each other, `name` the runner's."""
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
        core.key_claims.peer_unresponsive = self._claim_unanswered

    # ---- events ----

    def start(self) -> None:
        """Look for another process of this runner."""
        self._restart_timeout()
        self._rendezvous.discover()

    def handle(self, event: Event) -> None:
        """Have the role decide about an event, and carry it out."""
        before = self.role.state
        instructions = self.role.handle(event)
        state = self.role.state
        if state is not before:
            log.info("succession: %s (%s)", state.value, event.value)
            self.core.counters.add(f"succession: {state.value}")
        if instructions or state is not before:
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
            self.core.begin_turn()
            due = self.core.clock.now + round(timeout_ms * MS)
            self._timeout = self.core.alarms.at(due, lambda: self.handle(Event.TIMEOUT))

    def _claim_unanswered(self) -> bool:
        """Before the newcomer is let on this process may go on without it, afterwards it may not. True where there is
        nobody left to claim keys with."""
        if self.role.state is State.HANDING_OVER:
            self.handle(Event.TIMEOUT)
        return self.core.key_claims.peer is None

    def kernel_up(self) -> None:
        """The kernel has answered."""
        self.handle(Event.KERNEL_UP)

    def terminate(self) -> None:
        """SIGTERM."""
        self.handle(Event.SIGTERM)

    def maintenance_changed(self) -> None:
        """An operator has taken the runner out or put it back: both processes answer for one runner."""
        peer = self._handover.peer
        if peer is not None and self.role.claims_keys:
            peer.send(frames.MaintenanceChanged(self._process.maintenance_fields()))

    def close(self) -> None:
        """The process ends in order: the other one need not wait for anything of it."""
        if self._handover.peer is not None:
            self._handover.peer.say_bye()
        self._rendezvous.withdraw()

    # ---- the connection ----

    def call_soon(self, action: Callable[[], None]) -> None:
        """Have the event loop call a function once."""
        self._reactor.callLater(0, action)

    def connected(self, peer: PeerConnection) -> None:
        """Greet the process in service; one that has connected to this one greets first."""
        self.core.begin_turn()
        if not peer.accepted:
            self._handover.peer = peer
            peer.send(frames.Hello(frames.VERSION, self._name, os.getpid()))

    def lost(self, peer: PeerConnection) -> None:
        """The other process has died, as it has not said goodbye."""
        self.core.begin_turn()
        if peer is self._handover.peer:
            self._handover.peer = None
            self.handle(Event.PEER_DIED)

    def received(self, peer: PeerConnection, frame: frames.Frame) -> None:
        """A frame has come. Only a greeting is heard of a process that is not the other one yet."""
        if frame.kind != frames.HELLO and peer is not self._handover.peer:
            return
        message = frames.decode(frame)
        if isinstance(message, frames.Hello):
            self._greeted(peer, message)
        else:
            self._receiver.receive(peer, message)

    def _greeted(self, peer: PeerConnection, hello: frames.Hello) -> None:
        if hello.version != frames.VERSION or hello.name != self._name:
            log.warning("a further process is passed over: version=%r runner=%r", hello.version, hello.name)
            return
        log.info("a further process of this runner has come: pid=%s", hello.pid)
        welcome = self.role.state is State.SOLE
        if welcome:
            self._handover.peer = peer
        self.handle(Event.NEWCOMER)
        if not welcome:
            peer.send(frames.Busy())
            peer.close()
