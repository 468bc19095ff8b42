"""Customers' current revisions on this runner's disk, so that a start without a majority has what it had last.

One SQLite file, written by one thread. A revision that can't be written stays pending: the write is retried each second
until the file has it, or a newer one. A damaged file is renamed and the runner begins without it: other runners have
the revisions. A file that can't be read for the moment is left as it is.
"""

from __future__ import annotations

import logging
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

from ..namespaces.revision_id import RevisionId
from ..transient_errors import retry_transient

log = logging.getLogger("moorusher")

SCHEMA = (
    "create table if not exists had (customer text primary key, born integer, number integer, draft blob)"
)
SELECT = "select customer, born, number, draft from had"
# The process that this one replaces writes to the same file: what it has may be older.
PUT = (
    "insert into had values (?, ?, ?, ?) on conflict (customer) do update set born = excluded.born, number = "
    "excluded.number, draft = excluded.draft where (excluded.born, excluded.number) > (born, number)"
)
WRITE_RETRY_PAUSE_S = 1.0
OPEN_PATIENCE_S = 1.0  # at the start, while nothing is served yet, for a file that can't be read
BUSY_TIMEOUT_S = 1.0  # for which SQLite itself waits for another process's lock
DAMAGED_SUFFIX = ".damaged"

# These say that the file's content is wrong. All other errors (full, input/output, locked, can't open) may pass.
DAMAGE_CODES = frozenset(
    {sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB, sqlite3.SQLITE_FORMAT, sqlite3.SQLITE_ERROR}
)
PRIMARY_CODE_MASK = 0xFF  # the part of an extended error code that names its kind

Stored = tuple[str, RevisionId, bytes | None]  # customer, revision, draft; None: the namespace is deleted
Pending = dict[str, tuple[RevisionId, bytes | None]]  # by customer


def is_damage(error: Exception) -> bool:
    """Whether the file itself is at fault, so that each attempt would fail the same way."""
    if not isinstance(error, sqlite3.DatabaseError):
        return False
    # Absent where Python's module found the fault, and not the library.
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & PRIMARY_CODE_MASK in DAMAGE_CODES


def connect(path: Path) -> sqlite3.Connection:
    """Return a connection each of whose statements is a transaction, on the disk when it returns."""
    return sqlite3.connect(path, check_same_thread=False, isolation_level=None, timeout=BUSY_TIMEOUT_S)


class Store:
    """The file, and the thread that writes to it.

    path: Path, of the file.
    failing: str, the last error until a write succeeds; "" where there is none.
    """

    def __init__(
        self,
        reactor: Any,
        path: Path,
        pool: ThreadPool,
        count: Callable[[str], None],
        connect: Callable[[Path], sqlite3.Connection] = connect,
    ) -> None:
        """`pool`: of one thread, which alone uses the connection. `count`: increments a counter."""
        self.path = path
        self.failing = ""
        self._reactor = reactor
        self._pool = pool
        self._count = count
        self._connect = connect
        self._connection: sqlite3.Connection | None = None
        self._pending: Pending = {}  # not known to be in the file
        self._writing = False
        self._retry_scheduled = False
        self._closed = False

    # ---- the start ----

    def open(self) -> list[Stored]:
        """Return what is stored; [] where it can't be read. Called once, before the reactor has work to do."""
        try:
            return retry_transient(self._open, OPEN_PATIENCE_S, may_pass=lambda error: not is_damage(error))
        except (OSError, sqlite3.Error) as error:
            self._disconnect()
            if is_damage(error):
                return self._replace_damaged(error)
            self._note_failure(error)
            return []

    def _replace_damaged(self, damage: Exception) -> list[Stored]:
        damaged_path = self.path.with_suffix(DAMAGED_SUFFIX)
        log.error(
            "namespaces: %s can't be read, and is put aside as %s: %s", self.path, damaged_path.name, damage
        )
        self._count("namespaces: a damaged store")
        try:
            self.path.replace(damaged_path)
            return self._open()
        except (OSError, sqlite3.Error) as error:
            self._disconnect()
            self._note_failure(error)
            return []

    def _open(self) -> list[Stored]:
        self._disconnect()
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._connection = self._connect(self.path)
        self._connection.execute("pragma journal_mode=delete")
        self._connection.execute("pragma synchronous=full")
        self._connection.execute(SCHEMA)
        rows = self._connection.execute(SELECT).fetchall()
        return [(customer, (incarnation, number), draft) for customer, incarnation, number, draft in rows]

    def _disconnect(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()

    # ---- writes ----

    def put(self, customer: str, revision_id: RevisionId, draft: bytes | None) -> None:
        """Write a revision, or with None that the namespace is deleted; one older than what is there is ignored."""
        if self._closed:
            return
        pending = self._pending.get(customer)
        if pending is None or revision_id > pending[0]:
            self._pending[customer] = (revision_id, draft)
        if not self._retry_scheduled:
            self._write()

    def _write(self) -> None:
        """Write all that is pending; what is put meanwhile goes with the next write."""
        if self._closed or self._writing or not self._pending:
            return
        self._writing = True
        batch = dict(self._pending)
        writing = deferToThreadPool(self._reactor, self._pool, self._write_all, batch)
        writing.addCallbacks(lambda _: self._on_written(batch), self._on_write_failed)
        writing.addErrback(lambda failure: log.error("namespaces: %s", failure.getTraceback()))

    def _write_all(self, batch: Pending) -> None:
        """In the pool's thread. A connection that has failed is not used again."""
        try:
            if self._connection is None:
                self._open()
            assert self._connection is not None
            for customer, (revision_id, draft) in batch.items():
                self._connection.execute(PUT, (customer, *revision_id, draft))
        except BaseException:
            self._disconnect()
            raise

    def _on_written(self, batch: Pending) -> None:
        self._writing = False
        for customer, written in batch.items():
            if self._pending.get(customer) == written:
                del self._pending[customer]
        if self.failing:
            log.warning("namespaces: %s is written again", self.path)
            self.failing = ""
        self._write()

    def _on_write_failed(self, failure: Failure) -> None:
        self._writing = False
        self._note_failure(failure.value or RuntimeError("failed"))
        self._retry_scheduled = True
        self._reactor.callLater(WRITE_RETRY_PAUSE_S, self._retry)

    def _retry(self) -> None:
        self._retry_scheduled = False
        self._write()

    def _note_failure(self, error: BaseException) -> None:
        """Count each failure; log it where it differs from the last one."""
        if str(error) != self.failing:
            log.error("namespaces: %s can't be written, and is tried again: %s", self.path, error)
        self.failing = str(error) or type(error).__name__
        self._count("namespaces: store not written")

    def close(self) -> None:
        """Attempt once more to write what is pending, then close the file."""
        self._closed = True
        self._pool.callInThread(self._write_last, dict(self._pending))

    def _write_last(self, batch: Pending) -> None:
        try:
            self._write_all(batch)
        except (OSError, sqlite3.Error) as error:
            log.error("namespaces: %d customers' revisions are not in %s: %s", len(batch), self.path, error)
        finally:
            self._disconnect()
