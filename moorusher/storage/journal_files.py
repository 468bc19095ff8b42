"""The folder of a seat's journals: one file for each process of the seat, which its acceptor writes before votes leave.

What is written is decided by the acceptor and `replication/journal.py`; when, by `journal_writer.py`. Whole files
appear by rename; a lock shows that a file is still being written, so that nobody reads it. A file that a failed write
has touched is never appended to.
"""

from __future__ import annotations

import fcntl
import logging
import os
import re
import time
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from ..config.fleet import FleetConfig
from ..config.section import ConfigError
from ..replication.errors import JournalError
from ..replication.journal import JOURNAL_VERSION, JournalHeader, JournalImage, encode_records, read_journal

log = logging.getLogger("moorusher")

OPEN_TIMEOUT_S = 1.0  # at the start, for a folder that can't be read
OPEN_RETRY_S = 0.05
WRITE_BYTES = 1 << 20  # in one call of the operating system
FILE_MODE = 0o600
JOURNAL_NAME = re.compile(r"(\d{1,20})\.log")  # the incarnation of the process that writes it
UNFINISHED_NAME = re.compile(
    r"\d{1,20}\.log\.new"
)  # left by a process that was killed while it wrote a whole file


class FileSystem:
    """What is asked of the operating system. A test makes each of these steps fail, or ends the process at it."""

    def read(self, file: BinaryIO) -> bytes:
        """The rest of the file."""
        return file.read()

    def write(self, fd: int, data: bytes) -> int:
        """How many of the bytes were written."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Returns once the disk has all of the file."""
        os.fsync(fd)

    def rename(self, old: Path, new: Path) -> None:
        """Replaces `new`, in one step."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Whether it is there or not."""
        path.unlink(missing_ok=True)


@dataclass(slots=True, frozen=True)
class OpenedJournal:
    """The folder of a process that starts, and what the former process of the seat has left there.

    Attributes:
        folder: `JournalFolder`.
        incarnation: `int`, of the process that starts.
        image: what the former process has left, or None.
        reason: `str`, why there is no image, or why nothing can be written.
    """

    folder: JournalFolder
    incarnation: int
    image: JournalImage | None
    reason: str

    @property
    def is_written(self) -> bool:
        """The new file is there; else nothing can be written yet."""
        return self.folder.size > 0


@dataclass(slots=True, frozen=True)
class _FormerJournal:
    """The file of the former process.

    Attributes:
        image: what it says, or None where nothing of it can be used.
        reason: `str`, why not.
        data: `bytes`, of the file.
        damaged: `bool`, it is kept for whoever wants to look into it.
    """

    image: JournalImage | None
    reason: str
    data: bytes = b""
    damaged: bool = False


class JournalFolder:
    """The files of one seat. Blocking, and for one thread at a time.

    Raises OSError where the disk is full or fails.

    Attributes:
        path: of the folder.
        header: `JournalHeader`, the first record of each file.
        incarnation: `int`, of this process, once it is known; else 0.
        image: see `OpenedJournal`.
        size: `int`, bytes of this process's file; 0 while there is none.
        base_size: `int`, bytes that the file began with.
    """

    def __init__(self, path: Path, header: JournalHeader, files: FileSystem | None = None) -> None:
        self.path = path
        self.header = header
        self.incarnation = 0
        self.image: JournalImage | None = None
        self.size = 0
        self.base_size = 0
        self._files = files or FileSystem()
        self._fd = -1

    @property
    def name(self) -> str:
        """Of this process's file."""
        return f"{self.incarnation}.log"

    # ---- the start ----

    def open(self, incarnation: int, last_try: bool = True) -> tuple[int, JournalImage | None, str]:
        """Begins this process's file with what the former process has left.

        Returns the incarnation of this process, above those of all files here and not below the given one; the image;
        and why there is none. Before the last try a file that can't be read raises OSError.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        names = [entry.name for entry in self.path.iterdir()]
        former_processes = sorted(int(match[1]) for name in names if (match := JOURNAL_NAME.fullmatch(name)))
        former = _FormerJournal(None, "nothing is there")
        if former_processes:
            incarnation = max(incarnation, former_processes[-1] + 1)
            former = self._former_journal(self.path / f"{former_processes[-1]}.log", last_try)
        if former.image is not None:
            incarnation = max(incarnation, former.image.incarnations.get(self.header.seat, 0) + 1)
        self.incarnation = incarnation
        self.image = former.image
        if former.image is None:
            self.rewrite(encode_records([self.header]))
        else:
            self.rewrite(former.data[: former.image.valid_bytes])
        # Only now: until here the former file is what counts.
        if former.damaged:
            self._discard(self.path / f"{former_processes.pop()}.log", keep=True)
        unfinished = [name for name in names if UNFINISHED_NAME.fullmatch(name)]
        for name in [*(f"{process}.log" for process in former_processes), *unfinished]:
            self._discard(self.path / name)
        return incarnation, former.image, former.reason

    def _former_journal(self, path: Path, last_try: bool) -> _FormerJournal:
        try:
            return self._read(path)
        except OSError as exc:
            if not last_try:
                raise
            return _FormerJournal(None, f"{path.name} can't be read and is kept: {exc}", damaged=True)

    def _read(self, path: Path) -> _FormerJournal:
        in_use = _FormerJournal(None, "another process of this seat is writing")
        with open(path, "rb") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return in_use
            data = self._files.read(file)
            # Written anew since it was opened: then the lock is on a file that nobody uses any more.
            if os.fstat(file.fileno()).st_ino != path.stat().st_ino:
                return in_use
        try:
            image = read_journal(data, self.header)
        except JournalError as exc:
            return _FormerJournal(None, f"{path.name} is not used, and is kept: {exc}", damaged=True)
        if not image.recovered:
            return _FormerJournal(None, "that life had forgotten, too")
        return _FormerJournal(image, "", data)

    def _discard(self, path: Path, keep: bool = False) -> None:
        """Removes a file that no longer counts, unless another process writes it; renames one that is to be kept."""
        try:
            if not self._is_free(path):
                return
            if keep:
                self._files.rename(path, path.with_name(f"{path.name}.damaged"))
            else:
                self._files.remove(path)
        except OSError as exc:
            log.warning("fleet: journal: a former file was not removed: path=%s reason=%s", path, exc)

    def _is_free(self, path: Path) -> bool:
        fd = os.open(path, os.O_RDONLY)
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return True
        except BlockingIOError:
            return False
        finally:
            os.close(fd)

    # ---- writes ----

    def _write(self, fd: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[self._files.write(fd, bytes(left[:WRITE_BYTES])) :]
        self._files.sync(fd)

    def append(self, data: bytes) -> None:
        """Returns once the disk has it."""
        self._write(self._fd, data)
        self.size += len(data)

    def rewrite(self, data: bytes) -> None:
        """Replaces the file by one with this content, in one step; returns once the disk has it."""
        new = self.path / f"{self.name}.new"
        fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._write(fd, data)
            self._files.rename(new, self.path / self.name)
            self._sync_folder()
        except BaseException:
            os.close(fd)
            raise
        self.close()
        self._fd = fd
        self.size = len(data)
        self.base_size = len(data)

    def _sync_folder(self) -> None:
        """Without it a power failure may undo the rename."""
        fd = os.open(self.path, os.O_RDONLY)
        try:
            self._files.sync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        """Releases the file and its lock."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


def open_folder(
    path: Path, header: JournalHeader, incarnation: int, files: FileSystem | None = None
) -> OpenedJournal:
    """The folder of a process that starts; blocks for `OPEN_TIMEOUT_S` at most.

    What can't be read is tried again. What was read counts even where nothing can be written yet: no vote leaves until
    it can be. Raises ConfigError where not even the names of the files can be read.
    """
    folder = JournalFolder(path, header, files)
    give_up_at = time.monotonic() + OPEN_TIMEOUT_S
    while True:
        try:
            own, image, reason = folder.open(incarnation, last_try=time.monotonic() >= give_up_at)
        except OSError as exc:
            if folder.incarnation:
                return OpenedJournal(folder, folder.incarnation, folder.image, f"can't be written: {exc}")
            if time.monotonic() >= give_up_at:
                raise ConfigError(
                    f"fleet.journal: {path} can't be read: {exc}; check the disk, or name another folder"
                ) from exc
        else:
            return OpenedJournal(folder, own, image, reason)
        time.sleep(OPEN_RETRY_S)


def open_journal(
    config: FleetConfig, part: str, seats_digest: str, seat: str, incarnation: int
) -> OpenedJournal | None:
    """The journal of one part of a seat; None where the operator's file names no folder for journals.

    Raises ConfigError; see `open_folder`.
    """
    if not config.journal:
        return None
    header = JournalHeader(JOURNAL_VERSION, config.name, seats_digest, seat)
    opened = open_folder(Path(config.journal) / part, header, incarnation)
    found = opened.reason if opened.image is None else f"{len(opened.image.registers)} keys recalled"
    log.info("fleet: journal: %s%s", f"{part}: " if part else "", found)
    return opened
