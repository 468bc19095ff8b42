"""The client side of HTTP/1.1, as far as the database and the announce service need it."""

from __future__ import annotations

from typing import Any

from twisted.protocols.basic import LineReceiver

MOST_BODY = 1 << 20
MOST_HEAD = 16_384  # all lines before a body, those of interim replies included: a head may never end
MOST_INTERIM = 8  # 1xx replies before the real one


class HttpClient(LineReceiver):
    """One exchange at a time on a connection that stays open: status line, headers, a body of stated length.
    Whatever comes while nothing is asked belongs to no reply: it must not be taken for the next one."""

    transport: Any  # zope's interfaces mean nothing to mypy
    delimiter = b"\r\n"
    MAX_LENGTH = 8192

    def __init__(self) -> None:
        self._asked = self._over = False
        self._begin()

    def _begin(self) -> None:
        self._status, self._headers = 0, dict[bytes, bytes]()
        self._left, self._parts = -1, list[bytes]()

    def asked(self) -> None:
        """A request goes out: from here a reply may come."""
        self._asked, self._head, self._interim = True, 0, 0

    def replied(self, status: int, headers: dict[bytes, bytes], body: bytes, keep: bool) -> None:
        raise NotImplementedError

    def garbled(self, why: str) -> None:
        raise NotImplementedError

    def stray(self) -> None:
        """Something came that was not asked for; after a reply, that one was whole."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:
        if self._over:
            return
        if self._asked:
            super().dataReceived(data)  # type: ignore[no-untyped-call]
            data = self.clearLineBuffer() if not self._asked else b""
        if data and not self._over:
            self._end(stray=True)

    def _end(self, why: str = "", stray: bool = False) -> None:
        """Nothing more is read: where a reply ends or begins is not known from here on."""
        if self._over:
            return
        self._over = True
        if stray:
            self.stray()
        else:
            self.garbled(why)

    def lineLengthExceeded(self, line: bytes) -> None:
        self._end("a line too long")

    def lineReceived(self, line: bytes) -> None:
        if self._over:
            return
        if not self._asked:
            return self._end(stray=True)
        self._head += len(line) + 2
        if self._head > MOST_HEAD:
            return self._end("a head without an end")
        if not self._status:
            parts = line.split(None, 2)
            if (
                len(parts) < 2
                or not parts[0].startswith(b"HTTP/1.")
                or not parts[1].isdigit()
                or not 100 <= int(parts[1]) < 600
            ):
                return self._end("no status line")
            self._status = int(parts[1])
            self._keep = parts[0] == b"HTTP/1.1"
        elif line:
            name, colon, value = line.partition(b":")
            name, value = name.lower(), value.strip()
            if not colon or not name or name != name.strip():
                return self._end("bad header")
            if name == b"content-length" and self._headers.get(name, value) != value:
                return self._end("two lengths")
            self._headers[name] = value
        elif self._status < 200:
            self._interim += 1
            if self._interim > MOST_INTERIM:
                return self._end("interim replies without an end")
            self._begin()  # the real one follows
        else:
            self._body()

    def _body(self) -> None:
        length = self._headers.get(b"content-length", b"")
        self._keep = self._keep and self._headers.get(b"connection", b"").lower() != b"close"
        if b"transfer-encoding" in self._headers:
            return self._end("no stated length")
        if self._status in (204, 304) or length == b"0":
            return self._done()
        if not length.isdigit() or len(length) > 12 or int(length) > MOST_BODY:
            return self._end("bad length")
        self._left = int(length)
        self.setRawMode()  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:
        if self._over:
            return
        self._parts.append(data[: self._left])
        rest = data[self._left :]
        self._left -= len(self._parts[-1])
        if not self._left:
            self._done()
            self.setLineMode(rest)  # type: ignore[no-untyped-call]

    def _done(self) -> None:
        status, headers, body, keep = self._status, self._headers, b"".join(self._parts), self._keep
        self._begin()
        self._asked = False
        self.replied(status, headers, body, keep)
