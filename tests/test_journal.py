"""Keepers with a disk that lasts: what was promised outlives the loss of power, of a part of the fleet or all of it."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import random
import resource
import time
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, BinaryIO

import pytest

from moorusher.config.operator_file import read_operator_file
from moorusher.config.section import ConfigError
from moorusher.model_checking.cluster_process import Process
from moorusher.model_checking.cluster_simulation import ClusterSimulation, find_counterexample
from moorusher.model_checking.scenario import FaultKind, Scenario
from moorusher.replication.acceptor import Acceptor
from moorusher.replication.journal import (
    JOURNAL_VERSION,
    IncarnationsRecord,
    JournalHeader,
    RecoveredRecord,
    RegisterRecord,
    encode_records,
    read_journal,
)
from moorusher.replication.messages import FAST_BALLOT, BallotRequest
from moorusher.replication.work_record import Owner, WorkRecord, WorkState
from moorusher.storage import journal_files as disk
from moorusher.storage.journal_files import FileSystem, JournalFolder, open_folder

from .fleets import Fleet, fleet, token
from .test_sockets import has, sockets
from .test_takeover import ask_again, many, once, quiet, refused, remembers, served

WHOSE = JournalHeader(JOURNAL_VERSION, "f", "digest", "a")
OWNER = Owner("b", 1)


def line(n: int, left_ms: int = 5000) -> RegisterRecord:
    return RegisterRecord(
        b"k%d" % n, (1, 2, 3), FAST_BALLOT, WorkRecord(WorkState.HELD, OWNER, 1, n, None), left_ms
    )


# ---- records ----


def test_a_file_is_read_up_to_any_torn_end() -> None:
    records = [WHOSE, IncarnationsRecord({"a": 4, "b": 9}), line(1), RecoveredRecord(), line(2), line(1, 7)]
    data = encode_records(records)
    ends = [len(encode_records(records[:n])) for n in range(len(records) + 1)]
    for cut in range(ends[1], len(data) + 1):
        whole = max(n for n, end in enumerate(ends) if end <= cut)
        image = read_journal(data[:cut], WHOSE)
        assert image.valid_bytes == ends[whole]
        assert image.registers == {r.key: r for r in records[:whole] if isinstance(r, RegisterRecord)}
        assert image.recovered == (whole >= 4)


@pytest.mark.parametrize("bit", range(8))
def test_a_bad_record_before_a_good_one_is_damage_and_not_an_end(bit: int) -> None:
    first, second = len(encode_records([WHOSE])), len(encode_records([WHOSE, line(1)]))
    whole = encode_records([WHOSE, line(1), line(2)])
    for at in range(first, second):  # its length, its checksum, its body
        data = bytearray(whole)
        data[at] ^= 1 << bit
        with pytest.raises(ValueError, match="damaged"):
            read_journal(bytes(data), WHOSE)


def test_bytes_of_a_record_that_are_missing_in_the_middle_are_damage() -> None:
    first, second = len(encode_records([WHOSE])), len(encode_records([WHOSE, line(1)]))
    whole = encode_records([WHOSE, line(1), line(2)])
    for at in range(first + 1, second):
        with pytest.raises(ValueError, match="damaged"):
            read_journal(whole[:at] + whole[second:], WHOSE)


def test_a_long_torn_end_is_looked_through_in_time() -> None:
    whole = encode_records([WHOSE, line(1)])
    began = time.monotonic()
    assert read_journal(whole + random.Random(1).randbytes(1 << 20), WHOSE).valid_bytes == len(whole)
    assert time.monotonic() - began < 10


def test_a_file_of_another_seat_fleet_or_version_is_not_read() -> None:
    for other in (
        JournalHeader(JOURNAL_VERSION, "f", "digest", "b"),
        JournalHeader(JOURNAL_VERSION, "g", "digest", "a"),
        JournalHeader(9, "f", "digest", "a"),
        JournalHeader(JOURNAL_VERSION, "f", "more seats", "a"),
    ):
        with pytest.raises(ValueError, match="another"):
            read_journal(encode_records([other, line(1)]), WHOSE)
    with pytest.raises(ValueError, match="no beginning"):
        read_journal(b"", WHOSE)


# ---- the folder, ended at each step ----


class Ended(BaseException):
    """The machine has lost its power."""


@dataclass
class Ends(FileSystem):
    """Power is lost at step `at`. What no fsync has confirmed is there in part, or not at all; so is a rename."""

    at: int
    part: float
    step: int = 0
    sure: dict[int, int] = field(default_factory=dict)  # bytes of a file that are confirmed, by its inode
    renamed: tuple[Path, Path, bytes | None] | None = None

    def _ends(self) -> bool:
        self.step += 1
        return self.step == self.at

    def _lose(self) -> None:
        if self.renamed is not None and self.part < 0.5:
            old, new, before = self.renamed
            new.replace(old)
            if before is not None:
                new.write_bytes(before)
        raise Ended

    def write(self, fd: int, data: bytes) -> int:
        ends = self._ends()
        done = super().write(fd, data[: int(len(data) * self.part)] if ends else data)
        if ends:
            self._lose()
        return done

    def sync(self, fd: int) -> None:
        if self._ends():
            self._lose()
        self.renamed = None

    def rename(self, old: Path, new: Path) -> None:
        if self._ends():
            self._lose()
        self.renamed = old, new, new.read_bytes() if new.exists() else None
        super().rename(old, new)

    def remove(self, path: Path) -> None:
        if self._ends():
            self._lose()
        super().remove(path)


def a_life(path: Path, files: FileSystem, left: dict[bytes, int], known: bool) -> None:
    """A keeper's life: what its votes say that left is in `left`, by key the round that it promised."""
    folder = JournalFolder(path, WHOSE, files)
    try:
        inc, image, _ = folder.open(1)
        keeper = Acceptor(
            "a", inc, lambda key: ("a", "b", "c"), frozenset("bc"), recovered=not known, journaled=True
        )
        if image is not None:
            keeper.restore(0, image)
            assert image.incarnations.get("a", 0) < inc
        assert keeper.recovered or not left, "its votes left, and it says that it may have forgotten"
        for key, promised in left.items():
            assert keeper.registers[key].promised[0] >= promised, "a vote left, and what it said is gone"
        for n in range(6):
            key = b"k%d" % (n % 4)
            asked = keeper.registers[key].promised[0] + 1 if key in keeper.registers else 2
            vote = keeper.vote(0, BallotRequest(n, key, (asked, 1, n), None, (0, 0, 0), {}, 5000))
            assert vote.accepted
            if n == 3:
                folder.rewrite(encode_records([WHOSE, *keeper.all_records(0)]))
            else:
                folder.append(encode_records(keeper.unsaved_records(0)))
            left[key] = asked
    finally:
        folder.close()


@pytest.mark.parametrize("part", [0.0, 0.6, 1.0])
def test_power_lost_at_any_step_loses_no_vote_that_has_left(tmp_path: Path, part: float) -> None:
    steps = 0
    for at in range(1, 200):
        left: dict[bytes, int] = {}
        path = tmp_path / f"{part}.{at}"
        a_life(path, FileSystem(), left, known=False)
        files = Ends(at, part)
        try:
            a_life(path, files, left, known=True)
        except Ended:
            steps += 1
            a_life(path, FileSystem(), left, known=True)
            a_life(path, FileSystem(), left, known=True)
            assert len([p for p in path.iterdir() if p.suffix == ".log"]) == 1, (
                "each life leaves a file behind"
            )
        else:
            break
    assert steps > 15


class Early(JournalFolder):
    """A seeded mistake: votes leave before the disk has confirmed them."""

    def _write(self, fd: int, data: bytes) -> None:
        self._files.write(fd, data)


def test_a_vote_that_does_not_wait_for_the_disk_is_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Forgets(Ends):
        def _lose(self) -> None:  # all that no fsync has confirmed
            for p in sorted(p for d in tmp_path.iterdir() for p in d.glob("*.log")):
                p.write_bytes(p.read_bytes()[: len(encode_records([WHOSE]))])
            raise Ended

    monkeypatch.setattr("tests.test_journal.JournalFolder", Early)
    left: dict[bytes, int] = {}
    a_life(tmp_path / "f", FileSystem(), left, known=False)
    with pytest.raises(Ended):
        a_life(tmp_path / "f", Forgets(7, 0.0), left, known=True)
    with pytest.raises(AssertionError, match="its votes left"):
        a_life(tmp_path / "f", FileSystem(), left, known=True)


def test_a_folder_that_another_process_writes_to_is_begun_anew_and_left_to_it(tmp_path: Path) -> None:
    elder, younger = JournalFolder(tmp_path, WHOSE), JournalFolder(tmp_path, WHOSE)
    first, _, _ = elder.open(10)
    elder.append(encode_records([line(1), RecoveredRecord()]))
    second, image, why = younger.open(3)
    assert second > first == 10 and image is None and "another process" in why
    elder.rewrite(encode_records([WHOSE, line(2), RecoveredRecord()]))
    elder.close()
    younger.close()
    third = JournalFolder(tmp_path, WHOSE)
    inc, image, why = third.open(1)
    assert inc > second and image is None and "forgotten" in why, (
        "the younger one has forgotten, and voted since"
    )
    third.close()


def test_a_file_that_is_written_anew_while_it_is_opened_is_still_its_writers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The lock was taken on the old file, which its writer had just let go."""
    elder, younger = JournalFolder(tmp_path, WHOSE), JournalFolder(tmp_path, WHOSE)
    elder.open(10)
    elder.append(encode_records([line(1), RecoveredRecord()]))
    lock, turns = fcntl.flock, iter([True])

    def flock(file: Any, how: int) -> None:
        if how & fcntl.LOCK_SH and next(turns, False):
            elder.rewrite(encode_records([WHOSE, line(2), RecoveredRecord()]))
        lock(file, how)

    monkeypatch.setattr("moorusher.storage.journal_files.fcntl.flock", flock)
    _, image, why = younger.open(3)
    assert image is None and "another process" in why
    elder.close()
    younger.close()


def test_a_clock_that_was_set_back_makes_no_incarnation_of_the_past(tmp_path: Path) -> None:
    incs = []
    for at in (1_000, 500, 400):
        folder = JournalFolder(tmp_path, WHOSE)
        incs.append(folder.open(at)[0])
        folder.close()
    assert incs == [1000, 1001, 1002]


def test_a_full_disk_at_the_start_leaves_what_the_last_life_wrote(tmp_path: Path) -> None:
    left: dict[bytes, int] = {}
    a_life(tmp_path, FileSystem(), left, known=False)

    class Full(FileSystem):
        def write(self, fd: int, data: bytes) -> int:
            raise OSError(28, "No space left on device")

    folder = JournalFolder(tmp_path, WHOSE, Full())
    with pytest.raises(OSError, match="No space"):
        folder.open(1)
    assert folder.incarnation and not folder.size, "its incarnation is known, and it may be written later"
    a_life(tmp_path, FileSystem(), left, known=True)


@dataclass
class Failing(FileSystem):
    """Each call of this kind fails, as many times as are left."""

    kind: str
    left: int
    number: int = errno.EIO

    def _call(self, kind: str) -> None:
        if kind == self.kind and self.left > 0:
            self.left -= 1
            raise OSError(self.number, os.strerror(self.number))

    def read(self, file: BinaryIO) -> bytes:
        self._call("read")
        return super().read(file)

    def write(self, fd: int, data: bytes) -> int:
        self._call("write")
        return super().write(fd, data)

    def sync(self, fd: int) -> None:
        self._call("sync")
        super().sync(fd)

    def rename(self, old: Path, new: Path) -> None:
        self._call("rename")
        super().rename(old, new)

    def remove(self, path: Path) -> None:
        self._call("remove")
        super().remove(path)


FOR_EVER = 10_000


def life_that_remembers(path: Path) -> None:
    folder = JournalFolder(path, WHOSE)
    folder.open(10)
    folder.append(encode_records([line(1), line(2), RecoveredRecord()]))
    folder.close()


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS])
@pytest.mark.parametrize("kind", ["write", "sync", "rename"])
def test_what_the_last_life_promised_is_known_though_nothing_can_be_written_yet(
    tmp_path: Path, kind: str, number: int
) -> None:
    life_that_remembers(tmp_path)
    found = open_folder(tmp_path, WHOSE, 1, Failing(kind, FOR_EVER, number))
    assert not found.is_written and os.strerror(number) in found.reason
    assert found.image is not None and found.image.recovered and len(found.image.registers) == 2
    assert found.incarnation == 11


def test_a_file_that_can_be_read_a_moment_later_is_read(tmp_path: Path) -> None:
    life_that_remembers(tmp_path)
    found = open_folder(tmp_path, WHOSE, 1, Failing("read", 3))
    assert found.is_written and found.image is not None and len(found.image.registers) == 2
    found.folder.close()


def test_a_file_that_stays_unreadable_is_kept_and_the_life_begins_as_one_that_forgot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(disk, "OPEN_TIMEOUT_S", 0.1)
    life_that_remembers(tmp_path)
    found = open_folder(tmp_path, WHOSE, 1, Failing("read", FOR_EVER))
    assert found.is_written and found.image is None and "10.log can't be read and is kept" in found.reason
    assert found.incarnation == 11 and (tmp_path / "10.log.damaged").exists()
    found.folder.close()


def test_a_damaged_file_is_kept_beside_the_new_one(tmp_path: Path) -> None:
    life_that_remembers(tmp_path)
    data = bytearray((tmp_path / "10.log").read_bytes())
    data[len(encode_records([WHOSE])) + 15] ^= 1
    (tmp_path / "10.log").write_bytes(data)
    found = open_folder(tmp_path, WHOSE, 1)
    assert found.image is None and "10.log is not used, and is kept: damaged at byte" in found.reason
    assert (tmp_path / "10.log.damaged").read_bytes() == data
    found.folder.close()
    again = open_folder(tmp_path, WHOSE, 1)
    assert again.image is None and "forgotten" in again.reason, "a file kept aside counts for nothing"
    again.folder.close()


def test_whole_files_that_killed_lives_did_not_finish_are_removed(tmp_path: Path) -> None:
    life_that_remembers(tmp_path)
    for name in ("7.log.new", "10.log.new"):
        (tmp_path / name).write_bytes(b"half")
    found = open_folder(tmp_path, WHOSE, 1)
    assert found.image is not None and [p.name for p in tmp_path.iterdir()] == ["11.log"]
    found.folder.close()


def test_a_file_that_can_not_be_removed_does_not_matter(tmp_path: Path) -> None:
    life_that_remembers(tmp_path)
    found = open_folder(tmp_path, WHOSE, 1, Failing("remove", 1))
    assert found.is_written and found.image is not None
    found.folder.close()


def test_a_folder_that_can_not_be_read_is_named_with_its_remedy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(disk, "OPEN_TIMEOUT_S", 0.1)
    (tmp_path / "file").write_text("no folder")
    with pytest.raises(ConfigError, match="check the disk, or name another folder"):
        open_folder(tmp_path / "file", WHOSE, 1)


def test_the_folder_is_named_from_the_root(tmp_path: Path) -> None:
    fronts = tmp_path / "fronts.toml"
    fronts.write_text('[fleet]\nlisten = "127.0.0.1:1"\nname = "f"\njournal = "here"\n')
    with pytest.raises(ConfigError, match=r"fleet\.journal"):
        read_operator_file(fronts)


# ---- a fleet in virtual time ----

DISKS = Scenario(
    journals=True,
    faults=9,
    fault_kinds=(
        FaultKind.CRASH,
        FaultKind.QUICK_RESTART,
        FaultKind.POWER_FAILURE,
        FaultKind.POWER_FAILURE,
        FaultKind.PAUSE,
        FaultKind.PARTITION,
        FaultKind.ONE_WAY_PARTITION,
        FaultKind.KERNEL_OUTAGE,
    ),
)


def test_no_seed_loses_work_or_runs_it_twice_with_disks_and_power_that_fails() -> None:
    """The power of all members fails during writes; each restarts with the part of its journal that was written."""
    found = find_counterexample(range(30), partial(ClusterSimulation, scenario=DISKS))
    assert found is None, f"ClusterSimulation({found.seed}, DISKS).play(): {found.violation}" if found else ""


class VotesBeforeWrite(Process):
    """A seeded mistake: a vote counts while it is being written to the disk."""

    def durable(self, then, space):  # type: ignore[no-untyped-def]
        super().durable(lambda: None, space)
        then()


def test_some_seed_finds_a_vote_that_counts_before_it_is_written() -> None:
    assert (
        find_counterexample(
            range(150), partial(ClusterSimulation, scenario=DISKS, process_class=VotesBeforeWrite)
        )
        is not None
    )


# ---- real processes ----


async def wake_all(f: Fleet) -> None:
    for i in range(len(f.runners)):
        f.again(i)
    for i, r in enumerate(f.runners):
        await r.ready()
        await remembers(f, i)


@pytest.mark.processes
@sockets
async def test_a_fleet_that_lost_its_power_remembers_and_goes_on() -> None:
    """Nobody is left who could tell the others, and nobody says that the fleet is new."""
    async with fleet(3, work=0.4, journals=True, aim_ms=8000) as f:
        over = token()
        assert served(over, await (await f.front(1)).ask("submit", token=over, body=over.encode()))
        asked = await many(f, 10)
        quiet(asked)
        began = f.began(0, 1, 2)
        for i in range(3):
            f.kill(i)
        await f.gone()
        held = set(asked) - began
        assert held
        await wake_all(f)
        got = await ask_again(f, 2, [over, *asked])
        assert served(over, got[over]), "its result was written down"
        assert all("error" in got[t] and not refused(got[t]) for t in set(asked) & began), "it may have run"
        assert all(served(t, got[t]) for t in held)
        once(f, [over, *asked])


@pytest.mark.processes
@sockets
async def test_held_work_is_gone_on_with_though_nobody_asks_and_its_owner_does_not_come_back() -> None:
    async with fleet(3, work=0.4, journals=True, aim_ms=8000) as f:
        asked = await many(f, 10)
        quiet(asked)
        held = set(asked) - f.began(0)
        for i in range(3):
            f.kill(i)
        await f.gone()
        for i in (1, 2):
            f.again(i)
            await f.runners[i].ready()
        await has(lambda: held <= f.began(1, 2))
        once(f, asked)


@pytest.mark.processes
@sockets
async def test_a_keeper_whose_disk_is_full_has_no_vote_until_it_can_write_again() -> None:
    # A vote that is given counts, however late a busy machine lets it come: only one that is never given must not.
    async with fleet(3, work=0.02, journals=True, claim_ms=3_000) as f:

        def limit(
            i: int, most: int
        ) -> None:  # a file may not grow past it: EFBIG, as a full disk says ENOSPC
            resource.prlimit(f.runners[i].process.pid, resource.RLIMIT_FSIZE, (most, resource.RLIM_INFINITY))

        async def ask() -> bool:
            t = token()
            return served(t, await (await f.front(0)).ask("submit", token=t, body=t.encode()))

        assert await ask()
        limit(1, 10)
        assert await ask() and await ask(), "two of three are a majority"
        assert (await f.runners[1].counters())["fleet: the disk failed"] == 1
        limit(2, 10)
        assert not await ask()
        assert not await ask()
        limit(1, resource.RLIM_INFINITY)
        await asyncio.sleep(0.1)
        for _ in range(50):
            if await ask():
                break
            await asyncio.sleep(0.1)
        else:
            raise AssertionError("the disk takes writes again, and the keeper does not vote")


@pytest.mark.processes
@sockets
async def test_a_keeper_with_a_disk_votes_at_once_after_it_was_killed() -> None:
    """Without one, two that forget within a window leave its keys without a majority."""
    async with fleet(3, work=0.02, journals=True, window_ms=60_000) as f:
        tokens = [token() for _ in range(5)]
        assert all(served(t, a) for t, a in (await ask_again(f, 0, tokens)).items())
        for i in (1, 2):
            f.runners[i].process.kill()
        for i in (1, 2):
            f.runners[i].process.wait()
        for i in (1, 2):
            f.runners[i].again()
            await f.runners[i].ready()
            await remembers(f, i)
        got = await ask_again(f, 1, tokens)
        assert all(served(t, a) for t, a in got.items())
        once(f, tokens)
