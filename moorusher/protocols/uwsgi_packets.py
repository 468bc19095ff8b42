"""Packets of the uwsgi protocol and the HTTP responses to them: parsing, validation and encoding.

The variables are CONTENT_LENGTH and those in `VARS`. README.md has the table of statuses.
"""

from __future__ import annotations

import math
import secrets
import struct

from ..core.answer import Cause
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

HEAD = struct.Struct("<BHB")  # modifier1, size of the variables in bytes, modifier2
LENGTH = struct.Struct("<H")
WSGI = 0  # modifier1 of a request
PING = 100  # modifier1 of a ping
PONG = 1  # modifier2 of the answer to a ping
MAX_VARIABLES = 128
MAX_LENGTH_DIGITS = 12  # Maximum number of digits of CONTENT_LENGTH.

VARS = {
    "class": "MOORUSHER_CLASS",
    "tenant": "MOORUSHER_TENANT",
    "budget": "MOORUSHER_BUDGET_MS",
    "token": "MOORUSHER_TOKEN",
    "rid": "MOORUSHER_RID",
    "t0": "MOORUSHER_T0_MS",
    "peer": "MOORUSHER_PEER",
    "mem": "MOORUSHER_MEMORY_KB",
    "prio": "MOORUSHER_RANK",
    "obj": "MOORUSHER_SUBJECT",
}

INVALID_ARRIVAL_STATUS = {
    InvalidArrival.UNKNOWN_CLASS: 404,
    InvalidArrival.UNKNOWN_TENANT: 403,
    InvalidArrival.IDEMPOTENCY_KEY_MISSING: 400,
    InvalidArrival.DUPLICATE_REQUEST_ID: 409,
    InvalidArrival.BODY_MISMATCH: 422,
    InvalidArrival.ARRIVAL_TIME_IMPLAUSIBLE: 400,
    InvalidArrival.KEY_STATE_UNKNOWN: 503,
    InvalidArrival.TOO_MANY_REQUESTS: 503,
    InvalidArrival.KEY_TABLE_FULL: 503,
    InvalidArrival.NOT_READY: 503,
    InvalidArrival.RULES_UNKNOWN: 503,
}
# As for any gateway: the backend failed (502), or did not answer in time (504).
FAILED_STATUS = {
    Cause.RUN_FAILED: 502,
    Cause.UNKNOWN_TO_KERNEL: 502,
    Cause.NO_SHARED_RESULT: 502,
    Cause.INTERNAL_ERROR: 502,
    Cause.ABANDONED: 504,
    Cause.SHUTTING_DOWN: 504,
    Cause.MAY_RUN_ELSEWHERE: 504,
}
REASONS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class InvalidPacketError(ValueError):
    """The received data is not a valid uwsgi request.

    Attributes:
        status: Status of the HTTP response.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def parse_vars(block: bytes) -> dict[str, str]:
    """Parse pairs of name and value, each preceded by its length. The last value of a name wins, as in uWSGI.

    :raises InvalidPacketError: A length exceeds the block, a name is empty, or there are too many variables.
    """
    found: dict[str, str] = {}
    at = 0
    end = len(block)
    while at < end:
        pair = []
        for _ in range(2):
            if at + 2 > end:
                raise InvalidPacketError(400, "a length runs past the variables")
            (size,) = LENGTH.unpack_from(block, at)
            at += 2
            if at + size > end:
                raise InvalidPacketError(400, "a variable runs past its packet")
            pair.append(block[at : at + size].decode("latin-1"))
            at += size
        if not pair[0]:
            raise InvalidPacketError(400, "a variable without a name")
        found[pair[0]] = pair[1]
        if len(found) > MAX_VARIABLES:
            raise InvalidPacketError(400, f"more than {MAX_VARIABLES} variables")
    return found


def build_packet(variables: dict[str, str], modifier1: int = WSGI, modifier2: int = 0) -> bytes:
    """Build a packet of variables as a client sends it."""
    parts = []
    for pair in variables.items():
        for text in pair:
            raw = text.encode("latin-1")
            parts.append(LENGTH.pack(len(raw)) + raw)
    block = b"".join(parts)
    return HEAD.pack(modifier1, len(block), modifier2) + block


def content_length(variables: dict[str, str], max_bytes: int) -> int:
    """Return the length of the body, 0 if CONTENT_LENGTH is missing.

    :raises InvalidPacketError: The value is not a whole number, or exceeds `max_bytes`.
    """
    text = variables.get("CONTENT_LENGTH", "")
    if not text:
        return 0
    # isdigit alone accepts digits of other scripts, and int alone accepts '+5', ' 5' and '1_0'.
    if not (text.isascii() and text.isdigit()):
        raise InvalidPacketError(400, "CONTENT_LENGTH: expected a whole number")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > max_bytes:
        raise InvalidPacketError(413, f"CONTENT_LENGTH: more than {max_bytes}")
    return int(text)


def _number(variables: dict[str, str], name: str, allowed: ValueRange) -> float | None:
    text = variables.get(VARS[name], "")
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not allowed.contains(value):
        raise InvalidPacketError(400, f"{VARS[name]}: expected a number {allowed}")
    return value


def read_arrival(variables: dict[str, str], body: bytes, began_us: int | None = None) -> Arrival:
    """Validate the variables of a request and convert them to an `Arrival`.

    :param began_us: When the request began to arrive.
    :raises InvalidPacketError: A variable is missing or invalid. The message names it.
    """
    class_name = variables.get(VARS["class"], "")
    if not class_name:
        raise InvalidPacketError(400, f"{VARS['class']}: required")
    rid = variables.get(VARS["rid"], "") or secrets.token_hex(8)
    token = variables.get(VARS["token"], "") or None
    if not is_identifier(rid, MAX_REQUEST_ID_LENGTH) or (
        token is not None and not is_identifier(token, MAX_TOKEN_LENGTH)
    ):
        raise InvalidPacketError(400, f"{VARS['rid']}, {VARS['token']}: expected letters, digits and -_.:")
    subject = variables.get(VARS["obj"], "")
    try:
        obj = parse_subject(subject) if subject else None
    except ValueError as error:
        raise InvalidPacketError(400, f"{VARS['obj']}: {error}") from None
    return Arrival(
        rid,
        class_name,
        body,
        _number(variables, "t0", UNIX_MS_RANGE),
        began_us,
        _number(variables, "budget", BUDGET_MS_RANGE),
        variables.get(VARS["tenant"], "") or None,
        int(_number(variables, "peer", PEER_RANGE) or 0),
        _number(variables, "mem", MEMORY_KB_RANGE) or len(body) / 1024 + 1,
        _number(variables, "prio", RANK_RANGE) or 0.0,
        token,
        obj,
    )


def build_response(status: int, body: bytes = b"", **headers: object) -> bytes:
    """Build an HTTP response. Underscores in header names become hyphens."""
    lines = [
        f"HTTP/1.1 {status} {REASONS[status]}",
        f"Content-Length: {len(body)}",
        "Content-Type: application/octet-stream",
        "Connection: close",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
