"""Writes an acceptor's journal in a thread: one write and one fsync at a time, for all changes since the last write.

Callbacks that wait for the disk are called in the order of their registration. While the disk fails, the acceptor does
not vote.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from ..replication.acceptor import Acceptor
from ..replication.journal import Record, encode_valid_records
from .journal_files import JournalFolder

log = logging.getLogger("moorusher")

# Minimum of appended bytes before the file is rewritten without obsolete records.
COMPACT_AFTER_BYTES = 1 << 20
RETRY_S = 1  # Pause after a failed write.


class JournalWriter:
    """Writes the changes of an acceptor to its journal folder.

    Attributes:
        failure: Reason why nothing can be written; "" after a successful write.
        closed: Whether nothing more is written.
    """

    def __init__(
        self,
        reactor: Any,
        folder: JournalFolder,
        acceptor: Acceptor,
        clock: Callable[[], int],
        count: Callable[[str], None],
    ) -> None:
        """Attach to the acceptor, which from now on registers its changes for the journal.

        :param clock: reads the time, in microseconds.
        :param count: increments the counter with the given name.
        """
        self._reactor = reactor
        self._folder = folder
        self._acceptor = acceptor
        self._clock = clock
        self._count = count
        self._waiting: list[Callable[[], None]] = []
        self._writing = False  # Whether a thread is using the folder.
        self._save_scheduled = False
        self.failure = ""
        self.closed = False
        acceptor.journaled = True

    def durable(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all changes of the acceptor up to now are on the disk.

        Never called if the disk fails: a member that waits for the vote asks other members, or retries.
        """
        if self.failure:
            return
        self._waiting.append(callback)
        if not self._writing and not self._save_scheduled:
            self._save_scheduled = True
            # The write includes all later changes of this turn of the event loop.
            self._reactor.callLater(0, self._save)

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
        if compact:
            write = folder.rewrite
            records = [folder.header, *records]
        else:
            write = folder.append
        # If a record can't be encoded, the callback for it must not be called. As it is unknown which one that is, none
        # is: the members that wait retry.
        data = encode_valid_records(records, lambda record, error: self._drop(record, error, waiting))
        self._writing = True
        written = deferToThreadPool(self._reactor, self._reactor.getThreadPool(), write, data)
        written.addCallbacks(lambda _: self._saved(waiting), self._failed)
        written.addErrback(lambda failure: log.error("fleet: %s", failure.getTraceback()))
        return None

    def _drop(self, record: Record, error: Exception, waiting: list[Callable[[], None]]) -> None:
        log.error("fleet: a record can't be written to the journal: record=%r reason=%s", record, error)
        self._count("faults")
        waiting.clear()

    def _saved(self, waiting: list[Callable[[], None]]) -> None:
        self._writing = False
        self._count("fleet: written to the disk")
        if self.failure:
            log.warning("fleet: journal writes have recovered")
            self.failure = ""
            self._acceptor.journal_failing = False
        self._call_all(waiting)
        if self._waiting:
            self._save()

    def _call_all(self, waiting: list[Callable[[], None]]) -> None:
        self._clock()
        for callback in waiting:
            try:
                callback()
            except Exception:  # An error in one callback must not prevent the others.
                log.exception("fleet: a callback after a journal write failed")
                self._count("faults")

    def _failed(self, failure: Failure) -> None:
        self._writing = False
        self.fail(str(failure.value))

    def fail(self, reason: str) -> None:
        """Record that the journal can't be written, and retry with a whole new file."""
        # The old file is not changed, and no vote is sent until a write succeeds.
        self._waiting.clear()
        if not self.failure:
            log.error("fleet: the journal can't be written, so this replica does not vote: reason=%s", reason)
            self._count("fleet: the disk failed")
        self.failure = reason or "failed"
        self._acceptor.journal_failing = True
        if not self.closed:
            self._reactor.callLater(RETRY_S, self._save, True)

    def close(self) -> None:
        """Start no further write; one in progress is completed."""
        self.closed = True
        if not self._writing:
            self._folder.close()
