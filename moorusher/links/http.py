"""The client side of HTTP/1.1, as far as the database and the announce service need it."""

from __future__ import annotations

from typing import Any

from twisted.protocols.basic import LineReceiver

MOST_BODY = 1 << 20


class HttpClient(LineReceiver):
    """One exchange at a time on a connection that stays open: status line, headers, a body of stated length."""

    transport: Any  # zope's interfaces mean nothing to mypy
    delimiter = b"\r\n"
    MAX_LENGTH = 8192

    def __init__(self) -> None:
        self._begin()

    def _begin(self) -> None:
        self._status, self._headers = 0, dict[bytes, bytes]()
        self._left, self._parts = -1, list[bytes]()

    def replied(self, status: int, headers: dict[bytes, bytes], body: bytes, keep: bool) -> None:
        raise NotImplementedError

    def garbled(self, why: str) -> None:
        raise NotImplementedError

    def lineReceived(self, line: bytes) -> None:
        if not self._status:
            parts = line.split(None, 2)
            if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not parts[1].isdigit():
                return self.garbled("no status line")
            self._status = int(parts[1])
            self._keep = parts[0] == b"HTTP/1.1"
        elif line:
            name, colon, value = line.partition(b":")
            if not colon or len(self._headers) > 100:
                return self.garbled("bad header")
            self._headers[name.strip().lower()] = value.strip()
        elif 100 <= self._status < 200:
            self._begin()  # an interim reply; the real one follows
        else:
            self._body()

    def _body(self) -> None:
        length = self._headers.get(b"content-length", b"")
        self._keep = self._keep and self._headers.get(b"connection", b"").lower() != b"close"
        if b"transfer-encoding" in self._headers:
            return self.garbled("no stated length")
        if self._status in (204, 304) or length == b"0":
            return self._done()
        if not length.isdigit() or int(length) > MOST_BODY:
            return self.garbled("bad length")
        self._left = int(length)
        self.setRawMode()  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:
        self._parts.append(data[: self._left])
        rest = data[self._left:]
        self._left -= len(self._parts[-1])
        if not self._left:
            body = b"".join(self._parts)
            self._parts = [body]
            self._done()
            self.setLineMode(rest)  # type: ignore[no-untyped-call]

    def _done(self) -> None:
        status, headers, body, keep = self._status, self._headers, b"".join(self._parts), self._keep
        self._begin()
        self.replied(status, headers, body, keep)
