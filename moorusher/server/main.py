"""From a configuration to a runner in service. Imports nothing that serving does not need: no command line either."""

from __future__ import annotations

import logging
import os
import signal
import socket
import struct
import sys
from functools import partial
from pathlib import Path

from ..config.loader import load
from ..config.section import ConfigError, ConfigUnreadable
from ..hot_restart.shared_budget import path_for, room_for_two
from ..transient_errors import persist

log = logging.getLogger("moorusher")

CONFIG_WITHIN_S = 8.0  # a process is to be ready within ten

OK, UNREACHED, FAULTY, REFUSED, NOT_ROUTABLE = range(5)  # exit codes of all commands; README.md has the table


def _taken_beside(path: str | None) -> float:
    """MB that a process of this runner which is in service already takes; 0 where there is none. Asked before anything
    large is imported."""
    try:
        with socket.socket(socket.AF_UNIX) as there:
            there.settimeout(0.2)
            there.connect(path or "")
            pid, _, _ = struct.unpack("3i", there.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        told = Path(f"/proc/{pid}/status").read_text()
        return next(int(line.split()[1]) / 1024 for line in told.splitlines() if line.startswith("RssAnon"))
    except (OSError, ValueError, StopIteration):
        return 0.0


def _can_be_read_later(exc: Exception) -> bool:
    return isinstance(exc, ConfigUnreadable)


def serve(fronts: Path | None = None) -> int:
    """One runner in the foreground, until it has left; the exit code. `fronts` says what else listens."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    # Nothing has been read yet: until the service takes the signal over, leaving is ending.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(OK))
    # A new configuration that comes meanwhile is read once there is who can follow it.
    hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    read = partial(load, fronts=fronts)
    try:
        config = persist(read, CONFIG_WITHIN_S, may_pass=_can_be_read_later)
    except ConfigError as exc:
        print(f"moorusher: {exc}", file=sys.stderr)
        return FAULTY
    taken = _taken_beside(path_for(os.environ.get("TMPDIR", ""), config.name, config.listen))
    if not room_for_two(config.limits.memory_mb, taken):
        log.error(
            "limits.memory_mb: %g is too little for a second process: the one in service takes %.0f MB",
            config.limits.memory_mb,
            taken,
        )
        return FAULTY
    from . import reactor as loop  # the loop is installed before any module can import Twisted's default one

    reactor = loop.install()
    from twisted.python.log import PythonLoggingObserver

    PythonLoggingObserver("moorusher.server.reactor").start()  # type: ignore[no-untyped-call]
    from . import server as service

    return service.serve(config, reactor, read, hangups)
