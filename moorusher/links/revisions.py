"""Customers' current revisions on this runner's own disk, so that a start without a majority finds what it had last.

One SQLite file, written by one thread. What can't be written is counted and said; what can't be read is put aside, and
the runner begins without: others have it.
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

from ..publishing.messages import At

log = logging.getLogger("moorusher")

SCHEMA = (
    "create table if not exists had (customer text primary key, born integer, number integer, draft blob)"
)
# The process that this one replaces writes to the same file: what it has may be older.
PUT = (
    "insert into had values (?, ?, ?, ?) on conflict (customer) do update set born = excluded.born, number = "
    "excluded.number, draft = excluded.draft where (excluded.born, excluded.number) > (born, number)"
)
Stored = tuple[str, At, bytes | None]


class Store:
    """The file, and the thread that writes to it."""

    def __init__(self, reactor: Any, path: Path, pool: ThreadPool, count: Callable[[str], None]) -> None:
        """`pool`: of one thread."""
        self._reactor, self.path, self._pool, self._count = reactor, path, pool, count
        self._db: sqlite3.Connection | None = None
        self.failing = ""

    def open(self) -> list[Stored]:
        """What was had last. Called once, before the loop has work to do."""
        try:
            return self._open()
        except sqlite3.DatabaseError as exc:
            log.error("namespaces: %s can't be read, and is put aside: %s", self.path, exc)
            self._count("namespaces: a damaged store")
            if self._db is not None:
                self._db.close()
            try:
                self.path.replace(self.path.with_suffix(".damaged"))
                return self._open()
            except (OSError, sqlite3.Error) as again:
                self._fails(again)
                return []
        except (OSError, sqlite3.Error) as exc:
            self._fails(exc)
            return []

    def _open(self) -> list[Stored]:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._db = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None)
        self._db.execute("pragma journal_mode=delete")
        self._db.execute("pragma synchronous=full")
        self._db.execute(SCHEMA)
        found = self._db.execute("select customer, born, number, draft from had").fetchall()
        return [(customer, (born, number), draft) for customer, born, number, draft in found]

    def _fails(self, exc: Exception) -> None:
        self._db, self.failing = None, str(exc)
        log.error("namespaces: nothing is kept on disk: %s", exc)
        self._count("namespaces: store not written")

    def put(self, customer: str, at: At, draft: bytes | None) -> None:
        """`draft` is None where it is gone. An older one than what is there changes nothing."""
        if self._db is None:
            return
        db = self._db

        def write() -> None:
            db.execute(PUT, (customer, *at, draft))

        def failed(reason: Failure) -> None:
            self.failing = str(reason.value)
            self._count("namespaces: store not written")
            log.error("namespaces: %s of %s could not be kept: %s", at, customer, reason.value)

        def written(_: object) -> None:
            self.failing = ""

        deferToThreadPool(self._reactor, self._pool, write).addCallbacks(written, failed)

    def close(self) -> None:
        if self._db is not None:
            db, self._db = self._db, None
            self._pool.callInThread(db.close)
