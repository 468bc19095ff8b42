"""Messages of the platform's protocol: what a request must have, and the lines that go back. No connection."""

from __future__ import annotations

import binascii
import json
from dataclasses import dataclass
from typing import Any

from ..core.answer import Answer, Verdict
from ..core.registration import InvalidArrival
from ..core.requests import (
    BUDGET_MS_RANGE,
    MAX_REQUEST_ID_LENGTH,
    MAX_TOKEN_LENGTH,
    MEMORY_KB_RANGE,
    PEER_RANGE,
    RANK_RANGE,
    UNIX_MS_RANGE,
    Arrival,
    ValueRange,
    is_identifier,
)

# Codes of errors: JSON-RPC's own, and the platform's for a request that failed, or that never ran.
PARSE = -32700
INVALID = -32600
NO_METHOD = -32601
INVALID_PARAMS = -32602
FAILED = -32000
REFUSED = -32014
MAX_BODY_BYTES = 2048
LEAVING = b'{"jsonrpc":"2.0","method":"leaving"}\n'
FAULT_CODES = {
    InvalidArrival.UNKNOWN_CLASS: NO_METHOD,
    InvalidArrival.UNKNOWN_TENANT: INVALID_PARAMS,
    InvalidArrival.ARRIVAL_TIME_IMPLAUSIBLE: INVALID_PARAMS,
    InvalidArrival.IDEMPOTENCY_KEY_MISSING: INVALID_PARAMS,
    InvalidArrival.DUPLICATE_REQUEST_ID: INVALID_PARAMS,
    InvalidArrival.BODY_MISMATCH: INVALID_PARAMS,
}


class InvalidMessageError(ValueError):
    """A line that is no message of the protocol: `code` and `tag` are for the error that it gets."""

    def __init__(self, code: int, text: str, tag: int | None = None) -> None:
        super().__init__(text)
        self.code = code
        self.tag = tag


@dataclass(slots=True, frozen=True)
class Message:
    """One line that has the form of a call or a notification; `tag` is None for a notification."""

    method: str
    tag: int | None
    params: Any


def read_message(line: bytes) -> Message:
    """Parse one line.

    :raises InvalidMessageError: it is not JSON, or has not the form of JSON-RPC 2.0.
    """
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise InvalidMessageError(PARSE, "not valid JSON") from None
    if not isinstance(message, dict) or message.get("jsonrpc") != "2.0":
        raise InvalidMessageError(INVALID, "expected one JSON-RPC 2.0 message")
    method = message.get("method")
    tag = message.get("id")
    if isinstance(tag, bool) or not isinstance(tag, int | None):
        raise InvalidMessageError(INVALID, "id: expected a whole number")
    if not isinstance(method, str):
        raise InvalidMessageError(INVALID, "method: expected a string", tag)
    return Message(method, tag, message.get("params"))


class InvalidParamsError(ValueError):
    """The params of a request break the protocol; the text names the key and what is expected there."""


def _number(params: dict[str, Any], key: str, allowed: ValueRange) -> float | None:
    value = params.get(key)
    if value is None:
        return None
    # Not by isinstance alone: True is an int, and JSON as Python reads it has NaN and Infinity, in no range.
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not allowed.contains(value):
        raise InvalidParamsError(f"{key}: expected a number {allowed}")
    return value


def _needed(params: dict[str, Any], key: str, allowed: ValueRange) -> float:
    value = _number(params, key, allowed)
    if value is None:
        raise InvalidParamsError(f"{key}: required")
    return value


def _text(params: dict[str, Any], key: str, max_length: int) -> str | None:
    value = params.get(key)
    if value is None:
        return None
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise InvalidParamsError(f"{key}: expected a string of 1 to {max_length} characters")
    return value


def _hex(text: str | None, key: str) -> int | None:
    if text is None:
        return None
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidParamsError(f"{key}: expected hex digits") from None


def read_arrival(method: str, params: Any, began_us: int | None = None) -> Arrival:
    """Map the params of one request to the core's names, checked in form.

    :param began_us: when its first byte was read, if that was in an earlier turn.
    :raises InvalidParamsError: a param is missing or can't be used; the text names it.
    """
    if not isinstance(params, dict):
        raise InvalidParamsError("params: expected an object")
    rid = _request_id(params)
    token = _token(params)
    body = _body(params)
    caller = _needed(params, "peer", PEER_RANGE)
    if caller != int(caller):
        raise InvalidParamsError("peer: expected a whole number")
    return Arrival(
        rid=rid,
        class_name=method,
        body=body,
        t0_unix_ms=_needed(params, "t0", UNIX_MS_RANGE),
        arrived_us=began_us,
        budget_ms=_number(params, "budget", BUDGET_MS_RANGE),
        tenant=_text(params, "acct", 256),
        caller=int(caller),
        memory_kb=_needed(params, "mem", MEMORY_KB_RANGE),
        rank=_needed(params, "prio", RANK_RANGE),
        token=token,
        subject=_hex(_text(params, "obj", 32), "obj"),
        is_retry=bool(params.get("again")),
        cost_hint_ms=_number(params, "est", BUDGET_MS_RANGE),
    )


def _request_id(params: dict[str, Any]) -> str:
    rid = _text(params, "rid", MAX_REQUEST_ID_LENGTH)
    if rid is None or not is_identifier(rid, MAX_REQUEST_ID_LENGTH):
        raise InvalidParamsError("rid: required, of letters, digits and -_.:")
    return rid


def _token(params: dict[str, Any]) -> str | None:
    token = _text(params, "token", MAX_TOKEN_LENGTH)
    if token is not None and not is_identifier(token, MAX_TOKEN_LENGTH):
        raise InvalidParamsError("token: expected letters, digits and -_.:")
    return token


def _body(params: dict[str, Any]) -> bytes:
    content = params.get("content", "")
    if not isinstance(content, str):
        raise InvalidParamsError("content: expected base64")
    try:
        body = binascii.a2b_base64(content, strict_mode=True)
    except (binascii.Error, ValueError):
        raise InvalidParamsError("content: expected base64") from None
    if len(body) > MAX_BODY_BYTES:
        raise InvalidParamsError(f"content: more than {MAX_BODY_BYTES} bytes")
    return body


def error_line(tag: int | None, code: int, message: str, hint: float | None = None, **data: object) -> bytes:
    """An error; `tag` is None where the message had no id that can be read."""
    if hint is not None:
        data["hint"] = hint
    error: dict[str, object] = {"code": code, "message": message}
    if data:
        error["data"] = data
    return json.dumps({"jsonrpc": "2.0", "id": tag, "error": error}).encode() + b"\n"


def result_line(tag: int | None, result: dict[str, object]) -> bytes:
    """A result of the protocol's own methods."""
    return json.dumps({"jsonrpc": "2.0", "id": tag, "result": result}).encode() + b"\n"


def served_line(tag: int, body: bytes, hint: float | None) -> bytes:
    """The result of a run, put together by hand: it is most of what is written."""
    content = binascii.b2a_base64(body, newline=False)
    more = b"" if hint is None else b',"hint":%s' % json.dumps(hint).encode()
    return b'{"jsonrpc":"2.0","id":%d,"result":{"content":"%s"%s}}\n' % (tag, content, more)


def answer_line(tag: int, answer: Answer, hint: float | None) -> bytes:
    """The final answer of a request."""
    if answer.verdict is Verdict.SERVED:
        return served_line(tag, answer.content, hint)
    if answer.verdict is Verdict.FAILED:
        return error_line(tag, FAILED, answer.cause.value, hint)
    data: dict[str, object] = {"backoff": answer.retry_after_ms}
    if answer.final:
        data["final"] = 1
    return error_line(tag, REFUSED, answer.rejection_message, hint, **data)
