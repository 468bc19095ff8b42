"""Messages of the platform's protocol: parsing and validation of requests, and encoding of answers."""

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
    parse_subject,
)

# Error codes: those of JSON-RPC, and the platform's for a request that failed (FAILED) or never ran (REFUSED).
PARSE = -32700
INVALID = -32600
NO_METHOD = -32601
INVALID_PARAMS = -32602
FAILED = -32000
REFUSED = -32014
MAX_BODY_BYTES = 2048
LEAVING = b'{"jsonrpc":"2.0","method":"leaving"}\n'
INVALID_ARRIVAL_CODES = {
    InvalidArrival.UNKNOWN_CLASS: NO_METHOD,
    InvalidArrival.UNKNOWN_TENANT: INVALID_PARAMS,
    InvalidArrival.ARRIVAL_TIME_IMPLAUSIBLE: INVALID_PARAMS,
    InvalidArrival.IDEMPOTENCY_KEY_MISSING: INVALID_PARAMS,
    InvalidArrival.DUPLICATE_REQUEST_ID: INVALID_PARAMS,
    InvalidArrival.BODY_MISMATCH: INVALID_PARAMS,
}


class InvalidMessageError(ValueError):
    """A line is not a valid message of the protocol.

    Attributes:
        code: Error code of the answer.
        tag: JSON-RPC ID of the answer, None if the line has no readable ID.
    """

    def __init__(self, code: int, text: str, tag: int | None = None) -> None:
        super().__init__(text)
        self.code = code
        self.tag = tag


@dataclass(slots=True, frozen=True)
class Message:
    """A valid JSON-RPC call or notification.

    Attributes:
        tag: JSON-RPC ID of a call, None for a notification.
    """

    method: str
    tag: int | None
    params: Any


def read_message(line: bytes) -> Message:
    """Parse a line.

    :raises InvalidMessageError: The line is not valid JSON or not a valid JSON-RPC 2.0 message.
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
    """A param of a request is invalid. The message names the key and the expected value."""


def _number(params: dict[str, Any], key: str, allowed: ValueRange) -> float | None:
    value = params.get(key)
    if value is None:
        return None
    # isinstance alone is not enough: True is an int. NaN and Infinity, which Python's JSON accepts, are in no range.
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not allowed.contains(value):
        raise InvalidParamsError(f"{key}: expected a number {allowed}")
    return value


def _required_number(params: dict[str, Any], key: str, allowed: ValueRange) -> float:
    value = _number(params, key, allowed)
    if value is None:
        raise InvalidParamsError(f"{key}: required")
    return value


def _string(params: dict[str, Any], key: str, max_length: int) -> str | None:
    value = params.get(key)
    if value is None:
        return None
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise InvalidParamsError(f"{key}: expected a string of 1 to {max_length} characters")
    return value


def _subject(params: dict[str, Any], key: str) -> int | None:
    text = params.get(key)
    if text is None:
        return None
    try:
        return parse_subject(text if isinstance(text, str) else "")
    except ValueError as error:
        raise InvalidParamsError(f"{key}: {error}") from None


def read_arrival(method: str, params: Any, began_us: int | None = None) -> Arrival:
    """Validate the params of a request and convert them to an `Arrival`.

    :param began_us: When the first byte of the request was read, if that was in an earlier turn.
    :raises InvalidParamsError: A param is missing or invalid. The message names it.
    """
    if not isinstance(params, dict):
        raise InvalidParamsError("params: expected an object")
    rid = _request_id(params)
    token = _token(params)
    body = _body(params)
    caller = _required_number(params, "peer", PEER_RANGE)
    if caller != int(caller):
        raise InvalidParamsError("peer: expected a whole number")
    return Arrival(
        rid=rid,
        class_name=method,
        body=body,
        t0_unix_ms=_required_number(params, "t0", UNIX_MS_RANGE),
        arrived_us=began_us,
        budget_ms=_number(params, "budget", BUDGET_MS_RANGE),
        tenant=_string(params, "acct", 256),
        caller=int(caller),
        memory_kb=_required_number(params, "mem", MEMORY_KB_RANGE),
        rank=_required_number(params, "prio", RANK_RANGE),
        token=token,
        subject=_subject(params, "obj"),
        is_retry=bool(params.get("again")),
        cost_hint_ms=_number(params, "est", BUDGET_MS_RANGE),
    )


def _request_id(params: dict[str, Any]) -> str:
    rid = _string(params, "rid", MAX_REQUEST_ID_LENGTH)
    if rid is None or not is_identifier(rid, MAX_REQUEST_ID_LENGTH):
        raise InvalidParamsError("rid: required, of letters, digits and -_.:")
    return rid


def _token(params: dict[str, Any]) -> str | None:
    token = _string(params, "token", MAX_TOKEN_LENGTH)
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
    """Encode an error.

    :param tag: JSON-RPC ID, None if the message had no readable ID.
    """
    if hint is not None:
        data["hint"] = hint
    error: dict[str, object] = {"code": code, "message": message}
    if data:
        error["data"] = data
    return json.dumps({"jsonrpc": "2.0", "id": tag, "error": error}).encode() + b"\n"


def result_line(tag: int | None, result: dict[str, object]) -> bytes:
    """Encode the result of one of the protocol's own methods."""
    return json.dumps({"jsonrpc": "2.0", "id": tag, "result": result}).encode() + b"\n"


def served_line(tag: int, body: bytes, hint: float | None) -> bytes:
    """Encode the result of a run. It is formatted without the JSON encoder, since most of the output is results."""
    content = binascii.b2a_base64(body, newline=False)
    more = b"" if hint is None else b',"hint":%s' % json.dumps(hint).encode()
    return b'{"jsonrpc":"2.0","id":%d,"result":{"content":"%s"%s}}\n' % (tag, content, more)


def answer_line(tag: int, answer: Answer, hint: float | None) -> bytes:
    """Encode the final answer of a request."""
    if answer.verdict is Verdict.SERVED:
        return served_line(tag, answer.content, hint)
    if answer.verdict is Verdict.FAILED:
        return error_line(tag, FAILED, answer.cause.value, hint)
    data: dict[str, object] = {"backoff": answer.retry_after_ms}
    if answer.final:
        data["final"] = 1
    return error_line(tag, REFUSED, answer.rejection_message, hint, **data)
