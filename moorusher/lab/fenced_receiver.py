"""A stand-in for the receiver of duties' effects, which checks fencing tokens and stores them before it acts.

A real receiver has to do the same as `TokenStore`: compare the token and store the result in one transaction.
"""

from __future__ import annotations

import sqlite3
from base64 import b64decode
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from twisted.web import resource, server

from ..admin.api import quiet_site
from ..leadership.fencing_token import FencingToken, TokenVerdict, check_token
from .ports import HOST

Resource: Any = resource.Resource

_TABLES = (
    "CREATE TABLE IF NOT EXISTS fences (duty TEXT PRIMARY KEY, born INT, term INT, number INT)",
    "CREATE TABLE IF NOT EXISTS jobs (duty TEXT, number INT, done INT, PRIMARY KEY (duty, number))",
)
_CONFLICT = 409


class TokenCheck(NamedTuple):
    """Result of a token's check.

    Attributes:
        verdict: Verdict on the token.
        highest: Highest token known before the check, None if there was none.
    """

    verdict: TokenVerdict
    highest: FencingToken | None


class TokenStore:
    """Stores the highest fencing token of each duty and the state of its jobs.

    :param path: database file, which keeps tokens and jobs when the receiver restarts.
    """

    def __init__(self, path: Path) -> None:
        self._database = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        self._database.execute("PRAGMA synchronous = FULL")
        for table in _TABLES:
            self._database.execute(table)

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        self._database.execute("BEGIN IMMEDIATE")
        yield
        self._database.execute("COMMIT")

    def check(self, duty: str, token: FencingToken) -> TokenCheck:
        """Compare a token with the highest known one, and store the compared token if it is current."""
        with self._transaction():
            row = self._database.execute(
                "SELECT born, term, number FROM fences WHERE duty = ?", (duty,)
            ).fetchone()
            highest = None if row is None else FencingToken(*row)
            verdict = check_token(highest, token)
            if verdict is TokenVerdict.CURRENT:
                self._database.execute(
                    "REPLACE INTO fences VALUES (?, ?, ?, ?)",
                    (duty, token.generation, token.term, token.revision),
                )
        return TokenCheck(verdict, highest)

    def perform_job(self, duty: str, number: int) -> bool:
        """Record a job as done, unless it was settled as not done; return whether it is done."""
        with self._transaction():
            self._database.execute("INSERT OR IGNORE INTO jobs VALUES (?, ?, 1)", (duty, number))
            return self._is_done(duty, number)

    def resolve_job(self, duty: str, number: int) -> bool:
        """Return whether a job was done; if it was not, settle it as not done, so that it is never done later."""
        with self._transaction():
            self._database.execute("INSERT OR IGNORE INTO jobs VALUES (?, ?, 0)", (duty, number))
            return self._is_done(duty, number)

    def _is_done(self, duty: str, number: int) -> bool:
        row = self._database.execute(
            "SELECT done FROM jobs WHERE duty = ? AND number = ?", (duty, number)
        ).fetchone()
        return bool(row[0])

    def close(self) -> None:
        """Close the database."""
        self._database.close()


@dataclass(slots=True)
class AcceptedEffect:
    """An effect that the receiver accepted.

    Attributes:
        duty: Name of the duty.
        token: Fencing token of the effect.
        body: Decoded JSON body.
        at_s: Time by the reactor's clock.
    """

    duty: str
    token: FencingToken
    body: dict[str, Any]
    at_s: float


@dataclass(eq=False)
class FencedReceiver(Resource):  # type: ignore[misc]
    """An HTTP server that receives the effects of duties.

    Attributes:
        store: Tokens and jobs.
        checks_tokens: Whether stale tokens are rejected. A real receiver must reject them.
        accepted: Accepted effects, in order.
        rejected: Stale tokens, in order.
        drops_replies: Whether the connection is aborted instead of a reply after a request was executed.
        port: Port that the server listens on.
    """

    reactor: Any
    store: TokenStore
    checks_tokens: bool = True
    isLeaf = True
    accepted: list[AcceptedEffect] = field(default_factory=list)
    rejected: list[FencingToken] = field(default_factory=list)
    drops_replies: bool = False

    def __post_init__(self) -> None:
        super().__init__()
        self._listening_port = self.reactor.listenTCP(0, quiet_site(self), interface=HOST)
        self.port: int = self._listening_port.getHost().port

    def render_POST(self, request: Any) -> Any:
        """Handle an effect with a token, a job to do, or a job to settle."""
        sent = msgspec.json.decode(request.content.read())
        if request.path == b"/fenced":
            answer = self._fenced_effect(request, sent)
        elif request.path == b"/intent":
            answer = {"done": self.store.perform_job(sent["duty"], sent["number"])}
        else:
            answer = {"done": self.store.resolve_job(sent["duty"], sent["number"])}
        if self.drops_replies:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        return msgspec.json.encode(answer)

    def _fenced_effect(self, request: Any, sent: dict[str, Any]) -> dict[str, Any]:
        token = FencingToken(*sent["fence"])
        check = TokenCheck(TokenVerdict.CURRENT, None)
        if self.checks_tokens:
            check = self.store.check(sent["duty"], token)
        highest = check.highest
        if check.verdict is TokenVerdict.STALE and highest is not None:
            self.rejected.append(token)
            request.setResponseCode(_CONFLICT)
            return {"highest": [highest.generation, highest.term, highest.revision]}
        if check.verdict is TokenVerdict.CURRENT:
            body = msgspec.json.decode(b64decode(sent["body"]))
            self.accepted.append(AcceptedEffect(sent["duty"], token, body, self.reactor.seconds()))
        return {"verdict": check.verdict.value}

    def close(self) -> None:
        """Stop listening and close the database."""
        self._listening_port.stopListening()
        self.store.close()
