"""Carries out the instructions of `hot_restart.process_role`."""

from __future__ import annotations

from collections.abc import Callable

from ...core.request_engine import RequestEngine
from ...hot_restart.process_role import Instruction
from ...hot_restart.shared_budget import ProcessLoad
from ...time_units import MS
from . import frames
from .handover import Handover, RunnerProcess
from .peer_connection import close_descriptors
from .rendezvous import Rendezvous

LOAD_REPORT_INTERVAL_US = 50 * MS  # a load that hasn't changed since the last report is not sent
FOREVER_US = 1 << 62  # later than any time of the clock


class InstructionExecutor:
    """Maps each instruction to a function. Instructions about the other process do nothing if it has disconnected."""

    def __init__(
        self, core: RequestEngine, process: RunnerProcess, handover: Handover, rendezvous: Rendezvous
    ) -> None:
        self._core = core
        self._process = process
        self._handover = handover
        self._reported_load = ProcessLoad()
        self._methods: dict[Instruction, Callable[[], None]] = {
            Instruction.DISCOVER: rendezvous.discover_later,
            Instruction.LISTEN: self._listen,
            Instruction.ADOPT_SOCKETS: lambda: process.accept(handover.pop_sockets()),
            Instruction.PUBLISH_ADDRESS: rendezvous.publish,
            Instruction.SEND_WELCOME: self._send_welcome,
            Instruction.SEND_BUSY: lambda: None,  # the coordinator sends it, since it has that connection
            Instruction.SEND_READY: lambda: self._send(frames.Ready(list(handover.sockets))),
            Instruction.STOP_ACCEPTING: lambda: process.pause(handover.shared_labels),
            Instruction.PERMIT_ACCEPT: lambda: self._send(frames.AcceptPermitted()),
            Instruction.RESUME_ACCEPTING: process.resume,
            Instruction.DISCONNECT: self._disconnect,
            Instruction.CLAIM_KEYS: lambda: self._claim_keys(is_successor=True),
            Instruction.DISTRUST_KEYS: lambda: self._trust_keys_from(FOREVER_US),
            Instruction.DISTRUST_KEYS_FOR_A_WINDOW: core.state.distrust_new_keys,
            Instruction.TRUST_KEYS: lambda: self._trust_keys_from(handover.peer_unknown_until_us),
            Instruction.DISCARD_PEER_KEYS: self._discard_peer_keys,
            Instruction.CLOSE_PEER_KEYS: lambda: self._end_key_sharing(died=True),
            Instruction.DRAIN: process.drain,
            Instruction.FINISH: process.finish,
        }

    def carry_out(self, instruction: Instruction) -> None:
        """Carry out one instruction."""
        self._methods[instruction]()

    def _send(self, message: frames.Message) -> None:
        if self._handover.peer is not None:
            self._handover.peer.send(message)

    def _listen(self) -> None:
        unused = list(self._handover.pop_sockets().values())
        self._process.accept({})
        close_descriptors(unused)

    def _send_welcome(self) -> None:
        peer = self._handover.peer
        if peer is None:
            return
        self._claim_keys(is_successor=False)
        sockets = self._process.listening_sockets()
        for descriptor in sockets.values():
            peer.send_descriptor(descriptor)
        keys = self._core.keys
        peer.send(
            frames.Welcome(
                labels=list(sockets),
                maintenance=self._process.maintenance_fields(),
                key_table_bytes=keys.size_bytes,
                keys_unknown_until_us=keys.incomplete_until,
                incarnation=self._process.incarnation(),
            )
        )
        peer.send_keys(self._core.key_claims.peer_keys.snapshot())
        self._reported_load = ProcessLoad()
        self._report_load()

    def _claim_keys(self, is_successor: bool) -> None:
        if self._handover.peer is not None:
            self._core.key_claims.peer = self._handover.peer
            self._core.key_claims.is_successor = is_successor

    def _disconnect(self) -> None:
        peer = self._handover.peer
        self._handover.peer = None
        if peer is not None:
            peer.disconnect()

    def _trust_keys_from(self, time_us: int) -> None:
        self._core.keys.unknown_until = time_us

    def _discard_peer_keys(self) -> None:
        self._end_key_sharing(died=False)
        self._handover.close_sockets()

    def _end_key_sharing(self, died: bool) -> None:
        self._core.key_claims.peer_disconnected(died=died)
        self._core.keys.limits.share_memory_with(None)
        self._process.set_peer_load(ProcessLoad())

    def _report_load(self) -> None:
        # Runs periodically: sends this process's load to the successor, which must stay within the remaining limits.
        if self._handover.peer is None or not self._handover.role.is_predecessor:
            return
        load = self._process.load()
        if load != self._reported_load:
            self._reported_load = load
            self._send(frames.LoadReport(load))
        self._core.alarms.at(self._core.clock.now + LOAD_REPORT_INTERVAL_US, self._report_load)
