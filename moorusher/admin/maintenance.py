"""The administration API of maintenance.

    GET  /outage                 the schedule: granted slots, and queued seats with the reason for the wait
    POST /outage/ask             submits a request
    POST /outage/cancel          withdraws a request, or some of its seats
    POST /outage/hold, /resume   pauses and resumes the granting of slots; /resume also requeues a suspended seat
    POST /outage/done            reports that the work on a machine has ended
    POST /outage/wait            answers once a machine may be worked on, once its request has ended or is suspended,
                                 or after `for_s`

The body of a POST is a JSON object.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from ..cluster_transport.maintenance import (
    MAX_WAIT_S,
    MaintenanceLink,
    MaintenanceStatus,
    RequestForm,
    SeatSelection,
)
from ..maintenance.errors import MaintenanceError
from ..maintenance.schedule import CompletionProof
from ..maintenance.waiters import WaitResult
from .api import InvalidBodyError, TokenProtectedPage, reply, reply_later
from .maintenance_documents import status_document

MAX_ID_CHARS = 64
MAX_NAME_CHARS = 64
MAX_TEXT_CHARS = 200
MAX_DURATION_S = 30 * 86_400.0
MIN_DURATION_S = 0.1
MAX_UNIX_S = 1e12
MAX_PRIORITY = 9
REQUEST_ID_BYTES = 8  # random bytes in a generated request ID
REQUEST_KEYS = {
    "id",
    "seats",
    "all",
    "zone",
    "group",
    "reason",
    "by",
    "lasts_s",
    "not_before_s",
    "due_s",
    "priority",
    "together",
    "ends",
    "bound",
}


class _Body:
    """Typed access to the JSON object of a request. Errors are `InvalidBodyError` and name the key."""

    def __init__(self, document: dict[str, Any], known_keys: set[str]) -> None:
        unknown = sorted(set(document) - known_keys)
        if unknown:
            raise InvalidBodyError(f"{unknown[0]}: no such key; known are {', '.join(sorted(known_keys))}")
        self._document = document

    def text(self, key: str, default: str | None = None, max_chars: int = MAX_TEXT_CHARS) -> str:
        """Return a string, which must not be empty if there is no default."""
        value = self._document.get(key, default)
        min_chars = 1 if default is None else 0
        if not isinstance(value, str) or not min_chars <= len(value) <= max_chars:
            raise InvalidBodyError(f"{key}: expected a string of {min_chars} to {max_chars} characters")
        return value

    def number(self, key: str, default: float, minimum: float, maximum: float) -> float:
        """Return a number within the bounds."""
        value = self._document.get(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value <= maximum:
            raise InvalidBodyError(f"{key}: expected a number from {minimum:g} to {maximum:g}")
        return float(value)

    def flag(self, key: str) -> bool:
        """Return a Boolean value; False by default."""
        value = self._document.get(key, False)
        if not isinstance(value, bool):
            raise InvalidBodyError(f"{key}: expected true or false")
        return value

    def names(self, key: str) -> list[str]:
        """Return a list of names; empty by default."""
        value = self._document.get(key, [])
        if not isinstance(value, list) or not all(_is_name(name) for name in value):
            raise InvalidBodyError(f"{key}: expected a list of names")
        return value


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS


def read_request_form(document: dict[str, Any]) -> RequestForm:
    """Read the body of POST /outage/ask. Raise `InvalidBodyError` if a key or a value is invalid."""
    body = _Body(document, REQUEST_KEYS)
    ends = body.text("ends", CompletionProof.REBOOT.api_name)
    if ends not in (proof.api_name for proof in CompletionProof):
        raise InvalidBodyError(f"ends: expected one of boot, done, got {ends!r}")
    return RequestForm(
        id=body.text("id", os.urandom(REQUEST_ID_BYTES).hex(), MAX_ID_CHARS),
        reason=body.text("reason", "maintenance"),
        requested_by=body.text("by", "api", MAX_NAME_CHARS),
        duration_s=body.number("lasts_s", 600.0, MIN_DURATION_S, MAX_DURATION_S),
        not_before_s=body.number("not_before_s", 0.0, 0, MAX_UNIX_S),
        due_at_s=body.number("due_s", 0.0, 0, MAX_UNIX_S),
        priority=int(body.number("priority", 0, 0, MAX_PRIORITY)),
        shares_zone=body.flag("together"),
        completion=CompletionProof.of_api_name(ends),
        ends_with_caller=body.flag("bound"),
        selection=SeatSelection(
            every=body.flag("all"),
            zone=body.text("zone", "", MAX_NAME_CHARS),
            group=body.text("group", "", MAX_NAME_CHARS),
            names=tuple(body.names("seats")),
        ),
    )


class OutagePages(TokenProtectedPage):
    """`/outage`: maintenance requests, and operators' commands for the schedule."""

    def __init__(self, token: str, maintenance: MaintenanceLink) -> None:
        super().__init__(token)
        self._maintenance = maintenance
        self._handlers: dict[str, Callable[[dict[str, Any], Any], Any]] = {
            "ask": self._submit,
            "cancel": self._withdraw,
            "hold": self._pause,
            "resume": self._resume,
            "done": self._finish,
            "wait": self._wait,
        }

    def render_GET(self, request: Any) -> Any:
        """Show the schedule."""
        if any(request.postpath):
            return reply(request, 404, {"error": "no such page"})
        return reply_later(request, lambda answer: self._maintenance.show(_as_document(answer)))

    def render_POST(self, request: Any) -> Any:
        """Change the schedule, or wait for a slot. Needs the bearer token."""
        if not self.is_authorized(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        path = [part.decode("utf-8", "replace") for part in request.postpath if part]
        handler = self._handlers.get(path[0]) if len(path) == 1 else None
        if handler is None:
            return reply(request, 404, {"error": f"expected one of {', '.join(sorted(self._handlers))}"})
        try:
            return handler(self.read_body(request), request)
        except InvalidBodyError as exc:
            return reply(request, 400, {"error": str(exc)})

    def _submit(self, document: dict[str, Any], request: Any) -> Any:
        form = read_request_form(document)
        return reply_later(request, lambda answer: self._maintenance.submit(form, _as_document(answer)))

    def _withdraw(self, document: dict[str, Any], request: Any) -> Any:
        body = _Body(document, {"id", "seats", "by"})
        request_id = body.text("id", max_chars=MAX_ID_CHARS)
        seats = body.names("seats")
        requested_by = body.text("by", "api", MAX_NAME_CHARS)
        return reply_later(
            request,
            lambda answer: self._maintenance.withdraw(request_id, seats, requested_by, _as_document(answer)),
        )

    def _pause(self, document: dict[str, Any], request: Any) -> Any:
        default = "held by an operator"
        reason = _Body(document, {"why"}).text("why", default) or default
        return reply_later(request, lambda answer: self._maintenance.pause(reason, _as_document(answer)))

    def _resume(self, document: dict[str, Any], request: Any) -> Any:
        seat = _Body(document, {"seat"}).text("seat", "", MAX_NAME_CHARS)
        return reply_later(request, lambda answer: self._maintenance.resume(seat, _as_document(answer)))

    def _finish(self, document: dict[str, Any], request: Any) -> Any:
        body = _Body(document, {"seat", "by"})
        seat = body.text("seat", max_chars=MAX_NAME_CHARS)
        reported_by = body.text("by", "api", MAX_NAME_CHARS)
        return reply_later(
            request, lambda answer: self._maintenance.finish(seat, reported_by, _as_document(answer))
        )

    def _wait(self, document: dict[str, Any], request: Any) -> Any:
        body = _Body(document, {"id", "seat", "for_s"})
        request_id = body.text("id", max_chars=MAX_ID_CHARS)
        seat = body.text("seat", "", MAX_NAME_CHARS) or self._maintenance.fleet.name
        timeout_s = body.number("for_s", MAX_WAIT_S, 0, MAX_WAIT_S)

        def wait(answer: Callable[[Any], None]) -> None:
            is_answered = False

            def on_result(result: WaitResult) -> None:
                nonlocal is_answered
                is_answered = True
                answer({"id": request_id, "seat": seat, "word": result.status.value, "note": result.note})

            cancel = self._maintenance.wait(request_id, seat, timeout_s, on_result)
            if not is_answered:
                request.notifyFinish().addErrback(lambda reason: cancel())

        return reply_later(request, wait)


def _as_document(answer: Callable[[Any], None]) -> Callable[[MaintenanceStatus | MaintenanceError], None]:
    """Return a callback that passes a status's document, or an error unchanged, to `answer`."""

    def callback(result: MaintenanceStatus | MaintenanceError) -> None:
        answer(result if isinstance(result, MaintenanceError) else status_document(result))

    return callback
