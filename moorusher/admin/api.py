"""Common parts of the administration API: JSON over HTTP on loopback, with a bearer token for changes."""

from __future__ import annotations

import hmac
import json
from collections.abc import Callable
from typing import Any

from twisted.web import resource, server

from ..errors import OperatorError

# Twisted's web classes have no type annotations. These aliases keep the untyped names in one place.
Resource: Any = resource.Resource
Site: Any = server.Site
# Limit of the JSON body of a change, which takes a few hundred bytes. Drafts and histories have limits of their own.
MAX_BODY_BYTES = 4096
IDLE_TIMEOUT_S = 10  # Idle connections are closed after this time.
TOKEN_REQUIRED = {"error": "a bearer token is needed"}


class InvalidBodyError(ValueError):
    """Raised if a request's body is not a valid change. The message names the faulty key."""


def quiet_site(root: Any) -> Any:
    """Return a web site without an access log."""
    site = Site(root, timeout=IDLE_TIMEOUT_S)
    site.noisy = False
    site.log = lambda request: None
    return site


def path_segments(request: Any) -> list[str]:
    """Return the segments of the request's path below that of the page."""
    return [part.decode("utf-8", "replace") for part in request.postpath if part]


class JsonPage(Resource):  # type: ignore[misc]
    """A page for GET that returns the value of `read` as JSON."""

    isLeaf = True

    def __init__(self, read: Callable[[], object]) -> None:
        super().__init__()
        self._read = read

    def render_GET(self, request: Any) -> bytes:
        """Answer 200 with the value."""
        return reply(request, 200, self._read())


class TokenProtectedPage(Resource):  # type: ignore[misc]
    """Base class of pages that need the bearer token for changes but not for reads."""

    isLeaf = True

    def __init__(self, token: str) -> None:
        super().__init__()
        self._token = token

    def is_authorized(self, request: Any) -> bool:
        """Return whether the request has the bearer token. Without a configured token, no request is authorized."""
        authorization = request.getHeader(b"authorization") or b""
        # The comparison takes constant time, since the duration of a plain one reveals how much of a guess is right.
        if self._token and hmac.compare_digest(authorization, b"Bearer " + self._token.encode()):
            return True
        request.setHeader(b"www-authenticate", b"Bearer")
        return False

    def read_body(self, request: Any) -> dict[str, Any]:
        """Return the JSON object in the request's body, {} if the body is empty.

        :raises InvalidBodyError: The body is too long or not a JSON object.
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


class ChangePage(TokenProtectedPage):
    """A page for POST that calls `change` and returns its value as JSON."""

    def __init__(self, token: str, change: Callable[[], object]) -> None:
        super().__init__(token)
        self._change = change

    def render_POST(self, request: Any) -> bytes:
        """Answer 202, or 401 without the token."""
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        return reply(request, 202, self._change())


def reply(request: Any, status: int, value: object) -> bytes:
    """Set the status of the response and return `value` as its JSON body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(value, sort_keys=True).encode() + b"\n"


def reply_later(request: Any, start: Callable[[Callable[[Any], None]], None]) -> Any:
    """Answer the request when an asynchronous operation completes, unless the client has disconnected by then.

    :param start: Starts the operation, whose callback takes a value, JSON as bytes, or an `OperatorError`. It may also
        raise an `OperatorError`. An error is answered with its `status` and, as JSON, its text, `kind` and `remedy`.
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
        start(answer)
    except OperatorError as error:
        answer(error)
    return server.NOT_DONE_YET


def _error_document(error: OperatorError) -> dict[str, str]:
    return {"error": str(error), "kind": error.kind, "remedy": error.remedy}
