"""The store of revisions on a failing disk: no write is lost, and no intact file is set aside."""

from __future__ import annotations

import asyncio
import sqlite3
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from moorusher.cluster_transport.draft_parsing import DaemonThreadPool
from moorusher.storage import revisions
from moorusher.storage.revisions import Store, connect

from .stand_ins import reactor
from .test_sockets import asynchronous_test, wait_until


class FailingDisk:
    """Connections whose statements that begin with `statement` fail, one for each of `errors`."""

    def __init__(self) -> None:
        self.statement = "insert"
        self.errors: list[sqlite3.Error] = []

    def fail(self, text: str, code: int, times: int = 1, statement: str = "insert") -> None:
        self.statement = statement
        for _ in range(times):
            exc = sqlite3.OperationalError(text)
            exc.sqlite_errorcode = code
            self.errors.append(exc)

    def connect(self, path: Path) -> sqlite3.Connection:
        disk = self

        class Failing(sqlite3.Connection):
            def execute(self, sql: str, *more: Any) -> sqlite3.Cursor:
                if disk.errors and sql.startswith(disk.statement):
                    raise disk.errors.pop(0)
                return super().execute(sql, *more)

        return sqlite3.connect(path, check_same_thread=False, isolation_level=None, factory=Failing)


FULL = ("database or disk is full", sqlite3.SQLITE_FULL)
BROKEN = ("disk I/O error", sqlite3.SQLITE_IOERR)


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(revisions, "WRITE_RETRY_PAUSE_S", 0.05)
    monkeypatch.setattr(revisions, "OPEN_TIMEOUT_S", 0.3)
    monkeypatch.setattr(revisions, "BUSY_TIMEOUT_S", 0.05)


@asynccontextmanager
async def store(path: Path, disk: FailingDisk | None = None) -> AsyncIterator[tuple[Store, Counter[str]]]:
    pool, counts = DaemonThreadPool(0, 1), Counter[str]()
    pool.start()
    opened = Store(
        reactor(),
        path,
        pool,
        lambda what: counts.update([what]),
        connect if disk is None else disk.connect,
    )
    try:
        yield opened, counts
    finally:
        opened.close()
        await asyncio.to_thread(pool.stop)


def stored_rows(path: Path) -> dict[str, tuple[int, int, bytes | None]]:
    with sqlite3.connect(path) as db:
        return {c: (b, n, d) for c, b, n, d in db.execute("select customer, born, number, draft from had")}


async def write_one_revision(path: Path) -> None:
    """Leave a closed store with one revision."""
    async with store(path) as (revisions_store, _):
        revisions_store.open()
        revisions_store.put("acme", (1, 1), b"one")
        await wait_until(lambda: bool(stored_rows(path)))


@pytest.mark.parametrize("error", [FULL, BROKEN])
@asynchronous_test
async def test_failed_writes_are_retried_until_the_disk_takes_them(
    tmp_path: Path, error: tuple[str, int]
) -> None:
    """The disk is full, or has errors, for three writes. What came meanwhile, also a later revision of the same
    customer, is written once it works again; until then the store says that it is failing.
    """
    path, disk = tmp_path / "n.db", FailingDisk()
    async with store(path, disk) as (revisions_store, counts):
        assert revisions_store.open() == []
        disk.fail(*error, times=3)
        revisions_store.put("acme", (1, 1), b"one")
        await wait_until(lambda: bool(revisions_store.failing))
        revisions_store.put("bolt", (1, 1), b"other")
        revisions_store.put("acme", (1, 2), b"two")
        await wait_until(lambda: not revisions_store.failing)
        assert stored_rows(path) == {"acme": (1, 2, b"two"), "bolt": (1, 1, b"other")}
        assert counts["namespaces: store not written"] == 3


@asynchronous_test
async def test_another_customers_write_does_not_hide_a_failed_one(tmp_path: Path) -> None:
    """One write fails, the next one of another customer succeeds: the first one is still retried."""
    path, disk = tmp_path / "n.db", FailingDisk()
    async with store(path, disk) as (revisions_store, _):
        revisions_store.open()
        disk.fail(*FULL)
        revisions_store.put("acme", (1, 1), b"one")
        revisions_store.put("bolt", (1, 1), b"other")
        await wait_until(lambda: len(stored_rows(path)) == 2 and not revisions_store.failing)


@pytest.mark.parametrize("error", [FULL, BROKEN, ("database is locked", sqlite3.SQLITE_BUSY)])
@asynchronous_test
async def test_a_short_disk_failure_at_startup_loses_nothing(tmp_path: Path, error: tuple[str, int]) -> None:
    """Two reads fail as the process starts: the file is read again, and not taken for a damaged one."""
    path, disk = tmp_path / "n.db", FailingDisk()
    await write_one_revision(path)
    disk.fail(*error, times=2, statement="select")
    async with store(path, disk) as (revisions_store, _):
        assert revisions_store.open() == [("acme", (1, 1), b"one")]
    assert not path.with_suffix(".damaged").exists()


@asynchronous_test
async def test_a_locked_file_stays_in_place_and_is_written_later(tmp_path: Path) -> None:
    """Another process has the file locked for longer than the store waits. The runner serves without it; once it is
    free the later revisions are written, and none that the file has is overwritten by an older one.
    """
    path = tmp_path / "n.db"
    await write_one_revision(path)
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("begin exclusive")
    async with store(path) as (revisions_store, counts):
        assert revisions_store.open() == [] and revisions_store.failing
        assert not counts["namespaces: a damaged store"] and not path.with_suffix(".damaged").exists()
        revisions_store.put("bolt", (1, 1), b"other")
        revisions_store.put("acme", (1, 0), b"older")
        other.execute("rollback")
        await wait_until(lambda: not revisions_store.failing)
        assert stored_rows(path) == {"acme": (1, 1, b"one"), "bolt": (1, 1, b"other")}
    other.close()


@asynchronous_test
async def test_a_damaged_file_is_set_aside_and_the_store_starts_empty(tmp_path: Path) -> None:
    """The file is no database: it is kept under another name for whoever looks into it, and the store works."""
    path = tmp_path / "n.db"
    path.write_bytes(b"no database at all, " * 200)
    async with store(path) as (revisions_store, counts):
        assert revisions_store.open() == [] and counts["namespaces: a damaged store"] == 1
        assert path.with_suffix(".damaged").exists()
        revisions_store.put("acme", (1, 1), b"one")
        await wait_until(lambda: bool(stored_rows(path)))


@asynchronous_test
async def test_pending_writes_are_tried_once_more_at_shutdown(tmp_path: Path) -> None:
    """A write has failed, and the process ends before its retry: it is written as the store is closed."""
    path, disk = tmp_path / "n.db", FailingDisk()
    async with store(path, disk) as (revisions_store, _):
        revisions_store.open()
        disk.fail(*FULL)
        revisions_store.put("acme", (1, 1), b"one")
        await wait_until(lambda: bool(revisions_store.failing))
    assert stored_rows(path) == {"acme": (1, 1, b"one")}
