"""How the processes of one runner find each other: a Unix socket under a path that all of them know."""

from __future__ import annotations

import errno
import logging
import os
import socket
import stat
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

from twisted.internet import tcp, unix
from twisted.internet.protocol import ClientFactory, Factory
from twisted.python.failure import Failure

from ...hot_restart.process_role import Event
from ...time_units import MS
from .peer_connection import ConnectionOwner, PeerConnection

log = logging.getLogger("moorusher")

PUBLISH_RETRY = 1_000 * MS  # until $TMPDIR is tried again
DISCOVER_RETRY = 200 * MS  # until the next look where nobody could be reached
CONNECT_TIMEOUT_S = 2
SOCKET_MODE = 0o600  # for this user alone
BACKLOG = 8


class RendezvousOwner(ConnectionOwner, Protocol):
    """Who looks for other processes, and is looked for."""

    def handle(self, event: Event) -> None:
        """Nobody is there."""


_UnixPort: Any = unix.Port  # Twisted's classes carry no types


class _ListeningPort(_UnixPort):  # type: ignore[misc]
    """Twisted's port removes the name that it was bound to, and lets anybody connect: this one's socket has been
    renamed, and is for this user alone."""

    def connectionLost(self, reason: object) -> None:
        tcp.Port.connectionLost(self, reason)  # type: ignore[no-untyped-call]

    @classmethod
    def adopt(cls, reactor: Any, bound: socket.socket, factory: Factory) -> _ListeningPort:
        """Listen on a copy of a socket that is bound."""
        port: _ListeningPort = cls._fromListeningDescriptor(reactor, bound.fileno(), factory)
        port.mode = SOCKET_MODE
        port.startListening()
        return port


class _AcceptingFactory(Factory):
    """For further processes, which find this one."""

    noisy = False

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: object) -> PeerConnection:
        return PeerConnection(self._owner, accepted=True)


class _ConnectingFactory(ClientFactory):
    """For one attempt to reach the process in service."""

    noisy = False

    def __init__(self, owner: ConnectionOwner, failed: Callable[[int | None], None]) -> None:
        self._owner = owner
        self._failed = failed

    def buildProtocol(self, addr: object) -> PeerConnection:
        return PeerConnection(self._owner, accepted=False)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._failed(getattr(reason.value, "osError", None))


class Rendezvous:
    """Looks for the process in service, and lets further processes find this one."""

    def __init__(self, reactor: Any, owner: RendezvousOwner, path: str) -> None:
        self._reactor = reactor
        self._owner = owner
        self._path = path
        self._listening: Any = None
        self._inode = 0  # of the socket that this process has published

    # ---- looking for another process ----

    def discover(self) -> None:
        """Connect to the process in service, or tell the owner that there is none."""
        try:
            found = os.stat(self._path)
        except OSError:
            self._owner.handle(Event.NO_PEER)
            return
        if not stat.S_ISSOCK(found.st_mode) or found.st_uid != os.getuid():
            log.warning("not a socket of this runner, passed over: path=%s", self._path)
            self._owner.handle(Event.NO_PEER)
            return
        factory = _ConnectingFactory(self._owner, self._not_connected)
        try:
            self._reactor.connectUNIX(self._path, factory, timeout=CONNECT_TIMEOUT_S)
        except OSError as error:  # no descriptor is left, which Twisted raises at once
            log.warning("can't look for another process yet: path=%s reason=%s", self._path, error)
            self.discover_later()

    def discover_later(self) -> None:
        """Look again in a moment."""
        core = self._owner.core
        core.begin_turn()
        core.alarms.at(core.clock.now + DISCOVER_RETRY, self.discover)

    def _not_connected(self, error_number: int | None) -> None:
        self._owner.core.begin_turn()
        if error_number == errno.ECONNREFUSED:
            self._owner.handle(Event.DEAD_PEER_FOUND)
        elif error_number == errno.ENOENT:
            self._owner.handle(Event.NO_PEER)
        else:  # its queue is full: it hangs, or many come at once
            self.discover_later()

    # ---- being found ----

    def publish(self) -> None:
        """Listen under a name of its own first, which then replaces in one step whatever was at the path."""
        own_path = f"{self._path}.{os.getpid()}"
        mask = os.umask(0o177)
        if self._listening is not None:  # this process was replaced, and its successor has died
            self._listening.stopListening()
        try:
            Path(own_path).unlink(missing_ok=True)
            with socket.socket(
                socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
            ) as bound:
                bound.bind(own_path)
                bound.listen(BACKLOG)
                factory = _AcceptingFactory(self._owner)
                self._listening = _ListeningPort.adopt(self._reactor, bound, factory)
            self._inode = os.stat(own_path).st_ino
            os.rename(own_path, self._path)
        except OSError as error:
            log.error("no further process can find this one yet: path=%s reason=%s", self._path, error)
            with suppress(OSError):
                os.unlink(own_path)
            core = self._owner.core
            core.alarms.at(core.clock.now + PUBLISH_RETRY, self._publish_again)
        finally:
            os.umask(mask)

    def _publish_again(self) -> None:
        """Unless this process shuts down, or another one is at the path by now."""
        if not self._owner.core.drain_state.shutting_down and not self._path_is_socket():
            self._owner.core.begin_turn()
            self.publish()

    def _path_is_socket(self) -> bool:
        try:
            return stat.S_ISSOCK(os.lstat(self._path).st_mode)
        except OSError:
            return False

    def withdraw(self) -> None:
        """Remove the socket, unless it is a successor's."""
        if self._listening is not None:
            with suppress(OSError):
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
