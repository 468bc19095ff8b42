"""Stores customers' current revisions on disk, for a start of the runner while the cluster has no majority.

One SQLite file, written by one thread. A revision that can't be written stays pending: the write is retried each second
until the file has that revision or a newer one. A damaged file is renamed and the runner starts with an empty store,
since other runners have the revisions. A temporarily unreadable file is left unchanged.
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
# Keeps the newer revision, since the process that this one replaces may write older revisions to the same file.
UPSERT = (
    "insert into had values (?, ?, ?, ?) on conflict (customer) do update set born = excluded.born, number = "
    "excluded.number, draft = excluded.draft where (excluded.born, excluded.number) > (born, number)"
)
WRITE_RETRY_PAUSE_S = 1.0
OPEN_TIMEOUT_S = 1.0  # Timeout for an unreadable file at the start, before the runner serves.
BUSY_TIMEOUT_S = 1.0  # Time that SQLite waits for another process's lock.
DAMAGED_SUFFIX = ".damaged"

# Error codes for invalid content of the file. All other errors (full, input/output, locked, can't open) may be
# temporary.
DAMAGE_CODES = frozenset(
    {sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB, sqlite3.SQLITE_FORMAT, sqlite3.SQLITE_ERROR}
)
PRIMARY_CODE_MASK = 0xFF  # Selects the primary code within an extended error code.

# Customer, revision, and draft or None for a deleted namespace.
Stored = tuple[str, RevisionId, bytes | None]
Pending = dict[str, tuple[RevisionId, bytes | None]]  # Revision and draft by customer.


def is_damage(error: Exception) -> bool:
    """Return whether the error means that the file's content is invalid, so that a retry would fail too."""
    if not isinstance(error, sqlite3.DatabaseError):
        return False
    # The code is missing if Python's module raised the error and not SQLite itself.
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & PRIMARY_CODE_MASK in DAMAGE_CODES


def connect(path: Path) -> sqlite3.Connection:
    """Return a connection on which each statement is a transaction that is on the disk when the statement returns."""
    return sqlite3.connect(path, check_same_thread=False, isolation_level=None, timeout=BUSY_TIMEOUT_S)


class Store:
    """Revisions in an SQLite file, with a thread that writes to it.

    Attributes:
        path: Path of the file.
        failing: Last error, until a write succeeds; "" if there is none.
    """

    def __init__(
        self,
        reactor: Any,
        path: Path,
        pool: ThreadPool,
        count: Callable[[str], None],
        connect: Callable[[Path], sqlite3.Connection] = connect,
    ) -> None:
        """Create a store that is not open yet.

        :param pool: pool with one thread; only this thread uses the connection.
        :param count: increments the counter with the given name.
        """
        self.path = path
        self.failing = ""
        self._reactor = reactor
        self._pool = pool
        self._count = count
        self._connect = connect
        self._connection: sqlite3.Connection | None = None
        self._pending: Pending = {}  # Revisions not known to be in the file.
        self._writing = False
        self._retry_scheduled = False
        self._closed = False

    # ---- the start ----

    def open(self) -> list[Stored]:
        """Open the file and return its content, or [] if it can't be read. Called once, before the event loop runs."""
        try:
            return retry_transient(
                self._open, OPEN_TIMEOUT_S, is_retryable=lambda error: not is_damage(error)
            )
        except (OSError, sqlite3.Error) as error:
            self._disconnect()
            if is_damage(error):
                return self._replace_damaged(error)
            self._note_failure(error)
            return []

    def _replace_damaged(self, damage: Exception) -> list[Stored]:
        damaged_path = self.path.with_suffix(DAMAGED_SUFFIX)
        log.error(
            "namespaces: damaged store is renamed: path=%s new_name=%s reason=%s",
            self.path,
            damaged_path.name,
            damage,
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
        """Write a revision, unless the store has a newer one.

        :param draft: draft of the revision; None if the namespace is deleted.
        """
        if self._closed:
            return
        pending = self._pending.get(customer)
        if pending is None or revision_id > pending[0]:
            self._pending[customer] = (revision_id, draft)
        if not self._retry_scheduled:
            self._write()

    def _write(self) -> None:
        """Write all pending revisions; those put during the write are written by the next one."""
        if self._closed or self._writing or not self._pending:
            return
        self._writing = True
        batch = dict(self._pending)
        writing = deferToThreadPool(self._reactor, self._pool, self._write_all, batch)
        writing.addCallbacks(lambda _: self._on_written(batch), self._on_write_failed)
        writing.addErrback(lambda failure: log.error("namespaces: %s", failure.getTraceback()))

    def _write_all(self, batch: Pending) -> None:
        """Write revisions, in the pool's thread. A failed connection is not used again."""
        try:
            if self._connection is None:
                self._open()
            assert self._connection is not None
            for customer, (revision_id, draft) in batch.items():
                self._connection.execute(UPSERT, (customer, *revision_id, draft))
        except BaseException:
            self._disconnect()
            raise

    def _on_written(self, batch: Pending) -> None:
        self._writing = False
        for customer, written in batch.items():
            if self._pending.get(customer) == written:
                del self._pending[customer]
        if self.failing:
            log.warning("namespaces: writes to the store have recovered: path=%s", self.path)
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
        """Count a failure, and log it if it differs from the last one."""
        if str(error) != self.failing:
            log.error("namespaces: access to the store failed, retrying: path=%s reason=%s", self.path, error)
        self.failing = str(error) or type(error).__name__
        self._count("namespaces: store not written")

    def close(self) -> None:
        """Try once more to write the pending revisions, then close the file."""
        self._closed = True
        self._pool.callInThread(self._write_last, dict(self._pending))

    def _write_last(self, batch: Pending) -> None:
        try:
            self._write_all(batch)
        except (OSError, sqlite3.Error) as error:
            log.error(
                "namespaces: last write to the store failed: unwritten_customers=%d path=%s reason=%s",
                len(batch),
                self.path,
                error,
            )
        finally:
            self._disconnect()
