"""A stand-in for a backend of a runner that speaks the platform's form of HTTP."""

from __future__ import annotations

from typing import Any

from .base import HttpConnection, ScriptedServer

_NEVER_STARTED_STATUSES = (503, 409)
"""Replies with these statuses carry the header that says that the call was not started."""


class Database(ScriptedServer):
    """Replies to each call with the next status of its script."""

    protocol = HttpConnection

    def answer(self, connection: Any, reply: int | str) -> None:
        """Write a reply with this status and a body of five bytes."""
        header = "Never-Started: 1\r\n" if reply in _NEVER_STARTED_STATUSES else ""
        head = f"HTTP/1.1 {reply} X\r\n{header}Content-Length: 5\r\n\r\n"
        connection.transport.write(head.encode() + b"reply")
