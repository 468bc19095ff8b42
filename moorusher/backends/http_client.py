"""Framing of HTTP/1.1 on the client's side, as far as the database, uwsgi peers and the announce service need it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from twisted.protocols.basic import LineReceiver

MAX_BODY_BYTES = 1 << 20
MAX_LENGTH_DIGITS = 12  # of a Content-Length: more are not even parsed
MAX_HEAD_BYTES = 16_384  # all lines before a body, interim responses included: a head might never end
MAX_INTERIM_RESPONSES = 8  # with a status of 1xx, before the final one
DELIMITER_BYTES = 2  # at the end of each line
NO_CONTENT = 204
NOT_MODIFIED = 304


@dataclass(slots=True)
class HttpResponse:
    """A whole response; names of headers are in lower case.

    keep_alive: the connection may be used for another request.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


class HttpClientProtocol(LineReceiver):
    """One exchange at a time on a connection that may stay open: status line, headers, a body of stated length.

    Data that come while no response is awaited belong to none, and must not be taken for the next one: the connection
    is not read any further then, nor after a malformed response.
    """

    transport: Any  # zope's interfaces mean nothing to mypy
    delimiter = b"\r\n"
    MAX_LENGTH = 8192

    def __init__(self) -> None:
        """Nothing is awaited before `request_sent`."""
        self._awaits_response = False
        self._is_finished = False  # nothing more is read: where a response begins is not known from here on
        self._head_bytes = 0
        self._interim_responses = 0
        self._begin_response()

    def _begin_response(self) -> None:
        self._status = 0  # the status line has not come yet
        self._keep_alive = True
        self._headers: dict[bytes, bytes] = {}
        self._body_parts: list[bytes] = []
        self._body_bytes_left = 0

    def request_sent(self) -> None:
        """Call it as a request is written: from here on a response may come."""
        self._awaits_response = True
        self._head_bytes = 0
        self._interim_responses = 0

    # ---- to be overridden ----

    def response_received(self, response: HttpResponse) -> None:
        """Take a whole response."""
        raise NotImplementedError

    def response_malformed(self, reason: str) -> None:
        """The response that was awaited can't be read."""
        raise NotImplementedError

    def unexpected_data(self) -> None:
        """Data have come that no request asked for; a response that came before them was whole."""
        raise NotImplementedError

    # ---- framing ----

    def dataReceived(self, data: bytes) -> None:
        """Split the data into lines and bodies."""
        if self._is_finished:
            return
        if self._awaits_response:
            super().dataReceived(data)  # type: ignore[no-untyped-call]
            data = self.clearLineBuffer() if not self._awaits_response else b""
        if data and not self._is_finished:
            self._finish_unexpected()

    def _finish_unexpected(self) -> None:
        self._is_finished = True
        self.unexpected_data()

    def _finish_malformed(self, reason: str) -> None:
        if not self._is_finished:
            self._is_finished = True
            self.response_malformed(reason)

    def lineLengthExceeded(self, line: bytes) -> None:
        """A line beyond the bound."""
        self._finish_malformed("a line too long")

    def lineReceived(self, line: bytes) -> None:
        """Take a line of a head."""
        if self._is_finished:
            return
        if not self._awaits_response:
            self._finish_unexpected()
            return
        self._head_bytes += len(line) + DELIMITER_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._finish_malformed("a head without an end")
        elif not self._status:
            self._read_status_line(line)
        elif line:
            self._read_header(line)
        elif self._status < 200:
            self._skip_interim_response()
        else:
            self._begin_body()

    def _read_status_line(self, line: bytes) -> None:
        parts = line.split(None, 2)
        is_valid = len(parts) >= 2 and parts[0].startswith(b"HTTP/1.") and parts[1].isdigit()
        if not is_valid or not 100 <= int(parts[1]) < 600:
            self._finish_malformed("no status line")
            return
        self._status = int(parts[1])
        self._keep_alive = parts[0] == b"HTTP/1.1"

    def _read_header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        name = name.lower()
        value = value.strip()
        if not colon or not name or name != name.strip():
            self._finish_malformed("bad header")
            return
        if name == b"content-length" and self._headers.get(name, value) != value:
            self._finish_malformed("two lengths")
            return
        self._headers[name] = value

    def _skip_interim_response(self) -> None:
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._finish_malformed("interim replies without an end")
        else:
            self._begin_response()  # the final one follows

    def _begin_body(self) -> None:
        length = self._headers.get(b"content-length", b"")
        if self._headers.get(b"connection", b"").lower() == b"close":
            self._keep_alive = False
        if b"transfer-encoding" in self._headers:
            self._finish_malformed("no stated length")
        elif self._status in (NO_CONTENT, NOT_MODIFIED) or length == b"0":
            self._finish_response()
        elif not length.isdigit() or len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
            self._finish_malformed("bad length")
        else:
            self._body_bytes_left = int(length)
            self.setRawMode()  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:
        """Take a part of a body."""
        if self._is_finished:
            return
        part = data[: self._body_bytes_left]
        rest = data[self._body_bytes_left :]
        self._body_parts.append(part)
        self._body_bytes_left -= len(part)
        if not self._body_bytes_left:
            self._finish_response()
            self.setLineMode(rest)  # type: ignore[no-untyped-call]

    def _finish_response(self) -> None:
        body = b"".join(self._body_parts)
        response = HttpResponse(self._status, self._headers, body, self._keep_alive)
        self._begin_response()
        self._awaits_response = False
        self.response_received(response)
