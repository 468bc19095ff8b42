"""What can be wrong with what a runner reads of its cluster. All are ValueErrors: they are about data."""

from __future__ import annotations


class UnreadableFrameError(ValueError):
    """A peer's frame is no frame of this protocol; the connection is closed. Check what runs at that address."""


class JournalError(ValueError):
    """A journal that can't be used. Its file is kept; the acceptor starts as one that has forgotten."""


class ForeignJournalError(JournalError):
    """The file is of another cluster, seat or version.

    Check the folder in `[fleet] journal`: each seat needs its own.
    """


class DamagedJournalError(JournalError):
    """A record in the midst of the file, or its beginning, does not match its checksum. Check the disk."""
