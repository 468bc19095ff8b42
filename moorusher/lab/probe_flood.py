"""A flood of agent probes from a separate process: `python -m moorusher.lab.probe_flood PORT`."""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from .clock import now_us
from .health_prober import exchange_bytes

PROBES_PER_S = 2000
FLOOD_S = 8.0
_MAX_UNANSWERED = 2000
_TICK_S = 0.005
_LINGER_S = 1
"""Time to wait for the last replies."""


class FloodResult(msgspec.Struct):
    """Result of a flood.

    Attributes:
        sent: Number of probes sent.
        answered: Number of probes answered.
    """

    sent: int = 0
    answered: int = 0


class ProbeFlood:
    """Sends probes at a fixed rate, without waiting for the replies.

    Attributes:
        result: Probes sent and answered so far.
    """

    def __init__(self, reactor: Any, port: int) -> None:
        self.result = FloodResult()
        self._reactor = reactor
        self._port = port
        self._began_us = now_us()

    def send_due(self) -> None:
        """Send the probes that are due, and stop the reactor after the end of the flood."""
        now_s = (now_us() - self._began_us) / 1e6
        due = min(now_s, FLOOD_S) * PROBES_PER_S
        while self.result.sent < due and self.result.sent - self.result.answered < _MAX_UNANSWERED:
            self.result.sent += 1
            exchange_bytes(self._reactor, self._port, b"", self._reply_received)
        if now_s < FLOOD_S + _LINGER_S:
            self._reactor.callLater(_TICK_S, self.send_due)
        else:
            self._reactor.stop()

    def _reply_received(self, reply: bytes) -> None:
        self.result.answered += bool(reply)


def main(port: int) -> None:
    """Flood the agent on a port and print the result as JSON."""
    from ..server import reactor as loop

    reactor = loop.install()
    flood = ProbeFlood(reactor, port)
    reactor.callWhenRunning(flood.send_due)
    reactor.run()
    print(msgspec.json.encode(flood.result).decode())


if __name__ == "__main__":
    main(int(sys.argv[1]))
