"""Simulated disks: a journal that persists across the processes of its seat, and the writer of a process.

A write takes virtual time. If the process crashes during a write, a prefix of any length may be on the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..replication.journal import JournalHeader, JournalImage, encode_records, read_journal
from ..time_units import MS
from .virtual_time import Schedulable, VirtualTime

MIN_WRITE_MS = 0.1
MAX_WRITE_MS = 8
SLOW_WRITE_SHARE = 0.1
MAX_SLOW_WRITE_MS = 300


class SimulatedJournal:
    """The journal of one seat.

    Attributes:
        content: Bytes on the disk.
    """

    def __init__(self, header: JournalHeader) -> None:
        self._header = header
        self.content = encode_records([header])

    def recover(self) -> JournalImage | None:
        """Read the journal at the start of a process.

        :returns: The recovered state, or None if there is none; the journal is then reset.
        """
        image = read_journal(self.content, self._header)
        if image.recovered:
            self.content = self.content[: image.valid_bytes]
            return image
        self.content = encode_records([self._header])
        return None


def draw_write_time_us(random: Random) -> int:
    """Draw the duration of a write on a disk with some slow writes."""
    is_slow = random.random() < SLOW_WRITE_SHARE
    return round(random.uniform(MIN_WRITE_MS, MAX_SLOW_WRITE_MS if is_slow else MAX_WRITE_MS) * MS)


def draw_fast_write_time_us(random: Random) -> int:
    """Draw the duration of a write on a disk without slow writes."""
    return round(random.uniform(MIN_WRITE_MS, MAX_WRITE_MS) * MS)


class JournalWriter:
    """Writes the journal of one process: one write at a time, each with all changes since the previous one."""

    def __init__(
        self,
        process: Schedulable,
        time: VirtualTime,
        journal: SimulatedJournal,
        unsaved_records: Callable[[], bytes],
        draw_write_time_us: Callable[[], int],
        skips_empty_writes: bool,
    ) -> None:
        """Prepare a writer.

        :param unsaved_records: Called at the start of a write. Returns the bytes to be written.
        :param draw_write_time_us: Returns the duration of a write.
        :param skips_empty_writes: Whether a write without records takes no time.
        """
        self._process = process
        self._time = time
        self._journal = journal
        self._unsaved_records = unsaved_records
        self._draw_write_time_us = draw_write_time_us
        self._skips_empty_writes = skips_empty_writes
        self._waiting: list[Callable[[], None]] = []
        self._in_progress = b""
        self._is_writing = False

    def durable(self, callback: Callable[[], None]) -> None:
        """Call `callback` when all changes so far are on the disk."""
        self._waiting.append(callback)
        if not self._is_writing:
            self._start_write()

    def crash(self, random: Random) -> None:
        """Store a random prefix, possibly all, of the unfinished write. Its callbacks are never called."""
        if self._in_progress:
            written = random.randint(0, len(self._in_progress))
            self._journal.content += self._in_progress[:written]

    def _start_write(self) -> None:
        callbacks = self._waiting
        self._waiting = []
        self._in_progress = self._unsaved_records()
        if not self._in_progress and self._skips_empty_writes:
            self._complete(callbacks)
            return
        self._is_writing = True
        when_us = self._time.now + self._draw_write_time_us()
        self._time.at(when_us, self._process, lambda: self._complete(callbacks))

    def _complete(self, callbacks: list[Callable[[], None]]) -> None:
        self._journal.content += self._in_progress
        self._in_progress = b""
        self._is_writing = False
        for callback in callbacks:
            callback()
        if self._waiting and not self._is_writing:
            self._start_write()
