"""What all pages of the administration API share: JSON over HTTP on loopback, and the bearer token of changes."""

from __future__ import annotations

import hmac
import json
from collections.abc import Callable
from typing import Any

from twisted.web import resource, server

from ..errors import OperatorError

# Twisted's web classes carry no types; named once here, so that the rest is checked.
Resource: Any = resource.Resource
Site: Any = server.Site
MAX_BODY_BYTES = 4096  # of a change; every one that there is takes some hundred
IDLE_TIMEOUT_S = 10  # of a connection
NO_TOKEN = {"error": "a bearer token is needed"}


class InvalidBodyError(ValueError):
    """The body is no such change; the text names the key."""


def quiet_site(root: Any) -> Any:
    """Return a web site without an access log."""
    site = Site(root, timeout=IDLE_TIMEOUT_S)
    site.noisy = False
    site.log = lambda request: None
    return site


def path_of(request: Any) -> list[str]:
    """Return the parts of the path below the page's own."""
    return [part.decode("utf-8", "replace") for part in request.postpath if part]


class JsonPage(Resource):  # type: ignore[misc]
    """GET alone: the value that `read` returns, as JSON."""

    isLeaf = True

    def __init__(self, read: Callable[[], object]) -> None:
        super().__init__()
        self._read = read

    def render_GET(self, request: Any) -> bytes:
        """Answer 200 with the value."""
        return reply(request, 200, self._read())


class Guarded(Resource):  # type: ignore[misc]
    """A page that anybody may read, and that only the holder of the token may change."""

    isLeaf = True

    def __init__(self, token: str) -> None:
        super().__init__()
        self._token = token

    def allowed(self, request: Any) -> bool:
        """Whether the request carries the token. Without one in the configuration nobody may change anything."""
        given = request.getHeader(b"authorization") or b""
        # Compared in constant time: the time of a plain comparison tells how much of a guess is right.
        if self._token and hmac.compare_digest(given, b"Bearer " + self._token.encode()):
            return True
        request.setHeader(b"www-authenticate", b"Bearer")
        return False

    def body(self, request: Any) -> dict[str, Any]:
        """Return the JSON object of the body, {} where it is empty.

        :raises InvalidBodyError: it is too long or no JSON object.
        """
        raw = request.content.read(MAX_BODY_BYTES + 1)
        if len(raw) > MAX_BODY_BYTES:
            raise InvalidBodyError(f"more than {MAX_BODY_BYTES} bytes")
        if not raw.strip():
            return {}
        try:
            parsed = json.loads(raw)
        except (ValueError, RecursionError):
            raise InvalidBodyError("expected a JSON object") from None
        if not isinstance(parsed, dict):
            raise InvalidBodyError("expected a JSON object")
        return parsed


class ChangePage(Guarded):
    """POST alone: calls `change` and answers 202 with what it returns."""

    def __init__(self, token: str, change: Callable[[], object]) -> None:
        super().__init__(token)
        self._change = change

    def render_POST(self, request: Any) -> bytes:
        """Answer 202, or 401 without the token."""
        if not self.allowed(request):
            return reply(request, 401, NO_TOKEN)
        return reply(request, 202, self._change())


def reply(request: Any, status: int, value: object) -> bytes:
    """Set the status of the answer and return its body as JSON."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(value, sort_keys=True).encode() + b"\n"


def later(request: Any, ask: Callable[[Callable[[Any], None]], None]) -> Any:
    """Answer once other runners have answered; the client may have disconnected by then.

    `ask` is called with a callback. It passes a value, JSON as bytes, or an `OperatorError` to it, and may raise one as
    well. The answer of an error has its `status`, and in its JSON its text, `kind` and `remedy`.
    """
    disconnected: list[object] = []
    request.notifyFinish().addErrback(disconnected.append)

    def answer(result: Any) -> None:
        if disconnected:
            return
        if isinstance(result, OperatorError):
            request.write(reply(request, result.status, _error_document(result)))
        else:
            request.write(reply(request, 200, json.loads(result) if isinstance(result, bytes) else result))
        request.finish()

    try:
        ask(answer)
    except OperatorError as error:
        answer(error)
    return server.NOT_DONE_YET


def _error_document(error: OperatorError) -> dict[str, str]:
    return {"error": str(error), "kind": error.kind, "remedy": error.remedy}
