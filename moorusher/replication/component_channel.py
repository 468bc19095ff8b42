"""Carries the messages of one component of a node to the same component of other members, and its answers back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .host_services import HostServices
from .messages import ComponentMessage


class ComponentChannel:
    """Sends the messages of one component.

    A seat can have two processes for a while: one that drains, and its successor. `send` reaches the process that has
    the seat now; `reply` and `replier` reach the process that has asked.
    """

    def __init__(
        self,
        node: HostServices,
        me: str,
        component: str,
        encode: Callable[[Any], bytes],
        deliver_locally: Callable[[str, Any], None],
    ) -> None:
        """:param me: Seat of this member.
        :param component: Name of the component in `ComponentMessage`.
        :param deliver_locally: Called in a later turn with this seat and a message that this member sends to itself.
        """
        self._node = node
        self._me = me
        self._component = component
        self._encode = encode
        self._deliver_locally = deliver_locally

    def send(self, seat: str, message: Any) -> None:
        """Send a message to the process that has the seat. A message to this member arrives in a later turn."""
        if seat == self._me:
            self._node.at(self._node.clock(), lambda: self._deliver_locally(seat, message))
        else:
            self._node.send(seat, self._wrap(message))

    def reply(self, seat: str, message: Any) -> None:
        """Answer the process whose message is being handled."""
        self.replier(seat)(message)

    def replier(self, seat: str) -> Callable[[Any], None]:
        """Return a function that answers later the process whose message is being handled now."""
        if seat == self._me:
            return lambda message: self.send(seat, message)
        reply = self._node.replier(seat)
        return lambda message: reply(self._wrap(message))

    def _wrap(self, message: Any) -> ComponentMessage:
        return ComponentMessage(self._component, self._encode(message))
