"""Parses customers' drafts in a thread, since a large one takes a second and must not delay requests."""

from __future__ import annotations

import gc
import logging
from collections.abc import Callable
from threading import Thread
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ..namespaces.draft import parse_draft
from ..namespaces.errors import NamespaceError
from ..namespaces.namespace import Namespace
from ..namespaces.policy import Grant

log = logging.getLogger("moorusher")

# Python's thread switch interval. At the default of 5 ms, the reactor waits 6 ms for the interpreter lock in each turn
# while a thread of the pool is computing.
SWITCH_INTERVAL_S = 0.0005
LARGE_DRAFT_BYTES = 32 << 10


class _DaemonThread(Thread):
    """A thread that doesn't delay the end of the program."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, daemon=True, **kwargs)


class DaemonThreadPool(ThreadPool):
    """A pool of daemon threads, which don't delay the end of the program."""

    threadFactory = _DaemonThread


def _parse(draft: bytes, grant: Grant | None) -> Namespace | NamespaceError:
    # Runs in the thread. Parsing creates up to half a million objects, and a garbage collection over them would stop
    # the reactor for 80 ms. So collection is disabled meanwhile, and the objects of a large draft are frozen, which
    # excludes them from later collections.
    gc.disable()
    try:
        return parse_draft(draft, grant)
    except NamespaceError as exc:
        return exc
    finally:
        if len(draft) >= LARGE_DRAFT_BYTES:
            gc.freeze()
        gc.enable()


class DraftParser:
    """Parses drafts in a thread of a pool, and calls back in the reactor's thread."""

    def __init__(self, reactor: Any, pool: ThreadPool, start_turn: Callable[[], None]) -> None:
        """:param start_turn: Called before each callback, to begin a turn of the request engine."""
        self._reactor = reactor
        self._pool = pool
        self._start_turn = start_turn

    def parse(
        self, draft: bytes, grant: Grant | None, callback: Callable[[Namespace | NamespaceError], None]
    ) -> None:
        """Parse a draft, and call back with the namespace or the error.

        :param grant: Grant that the draft must keep to; None skips that check.
        """

        def parsed(result: Any) -> None:
            self._start_turn()
            callback(result)

        parsing = deferToThreadPool(self._reactor, self._pool, _parse, draft, grant)
        parsing.addCallback(parsed)
        parsing.addErrback(lambda failure: log.error("namespaces: draft parser failed: error=%s", failure))
