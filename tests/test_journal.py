"""Journals of acceptors: no promise is lost by a power loss of one member or of the whole cluster."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import random
import resource
import time
from collections import Counter
from dataclasses import dataclass
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
from moorusher.replication.key_tenure import TenureStage
from moorusher.replication.messages import FAST_BALLOT, BallotRequest
from moorusher.replication.work_record import Owner, WorkRecord, WorkState
from moorusher.storage import journal_files
from moorusher.storage.journal_files import FileSystem, JournalFolder, open_folder

from .fleets import Fleet, fleet, token
from .stand_ins import until
from .test_sockets import asynchronous_test, wait_until
from .test_takeover import (
    PendingAnswer,
    assert_ran_at_most_once,
    ignore_outcomes,
    is_rejected,
    is_served,
    retry_requests,
    send_requests,
    wait_until_recovered,
)

HEADER = JournalHeader(JOURNAL_VERSION, "f", "digest", "a")
OWNER = Owner("b", 1)


def register_record(number: int, left_ms: int = 5000) -> RegisterRecord:
    """Create the register record of key number `number`."""
    return RegisterRecord(
        b"k%d" % number, (1, 2, 3), FAST_BALLOT, WorkRecord(WorkState.QUEUED, OWNER, 1, number, None), left_ms
    )


# ---- records ----


def test_a_journal_is_read_up_to_a_torn_record_at_its_end() -> None:
    """Power is lost during a write, at any byte. All complete records must be read."""
    records = [
        HEADER,
        IncarnationsRecord({"a": 4, "b": 9}),
        register_record(1),
        RecoveredRecord(),
        register_record(2),
        register_record(1, 7),
    ]
    data = encode_records(records)
    record_ends = [len(encode_records(records[:number])) for number in range(len(records) + 1)]
    for cut in range(record_ends[1], len(data) + 1):
        complete = max(number for number, end in enumerate(record_ends) if end <= cut)
        image = read_journal(data[:cut], HEADER)
        assert image.valid_bytes == record_ends[complete]
        assert image.registers == {
            record.key: record for record in records[:complete] if isinstance(record, RegisterRecord)
        }
        assert image.recovered == (complete >= 4)


@pytest.mark.parametrize("bit", range(8))
def test_a_corrupt_record_before_a_valid_one_is_damage_and_not_a_torn_end(bit: int) -> None:
    """A bit of a record flips on the disk.

    If the journal were cut there as at a torn end, the records after it would be lost, and with them promises whose
    votes were sent.
    """
    first = len(encode_records([HEADER]))
    second = len(encode_records([HEADER, register_record(1)]))
    complete = encode_records([HEADER, register_record(1), register_record(2)])
    for position in range(first, second):  # The record's length, checksum and body.
        data = bytearray(complete)
        data[position] ^= 1 << bit
        with pytest.raises(ValueError, match="damaged"):
            read_journal(bytes(data), HEADER)


def test_missing_bytes_in_the_middle_of_a_journal_are_damage() -> None:
    first = len(encode_records([HEADER]))
    second = len(encode_records([HEADER, register_record(1)]))
    complete = encode_records([HEADER, register_record(1), register_record(2)])
    for position in range(first + 1, second):
        with pytest.raises(ValueError, match="damaged"):
            read_journal(complete[:position] + complete[second:], HEADER)


def test_a_long_torn_end_is_read_in_bounded_time() -> None:
    complete = encode_records([HEADER, register_record(1)])
    started_at = time.monotonic()
    assert read_journal(complete + random.Random(1).randbytes(1 << 20), HEADER).valid_bytes == len(complete)
    assert time.monotonic() - started_at < 10


def test_a_journal_of_another_member_cluster_or_version_is_rejected() -> None:
    for other in (
        JournalHeader(JOURNAL_VERSION, "f", "digest", "b"),
        JournalHeader(JOURNAL_VERSION, "g", "digest", "a"),
        JournalHeader(9, "f", "digest", "a"),
        JournalHeader(JOURNAL_VERSION, "f", "more seats", "a"),
    ):
        with pytest.raises(ValueError, match="another"):
            read_journal(encode_records([other, register_record(1)]), HEADER)
    with pytest.raises(ValueError, match="header record is missing"):
        read_journal(b"", HEADER)


# ---- the journal folder, with a power loss at each step ----


class PowerLost(BaseException):
    """The machine loses power."""


@dataclass
class PowerLossAtStep(FileSystem):
    """Loses power at step `failing_step`.

    If this step is a write, only the share `part` of its bytes is on disk. If `part` is below 0.5, the last rename is
    undone unless an fsync has confirmed it.
    """

    failing_step: int
    part: float
    step: int = 0
    renamed: tuple[Path, Path, bytes | None] | None = None

    def _is_last_step(self) -> bool:
        self.step += 1
        return self.step == self.failing_step

    def _lose_power(self) -> None:
        if self.renamed is not None and self.part < 0.5:
            old, new, before = self.renamed
            new.replace(old)
            if before is not None:
                new.write_bytes(before)
        raise PowerLost

    def write(self, fd: int, data: bytes) -> int:
        is_last = self._is_last_step()
        written = super().write(fd, data[: int(len(data) * self.part)] if is_last else data)
        if is_last:
            self._lose_power()
        return written

    def sync(self, fd: int) -> None:
        if self._is_last_step():
            self._lose_power()
        self.renamed = None

    def rename(self, old: Path, new: Path) -> None:
        if self._is_last_step():
            self._lose_power()
        self.renamed = old, new, new.read_bytes() if new.exists() else None
        super().rename(old, new)

    def remove(self, path: Path) -> None:
        if self._is_last_step():
            self._lose_power()
        super().remove(path)


def run_acceptor(
    path: Path, files: FileSystem, sent_promises: dict[bytes, int], has_run_before: bool
) -> None:
    """Run an acceptor on this folder. `sent_promises` records the latest round that it has promised, by key."""
    folder = JournalFolder(path, HEADER, files)
    try:
        incarnation, image, _ = folder.open(1)
        acceptor = Acceptor(
            "a",
            incarnation,
            lambda key: ("a", "b", "c"),
            frozenset("bc"),
            recovered=not has_run_before,
            journaled=True,
        )
        if image is not None:
            acceptor.restore(0, image)
            assert image.incarnations.get("a", 0) < incarnation
        assert acceptor.recovered or not sent_promises, "it sent votes and has not recovered them"
        for key, promised in sent_promises.items():
            assert acceptor.registers[key].promised[0] >= promised, (
                "a promise is lost although its vote was sent"
            )
        for number in range(6):
            key = b"k%d" % (number % 4)
            round_number = acceptor.registers[key].promised[0] + 1 if key in acceptor.registers else 2
            vote = acceptor.vote(
                0, BallotRequest(number, key, (round_number, 1, number), None, (0, 0, 0), {}, 5000)
            )
            assert vote.accepted
            if number == 3:
                folder.rewrite(encode_records([HEADER, *acceptor.all_records(0)]))
            else:
                folder.append(encode_records(acceptor.unsaved_records(0)))
            sent_promises[key] = round_number
    finally:
        folder.close()


@pytest.mark.parametrize("part", [0.0, 0.6, 1.0])
def test_power_loss_at_any_step_loses_no_vote_that_was_sent(tmp_path: Path, part: float) -> None:
    """Power is lost at each file system step in turn, and the acceptor restarts with the remaining files."""
    steps = 0
    for failing_step in range(1, 200):
        sent_promises: dict[bytes, int] = {}
        path = tmp_path / f"{part}.{failing_step}"
        run_acceptor(path, FileSystem(), sent_promises, has_run_before=False)
        files = PowerLossAtStep(failing_step, part)
        try:
            run_acceptor(path, files, sent_promises, has_run_before=True)
        except PowerLost:
            steps += 1
            run_acceptor(path, FileSystem(), sent_promises, has_run_before=True)
            run_acceptor(path, FileSystem(), sent_promises, has_run_before=True)
            assert len([file for file in path.iterdir() if file.suffix == ".log"]) == 1, (
                "an earlier process has left its file behind"
            )
        else:
            break
    assert steps > 15


class SendsBeforeSync(JournalFolder):
    """A deliberate fault: votes are sent before the disk has confirmed them."""

    def _write(self, fd: int, data: bytes) -> None:
        self._files.write(fd, data)


def test_votes_sent_before_the_disk_has_confirmed_them_are_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class LosesUnsyncedBytes(PowerLossAtStep):
        """Loses everything after the header."""

        def _lose_power(self) -> None:
            for file in sorted(file for folder in tmp_path.iterdir() for file in folder.glob("*.log")):
                file.write_bytes(file.read_bytes()[: len(encode_records([HEADER]))])
            raise PowerLost

    monkeypatch.setattr("tests.test_journal.JournalFolder", SendsBeforeSync)
    sent_promises: dict[bytes, int] = {}
    run_acceptor(tmp_path / "f", FileSystem(), sent_promises, has_run_before=False)
    with pytest.raises(PowerLost):
        run_acceptor(tmp_path / "f", LosesUnsyncedBytes(7, 0.0), sent_promises, has_run_before=True)
    with pytest.raises(AssertionError, match="it sent votes and has not recovered them"):
        run_acceptor(tmp_path / "f", FileSystem(), sent_promises, has_run_before=True)


def test_a_journal_that_another_process_writes_is_not_used_and_a_new_one_is_created(tmp_path: Path) -> None:
    """Two processes of one member run at once, as in a hot restart: the second one has to recover."""
    older = JournalFolder(tmp_path, HEADER)
    newer = JournalFolder(tmp_path, HEADER)
    first, _, _ = older.open(10)
    older.append(encode_records([register_record(1), RecoveredRecord()]))
    second, image, reason = newer.open(3)
    assert second > first == 10 and image is None and "another process" in reason
    older.rewrite(encode_records([HEADER, register_record(2), RecoveredRecord()]))
    older.close()
    newer.close()
    third = JournalFolder(tmp_path, HEADER)
    incarnation, image, reason = third.open(1)
    assert incarnation > second and image is None and "had not recovered the state" in reason, (
        "the newer process had not recovered, and its votes are missing from the older journal"
    )
    third.close()


def test_a_journal_that_is_rewritten_while_it_is_opened_still_belongs_to_its_writer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process locks the old file just when the writer replaces it, and must notice that another file is in use."""
    older = JournalFolder(tmp_path, HEADER)
    newer = JournalFolder(tmp_path, HEADER)
    older.open(10)
    older.append(encode_records([register_record(1), RecoveredRecord()]))
    lock = fcntl.flock
    turns = iter([True])

    def flock(file: Any, operation: int) -> None:
        if operation & fcntl.LOCK_SH and next(turns, False):
            older.rewrite(encode_records([HEADER, register_record(2), RecoveredRecord()]))
        lock(file, operation)

    monkeypatch.setattr("moorusher.storage.journal_files.fcntl.flock", flock)
    _, image, reason = newer.open(3)
    assert image is None and "another process" in reason
    older.close()
    newer.close()


def test_incarnations_grow_although_the_clock_was_set_back(tmp_path: Path) -> None:
    incarnations = []
    for clock in (1_000, 500, 400):
        folder = JournalFolder(tmp_path, HEADER)
        incarnations.append(folder.open(clock)[0])
        folder.close()
    assert incarnations == [1000, 1001, 1002]


def test_a_full_disk_at_the_start_keeps_the_journal_of_the_last_process(tmp_path: Path) -> None:
    """The disk is full when the acceptor starts. Its earlier promises must not be lost."""
    sent_promises: dict[bytes, int] = {}
    run_acceptor(tmp_path, FileSystem(), sent_promises, has_run_before=False)

    class FullDisk(FileSystem):
        def write(self, fd: int, data: bytes) -> int:
            raise OSError(28, "No space left on device")

    folder = JournalFolder(tmp_path, HEADER, FullDisk())
    with pytest.raises(OSError, match="No space"):
        folder.open(1)
    assert folder.incarnation and not folder.size, (
        "the incarnation is known, and the file can be written later"
    )
    run_acceptor(tmp_path, FileSystem(), sent_promises, has_run_before=True)


@dataclass
class FailingFileSystem(FileSystem):
    """Fails the first `failures_left` calls of one kind with an error number."""

    kind: str
    failures_left: int
    error_number: int = errno.EIO

    def _call(self, kind: str) -> None:
        if kind == self.kind and self.failures_left > 0:
            self.failures_left -= 1
            raise OSError(self.error_number, os.strerror(self.error_number))

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


ALWAYS = 10_000


def write_recovered_journal(path: Path) -> None:
    """Write the journal of a process that has recovered, with two registers."""
    folder = JournalFolder(path, HEADER)
    folder.open(10)
    folder.append(encode_records([register_record(1), register_record(2), RecoveredRecord()]))
    folder.close()


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EIO, errno.EROFS])
@pytest.mark.parametrize("kind", ["write", "sync", "rename"])
def test_promises_of_the_last_process_are_recovered_although_the_disk_can_not_be_written(
    tmp_path: Path, kind: str, error_number: int
) -> None:
    """The disk is full, broken or read-only at the start, but can still be read."""
    write_recovered_journal(tmp_path)
    opened = open_folder(tmp_path, HEADER, 1, FailingFileSystem(kind, ALWAYS, error_number))
    assert not opened.is_written and os.strerror(error_number) in opened.reason
    assert opened.image is not None and opened.image.recovered and len(opened.image.registers) == 2
    assert opened.incarnation == 11


def test_a_journal_that_is_temporarily_unreadable_is_read_after_retries(tmp_path: Path) -> None:
    write_recovered_journal(tmp_path)
    opened = open_folder(tmp_path, HEADER, 1, FailingFileSystem("read", 3))
    assert opened.is_written and opened.image is not None and len(opened.image.registers) == 2
    opened.folder.close()


def test_a_permanently_unreadable_journal_is_retained_and_the_acceptor_has_to_recover(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each read fails. The file is retained for the operator, and the acceptor starts without its promises."""
    monkeypatch.setattr(journal_files, "OPEN_TIMEOUT_S", 0.1)
    write_recovered_journal(tmp_path)
    opened = open_folder(tmp_path, HEADER, 1, FailingFileSystem("read", ALWAYS))
    assert opened.is_written and opened.image is None and "10.log can't be read and is kept" in opened.reason
    assert opened.incarnation == 11 and (tmp_path / "10.log.damaged").exists()
    opened.folder.close()


def test_a_damaged_journal_is_retained_beside_the_new_one(tmp_path: Path) -> None:
    """One bit of the journal is wrong. Neither this process nor a later one may use or delete the file."""
    write_recovered_journal(tmp_path)
    data = bytearray((tmp_path / "10.log").read_bytes())
    data[len(encode_records([HEADER])) + 15] ^= 1
    (tmp_path / "10.log").write_bytes(data)
    opened = open_folder(tmp_path, HEADER, 1)
    assert opened.image is None and "10.log is not used, and is kept: damaged at byte" in opened.reason
    assert (tmp_path / "10.log.damaged").read_bytes() == data
    opened.folder.close()
    reopened = open_folder(tmp_path, HEADER, 1)
    assert reopened.image is None and "had not recovered the state" in reopened.reason, (
        "a retained damaged file must not be used"
    )
    reopened.folder.close()


def test_unfinished_rewrites_of_killed_processes_are_removed(tmp_path: Path) -> None:
    """Processes were killed while they rewrote their journals."""
    write_recovered_journal(tmp_path)
    for name in ("7.log.new", "10.log.new"):
        (tmp_path / name).write_bytes(b"half")
    opened = open_folder(tmp_path, HEADER, 1)
    assert opened.image is not None and [file.name for file in tmp_path.iterdir()] == ["11.log"]
    opened.folder.close()


def test_an_old_journal_that_can_not_be_removed_is_harmless(tmp_path: Path) -> None:
    write_recovered_journal(tmp_path)
    opened = open_folder(tmp_path, HEADER, 1, FailingFileSystem("remove", 1))
    assert opened.is_written and opened.image is not None
    opened.folder.close()


def test_an_unreadable_journal_folder_is_an_error_with_a_remedy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(journal_files, "OPEN_TIMEOUT_S", 0.1)
    (tmp_path / "file").write_text("no folder")
    with pytest.raises(ConfigError, match="check the disk, or name another folder"):
        open_folder(tmp_path / "file", HEADER, 1)


def test_the_journal_folder_has_to_be_an_absolute_path(tmp_path: Path) -> None:
    operator_file = tmp_path / "fronts.toml"
    operator_file.write_text('[fleet]\nlisten = "127.0.0.1:1"\nname = "f"\njournal = "here"\n')
    with pytest.raises(ConfigError, match=r"fleet\.journal"):
        read_operator_file(operator_file)


# ---- a cluster in virtual time ----

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


def test_no_seed_loses_work_or_runs_it_twice_with_journals_and_power_failures() -> None:
    """All members lose power during writes. Each restarts with the part of its journal that is on disk."""
    counterexample = find_counterexample(range(30), partial(ClusterSimulation, scenario=DISKS))
    assert counterexample is None, (
        f"ClusterSimulation({counterexample.seed}, DISKS).play(): {counterexample.violation}"
        if counterexample
        else ""
    )


class VotesBeforeWrite(Process):
    """A deliberate fault: a vote counts before it is on disk."""

    def call_when_durable(self, then, space):  # type: ignore[no-untyped-def]
        super().call_when_durable(lambda: None, space)
        then()


def test_some_seed_finds_votes_that_count_before_they_are_written() -> None:
    assert (
        find_counterexample(
            range(150), partial(ClusterSimulation, scenario=DISKS, process_class=VotesBeforeWrite)
        )
        is not None
    )


# ---- real processes ----


async def restart_all(cluster: Fleet) -> None:
    """Restart all members and wait until each is ready and has recovered."""
    for i in range(len(cluster.runners)):
        cluster.restart(i)
    for i, runner in enumerate(cluster.runners):
        await runner.ready()
        await wait_until_recovered(cluster, i)


# On a busy machine a restart of three runners takes up to 5 s, and a claim longer than 250 ms.
PATIENCE = {"aim_ms": 16_000, "deadline_ms": 16_000, "claim_ms": 3_000}


async def hold_work(cluster: Fleet, requests: dict[str, PendingAnswer]) -> tuple[set[str], set[str]]:
    """Stop the kernels' cores, so that nothing more starts, and return the started and the queued keys.

    A runner records a start before it commands the run. If it is killed in between, nobody can know that the key did
    not run, and it ends without a result like one that did. So this waits until the kernel has read each such command.
    """
    for kernel in cluster.kernels:
        kernel.slow(0.0)

    def pending() -> set[str]:
        return {key for key, answer in requests.items() if not answer.done()}

    async def kernel_has_read_all_starts() -> bool:
        work = (await cluster.runners[0].counters("fleet/work"))["work"]
        stages = Counter([entry["stage"] for entry in work])
        started, queued = stages[TenureStage.STARTED.value], stages[TenureStage.QUEUED.value]
        return started + queued == stages.total() and started == len(cluster.started_keys(0) & pending())

    await until(kernel_has_read_all_starts)
    started = cluster.started_keys(0) & pending()
    return started, pending() - started


@pytest.mark.processes
@asynchronous_test
async def test_a_cluster_recovers_its_keys_after_a_power_loss_of_all_members() -> None:
    """All members are killed at once, so that only their journals have the state of the keys.

    Requests that may have run fail, those that were queued run once, and finished ones keep their results.
    """
    async with fleet(3, work=0.4, journals=True, **PATIENCE) as cluster:
        finished_key = token()
        assert is_served(
            finished_key,
            await (await cluster.connect_front_end(1)).ask(
                "submit", token=finished_key, body=finished_key.encode()
            ),
        )
        requests = await send_requests(cluster, 10, budget_ms=PATIENCE["deadline_ms"])
        ignore_outcomes(requests)
        started, queued = await hold_work(cluster, requests)
        for i in range(3):
            cluster.kill(i)
        await cluster.wait_for_exit()
        assert queued and started
        await restart_all(cluster)
        answers = await retry_requests(cluster, 2, [finished_key, *started, *queued])
        assert is_served(finished_key, answers[finished_key]), "its result is in the journals"
        assert all("error" in answers[key] and not is_rejected(answers[key]) for key in started), (
            "work that may have run must fail and not run again"
        )
        assert all(is_served(key, answers[key]) for key in queued)
        assert_ran_at_most_once(cluster, [finished_key, *requests])


@pytest.mark.processes
@asynchronous_test
async def test_queued_work_is_taken_over_without_a_retry_after_a_power_loss_of_all_members() -> None:
    """All members are killed and one is not restarted. The others find its queued work in their journals."""
    async with fleet(3, work=0.4, journals=True, **PATIENCE) as cluster:
        requests = await send_requests(cluster, 10, budget_ms=PATIENCE["deadline_ms"])
        ignore_outcomes(requests)
        _, queued = await hold_work(cluster, requests)
        for i in range(3):
            cluster.kill(i)
        await cluster.wait_for_exit()
        assert queued
        for i in (1, 2):
            cluster.restart(i)
            await cluster.runners[i].ready()
        await wait_until(lambda: queued <= cluster.started_keys(1, 2))
        assert_ran_at_most_once(cluster, requests)


@pytest.mark.processes
@asynchronous_test
async def test_an_acceptor_with_a_full_disk_does_not_vote_until_it_can_write_again() -> None:
    """The disks of two of three members are full, so there is no majority until one of them can write again."""
    # The claim timeout is long because votes may be late on a busy machine and must still count.
    async with fleet(3, work=0.02, journals=True, claim_ms=3_000) as cluster:

        def limit_file_size(i: int, max_bytes: int) -> None:
            """Make writes beyond this size fail with EFBIG, which simulates ENOSPC of a full disk."""
            resource.prlimit(
                cluster.runners[i].process.pid, resource.RLIMIT_FSIZE, (max_bytes, resource.RLIM_INFINITY)
            )

        async def ask() -> bool:
            key = token()
            return is_served(
                key, await (await cluster.connect_front_end(0)).ask("submit", token=key, body=key.encode())
            )

        assert await ask()
        limit_file_size(1, 10)
        assert await ask() and await ask(), "two of three are a majority"
        assert (await cluster.runners[1].counters())["fleet: the disk failed"] == 1
        limit_file_size(2, 10)
        assert not await ask()
        assert not await ask()
        limit_file_size(1, resource.RLIM_INFINITY)
        await asyncio.sleep(0.1)
        for _ in range(50):
            if await ask():
                break
            await asyncio.sleep(0.1)
        else:
            raise AssertionError("the acceptor does not vote although its disk can be written again")


@pytest.mark.processes
@asynchronous_test
async def test_an_acceptor_with_a_journal_votes_at_once_after_it_was_killed() -> None:
    """Two of three members are killed and restarted.

    Without journals both would have to recover, and no majority could vote on the existing keys.
    """
    async with fleet(3, work=0.02, journals=True, window_ms=60_000) as cluster:
        tokens = [token() for _ in range(5)]
        assert all(
            is_served(key, answer) for key, answer in (await retry_requests(cluster, 0, tokens)).items()
        )
        for i in (1, 2):
            cluster.runners[i].process.kill()
        for i in (1, 2):
            cluster.runners[i].process.wait()
        for i in (1, 2):
            cluster.runners[i].restart()
            await cluster.runners[i].ready()
            await wait_until_recovered(cluster, i)
        answers = await retry_requests(cluster, 1, tokens)
        assert all(is_served(key, answer) for key, answer in answers.items())
        assert_ran_at_most_once(cluster, tokens)
