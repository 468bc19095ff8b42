"""Writes an acceptor's journal: one write and one fsync at a time, in a thread, for all that has gathered.

Whatever waits for the disk is called in the order in which it came. While the disk fails, the acceptor has no vote.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from ..replication.acceptor import Acceptor
from ..replication.journal import encode_records
from .journal_files import JournalFolder

log = logging.getLogger("moorusher")

COMPACT_AFTER_BYTES = (
    1 << 20
)  # appended, at least, before a file is written anew without what no longer counts
RETRY_S = 1  # after a failed write


class JournalWriter:
    """Between an acceptor and its folder.

    Attributes:
        failure: `str`, why nothing can be written; empty while all is well.
        closed: `bool`, nothing more is written.
    """

    def __init__(
        self,
        reactor: Any,
        folder: JournalFolder,
        acceptor: Acceptor,
        clock: Callable[[], int],
        count: Callable[[str], None],
    ) -> None:
        """`clock`: us, read anew. `count`: one more in the counter of that name."""
        self._reactor = reactor
        self._folder = folder
        self._acceptor = acceptor
        self._clock = clock
        self._count = count
        self._waiting: list[Callable[[], None]] = []
        self._writing = False  # a thread has the folder
        self._save_scheduled = False
        self.failure = ""
        self.closed = False
        acceptor.journaled = True

    def durable(self, then: Callable[[], None]) -> None:
        """Calls `then` once the disk has all that the acceptor has changed so far; never where the disk fails: whoever
        waits for a vote asks others, or again."""
        if self.failure:
            return
        self._waiting.append(then)
        if not self._writing and not self._save_scheduled:
            self._save_scheduled = True
            self._reactor.callLater(0, self._save)  # with all that this turn of the loop still brings

    def _save(self, compact: bool = False) -> None:
        self._save_scheduled = False
        if self.closed or self._writing:
            return
        folder = self._folder
        waiting = self._waiting
        self._waiting = []
        compact = compact or folder.size - folder.base_size > max(COMPACT_AFTER_BYTES, folder.base_size)
        now = self._clock()
        records = self._acceptor.all_records(now) if compact else self._acceptor.unsaved_records(now)
        if not records:
            return self._call_all(waiting)
        self._writing = True
        if compact:
            write = folder.rewrite
            records = [folder.header, *records]
        else:
            write = folder.append
        written = deferToThreadPool(
            self._reactor, self._reactor.getThreadPool(), write, encode_records(records)
        )
        written.addCallbacks(lambda _: self._saved(waiting), self._failed)
        written.addErrback(lambda failure: log.error("fleet: %s", failure.getTraceback()))
        return None

    def _saved(self, waiting: list[Callable[[], None]]) -> None:
        self._writing = False
        self._count("fleet: written to the disk")
        if self.failure:
            log.warning("fleet: the journal is written again")
            self.failure = ""
            self._acceptor.journal_failing = False
        self._call_all(waiting)
        if self._waiting:
            self._save()

    def _call_all(self, waiting: list[Callable[[], None]]) -> None:
        self._clock()
        for then in waiting:
            try:
                then()
            except Exception:  # a fault over one vote must not keep back the others
                log.exception("fleet: after a write")
                self._count("faults")

    def _failed(self, failure: Failure) -> None:
        self._writing = False
        self.fail(str(failure.value))

    def fail(self, reason: str) -> None:
        """Nothing can be written: no vote leaves until a whole new file could be; the old one is left alone."""
        self._waiting.clear()
        if not self.failure:
            log.error("fleet: the journal can't be written, this keeper has no vote: %s", reason)
            self._count("fleet: the disk failed")
        self.failure = reason or "failed"
        self._acceptor.journal_failing = True
        if not self.closed:
            self._reactor.callLater(RETRY_S, self._save, True)

    def close(self) -> None:
        """Nothing more is written; a write under way goes on."""
        self.closed = True
        if not self._writing:
            self._folder.close()
