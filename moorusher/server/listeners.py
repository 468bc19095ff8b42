"""The listening sockets of a runner, which two of its processes may share."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..config.section import Address
from .accepting_port import AcceptingPort
from .sockets import is_bound_to, open_listening_socket

# A listening socket accepts one connection per turn of the event loop for this many reserved descriptors.
DESCRIPTORS_PER_ACCEPT = 8


class Listeners:
    """The open listening sockets by label, such as `listen`, `uwsgi` or `admin`.

    Labels are sent between two processes of one runner.

    Attributes:
        planned: Address and Twisted factory of each configured listener, by label.
    """

    def __init__(self, reactor: Any, reserved_descriptors: int, count: Callable[[str], None]) -> None:
        self._reactor = reactor
        self._count = count
        self._max_accepts_per_turn = max(1, reserved_descriptors // DESCRIPTORS_PER_ACCEPT)
        self.planned: dict[str, tuple[Address, Any]] = {}
        self._ports: dict[str, AcceptingPort] = {}
        self._paused: set[str] = set()  # Labels of `_ports` on which another process accepts connections.

    def adopt(self, opened: socket.socket, factory: Any) -> AcceptingPort:
        """Accept connections on this socket and close `opened`: Twisted keeps a duplicate.

        :raises OSError: the system has no descriptor for the duplicate.
        """
        with opened:
            return self._accept_on(opened, factory)

    def _accept_on(self, opened: socket.socket, factory: Any) -> AcceptingPort:
        return AcceptingPort.from_socket(
            self._reactor, opened, factory, self._max_accepts_per_turn, self._count
        )

    def _adopt_handed_over(self, descriptor: int, factory: Any) -> AcceptingPort:
        """Accept connections on a descriptor that another process has handed over.

        :raises OSError: the listener can't be opened; the descriptor stays open.
        """
        # The descriptor stays open for another attempt: the process that handed it over no longer accepts on it, so
        # closing it would reset the connections in its backlog.
        opened = socket.socket(fileno=descriptor)
        try:
            port = self._accept_on(opened, factory)
        except OSError:
            opened.detach()
            raise
        opened.close()
        return port

    def open(self, handed_over: dict[str, int]) -> None:
        """Open each planned listener that is not open yet.

        A listener uses the descriptor that was handed over for its label. If there is none, it binds a new socket.

        :param handed_over: descriptors by label; each descriptor that a listener uses is removed.
        :raises OSError: an address is in use, or the system has no capacity; listeners that are open stay open.
        """
        for label, (address, factory) in self.planned.items():
            if label in self._ports:
                continue
            if label in handed_over:
                self._ports[label] = self._adopt_handed_over(handed_over[label], factory)
                del handed_over[label]
            else:
                self._ports[label] = self.adopt(open_listening_socket(address), factory)

    def usable(self, handed_over: dict[str, int]) -> dict[str, int]:
        """Return the descriptors, by label, that are bound to the address of a planned listener not yet open."""
        return {
            label: descriptor
            for label, descriptor in handed_over.items()
            if label in self.planned
            and label not in self._ports
            and is_bound_to(descriptor, self.planned[label][0])
        }

    def descriptors(self) -> dict[str, int]:
        """Return the descriptors of all open listeners by label."""
        return {label: port.fileno() for label, port in self._ports.items()}

    def pause(self, shared: set[str]) -> None:
        """Stop accepting connections, since another process accepts them.

        :param shared: labels of the sockets that the other process uses as well. They stay open in case that process
            dies; the other sockets close.
        """
        for label in list(self._ports):
            if label in shared:
                self._ports[label].stopReading()
                self._paused.add(label)
            else:
                self.close(label)

    def resume(self) -> None:
        """Resume accepting on all paused listeners."""
        for label in self._paused:
            self._ports[label].startReading()
        self._paused.clear()

    def close(self, label: str) -> None:
        """Accept the connections in a listener's backlog, then close the listener.

        A paused listener is not closed, only removed from the open listeners.
        """
        port = self._ports.pop(label, None)
        if port is not None and label not in self._paused:
            port.accept_backlog_and_close()

    def accepting(self) -> set[str]:
        """Return the labels of the listeners on which this process accepts connections."""
        return self._ports.keys() - self._paused
