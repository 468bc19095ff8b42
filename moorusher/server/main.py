"""Starts a runner from its configuration. To save memory, imports nothing that serving does not need."""

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
from ..unix_addresses import socket_address

log = logging.getLogger("moorusher")

CONFIG_TIMEOUT_S = 8.0  # A process must be ready within 10 s.
PEER_TIMEOUT_S = 0.2
KB_PER_MB = 1024

# Exit codes of all commands, documented in README.md.
OK = 0
UNREACHED = 1
FAULTY = 2
REFUSED = 3
NOT_ROUTABLE = 4


def _memory_of_other_process_mb(path: str) -> float:
    """Return the memory in MB of a process of this runner that is in service; 0 if there is none.

    Called before any large import, since two processes must fit into the memory limit together.

    :param path: Unix socket of that process.
    """
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(PEER_TIMEOUT_S)
            connection.connect(socket_address(path))
            credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        pid, _, _ = struct.unpack("3i", credentials)
        status = Path(f"/proc/{pid}/status").read_text()
        resident = next(line for line in status.splitlines() if line.startswith("RssAnon"))
        return int(resident.split()[1]) / KB_PER_MB
    except (OSError, ValueError, StopIteration):
        return 0.0


def _is_temporarily_unreadable(error: Exception) -> bool:
    return isinstance(error, ConfigUnreadableError)


def serve(operator_file: Path | None = None) -> int:
    """Run one runner in the foreground until it has shut down.

    :param operator_file: the operator's file, which configures additional listeners; None for the default file.
    :returns: the exit code.
    """
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    # SIGTERM ends the process at once until the service installs its own handler. No request is lost, since none has
    # been read by then.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(OK))
    # A SIGHUP during the start is remembered, and the configuration is reloaded once the service has started.
    early_hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_hangups.append(number))
    read_config = partial(load, operator_file=operator_file)
    try:
        config = retry_transient(read_config, CONFIG_TIMEOUT_S, is_retryable=_is_temporarily_unreadable)
    except ConfigError as error:
        print(f"moorusher: {error}", file=sys.stderr)
        return FAULTY
    used_mb = _memory_of_other_process_mb(
        rendezvous_path(os.environ.get("TMPDIR", ""), config.name, config.listen)
    )
    if not fits_second_process(config.limits.memory_mb, used_mb):
        log.error(
            "limits.memory_mb: %g is too little for a second process: the process in service uses %.0f MB",
            config.limits.memory_mb,
            used_mb,
        )
        return FAULTY
    from . import reactor  # It must be installed before any module imports Twisted's default reactor.

    loop = reactor.install()
    from twisted.python.log import PythonLoggingObserver

    PythonLoggingObserver("moorusher.twisted").start()  # type: ignore[no-untyped-call]
    from .signals import run_service

    return run_service(config, loop, read_config, early_hangups)
