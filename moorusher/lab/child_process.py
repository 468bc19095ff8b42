"""Runs modules of the laboratory in child processes, so that they don't delay the event loop."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

from .runners import ROOT


class _OutputReader(ProcessProtocol):
    """Collects the standard output of a process."""

    def __init__(self, output: Deferred[str]) -> None:
        self._output = output
        self._received = b""

    def outReceived(self, data: bytes) -> None:
        """Append a part of the output."""
        self._received += data

    def processEnded(self, reason: Any) -> None:
        """Deliver the complete output."""
        self._output.callback(self._received.decode())


def run_module(reactor: Any, module: str, *arguments: str) -> Deferred[str]:
    """Run a module as a program.

    :returns: its standard output, when it has exited.
    """
    output: Deferred[str] = Deferred()
    reactor.spawnProcess(
        _OutputReader(output),
        sys.executable,
        [sys.executable, "-m", module, *arguments],
        env=None,
        path=str(ROOT),
        childFDs={0: "w", 1: "r", 2: 2},
    )
    return output
