"""The store of revisions on a failing disk: no write may be lost, and no intact file renamed as damaged."""

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
    """Opens connections on which statements that begin with `statement` fail, one with each of `errors`."""

    def __init__(self) -> None:
        self.statement = "insert"
        self.errors: list[sqlite3.Error] = []

    def fail(self, text: str, code: int, times: int = 1, statement: str = "insert") -> None:
        """Let the next `times` statements fail."""
        self.statement = statement
        for _ in range(times):
            exc = sqlite3.OperationalError(text)
            exc.sqlite_errorcode = code
            self.errors.append(exc)

    def connect(self, path: Path) -> sqlite3.Connection:
        disk = self

        class FailingConnection(sqlite3.Connection):
            def execute(self, sql: str, *parameters: Any) -> sqlite3.Cursor:
                if disk.errors and sql.startswith(disk.statement):
                    raise disk.errors.pop(0)
                return super().execute(sql, *parameters)

        return sqlite3.connect(path, check_same_thread=False, isolation_level=None, factory=FailingConnection)


FULL = ("database or disk is full", sqlite3.SQLITE_FULL)
BROKEN = ("disk I/O error", sqlite3.SQLITE_IOERR)


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(revisions, "WRITE_RETRY_PAUSE_S", 0.05)
    monkeypatch.setattr(revisions, "OPEN_TIMEOUT_S", 0.3)
    monkeypatch.setattr(revisions, "BUSY_TIMEOUT_S", 0.05)


@asynccontextmanager
async def open_store(
    path: Path, disk: FailingDisk | None = None
) -> AsyncIterator[tuple[Store, Counter[str]]]:
    pool, counts = DaemonThreadPool(0, 1), Counter[str]()
    pool.start()
    revisions_store = Store(
        reactor(),
        path,
        pool,
        lambda name: counts.update([name]),
        connect if disk is None else disk.connect,
    )
    try:
        yield revisions_store, counts
    finally:
        revisions_store.close()
        await asyncio.to_thread(pool.stop)


def stored_rows(path: Path) -> dict[str, tuple[int, int, bytes | None]]:
    with sqlite3.connect(path) as db:
        return {
            customer: (born, number, draft)
            for customer, born, number, draft in db.execute("select customer, born, number, draft from had")
        }


async def write_one_revision(path: Path) -> None:
    """Leave a closed store with one revision."""
    async with open_store(path) as (revisions_store, _):
        revisions_store.open()
        revisions_store.put("acme", (1, 1), b"one")
        await wait_until(lambda: bool(stored_rows(path)))


@pytest.mark.parametrize("error", [FULL, BROKEN])
@asynchronous_test
async def test_failed_writes_are_retried_until_they_succeed(tmp_path: Path, error: tuple[str, int]) -> None:
    """The disk is full, or has errors, for three writes. Meanwhile the store reports a failure.

    Once the disk works again, every customer's latest revision is written, including those put during the failure.
    """
    path, disk = tmp_path / "n.db", FailingDisk()
    async with open_store(path, disk) as (revisions_store, counts):
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
    async with open_store(path, disk) as (revisions_store, _):
        revisions_store.open()
        disk.fail(*FULL)
        revisions_store.put("acme", (1, 1), b"one")
        revisions_store.put("bolt", (1, 1), b"other")
        await wait_until(lambda: len(stored_rows(path)) == 2 and not revisions_store.failing)


@pytest.mark.parametrize("error", [FULL, BROKEN, ("database is locked", sqlite3.SQLITE_BUSY)])
@asynchronous_test
async def test_a_short_disk_failure_at_startup_loses_nothing(tmp_path: Path, error: tuple[str, int]) -> None:
    """Two reads fail as the process starts: the file must be read again, and not be treated as damaged."""
    path, disk = tmp_path / "n.db", FailingDisk()
    await write_one_revision(path)
    disk.fail(*error, times=2, statement="select")
    async with open_store(path, disk) as (revisions_store, _):
        assert revisions_store.open() == [("acme", (1, 1), b"one")]
    assert not path.with_suffix(".damaged").exists()


@asynchronous_test
async def test_a_locked_file_is_not_renamed_and_is_written_later(tmp_path: Path) -> None:
    """Another process locks the file for longer than the store waits, so the runner serves without stored revisions.

    Once the file is unlocked, new revisions are written, and none in the file is overwritten by an older one.
    """
    path = tmp_path / "n.db"
    await write_one_revision(path)
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("begin exclusive")
    async with open_store(path) as (revisions_store, counts):
        assert revisions_store.open() == [] and revisions_store.failing
        assert not counts["namespaces: a damaged store"] and not path.with_suffix(".damaged").exists()
        revisions_store.put("bolt", (1, 1), b"other")
        revisions_store.put("acme", (1, 0), b"older")
        other.execute("rollback")
        await wait_until(lambda: not revisions_store.failing)
        assert stored_rows(path) == {"acme": (1, 1, b"one"), "bolt": (1, 1, b"other")}
    other.close()


@asynchronous_test
async def test_a_damaged_file_is_renamed_and_the_store_starts_empty(tmp_path: Path) -> None:
    """The file is not a database: it is renamed, so that it can be examined, and the store works."""
    path = tmp_path / "n.db"
    path.write_bytes(b"no database at all, " * 200)
    async with open_store(path) as (revisions_store, counts):
        assert revisions_store.open() == [] and counts["namespaces: a damaged store"] == 1
        assert path.with_suffix(".damaged").exists()
        revisions_store.put("acme", (1, 1), b"one")
        await wait_until(lambda: bool(stored_rows(path)))


@asynchronous_test
async def test_pending_writes_are_retried_once_at_shutdown(tmp_path: Path) -> None:
    """A write has failed, and the process ends before the retry: closing the store must write it."""
    path, disk = tmp_path / "n.db", FailingDisk()
    async with open_store(path, disk) as (revisions_store, _):
        revisions_store.open()
        disk.fail(*FULL)
        revisions_store.put("acme", (1, 1), b"one")
        await wait_until(lambda: bool(revisions_store.failing))
    assert stored_rows(path) == {"acme": (1, 1, b"one")}
