"""HTTP/1.1 client framing: the subset that the database, uwsgi peers and the announce service need."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from twisted.protocols.basic import LineReceiver

MAX_BODY_BYTES = 1 << 20
MAX_LENGTH_DIGITS = 12  # A longer Content-Length is rejected without parsing it.
MAX_HEAD_BYTES = 16_384  # Size of all lines before a body, including interim responses.
MAX_INTERIM_RESPONSES = 8  # Responses with a 1xx status before the final response.
DELIMITER_BYTES = 2  # Length of the CRLF at the end of each line.
NO_CONTENT = 204
NOT_MODIFIED = 304


@dataclass(slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        headers: Headers by name in lower case.
        keep_alive: Whether the connection can be used for another request.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


class HttpClientProtocol(LineReceiver):
    """Reads responses with a Content-Length on a persistent connection, one exchange at a time.

    Data that arrives while no response is awaited must not be mistaken for the next response. After such data, and
    after a malformed response, nothing more is read from the connection.
    """

    transport: Any  # mypy does not support zope interfaces.
    delimiter = b"\r\n"
    MAX_LENGTH = 8192

    def __init__(self) -> None:
        self._awaits_response = False
        # Whether reading has stopped, since the start of the next response is unknown.
        self._is_finished = False
        self._head_bytes = 0
        self._interim_responses = 0
        self._reset_response()

    def _reset_response(self) -> None:
        self._status = 0  # 0 until the status line has been read.
        self._keep_alive = True
        self._headers: dict[bytes, bytes] = {}
        self._body_parts: list[bytes] = []
        self._remaining_body_bytes = 0

    def request_sent(self) -> None:
        """Await a response. Must be called whenever a request is written."""
        self._awaits_response = True
        self._head_bytes = 0
        self._interim_responses = 0

    # ---- overridden by subclasses ----

    def response_received(self, response: HttpResponse) -> None:
        """Called with each complete response."""
        raise NotImplementedError

    def response_malformed(self, reason: str) -> None:
        """Called when the awaited response can't be parsed."""
        raise NotImplementedError

    def unexpected_data(self) -> None:
        """Called when data arrives that answers no request, after all awaited responses have been received."""
        raise NotImplementedError

    # ---- framing ----

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, and detect data that answers no request."""
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
        """Reject a line that is longer than `MAX_LENGTH`."""
        self._finish_malformed("header line is too long")

    def lineReceived(self, line: bytes) -> None:
        """Parse a line of a response head."""
        if self._is_finished:
            return
        if not self._awaits_response:
            self._finish_unexpected()
            return
        self._head_bytes += len(line) + DELIMITER_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._finish_malformed("response head is too long")
        elif not self._status:
            self._read_status_line(line)
        elif line:
            self._read_header(line)
        elif self._status < 200:
            self._skip_interim_response()
        else:
            self._start_body()

    def _read_status_line(self, line: bytes) -> None:
        parts = line.split(None, 2)
        is_valid = len(parts) >= 2 and parts[0].startswith(b"HTTP/1.") and parts[1].isdigit()
        if not is_valid or not 100 <= int(parts[1]) < 600:
            self._finish_malformed("invalid status line")
            return
        self._status = int(parts[1])
        self._keep_alive = parts[0] == b"HTTP/1.1"

    def _read_header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        name = name.lower()
        value = value.strip()
        if not colon or not name or name != name.strip():
            self._finish_malformed("invalid header")
            return
        if name == b"content-length" and self._headers.get(name, value) != value:
            self._finish_malformed("conflicting Content-Length headers")
            return
        self._headers[name] = value

    def _skip_interim_response(self) -> None:
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._finish_malformed("too many interim responses")
        else:
            self._reset_response()  # The final response follows.

    def _start_body(self) -> None:
        length = self._headers.get(b"content-length", b"")
        if self._headers.get(b"connection", b"").lower() == b"close":
            self._keep_alive = False
        if b"transfer-encoding" in self._headers:
            self._finish_malformed("Transfer-Encoding is not supported")
        elif self._status in (NO_CONTENT, NOT_MODIFIED) or length == b"0":
            self._finish_response()
        elif not length.isdigit() or len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
            self._finish_malformed("missing or invalid Content-Length")
        else:
            self._remaining_body_bytes = int(length)
            self.setRawMode()  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:
        """Collect a part of a body."""
        if self._is_finished:
            return
        part = data[: self._remaining_body_bytes]
        rest = data[self._remaining_body_bytes :]
        self._body_parts.append(part)
        self._remaining_body_bytes -= len(part)
        if not self._remaining_body_bytes:
            self._finish_response()
            self.setLineMode(rest)  # type: ignore[no-untyped-call]

    def _finish_response(self) -> None:
        body = b"".join(self._body_parts)
        response = HttpResponse(self._status, self._headers, body, self._keep_alive)
        self._reset_response()
        self._awaits_response = False
        self.response_received(response)
