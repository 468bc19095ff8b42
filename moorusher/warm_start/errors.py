"""Errors of warm start."""

from __future__ import annotations

from enum import Enum


class SnapshotFault(Enum):
    """Why a snapshot is invalid. The values are texts for the log."""

    FOREIGN = "the file is not a snapshot of this program"
    NEWER_VERSION = "the snapshot has a newer, unsupported version"
    TRUNCATED = "the snapshot is truncated"
    OVERSIZED = "the snapshot exceeds the maximum size"
    CORRUPT = "the checksum of the snapshot does not match"
    INVALID_VALUE = "the snapshot has an invalid value"


class InvalidSnapshotError(ValueError):
    """A snapshot can't be used. The runner starts without it; delete the file if the error is logged repeatedly.

    Attributes:
        fault: The kind of fault.
    """

    def __init__(self, fault: SnapshotFault, detail: str = "") -> None:
        """:param detail: Text for the log, such as the invalid field."""
        super().__init__(fault.value + (f": {detail}" if detail else ""))
        self.fault = fault
