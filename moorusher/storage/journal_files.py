"""The folder in which a keeper's lives leave what they have promised: one file a life, written before votes leave.

What is written is decided in `replication/journal.py` and the keeper. Here: one write and one fsync at a time,
in a thread of
the reactor's pool, for all that has gathered since the last; whole files by rename; a lock, so that nobody reads a file
that is still written. A file that a failed write has touched is never appended to.
"""

from __future__ import annotations

import fcntl
import logging
import os
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from ..config.fleet import FleetConfig
from ..config.section import ConfigError
from ..replication.acceptor import Acceptor
from ..replication.journal import JOURNAL_VERSION, JournalHeader, JournalImage, encode_records, read_journal

log = logging.getLogger("moorusher")

COMPACT_AFTER_BYTES = (
    1 << 20
)  # bytes appended, at least, before a file is written anew without what no longer counts
OPEN_TIMEOUT_S = 1.0  # at the start, for a folder that can't be read
OPEN_RETRY_S = 0.05
JOURNAL_NAME = re.compile(r"(\d{1,20})\.log")
UNFINISHED_NAME = re.compile(r"\d{1,20}\.log\.new")  # a life that was killed while it wrote a whole file


class FileSystem:
    """What is asked of the operating system; a test fails or ends it at each step."""

    def read(self, file: BinaryIO) -> bytes:
        return file.read()

    def write(self, fd: int, data: bytes) -> int:
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        os.fsync(fd)

    def rename(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)


@dataclass(slots=True, frozen=True)
class OpenedJournal:
    """The folder of a life that begins, and what the last life has left there."""

    folder: JournalFolder
    incarnation: int  # the incarnation of the life that begins
    image: JournalImage | None
    reason: str  # why there is no image, or why nothing can be written

    @property
    def is_written(self) -> bool:
        return self.folder.size > 0


def open_folder(path: Path, whose: JournalHeader, inc: int, files: FileSystem | None = None) -> OpenedJournal:
    """What can't be read is tried for a second. What was read counts even where nothing can be written yet: then no
    vote leaves until it is. Raises ConfigError where not even the names of earlier lives can be read."""
    folder = JournalFolder(path, whose, files)
    until = time.monotonic() + OPEN_TIMEOUT_S
    while True:
        try:
            inc, image, reason = folder.open(inc, last_try=time.monotonic() >= until)
        except OSError as exc:
            if folder.incarnation:
                return OpenedJournal(folder, folder.incarnation, folder.image, f"can't be written: {exc}")
            if time.monotonic() >= until:
                raise ConfigError(
                    f"fleet.journal: {path} can't be read: {exc}; check the disk, or name another folder"
                ) from exc
        else:
            return OpenedJournal(folder, inc, image, reason)
        time.sleep(OPEN_RETRY_S)


@dataclass(slots=True, frozen=True)
class _FormerJournal:
    """The file of the last life. `damaged`: it is kept for whoever wants to look into it."""

    image: JournalImage | None
    reason: str
    data: bytes
    damaged: bool = False


class JournalFolder:
    """Blocking, and for one thread at a time. Raises OSError where the disk is full or fails."""

    def __init__(self, path: Path, whose: JournalHeader, files: FileSystem | None = None) -> None:
        self.path, self.header, self._files = path, whose, files or FileSystem()
        self._fd = -1
        self.incarnation = 0  # of this life, once it is known
        self.image: JournalImage | None = None
        self.size = self.base_size = 0  # bytes of the file, and of what it began with

    @property
    def name(self) -> str:
        return f"{self.incarnation}.log"

    def open(self, inc: int, last_try: bool = True) -> tuple[int, JournalImage | None, str]:
        """A new life begins: its incarnation, above that of all that have a file here; what the last one has left,
        or why nothing of it can be used. Before the last try a file that can't be read raises OSError."""
        self.path.mkdir(parents=True, exist_ok=True)
        entries = [entry.name for entry in self.path.iterdir()]
        lives = sorted(int(m[1]) for name in entries if (m := JOURNAL_NAME.fullmatch(name)))
        last = _FormerJournal(None, "nothing is there", b"")
        if lives:
            inc = max(inc, lives[-1] + 1)
            last = self._former_journal(self.path / f"{lives[-1]}.log", last_try)
        if last.image is not None:
            inc = max(inc, last.image.incarnations.get(self.header.seat, 0) + 1)
        self.incarnation, self.image = inc, last.image
        self.rewrite(
            encode_records([self.header]) if last.image is None else last.data[: last.image.valid_bytes]
        )
        # Only now: until here the last one is what counts.
        if last.damaged:
            self._discard(self.path / f"{lives.pop()}.log", keep=True)
        unfinished = [name for name in entries if UNFINISHED_NAME.fullmatch(name)]
        for name in [*(f"{life}.log" for life in lives), *unfinished]:
            self._discard(self.path / name)
        return inc, last.image, last.reason

    def _former_journal(self, path: Path, last_try: bool) -> _FormerJournal:
        try:
            return self._read(path)
        except OSError as exc:
            if not last_try:
                raise
            return _FormerJournal(None, f"{path.name} can't be read and is kept: {exc}", b"", damaged=True)

    def _read(self, path: Path) -> _FormerJournal:
        writing = _FormerJournal(None, "another process of this seat is writing", b"")
        with open(path, "rb") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return writing
            data = self._files.read(file)
            # Written anew since it was opened: the lock is on what nobody uses any more.
            if os.fstat(file.fileno()).st_ino != path.stat().st_ino:
                return writing
        try:
            image = read_journal(data, self.header)
        except ValueError as exc:
            return _FormerJournal(None, f"{path.name} is not used, and is kept: {exc}", b"", damaged=True)
        if not image.recovered:
            return _FormerJournal(None, "that life had forgotten, too", b"")
        return _FormerJournal(image, "", data)

    def _discard(self, path: Path, keep: bool = False) -> None:
        """A file that no longer counts goes, unless another process has it; one that may be looked into is renamed."""
        try:
            if not self._is_free(path):
                return
            if keep:
                self._files.rename(path, path.with_name(f"{path.name}.damaged"))
            else:
                self._files.remove(path)
        except OSError as exc:
            log.warning("fleet: journal: %s is left: %s", path, exc)

    def _is_free(self, path: Path) -> bool:
        fd = os.open(path, os.O_RDONLY)
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return True
        except BlockingIOError:
            return False
        finally:
            os.close(fd)

    def _write(self, fd: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[self._files.write(fd, bytes(left[: 1 << 20])) :]
        self._files.sync(fd)

    def append(self, data: bytes) -> None:
        self._write(self._fd, data)
        self.size += len(data)

    def rewrite(self, data: bytes) -> None:
        """The file begins anew with this."""
        new = self.path / f"{self.name}.new"
        fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._write(fd, data)
            self._files.rename(new, self.path / self.name)
            above = os.open(self.path, os.O_RDONLY)
            try:
                self._files.sync(above)
            finally:
                os.close(above)
        except BaseException:
            os.close(fd)
            raise
        self.close()
        self._fd, self.size, self.base_size = fd, len(data), len(data)

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


def open_journal(config: FleetConfig, part: str, digest: str, seat: str, inc: int) -> OpenedJournal | None:
    """The journal of one part of a seat, where the operator's file names a folder for journals."""
    if not config.journal:
        return None
    found = open_folder(
        Path(config.journal) / part, JournalHeader(JOURNAL_VERSION, config.name, digest, seat), inc
    )
    told = found.reason if found.image is None else f"{len(found.image.registers)} keys recalled"
    log.info("fleet: journal: %s%s", f"{part}: " if part else "", told)
    return found


class JournalWriter:
    """Between the keeper and its folder: what waits for the disk, in the order in which it came."""

    def __init__(
        self,
        reactor: Any,
        folder: JournalFolder,
        keeper: Acceptor,
        clock: Callable[[], int],
        count: Callable[[str], None],
    ) -> None:
        self._reactor, self._folder, self._keeper = reactor, folder, keeper
        self._clock, self._count = clock, count
        self._waiting: list[Callable[[], None]] = []
        self._writing = self._save_scheduled = False
        self.failure = ""
        self.closed = False
        keeper.journaled = True

    def durable(self, then: Callable[[], None]) -> None:
        if self.failure:
            return  # whoever waits for a vote asks others, or again
        self._waiting.append(then)
        if not self._writing and not self._save_scheduled:
            self._save_scheduled = True
            self._reactor.callLater(0, self._save)  # with all that this turn still brings

    def _save(self, anew: bool = False) -> None:
        self._save_scheduled = False
        if self.closed or self._writing:
            return
        folder, waiting, self._waiting = self._folder, self._waiting, []
        anew = anew or folder.size - folder.base_size > max(COMPACT_AFTER_BYTES, folder.base_size)
        now = self._clock()
        records = self._keeper.all_records(now) if anew else self._keeper.unsaved_records(now)
        if not records:
            return self._run(waiting)
        data = encode_records([folder.header, *records] if anew else records)
        self._writing = True
        done = deferToThreadPool(
            self._reactor, self._reactor.getThreadPool(), folder.rewrite if anew else folder.append, data
        )
        done.addCallbacks(lambda _: self._saved(waiting), self._failed)
        done.addErrback(lambda failure: log.error("fleet: %s", failure.getTraceback()))
        return None

    def _saved(self, waiting: list[Callable[[], None]]) -> None:
        self._writing = False
        self._count("fleet: written to the disk")
        if self.failure:
            log.warning("fleet: the journal is written again")
            self.failure, self._keeper.journal_failing = "", False
        self._run(waiting)
        if self._waiting:
            self._save()

    def _run(self, waiting: list[Callable[[], None]]) -> None:
        self._clock()
        for then in waiting:
            try:
                then()
            except Exception:  # a fault of ours over one vote must not keep back the others
                log.exception("fleet: after a write")
                self._count("faults")

    def _failed(self, failure: Failure) -> None:
        self._writing = False
        self.fail(str(failure.value))

    def fail(self, why: str) -> None:
        """No vote leaves that is not written; the file is left alone until a whole new one could be."""
        self._waiting.clear()
        if not self.failure:
            log.error("fleet: the journal can't be written, this keeper has no vote: %s", why)
            self._count("fleet: the disk failed")
        self.failure, self._keeper.journal_failing = why or "failed", True
        if not self.closed:
            self._reactor.callLater(1, self._save, True)

    def close(self) -> None:
        self.closed = True
        if not self._writing:
            self._folder.close()
