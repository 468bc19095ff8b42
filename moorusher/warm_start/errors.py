"""Errors of warm start."""

from __future__ import annotations

from enum import Enum


class SnapshotFault(Enum):
    """Why a snapshot is invalid. The values are for the log."""

    FOREIGN = "it is not a snapshot of this program"
    NEWER_VERSION = "it is of a later version"
    TRUNCATED = "it is incomplete"
    OVERSIZED = "it is larger than any snapshot"
    CORRUPT = "its checksum does not match"
    INVALID_VALUE = "a value is impossible"


class InvalidSnapshotError(ValueError):
    """A snapshot can't be used. The runner starts without it; delete the file if that is logged again and again.

    fault: which kind (SnapshotFault).
    """

    def __init__(self, fault: SnapshotFault, detail: str = "") -> None:
        """`detail`: what exactly, for the log."""
        super().__init__(fault.value + (f": {detail}" if detail else ""))
        self.fault = fault
