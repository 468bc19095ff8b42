"""Handles the messages of one JSON-RPC connection: requests, revocations, health checks and their answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..core.answer import Answer, Cause
from ..core.outcomes import EndReason
from ..core.registration import NEVER_RAN, RETRY_AFTER_MS, InvalidArrival
from ..core.request_engine import RequestEngine
from ..core.requests import Request
from .jsonrpc_messages import (
    FAILED,
    INVALID,
    INVALID_ARRIVAL_CODES,
    INVALID_PARAMS,
    NO_METHOD,
    REFUSED,
    InvalidMessageError,
    InvalidParamsError,
    answer_line,
    error_line,
    read_arrival,
    read_message,
    result_line,
)

MAX_OPEN_REQUESTS = 32  # Open requests per connection.
# Malformed messages after which a front end is asked to send no new requests. A correct front end causes none, except
# for classes that this runner does not know yet. Requests that are already on their way are still answered.
MAX_ERRORS_BEFORE_LEAVING = 16
# Malformed messages after which the connection is closed.
MAX_ERRORS = MAX_ERRORS_BEFORE_LEAVING + 2 * MAX_OPEN_REQUESTS


class JsonRpcConnection(Protocol):
    """Interface of the connection of a session."""

    def send(self, line: bytes) -> None:
        """Write a line."""

    def request_close(self) -> None:
        """Ask the other side to send no new requests and to close."""

    def mark_idle(self) -> None:
        """Called when a complete message has arrived, and no request is open."""

    def mark_busy(self) -> None:
        """Called when a request is open."""

    def stop_reading(self, end_reason: EndReason) -> None:
        """Stop reading, and close once `close_if_answered` is called with no request open."""

    def close_if_answered(self) -> None:
        """Close if reading has stopped and no request is open."""


class JsonRpcSession:
    """The requests of one connection. Implements `core.answer.Reply`, which sends their answers.

    Attributes:
        open: Requests without an answer, by their JSON-RPC ID.
        error_count: Number of malformed messages so far.
    """

    def __init__(
        self, core: RequestEngine, connection: JsonRpcConnection, is_fit: Callable[[], bool]
    ) -> None:
        self._core = core
        self._connection = connection
        self._is_fit = is_fit
        self.open: dict[int, Request] = {}
        self._id_by_rid: dict[str, int] = {}
        self.error_count = 0

    def handle(self, line: bytes, began_us: int | None) -> None:
        """Handle a message.

        :param began_us: When the first byte of the message was read, if that was in an earlier turn.
        """
        try:
            message = read_message(line)
        except InvalidMessageError as error:
            self._reject_message(error.tag, error.code, str(error))
            return
        if message.method == "revoke":
            self._revoke(message.tag, message.params)
        elif message.method == "heartbeat":
            self._check_health(message.tag)
        elif message.tag is not None:  # JSON-RPC does not answer notifications, even of unknown methods.
            self._submit_request(message.method, message.tag, message.params, began_us)

    def connection_lost(self) -> None:
        """Cancel the open requests, since their caller has disconnected."""
        requests = list(self.open.values())
        self.open = {}
        self._id_by_rid.clear()
        for request in requests:
            self._core.caller_disconnected(request)

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None:
        """Send the final answer of the request with this id."""
        request = self.open.pop(tag, None)
        if request is not None:
            self._id_by_rid.pop(request.rid, None)
            self._mark_idle_if_answered()
        self._connection.send(answer_line(tag, answer, hint))
        if answer.cause is Cause.UNKNOWN_TO_KERNEL:
            self._count_error()
        self._connection.close_if_answered()

    def _submit_request(self, method: str, tag: int, params: Any, began_us: int | None) -> None:
        registrar = self._core.registrar
        if method not in registrar.classes:
            # Front ends may learn late that a class was removed, so such a request does not count as malformed.
            self._reject_message(tag, NO_METHOD, "no such method", method not in registrar.former_classes)
            return
        if tag < 1 or tag in self.open:
            self._reject_message(tag, INVALID, "id: expected one from 1 on that is not in use")
            return
        if len(self.open) >= MAX_OPEN_REQUESTS:
            self._reject_message(
                tag, INVALID, f"more than {MAX_OPEN_REQUESTS} requests open on one connection"
            )
            return
        try:
            arrival = read_arrival(method, params, began_us)
        except InvalidParamsError as error:
            self._reject_message(tag, INVALID_PARAMS, str(error))
            return
        submitted = self._core.submit(arrival, self, tag)
        if isinstance(submitted, InvalidArrival):
            self._reject(tag, submitted)
            return
        self._connection.mark_busy()
        self.open[tag] = submitted
        self._id_by_rid[submitted.rid] = tag

    def _reject(self, tag: int, reason: InvalidArrival) -> None:
        if reason in NEVER_RAN:
            hint = self._core.state.load_signal
            self._connection.send(error_line(tag, REFUSED, reason.value, hint, backoff=RETRY_AFTER_MS))
            self._mark_idle_if_answered()
        else:
            code = INVALID_ARRIVAL_CODES.get(reason, FAILED)
            self._reject_message(tag, code, reason.value, by_client=reason in INVALID_ARRIVAL_CODES)

    def _reject_message(self, tag: int | None, code: int, text: str, by_client: bool = True) -> None:
        self._core.counters.add("faulty")
        self._connection.send(error_line(tag, code, text))
        self._mark_idle_if_answered()
        if by_client:
            self._count_error()

    def _count_error(self) -> None:
        """Count a malformed message. Their number is limited, since each costs as much time as a request."""
        self.error_count += 1
        if self.error_count == MAX_ERRORS_BEFORE_LEAVING:
            self._connection.request_close()
        if self.error_count >= MAX_ERRORS:
            self._connection.stop_reading(EndReason.TOO_MANY_ERRORS)

    def _check_health(self, tag: int | None) -> None:
        result: dict[str, object] = {"fit": self._is_fit()}
        if self._core.state.load_signal is not None:
            result["hint"] = self._core.state.load_signal
        self._core.counters.add("health checks")
        self._connection.send(result_line(tag, result))
        self._mark_idle_if_answered()

    def _revoke(self, tag: int | None, params: Any) -> None:
        """Cancel a request, which the caller names by its rid or by its JSON-RPC ID."""
        named = params if isinstance(params, dict) else {}
        revoked = named.get("id")
        rid = named.get("rid")
        if isinstance(rid, str):
            revoked = self._id_by_rid.get(rid)
        request = self.open.pop(revoked, None) if isinstance(revoked, int) else None
        if request is not None:
            self._id_by_rid.pop(request.rid, None)
            self._core.caller_disconnected(request)
            self._mark_idle_if_answered()
        if tag is not None and tag not in self.open:
            self._connection.send(result_line(tag, {}))

    def _mark_idle_if_answered(self) -> None:
        if not self.open:
            self._connection.mark_idle()
