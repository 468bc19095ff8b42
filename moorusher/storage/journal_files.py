"""The folder of a seat's journals: one file for each process of the seat.

A journal holds the state of an acceptor, written before the votes that depend on it are sent. The acceptor and
`replication/journal.py` determine its content, and `journal_writer.py` the time of each write.
"""

# A whole file is written under a temporary name and renamed. A process locks the file that it writes, so that no other
# process reads it. After a failed write a file is never appended to.

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

OPEN_TIMEOUT_S = 1.0  # Timeout at the start for a folder that can't be read.
OPEN_RETRY_S = 0.05
MAX_WRITE_BYTES = 1 << 20  # Maximum size of one write to the operating system.
FILE_MODE = 0o600
# The number is the incarnation of the process that writes the file.
JOURNAL_NAME = re.compile(r"(\d{1,20})\.log")
# Name of the file that a process leaves if it is killed while it writes a whole file.
UNFINISHED_NAME = re.compile(r"\d{1,20}\.log\.new")


class FileSystem:
    """Operations of the operating system. Tests replace this class, to make an operation fail or end the process."""

    def read(self, file: BinaryIO) -> bytes:
        """Return the rest of the file."""
        return file.read()

    def write(self, fd: int, data: bytes) -> int:
        """Write data; return the number of bytes written."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Return once the whole file is on the disk."""
        os.fsync(fd)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file atomically; an existing file `new` is replaced."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        path.unlink(missing_ok=True)


@dataclass(slots=True, frozen=True)
class OpenedJournal:
    """The journal folder of a starting process, with the journal of the seat's previous process.

    Attributes:
        folder: Journals of the seat.
        incarnation: Incarnation of the starting process.
        image: Content of the previous process's journal, or None.
        reason: Reason why there is no image, or why nothing can be written.
    """

    folder: JournalFolder
    incarnation: int
    image: JournalImage | None
    reason: str

    @property
    def is_written(self) -> bool:
        """Whether this process's file exists; otherwise nothing can be written yet."""
        return self.folder.size > 0


@dataclass(slots=True, frozen=True)
class _PreviousJournal:
    """The journal of the previous process.

    Attributes:
        image: Its content, or None if it can't be used.
        reason: Reason why it can't be used.
        data: Bytes of the file.
        damaged: Whether the file is damaged, and retained for an operator's inspection.
    """

    image: JournalImage | None
    reason: str
    data: bytes = b""
    damaged: bool = False


class JournalFolder:
    """The journals of one seat. Its methods block, and only one thread may use it at a time.

    Methods raise OSError if the disk is full or fails.

    Attributes:
        path: Path of the folder.
        header: First record of each file.
        incarnation: Incarnation of this process; 0 until it is known.
        image: See `OpenedJournal`.
        size: Bytes of this process's file; 0 while it does not exist.
        base_size: Bytes of the file when it was last written as a whole.
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
        """Name of this process's file."""
        return f"{self.incarnation}.log"

    # ---- the start ----

    def open(self, incarnation: int, is_last_attempt: bool = True) -> tuple[int, JournalImage | None, str]:
        """Create this process's file with the content of the previous process's file.

        :param incarnation: lower bound of this process's incarnation.
        :returns: the incarnation of this process, which is higher than those of all files in the folder; the image;
            and the reason if there is no image.
        :raises OSError: the file can't be written or, before the last attempt, the previous file can't be read.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        names = [entry.name for entry in self.path.iterdir()]
        incarnations = sorted(int(match[1]) for name in names if (match := JOURNAL_NAME.fullmatch(name)))
        previous = _PreviousJournal(None, "no journal found")
        if incarnations:
            incarnation = max(incarnation, incarnations[-1] + 1)
            previous = self._previous_journal(self.path / f"{incarnations[-1]}.log", is_last_attempt)
        if previous.image is not None:
            incarnation = max(incarnation, previous.image.incarnations.get(self.header.seat, 0) + 1)
        self.incarnation = incarnation
        self.image = previous.image
        if previous.image is None:
            self.rewrite(encode_records([self.header]))
        else:
            self.rewrite(previous.data[: previous.image.valid_bytes])
        # Older files are removed only now: until this process's file exists, the previous one is the seat's journal.
        if previous.damaged:
            self._discard(self.path / f"{incarnations.pop()}.log", keep=True)
        unfinished = [name for name in names if UNFINISHED_NAME.fullmatch(name)]
        for name in [*(f"{old}.log" for old in incarnations), *unfinished]:
            self._discard(self.path / name)
        return incarnation, previous.image, previous.reason

    def _previous_journal(self, path: Path, is_last_attempt: bool) -> _PreviousJournal:
        try:
            return self._read(path)
        except OSError as exc:
            if not is_last_attempt:
                raise
            return _PreviousJournal(None, f"{path.name} can't be read and is kept: {exc}", damaged=True)

    def _read(self, path: Path) -> _PreviousJournal:
        in_use = _PreviousJournal(None, "another process of this seat is writing its journal")
        with open(path, "rb") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return in_use
            data = self._files.read(file)
            # If the file was replaced after it was opened, the lock is on the old file, which is no longer used.
            if os.fstat(file.fileno()).st_ino != path.stat().st_ino:
                return in_use
        try:
            image = read_journal(data, self.header)
        except JournalError as exc:
            return _PreviousJournal(None, f"{path.name} is not used, and is kept: {exc}", damaged=True)
        if not image.recovered:
            return _PreviousJournal(None, "the previous process had not recovered the state either")
        return _PreviousJournal(image, "", data)

    def _discard(self, path: Path, keep: bool = False) -> None:
        """Remove an obsolete file, or rename it if `keep` is set. Skip a file that another process writes."""
        try:
            if not self._is_free(path):
                return
            if keep:
                self._files.rename(path, path.with_name(f"{path.name}.damaged"))
            else:
                self._files.remove(path)
        except OSError as exc:
            log.warning("fleet: journal: failed to remove an obsolete file: path=%s reason=%s", path, exc)

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
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[self._files.write(fd, bytes(remaining[:MAX_WRITE_BYTES])) :]
        self._files.sync(fd)

    def append(self, data: bytes) -> None:
        """Append to this process's file; return once the data is on the disk."""
        self._write(self._fd, data)
        self.size += len(data)

    def rewrite(self, data: bytes) -> None:
        """Replace this process's file atomically; return once the new content is on the disk."""
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
        """Sync the folder, since otherwise a power failure may undo the rename."""
        fd = os.open(self.path, os.O_RDONLY)
        try:
            self._files.sync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        """Close this process's file and release its lock."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


def open_folder(
    path: Path, header: JournalHeader, incarnation: int, files: FileSystem | None = None
) -> OpenedJournal:
    """Open the journal folder of a starting process. Failed reads are retried for about `OPEN_TIMEOUT_S`.

    :raises ConfigError: the folder can't be listed.
    """
    # An image that was read is used even if nothing can be written yet, since no vote is sent until the journal can be
    # written.
    folder = JournalFolder(path, header, files)
    deadline_s = time.monotonic() + OPEN_TIMEOUT_S
    while True:
        try:
            own_incarnation, image, reason = folder.open(
                incarnation, is_last_attempt=time.monotonic() >= deadline_s
            )
        except OSError as exc:
            if folder.incarnation:
                return OpenedJournal(folder, folder.incarnation, folder.image, f"can't be written: {exc}")
            if time.monotonic() >= deadline_s:
                raise ConfigError(
                    f"fleet.journal: {path} can't be read: {exc}; check the disk, or name another folder"
                ) from exc
        else:
            return OpenedJournal(folder, own_incarnation, image, reason)
        time.sleep(OPEN_RETRY_S)


def open_journal(
    config: FleetConfig, part: str, seats_digest: str, seat: str, incarnation: int
) -> OpenedJournal | None:
    """Open the journal of one part of a seat; return None if the operator's file names no folder for journals.

    :param part: subfolder of the part; "" for the folder itself.
    :raises ConfigError: see `open_folder`.
    """
    if not config.journal:
        return None
    header = JournalHeader(JOURNAL_VERSION, config.name, seats_digest, seat)
    opened = open_folder(Path(config.journal) / part, header, incarnation)
    result = opened.reason if opened.image is None else f"{len(opened.image.registers)} keys restored"
    log.info("fleet: journal: %s%s", f"{part}: " if part else "", result)
    return opened
