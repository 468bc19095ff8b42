"""A stand-in for what duties act on: it compares fences, writes down what it knows before it acts, and can be asked.

What a real one must do is what `Book` does: one transaction holds the comparison and what follows from it.
"""

from __future__ import annotations

import sqlite3
from base64 import b64decode
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from twisted.web import resource, server

from ..admin.api import quiet_site
from ..leadership.fencing_token import FencingToken, TokenVerdict, check_token
from .ports import HOST

Resource: Any = resource.Resource


class Book:
    """`path`: of the database; it is the same book after a restart."""

    def __init__(self, path: Path) -> None:
        self._db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        self._db.execute("PRAGMA synchronous = FULL")
        self._db.execute(
            "CREATE TABLE IF NOT EXISTS fences (duty TEXT PRIMARY KEY, born INT, term INT, number INT)"
        )
        self._db.execute(
            "CREATE TABLE IF NOT EXISTS jobs (duty TEXT, number INT, done INT, PRIMARY KEY (duty, number))"
        )

    def fenced(self, duty: str, fence: FencingToken) -> tuple[TokenVerdict, FencingToken | None]:
        self._db.execute("BEGIN IMMEDIATE")
        row = self._db.execute("SELECT born, term, number FROM fences WHERE duty = ?", (duty,)).fetchone()
        highest = None if row is None else FencingToken(*row)
        verdict = check_token(highest, fence)
        if verdict is TokenVerdict.CURRENT:
            self._db.execute(
                "REPLACE INTO fences VALUES (?, ?, ?, ?)",
                (duty, fence.generation, fence.term, fence.revision),
            )
        self._db.execute("COMMIT")
        return verdict, highest

    def intent(self, duty: str, number: int) -> tuple[bool, bool]:
        """Whether it is done now, and whether that is for the first time."""
        self._db.execute("BEGIN IMMEDIATE")
        row = self._db.execute(
            "SELECT done FROM jobs WHERE duty = ? AND number = ?", (duty, number)
        ).fetchone()
        if row is None:
            self._db.execute("INSERT INTO jobs VALUES (?, ?, 1)", (duty, number))
        self._db.execute("COMMIT")
        return row is None or bool(row[0]), row is None

    def asked(self, duty: str, number: int) -> bool:
        """Whether it was done; where it was not, it never will be."""
        self._db.execute("BEGIN IMMEDIATE")
        self._db.execute("INSERT OR IGNORE INTO jobs VALUES (?, ?, 0)", (duty, number))
        row = self._db.execute(
            "SELECT done FROM jobs WHERE duty = ? AND number = ?", (duty, number)
        ).fetchone()
        self._db.execute("COMMIT")
        return bool(row[0])

    def close(self) -> None:
        self._db.close()


@dataclass(slots=True)
class Took:
    """An effect that counted: `at` in us of the listener's clock."""

    duty: str
    fence: FencingToken
    body: dict[str, Any]
    at: float


@dataclass(eq=False)
class Receiver(Resource):  # type: ignore[misc]
    """A stand-in for what duties have effects at; it compares fences as a real one must."""

    reactor: Any
    book: Book
    compares: bool = True
    isLeaf = True
    took: list[Took] = field(default_factory=list)
    refused: list[FencingToken] = field(default_factory=list)
    mute: bool = False  # it does what it is told, and its answers are lost

    def __post_init__(self) -> None:
        super().__init__()
        self._port = self.reactor.listenTCP(0, quiet_site(self), interface=HOST)
        self.port: int = self._port.getHost().port

    def render_POST(self, request: Any) -> Any:
        sent = msgspec.json.decode(request.content.read())
        answer: dict[str, Any]
        if request.path == b"/fenced":
            fence = FencingToken(*sent["fence"])
            verdict, highest = (
                self.book.fenced(sent["duty"], fence) if self.compares else (TokenVerdict.CURRENT, None)
            )
            if verdict is TokenVerdict.STALE and highest is not None:
                self.refused.append(fence)
                request.setResponseCode(409)
                answer = {"highest": [highest.generation, highest.term, highest.revision]}
            else:
                if verdict is TokenVerdict.CURRENT:
                    body = msgspec.json.decode(b64decode(sent["body"]))
                    self.took.append(Took(sent["duty"], fence, body, self.reactor.seconds()))
                answer = {"verdict": verdict.value}
        elif request.path == b"/intent":
            answer = {"done": self.book.intent(sent["duty"], sent["number"])[0]}
        else:
            answer = {"done": self.book.asked(sent["duty"], sent["number"])}
        if self.mute:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        return msgspec.json.encode(answer)

    def close(self) -> None:
        self._port.stopListening()
        self.book.close()
