"""Handles the messages of the runner's other process."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from ...core.request_engine import RequestEngine
from ...hot_restart.process_role import Event
from . import frames
from .handover import Handover, RunnerProcess
from .peer_connection import PeerConnection, close_descriptors

log = logging.getLogger("moorusher")


class MessageReceiver:
    """Maps each kind of message to a function, except `Hello`, which the coordinator handles."""

    def __init__(
        self,
        core: RequestEngine,
        process: RunnerProcess,
        handover: Handover,
        handle: Callable[[Event], None],
    ) -> None:
        """:param handle: Passes an event to the state machine."""
        self._core = core
        self._claims = core.key_claims
        self._peer_keys = core.key_claims.peer_keys
        self._process = process
        self._handover = handover
        self._handle = handle
        self._methods: dict[type, Callable[[Any], None]] = {
            frames.UnsupportedWelcome: self._unsupported_welcome,
            frames.KeyRecord: self._key_record,
            frames.Claim: self._claim,
            frames.ClaimGranted: lambda message: self._claims.claim_granted(message.serial, message.key),
            frames.KeyInUse: self._key_in_use,
            frames.KeyTableFull: lambda message: self._claims.key_table_full(message.serial, message.key),
            frames.KeyReleased: lambda message: self._peer_keys.released(message.key),
            frames.KeyFinished: self._key_finished,
            frames.LoadReport: lambda message: self._process.set_peer_load(message.load),
            frames.MaintenanceChanged: self._maintenance_changed,
            frames.Ready: self._ready,
            frames.KeysSynced: self._keys_synced,
            frames.AcceptPermitted: lambda _: self._handle(Event.ACCEPT_PERMITTED),
            frames.Busy: lambda _: self._peer_disconnects(Event.PEER_BUSY),
            frames.Bye: lambda _: self._peer_disconnects(Event.PEER_DISCONNECTED),
        }

    def receive(self, peer: PeerConnection, message: frames.Message) -> None:
        """Handle one message."""
        if isinstance(message, frames.Welcome):
            self._welcome(peer, message)
        else:
            self._methods[type(message)](message)

    def _welcome(self, peer: PeerConnection, welcome: frames.Welcome) -> None:
        sockets = dict(zip(welcome.labels, peer.received_descriptors, strict=False))
        peer.received_descriptors = []
        usable = self._process.usable_sockets(sockets)
        self._handover.sockets = usable
        close_descriptors([socket for label, socket in sockets.items() if label not in usable])
        if self._overrules_maintenance(welcome.maintenance):
            peer.send(frames.MaintenanceChanged(self._process.maintenance_fields()))
        else:
            self._process.follow_maintenance(welcome.maintenance)
        self._process.set_predecessor(welcome.incarnation)
        self._handover.peer_unknown_until_us = welcome.keys_unknown_until_us
        self._core.keys.limits.share_memory_with(welcome.key_table_bytes)
        self._handle(Event.WELCOMED)

    def _overrules_maintenance(self, of_peer: frames.Fields | None) -> bool:
        """Return whether an operator has set or ended maintenance here since the other process's state was set."""
        # A process may have waited for minutes before the other one's welcome. An operator's order that was confirmed
        # at its console in that time must not be lost, or the runner would be healthy again without another order.
        changed_us = self._handover.maintenance_changed_us
        return changed_us is not None and (of_peer is None or of_peer["since"] <= changed_us)

    def _unsupported_welcome(self, welcome: frames.UnsupportedWelcome) -> None:
        log.warning("hot restart: the other process has an unsupported version: version=%r", welcome.version)

    def _key_record(self, record: frames.KeyRecord) -> None:
        self._peer_keys.snapshot_entry(
            record.key, record.body_digest, record.expires_us, record.finished, record.result
        )

    def _keys_synced(self, synced: frames.KeysSynced) -> None:
        self._peer_keys.snapshot_complete()
        self._handle(Event.KEYS_SYNCED)

    def _claim(self, claim: frames.Claim) -> None:
        self._claims.peer_claims(claim.serial, claim.key, claim.body_digest, claim.expires_us)

    def _key_in_use(self, answer: frames.KeyInUse) -> None:
        self._claims.key_in_use(answer.serial, answer.key, answer.body_digest, answer.expires_us)

    def _key_finished(self, finished: frames.KeyFinished) -> None:
        self._peer_keys.finished(finished.key, finished.body_digest, finished.expires_us, finished.result)

    def _maintenance_changed(self, changed: frames.MaintenanceChanged) -> None:
        self._handover.maintenance_changed_us = None
        self._process.follow_maintenance(changed.maintenance)

    def _ready(self, ready: frames.Ready) -> None:
        self._handover.shared_labels = set(ready.labels)
        self._handle(Event.NEWCOMER_READY)

    def _peer_disconnects(self, event: Event) -> None:
        peer = self._handover.peer
        self._handover.peer = None
        if peer is not None:
            peer.close()
        self._handle(event)
