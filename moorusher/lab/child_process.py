"""A module of the laboratory in a process of its own, so that it does not take this loop's time."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

from .runners import ROOT


class _OutputReader(ProcessProtocol):
    """Collects what a process prints."""

    def __init__(self, output: Deferred[str]) -> None:
        self._output = output
        self._received = b""

    def outReceived(self, data: bytes) -> None:
        """A part of the output."""
        self._received += data

    def processEnded(self, reason: Any) -> None:
        """The output is whole."""
        self._output.callback(self._received.decode())


def run_module(reactor: Any, module: str, *arguments: str) -> Deferred[str]:
    """Start a module as a program; what it prints, once it has ended."""
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
