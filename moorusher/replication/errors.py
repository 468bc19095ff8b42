"""Errors in data that a runner reads from its peers or its journal. All of them are ValueErrors."""

from __future__ import annotations


class UnreadableFrameError(ValueError):
    """A peer's frame can't be decoded; the connection is closed. Check which program runs at the peer's address."""


class JournalError(ValueError):
    """A journal can't be used. The file is retained; the acceptor starts without state and has to recover."""


class ForeignJournalError(JournalError):
    """The file's header names another cluster, seat, list of seats or format version.

    Check the folder in `[fleet] journal`: each seat needs its own.
    """


class DamagedJournalError(JournalError):
    """The header or a record before the last one does not match its checksum. Check the disk."""
