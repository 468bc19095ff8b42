"""What the messages of one JSON-RPC connection mean: requests, revocations, health checks, and their answers."""

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
    FAULT_CODES,
    INVALID,
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

MAX_OPEN_REQUESTS = 32  # on one connection
# Malformed messages until a connection is asked to leave. A front end sends none, but for classes that this runner does
# not know yet; what it has on its way by then still gets its answers.
MAX_FAULTS_BEFORE_LEAVE = 16
MAX_FAULTS = MAX_FAULTS_BEFORE_LEAVE + 2 * MAX_OPEN_REQUESTS  # until it is closed, since it did not leave


class JsonRpcConnection(Protocol):
    """What a session needs of its connection."""

    def send(self, line: bytes) -> None:
        """Write one line."""

    def leave(self) -> None:
        """Ask the other side to send nothing new here."""

    def idle(self) -> None:
        """A complete message has come, and no request is open."""

    def busy(self) -> None:
        """A request is open."""

    def stop_reading(self, ending: EndReason) -> None:
        """Read nothing more; close once `end_if_answered` is called with no request open."""

    def end_if_answered(self) -> None:
        """Close if nothing more is read and no request is open."""


class JsonRpcSession:
    """The requests of one connection, and the way back for their answers (`core.answer.Reply`).

    `open`: requests that are owed an answer, by their id on this connection. `faults`: malformed messages so far.
    """

    def __init__(
        self, core: RequestEngine, connection: JsonRpcConnection, is_fit: Callable[[], bool]
    ) -> None:
        self._core = core
        self._connection = connection
        self._is_fit = is_fit
        self.open: dict[int, Request] = {}
        self._id_by_rid: dict[str, int] = {}
        self.faults = 0

    def handle(self, line: bytes, began_us: int | None) -> None:
        """Handle one message.

        :param began_us: when its first byte was read, if that was in an earlier turn.
        """
        try:
            message = read_message(line)
        except InvalidMessageError as error:
            self._fault(error.tag, error.code, str(error))
            return
        if message.method == "revoke":
            self._revoke(message.tag, message.params)
        elif message.method == "heartbeat":
            self._check_health(message.tag)
        elif message.tag is not None:  # JSON-RPC has no answer to a notification of an unknown method
            self._request(message.method, message.tag, message.params, began_us)

    def connection_lost(self) -> None:
        """Nobody waits for the open requests any more."""
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
            self._note_idle()
        self._connection.send(answer_line(tag, answer, hint))
        if answer.cause is Cause.UNKNOWN_TO_KERNEL:
            self._count_fault()
        self._connection.end_if_answered()

    def _request(self, method: str, tag: int, params: Any, began_us: int | None) -> None:
        registrar = self._core.registrar
        if method not in registrar.classes:
            # Front ends learn late of a class that was dropped: no reason to close their connection.
            self._fault(tag, NO_METHOD, "no such method", method not in registrar.former_classes)
            return
        if tag < 1 or tag in self.open:
            self._fault(tag, INVALID, "id: expected one from 1 on that is not in use")
            return
        if len(self.open) >= MAX_OPEN_REQUESTS:
            self._fault(tag, INVALID, f"more than {MAX_OPEN_REQUESTS} requests open on one connection")
            return
        try:
            arrival = read_arrival(method, params, began_us)
        except InvalidParamsError as error:
            self._fault(tag, INVALID_PARAMS, str(error))
            return
        submitted = self._core.submit(arrival, self, tag)
        if isinstance(submitted, InvalidArrival):
            self._reject(tag, submitted)
            return
        self._connection.busy()
        self.open[tag] = submitted
        self._id_by_rid[submitted.rid] = tag

    def _reject(self, tag: int, reason: InvalidArrival) -> None:
        if reason in NEVER_RAN:
            hint = self._core.state.load_signal
            self._connection.send(error_line(tag, REFUSED, reason.value, hint, backoff=RETRY_AFTER_MS))
            self._note_idle()
        else:
            code = FAULT_CODES.get(reason, FAILED)
            self._fault(tag, code, reason.value, by_client=reason in FAULT_CODES)

    def _fault(self, tag: int | None, code: int, text: str, by_client: bool = True) -> None:
        self._core.counters.add("faulty")
        self._connection.send(error_line(tag, code, text))
        self._note_idle()
        if by_client:
            self._count_fault()

    def _count_fault(self) -> None:
        """Bound the malformed messages of a connection: each costs the loop as much as a request."""
        self.faults += 1
        if self.faults == MAX_FAULTS_BEFORE_LEAVE:
            self._connection.leave()
        if self.faults >= MAX_FAULTS:
            self._connection.stop_reading(EndReason.TOO_MANY_ERRORS)

    def _check_health(self, tag: int | None) -> None:
        result: dict[str, object] = {"fit": self._is_fit()}
        if self._core.state.load_signal is not None:
            result["hint"] = self._core.state.load_signal
        self._core.counters.add("health checks")
        self._connection.send(result_line(tag, result))
        self._note_idle()

    def _revoke(self, tag: int | None, params: Any) -> None:
        """The caller waits no longer for a request, which is named by its rid or by its id on this connection."""
        named = params if isinstance(params, dict) else {}
        revoked = named.get("id")
        rid = named.get("rid")
        if isinstance(rid, str):
            revoked = self._id_by_rid.get(rid)
        request = self.open.pop(revoked, None) if isinstance(revoked, int) else None
        if request is not None:
            self._id_by_rid.pop(request.rid, None)
            self._core.caller_disconnected(request)
            self._note_idle()
        if tag is not None and tag not in self.open:
            self._connection.send(result_line(tag, {}))

    def _note_idle(self) -> None:
        if not self.open:
            self._connection.idle()
