"""Customers' drafts parsed in a thread: a large one takes a second, and requests must not wait for it."""

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

# How long the reactor's turn waits for the thread. With Python's usual 5 ms each turn is 6 ms late.
SWITCH_INTERVAL_S = 0.0005
LARGE_DRAFT_BYTES = 32 << 10


class _DaemonThread(Thread):
    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, daemon=True, **kwargs)


class DaemonThreadPool(ThreadPool):
    """A pool whose threads end with the program, whatever they do then."""

    threadFactory = _DaemonThread


def _parse(draft: bytes, grant: Grant | None) -> Namespace | NamespaceError:
    """In the thread. Parsing makes up to half a million objects.

    A garbage collection meanwhile, or the next one, would stop the reactor for 80 ms: collection is off while a draft
    is parsed, and the objects of a large one are excluded from later collections.
    """
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
    """Parses drafts in a pool's thread, and calls back in the reactor's."""

    def __init__(self, reactor: Any, pool: ThreadPool, begin_turn: Callable[[], None]) -> None:
        """`begin_turn`: called before each result, as a turn of the core begins."""
        self._reactor = reactor
        self._pool = pool
        self._begin_turn = begin_turn

    def parse(
        self, draft: bytes, grant: Grant | None, then: Callable[[Namespace | NamespaceError], None]
    ) -> None:
        """Call `then` with the namespace or its error; without `grant` it is not checked against a grant."""

        def parsed(got: Any) -> None:
            self._begin_turn()
            then(got)

        parsing = deferToThreadPool(self._reactor, self._pool, _parse, draft, grant)
        parsing.addCallback(parsed)
        parsing.addErrback(lambda failure: log.error("namespaces: a draft could not be read: %s", failure))
