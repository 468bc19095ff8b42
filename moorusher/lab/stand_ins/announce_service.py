"""A stand-in for the announce service, which maintains the list of runners that balancers read."""

from __future__ import annotations

from typing import Any

from .base import HttpConnection, StandInServer


class Announce(StandInServer):
    """An announce service that records the reports of runners.

    :param cut_at: number of the report, counted from 1, to which it replies by aborting the connection; 0 for none.

    Attributes:
        reports: Method, path and body of each report, in order.
    """

    protocol = HttpConnection

    def __init__(self, reactor: Any, cut_at: int = 0) -> None:
        super().__init__(reactor)
        self.reports: list[bytes] = []
        self._cut_at = cut_at

    def request_received(self, connection: Any, request_line: bytes, body: bytes) -> None:
        """Record the report and reply without content."""
        self.reports.append(request_line.split(b" HTTP")[0] + b" " + body)
        if len(self.reports) == self._cut_at:
            connection.transport.abortConnection()
        else:
            connection.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")
