"""Errors of the backends."""

from __future__ import annotations


class UnreadableMessageError(ValueError):
    """A line of the kernel that is no message of the protocol.

    The client reads on from the last notice over a new connection. Where it is logged again and again, compare the
    versions of kernel and runner.
    """
