"""Runs a service until it has shut down, and brings the process's signals to it."""

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
    """Run one runner in the foreground. Returns the exit code: 0, or 1 if it could not start.

    :param load: reads the configuration again.
    :param early_hangups: collects the SIGHUPs that came before the service could follow them.
    """
    service = Service(config, reactor)

    def start() -> None:
        try:
            service.start()
        except Exception as error:  # a runner that can't listen must end and say so, not stay up unreachable
            log.error("could not start: %s", error)
            service.failed = True
            reactor.stop()
        if early_hangups and not service.failed:
            service.reload(load)

    _install_signal_handlers(service, reactor, load)
    reactor.callWhenRunning(start)
    gc.collect()
    gc.freeze()  # imported modules live as long as the process: later collections pass over them
    reactor.run(installSignalHandlers=False)
    log.info("counters: %s", service.counters())
    return int(service.failed)


def _install_signal_handlers(service: Service, reactor: Any, load: Callable[[], Config]) -> None:
    """A signal may come between any two instructions: the loop's own waker brings it into a turn."""

    def log_counters() -> None:
        log.info("counters: %s", service.counters())

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(service.terminate))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(service.reload, load))
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(log_counters))
