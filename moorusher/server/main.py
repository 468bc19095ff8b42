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
from ..config.section import ConfigError, ConfigUnreadableError
from ..hot_restart.shared_budget import fits_second_process, rendezvous_path
from ..transient_errors import retry_transient

log = logging.getLogger("moorusher")

CONFIG_TIMEOUT_S = 8.0  # a process is to be ready within ten
PEER_TIMEOUT_S = 0.2
KB_PER_MB = 1024

# Exit codes of all commands; README.md has the table.
OK = 0
UNREACHED = 1
FAULTY = 2
REFUSED = 3
NOT_ROUTABLE = 4


def _memory_of_other_process_mb(path: str | None) -> float:
    """Memory of a process of this runner that is in service, in MB; 0 where there is none.

    Asked before anything large is imported: two processes must fit into the limit together.
    """
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(PEER_TIMEOUT_S)
            connection.connect(path or "")
            credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        pid, _, _ = struct.unpack("3i", credentials)
        status = Path(f"/proc/{pid}/status").read_text()
        resident = next(line for line in status.splitlines() if line.startswith("RssAnon"))
        return int(resident.split()[1]) / KB_PER_MB
    except (OSError, ValueError, StopIteration):
        return 0.0


def _can_be_read_later(error: Exception) -> bool:
    return isinstance(error, ConfigUnreadableError)


def serve(operator_file: Path | None = None) -> int:
    """Run one runner in the foreground until it has shut down. Returns the exit code.

    :param operator_file: the operator's file, which says what listens besides; that of the distribution where None.
    """
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    # Nothing has been read yet: until the service takes the signal over, to shut down is to end.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(OK))
    # A new configuration that comes meanwhile is read once the service can follow it.
    early_hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_hangups.append(number))
    read_config = partial(load, operator_file=operator_file)
    try:
        config = retry_transient(read_config, CONFIG_TIMEOUT_S, may_pass=_can_be_read_later)
    except ConfigError as error:
        print(f"moorusher: {error}", file=sys.stderr)
        return FAULTY
    taken_mb = _memory_of_other_process_mb(
        rendezvous_path(os.environ.get("TMPDIR", ""), config.name, config.listen)
    )
    if not fits_second_process(config.limits.memory_mb, taken_mb):
        log.error(
            "limits.memory_mb: %g is too little for a second process: the one in service takes %.0f MB",
            config.limits.memory_mb,
            taken_mb,
        )
        return FAULTY
    from . import reactor  # installed before any module can import Twisted's default one

    loop = reactor.install()
    from twisted.python.log import PythonLoggingObserver

    PythonLoggingObserver("moorusher.twisted").start()  # type: ignore[no-untyped-call]
    from .signals import run_service

    return run_service(config, loop, read_config, early_hangups)
