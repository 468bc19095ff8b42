"""How the processes of one runner find each other: a Unix socket at a path made from its name and address."""

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
from ...unix_addresses import socket_address
from .peer_connection import ConnectionOwner, PeerConnection

log = logging.getLogger("moorusher")

PUBLISH_RETRY_US = 1_000 * MS
DISCOVER_RETRY_US = 200 * MS
CONNECT_TIMEOUT_S = 2
SOCKET_MODE = 0o600
BACKLOG = 8


class RendezvousOwner(ConnectionOwner, Protocol):
    """Uses a `Rendezvous`, and receives the events of its connections."""

    def handle(self, event: Event) -> None:
        """Called with `NO_PEER` or `DEAD_PEER_FOUND` when there is no process to connect to."""


_UnixPort: Any = unix.Port  # Twisted's classes carry no types


class _ListeningPort(_UnixPort):  # type: ignore[misc]
    """A Unix port that does not unlink a path when it closes.

    `Rendezvous.publish` has renamed the socket from the path to which it was bound to the runner's path. When the port
    closes, the runner's path may already lead to the socket of another process.
    """

    def connectionLost(self, reason: object) -> None:
        """Close the port and leave the path as it is."""
        tcp.Port.connectionLost(self, reason)  # type: ignore[no-untyped-call]

    @classmethod
    def adopt(cls, reactor: Any, bound: socket.socket, factory: Factory) -> _ListeningPort:
        """Listen on a duplicate of a bound socket."""
        # The mode is set since Twisted's default lets any user connect.
        port: _ListeningPort = cls._fromListeningDescriptor(reactor, bound.fileno(), factory)
        port.mode = SOCKET_MODE
        port.startListening()
        return port


class _AcceptingFactory(Factory):
    """Builds the protocol for new processes that connect to this one."""

    noisy = False

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: object) -> PeerConnection:
        """Return the protocol for an accepted connection."""
        return PeerConnection(self._owner, accepted=True)


class _ConnectingFactory(ClientFactory):
    """Makes one attempt to connect to the process in service."""

    noisy = False

    def __init__(self, owner: ConnectionOwner, failed: Callable[[int | None], None]) -> None:
        self._owner = owner
        self._failed = failed

    def buildProtocol(self, addr: object) -> PeerConnection:
        """Return the protocol for the established connection."""
        return PeerConnection(self._owner, accepted=False)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Report the failed attempt with its error number, if it has one."""
        self._failed(getattr(reason.value, "osError", None))


class Rendezvous:
    """Connects to the process in service, and publishes this process's own socket."""

    def __init__(self, reactor: Any, owner: RendezvousOwner, path: str) -> None:
        self._reactor = reactor
        self._owner = owner
        self._path = path
        self._listening: Any = None
        self._inode = 0  # inode of the socket that this process has published
        self._found_inode = 0  # inode of the socket to which this process connects
        self._dead_inode = 0  # inode of a socket that has refused a connection
        self._replaced_inode = 0  # inode of the socket that this process could not replace by its own

    # ---- discovery ----

    def discover(self) -> None:
        """Connect to the process in service, or notify the owner that there is none."""
        try:
            found = os.stat(self._path)
        except OSError:
            self._owner.handle(Event.NO_PEER)
            return
        if not stat.S_ISSOCK(found.st_mode) or found.st_uid != os.getuid():
            log.warning(
                "hot restart: ignored the rendezvous path, which is no socket of this user: path=%s",
                self._path,
            )
            self._owner.handle(Event.NO_PEER)
            return
        self._found_inode = found.st_ino
        factory = _ConnectingFactory(self._owner, self._not_connected)
        try:
            self._reactor.connectUNIX(socket_address(self._path), factory, timeout=CONNECT_TIMEOUT_S)
        except OSError as error:  # Twisted raises it at once if the process is out of file descriptors
            log.warning(
                "hot restart: can't connect to the rendezvous socket; retrying: path=%s reason=%s",
                self._path,
                error,
            )
            self.discover_later()

    def discover_later(self) -> None:
        """Call `discover` again after `DISCOVER_RETRY_US`."""
        core = self._owner.core
        core.start_turn()
        core.alarms.at(core.clock.now + DISCOVER_RETRY_US, self.discover)

    def _not_connected(self, error_number: int | None) -> None:
        self._owner.core.start_turn()
        if error_number == errno.ECONNREFUSED:
            self._dead_socket_found()
        elif error_number == errno.ENOENT:
            self._owner.handle(Event.NO_PEER)
        else:  # the backlog of the process in service is full: it hangs, or many processes connect at once
            self.discover_later()

    def _dead_socket_found(self) -> None:
        """Notify the owner if the socket still refuses connections when it is tried again."""
        # The process that the dead one has replaced may live, and know all keys. It publishes its own socket as soon as
        # it notices the death. Without the second look, this process would serve beside it and know no keys.
        if self._dead_inode == self._found_inode:
            self._owner.handle(Event.DEAD_PEER_FOUND)
        else:
            self._dead_inode = self._found_inode
            self.discover_later()

    # ---- publication ----

    def publish(self) -> None:
        """Make this process the one that new processes connect to."""
        # The socket is first bound to a temporary path, which contains the process id. This path is then renamed
        # atomically to the runner's path.
        own_path = f"{self._path}.{os.getpid()}"
        mask = os.umask(0o177)
        if self._listening is not None:  # this process was replaced, and its successor has died since
            self._listening.stopListening()
        try:
            Path(own_path).unlink(missing_ok=True)
            with socket.socket(
                socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
            ) as bound:
                bound.bind(socket_address(own_path))
                bound.listen(BACKLOG)
                factory = _AcceptingFactory(self._owner)
                self._listening = _ListeningPort.adopt(self._reactor, bound, factory)
            self._inode = os.stat(own_path).st_ino
            os.rename(own_path, self._path)
        except OSError as error:
            log.error(
                "hot restart: can't publish the rendezvous socket; retrying: path=%s reason=%s",
                self._path,
                error,
            )
            with suppress(OSError):
                os.unlink(own_path)
            self._replaced_inode = self._published_inode()
            core = self._owner.core
            core.alarms.at(core.clock.now + PUBLISH_RETRY_US, self._retry_publish)
        finally:
            os.umask(mask)

    def _retry_publish(self) -> None:
        # Publishes again, unless this process shuts down or another process has published meanwhile.
        if self._owner.core.drain_state.shutting_down:
            return
        if self._published_inode() in (0, self._replaced_inode):
            self._owner.core.start_turn()
            self.publish()

    def _published_inode(self) -> int:
        """Return the inode of the socket at the runner's path; 0 if there is none."""
        try:
            found = os.lstat(self._path)
        except OSError:
            return 0
        return found.st_ino if stat.S_ISSOCK(found.st_mode) else 0

    def unpublish(self) -> None:
        """Remove the socket from the runner's path, unless another process has replaced it."""
        if self._listening is not None:
            with suppress(OSError):
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
