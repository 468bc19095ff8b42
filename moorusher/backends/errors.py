"""Errors of the backends."""

from __future__ import annotations


class UnreadableMessageError(ValueError):
    """A line from the kernel is not a valid protocol message.

    The client reconnects, and the kernel sends the notices after the last valid one again. If this is logged
    repeatedly, compare the versions of kernel and runner.
    """
