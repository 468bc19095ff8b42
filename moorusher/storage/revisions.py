"""Customers' current revisions on this runner's own disk, so that a start without a majority finds what it had last.

One SQLite file, written by one thread. A revision that can't be written is owed: it is tried again each second until
it stands in the file, or a newer one does. A damaged file is put aside, and the runner begins without: others have it.
A file that can't be read for the moment is left as it is.
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

from ..config_distribution.messages import RevisionId
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
AGAIN_S = 1.0  # from a write that failed to the next one
PATIENCE_S = 1.0  # at the start, while nothing is served yet, for a file that can't be read
BUSY_S = 1.0  # for which SQLite itself waits for another process's lock

# What says that the file's content is wrong. All other errors (full, input/output, locked, can't open) may pass.
DAMAGE = frozenset(
    {sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB, sqlite3.SQLITE_FORMAT, sqlite3.SQLITE_ERROR}
)
PRIMARY = 0xFF  # the part of an extended error code that names its kind

Stored = tuple[str, RevisionId, bytes | None]


def is_damage(exc: Exception) -> bool:
    """Whether the file itself is at fault, so that it would fail the same way for ever."""
    if not isinstance(exc, sqlite3.DatabaseError):
        return False
    code = getattr(
        exc, "sqlite_errorcode", None
    )  # absent where the module and not the library found the fault
    return code is not None and code & PRIMARY in DAMAGE


def connect(path: Path) -> sqlite3.Connection:
    """A connection whose every statement is a transaction of its own, on the disk when it returns."""
    return sqlite3.connect(path, check_same_thread=False, isolation_level=None, timeout=BUSY_S)


class Store:
    """The file, the thread that writes to it, and what it does not have yet."""

    def __init__(
        self,
        reactor: Any,
        path: Path,
        pool: ThreadPool,
        count: Callable[[str], None],
        connect: Callable[[Path], sqlite3.Connection] = connect,
    ) -> None:
        """`pool`: of one thread."""
        self._reactor, self.path, self._pool, self._count = reactor, path, pool, count
        self._connect = connect
        self._db: sqlite3.Connection | None = None
        self._owed: dict[str, tuple[RevisionId, bytes | None]] = {}  # a customer each
        self._writing = self._waiting = self._closed = False
        self.failing = ""

    # ---- the start ----

    def open(self) -> list[Stored]:
        """What was had last. Called once, before the loop has work to do."""
        try:
            return retry_transient(self._open, PATIENCE_S, may_pass=lambda exc: not is_damage(exc))
        except (OSError, sqlite3.Error) as exc:
            self._drop()
            if is_damage(exc):
                return self._begin_anew(exc)
            self._fails(exc)
            return []

    def _begin_anew(self, exc: Exception) -> list[Stored]:
        log.error(
            "namespaces: %s can't be read, and is put aside as %s: %s",
            self.path,
            self.path.with_suffix(".damaged").name,
            exc,
        )
        self._count("namespaces: a damaged store")
        try:
            self.path.replace(self.path.with_suffix(".damaged"))
            return self._open()
        except (OSError, sqlite3.Error) as again:
            self._drop()
            self._fails(again)
            return []

    def _open(self) -> list[Stored]:
        self._drop()
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._db = self._connect(self.path)
        self._db.execute("pragma journal_mode=delete")
        self._db.execute("pragma synchronous=full")
        self._db.execute(SCHEMA)
        found = self._db.execute(SELECT).fetchall()
        return [(customer, (born, number), draft) for customer, born, number, draft in found]

    def _drop(self) -> None:
        db, self._db = self._db, None
        if db is not None:
            db.close()

    # ---- writes ----

    def put(self, customer: str, at: RevisionId, draft: bytes | None) -> None:
        """`draft` is None where it is gone. An older one than what is there changes nothing."""
        if self._closed:
            return
        owed = self._owed.get(customer)
        if owed is None or at > owed[0]:
            self._owed[customer] = at, draft
        if not self._waiting:
            self._write()

    def _write(self) -> None:
        """All that is owed; what comes meanwhile goes with the next write."""
        if self._closed or self._writing or not self._owed:
            return
        self._writing = True
        batch = dict(self._owed)
        done = deferToThreadPool(self._reactor, self._pool, self._write_all, batch)
        done.addCallbacks(lambda _: self._written(batch), self._not_written)
        done.addErrback(lambda failure: log.error("namespaces: %s", failure.getTraceback()))

    def _write_all(self, batch: dict[str, tuple[RevisionId, bytes | None]]) -> None:
        """In the pool's thread. A connection that has failed is not used again."""
        try:
            if self._db is None:
                self._open()
            assert self._db is not None
            for customer, (at, draft) in batch.items():
                self._db.execute(PUT, (customer, *at, draft))
        except BaseException:
            self._drop()
            raise

    def _written(self, batch: dict[str, tuple[RevisionId, bytes | None]]) -> None:
        self._writing = False
        for customer, had in batch.items():
            if self._owed.get(customer) == had:
                del self._owed[customer]
        if self.failing:
            log.warning("namespaces: %s is written again", self.path)
            self.failing = ""
        self._write()

    def _not_written(self, failure: Failure) -> None:
        self._writing = False
        self._fails(failure.value or RuntimeError("failed"))
        self._waiting = True
        self._reactor.callLater(AGAIN_S, self._again)

    def _again(self) -> None:
        self._waiting = False
        self._write()

    def _fails(self, exc: BaseException) -> None:
        if str(exc) != self.failing:
            log.error("namespaces: %s can't be written, and is tried again: %s", self.path, exc)
        self.failing = str(exc) or type(exc).__name__
        self._count("namespaces: store not written")

    def close(self) -> None:
        """What is owed gets one more try."""
        self._closed = True
        self._pool.callInThread(self._last_write, dict(self._owed))

    def _last_write(self, batch: dict[str, tuple[RevisionId, bytes | None]]) -> None:
        try:
            self._write_all(batch)
        except (OSError, sqlite3.Error) as exc:
            log.error("namespaces: %d customers' revisions are not in %s: %s", len(batch), self.path, exc)
        finally:
            self._drop()
