"""Customers' revisions on a disk that fails: nothing is dropped, and nothing that is well is put aside."""

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
from .test_sockets import has, sockets


class Disk:
    """Fails the statements that begin with `statement`, as often as `errors` says."""

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
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(revisions, "WRITE_RETRY_PAUSE_S", 0.05)
    monkeypatch.setattr(revisions, "OPEN_PATIENCE_S", 0.3)
    monkeypatch.setattr(revisions, "BUSY_TIMEOUT_S", 0.05)


@asynccontextmanager
async def store(path: Path, disk: Disk | None = None) -> AsyncIterator[tuple[Store, Counter[str]]]:
    pool, counts = DaemonThreadPool(0, 1), Counter[str]()
    pool.start()
    made = Store(
        reactor(),
        path,
        pool,
        lambda what: counts.update([what]),
        connect if disk is None else disk.connect,
    )
    try:
        yield made, counts
    finally:
        made.close()
        await asyncio.to_thread(pool.stop)


def had(path: Path) -> dict[str, tuple[int, int, bytes | None]]:
    with sqlite3.connect(path) as db:
        return {c: (b, n, d) for c, b, n, d in db.execute("select customer, born, number, draft from had")}


async def written(path: Path) -> None:
    """A store that has one revision, and is closed."""
    async with store(path) as (made, _):
        made.open()
        made.put("acme", (1, 1), b"one")
        await has(lambda: bool(had(path)))


@pytest.mark.parametrize("error", [FULL, BROKEN])
@sockets
async def test_what_a_failing_disk_did_not_take_is_written_when_it_does(
    tmp_path: Path, error: tuple[str, int]
) -> None:
    path, disk = tmp_path / "n.db", Disk()
    async with store(path, disk) as (made, counts):
        assert made.open() == []
        disk.fail(*error, times=3)
        made.put("acme", (1, 1), b"one")
        await has(lambda: bool(made.failing))
        made.put("bolt", (1, 1), b"other")
        made.put("acme", (1, 2), b"two")
        await has(lambda: not made.failing)
        assert had(path) == {"acme": (1, 2, b"two"), "bolt": (1, 1, b"other")}
        assert counts["namespaces: store not written"] == 3


@sockets
async def test_anothers_success_does_not_hide_what_is_still_owed(tmp_path: Path) -> None:
    path, disk = tmp_path / "n.db", Disk()
    async with store(path, disk) as (made, _):
        made.open()
        disk.fail(*FULL)
        made.put("acme", (1, 1), b"one")
        made.put("bolt", (1, 1), b"other")
        await has(lambda: len(had(path)) == 2 and not made.failing)


@pytest.mark.parametrize("error", [FULL, BROKEN, ("database is locked", sqlite3.SQLITE_BUSY)])
@sockets
async def test_a_disk_that_fails_for_a_moment_at_the_start_costs_nothing(
    tmp_path: Path, error: tuple[str, int]
) -> None:
    path, disk = tmp_path / "n.db", Disk()
    await written(path)
    disk.fail(*error, times=2, statement="select")
    async with store(path, disk) as (made, _):
        assert made.open() == [("acme", (1, 1), b"one")]
    assert not path.with_suffix(".damaged").exists()


@sockets
async def test_a_file_that_stays_locked_is_left_in_place_and_written_to_later(tmp_path: Path) -> None:
    path = tmp_path / "n.db"
    await written(path)
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("begin exclusive")
    async with store(path) as (made, counts):
        assert made.open() == [] and made.failing
        assert not counts["namespaces: a damaged store"] and not path.with_suffix(".damaged").exists()
        made.put("bolt", (1, 1), b"other")
        made.put("acme", (1, 0), b"older")
        other.execute("rollback")
        await has(lambda: not made.failing)
        assert had(path) == {"acme": (1, 1, b"one"), "bolt": (1, 1, b"other")}
    other.close()


@sockets
async def test_a_damaged_file_is_kept_aside_and_the_store_begins_anew(tmp_path: Path) -> None:
    path = tmp_path / "n.db"
    path.write_bytes(b"no database at all, " * 200)
    async with store(path) as (made, counts):
        assert made.open() == [] and counts["namespaces: a damaged store"] == 1
        assert path.with_suffix(".damaged").exists()
        made.put("acme", (1, 1), b"one")
        await has(lambda: bool(had(path)))


@sockets
async def test_what_is_owed_at_the_end_is_tried_once_more(tmp_path: Path) -> None:
    path, disk = tmp_path / "n.db", Disk()
    async with store(path, disk) as (made, _):
        made.open()
        disk.fail(*FULL)
        made.put("acme", (1, 1), b"one")
        await has(lambda: bool(made.failing))
    assert had(path) == {"acme": (1, 1, b"one")}
