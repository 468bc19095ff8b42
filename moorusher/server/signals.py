"""Runs a service until it has shut down, and passes the process's signals to it."""

from __future__ import annotations

import gc
import logging
import signal
from collections.abc import Callable
from typing import Any

from ..config.model import Config
from .server import Service

log = logging.getLogger("moorusher")


def run_service(config: Config, reactor: Any, load: Callable[[], Config], early_hangups: list[int]) -> int:
    """Run one runner in the foreground.

    :param load: reloads the configuration.
    :param early_hangups: SIGHUPs received before the service could handle them.
    :returns: the exit code: 0, or 1 if the start has failed.
    """
    service = Service(config, reactor)

    def start() -> None:
        try:
            service.start()
        except Exception as error:
            # A runner that can't listen must exit rather than remain up but unreachable.
            log.error("could not start: %s", error)
            service.failed = True
            reactor.stop()
        if early_hangups and not service.failed:
            service.reload(load)

    _install_signal_handlers(service, reactor, load)
    reactor.callWhenRunning(start)
    gc.collect()
    gc.freeze()  # Excludes imported modules, which live as long as the process, from later collections.
    reactor.run(installSignalHandlers=False)
    log.info("counters: %s", service.counters())
    return int(service.failed)


def _install_signal_handlers(service: Service, reactor: Any, load: Callable[[], Config]) -> None:
    """Install handlers that run in a turn of the event loop, as a signal may interrupt any instruction."""

    def log_counters() -> None:
        log.info("counters: %s", service.counters())

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(service.terminate))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(service.reload, load))
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(log_counters))
