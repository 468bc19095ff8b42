"""The sockets that a runner listens on: opened, shared with another process of it, and closed in order."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..config.section import Address
from .reactor import AcceptingPort, listener, listens_at

ACCEPTS_SHARE = (
    8  # for one in so many spare descriptors a listening socket may accept one more client in a turn
)


class Listeners:
    """By label; `planned` says where each is to listen, and for which front."""

    def __init__(self, reactor: Any, spare: int, count: Callable[[str], None]) -> None:
        self._reactor, self._count = reactor, count
        self._accepts = max(1, spare // ACCEPTS_SHARE)
        self.planned: dict[str, tuple[Address, Any]] = {}
        self._ports: dict[str, Any] = {}
        self._paused: set[str] = set()  # of them, those on which a further process accepts

    def adopt(self, made: socket.socket, factory: Any) -> Any:
        """Accept on this socket, which is Twisted's from here on. Raises OSError, and closes it."""
        with made:
            return AcceptingPort.of(self._reactor, made, factory, self._accepts, self._count)

    def _adopt_handed(self, descriptor: int, factory: Any) -> Any:
        """As `adopt`. Where that fails the descriptor stays open for another try: the process that handed it over no
        longer accepts on it, and connections wait there."""
        made = socket.socket(fileno=descriptor)
        try:
            port = AcceptingPort.of(self._reactor, made, factory, self._accepts, self._count)
        except OSError:
            made.detach()
            raise
        made.close()
        return port

    def open(self, handed: dict[str, int]) -> None:
        """Each planned listener that is not open yet, on the descriptor that was handed over for it or on a socket of
        its own. Raises OSError where an address is not free; what is open by then stays."""
        for label, (address, factory) in self.planned.items():
            if label in self._ports:
                continue
            if label in handed:
                self._ports[label] = self._adopt_handed(handed[label], factory)
                del handed[label]
            else:
                self._ports[label] = self.adopt(listener(address), factory)

    def usable(self, handed: dict[str, int]) -> dict[str, int]:
        """Of descriptors handed over, those at the addresses of planned listeners that are not open."""
        return {
            label: descriptor
            for label, descriptor in handed.items()
            if label in self.planned
            and label not in self._ports
            and listens_at(descriptor, self.planned[label][0])
        }

    def descriptors(self) -> dict[str, int]:
        """Of all that are open."""
        return {label: port.fileno() for label, port in self._ports.items()}

    def pause(self, shared: set[str]) -> None:
        """Another process accepts on the shared ones: they are kept, should that one die. The others close."""
        for label in list(self._ports):
            if label in shared:
                self._ports[label].stopReading()
                self._paused.add(label)
            else:
                self.close(label)

    def resume(self) -> None:
        """Accept again on all that are paused."""
        for label in self._paused:
            self._ports[label].startReading()
        self._paused.clear()

    def close(self, label: str) -> None:
        """A connection that waits to be accepted may have a request on it: closing would lose that one. Where another
        process accepts on the same socket, it stays its."""
        port = self._ports.pop(label, None)
        if port is not None and label not in self._paused:
            port.accept_last()

    def accepting(self) -> set[str]:
        """The labels of those on which this process accepts."""
        return self._ports.keys() - self._paused
