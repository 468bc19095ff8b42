"""Messages of the platform's protocol: what a request must have, and the lines that go back. No connection."""

from __future__ import annotations

import binascii
import json
from dataclasses import dataclass
from typing import Any

from ..core.answer import Answer, Verdict
from ..core.registration import InvalidArrival
from ..core.requests import BUDGET_MS, MEMORY_KB, PEER, RANK, UNIX_MS, Arrival, ValueRange, is_identifier

PARSE, INVALID, NO_METHOD, BAD_PARAMS, FAILED, REFUSED = -32700, -32600, -32601, -32602, -32000, -32014
MOST_BODY = 2048
LEAVING = b'{"jsonrpc":"2.0","method":"leaving"}\n'
FAULT_CODES = {
    InvalidArrival.UNKNOWN_CLASS: NO_METHOD,
    InvalidArrival.UNKNOWN_TENANT: BAD_PARAMS,
    InvalidArrival.ARRIVAL_TIME_IMPLAUSIBLE: BAD_PARAMS,
    InvalidArrival.IDEMPOTENCY_KEY_MISSING: BAD_PARAMS,
    InvalidArrival.DUPLICATE_REQUEST_ID: BAD_PARAMS,
    InvalidArrival.BODY_MISMATCH: BAD_PARAMS,
}


class BadMessage(ValueError):
    """A line that is no message of the protocol: `code` and `tag` are for the error that it gets."""

    def __init__(self, code: int, text: str, tag: int | None = None) -> None:
        super().__init__(text)
        self.code, self.tag = code, tag


@dataclass(slots=True, frozen=True)
class Message:
    """One line that has the form of a call or a notification; `tag` is None for a notification."""

    method: str
    tag: int | None
    params: Any


def read_message(line: bytes) -> Message:
    """Raises BadMessage."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise BadMessage(PARSE, "not valid JSON") from None
    if not isinstance(message, dict) or message.get("jsonrpc") != "2.0":
        raise BadMessage(INVALID, "expected one JSON-RPC 2.0 message")
    method, tag = message.get("method"), message.get("id")
    if isinstance(tag, bool) or not isinstance(tag, int | None):
        raise BadMessage(INVALID, "id: expected a whole number")
    if not isinstance(method, str):
        raise BadMessage(INVALID, "method: expected a string", tag)
    return Message(method, tag, message.get("params"))


class BadParams(ValueError):
    """The params of a request break the protocol; the text names the key and what is expected there."""


def _number(params: dict[str, Any], key: str, allowed: ValueRange) -> float | None:
    value = params.get(key)
    if value is None:
        return None
    # Not by isinstance alone: True is an int, and JSON as Python reads it has NaN and Infinity, in no range.
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not allowed.contains(value):
        raise BadParams(f"{key}: expected a number {allowed}")
    return value


def _needed(params: dict[str, Any], key: str, allowed: ValueRange) -> float:
    value = _number(params, key, allowed)
    if value is None:
        raise BadParams(f"{key}: required")
    return value


def _text(params: dict[str, Any], key: str, most: int) -> str | None:
    value = params.get(key)
    if value is None:
        return None
    if not isinstance(value, str) or not 0 < len(value) <= most:
        raise BadParams(f"{key}: expected a string of 1 to {most} characters")
    return value


def _hex(text: str | None, key: str) -> int | None:
    if text is None:
        return None
    try:
        return int(text, 16)
    except ValueError:
        raise BadParams(f"{key}: expected hex digits") from None


def read_arrival(method: str, params: Any, came: int | None = None) -> Arrival:
    """The params of one request, checked in form; `came`: when its first byte was read. Raises BadParams."""
    if not isinstance(params, dict):
        raise BadParams("params: expected an object")
    rid, token = _text(params, "rid", 64), _text(params, "token", 128)
    if rid is None or not is_identifier(rid, 64):
        raise BadParams("rid: required, of letters, digits and -_.:")
    if token is not None and not is_identifier(token, 128):
        raise BadParams("token: expected letters, digits and -_.:")
    content = params.get("content", "")
    if not isinstance(content, str):
        raise BadParams("content: expected base64")
    try:
        body = binascii.a2b_base64(content, strict_mode=True)
    except (binascii.Error, ValueError):
        raise BadParams("content: expected base64") from None
    if len(body) > MOST_BODY:
        raise BadParams(f"content: more than {MOST_BODY} bytes")
    peer = _needed(params, "peer", PEER)
    if peer != int(peer):
        raise BadParams("peer: expected a whole number")
    return Arrival(
        rid,
        method,
        body,
        _needed(params, "t0", UNIX_MS),
        came,
        _number(params, "budget", BUDGET_MS),
        _text(params, "acct", 256),
        int(peer),
        _needed(params, "mem", MEMORY_KB),
        _needed(params, "prio", RANK),
        token,
        _hex(_text(params, "obj", 32), "obj"),
        bool(params.get("again")),
        _number(params, "est", BUDGET_MS),
    )


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
