"""The pages below `/namespaces`.

GET /namespaces: what this runner has. GET /namespaces/NAME: as a majority has it now. PUT /namespaces/NAME with a
draft, POST /namespaces/NAME/back/NUMBER and DELETE /namespaces/NAME change it. GET /namespaces/NAME/explain says which
rule decides. In the query: expects, by, id, wait.
"""

from __future__ import annotations

import os
from typing import Any

from ..cluster_transport.config_distribution import NamespaceService
from ..namespaces.errors import MalformedInputError
from ..namespaces.revision_history import MAX_AUTHOR_LENGTH, Submission
from ..namespaces.rules import RequestAttributes
from .api import NO_TOKEN, Guarded, later, path_of, reply
from .namespace_operations import NamespaceOperations

MAX_DRAFT_BYTES = (
    768 << 10
)  # of the body of a PUT: the first of the bounds of a draft's size, see `render_PUT`
MAX_ID_LENGTH = 64
MAX_NUMBER_DIGITS = 15  # of a revision's number in a path
MAX_NUMBER = 1e15


def _query(request: Any, name: str, default: str = "") -> str:
    values = request.args.get(name.encode(), [])
    return values[-1].decode("utf-8", "replace") if values else default


def _number(request: Any, name: str, default: float, least: float, most: float) -> float:
    """Return a number of the query.

    :raises MalformedInputError: it is none, or out of bounds.
    """
    text = _query(request, name)
    try:
        number = float(text) if text else default
    except ValueError:
        raise MalformedInputError(f"{name}: expected a number, got {text!r}") from None
    if not least <= number <= most:
        raise MalformedInputError(f"{name}: expected {least:g} to {most:g}, got {text!r}")
    return number


def _submission(request: Any, customer: str, draft: bytes = b"", back_to: int = 0) -> Submission:
    submission_id = _query(request, "id") or os.urandom(12).hex()
    if len(submission_id) > MAX_ID_LENGTH:
        raise MalformedInputError(f"id: expected at most {MAX_ID_LENGTH} characters")
    return Submission(
        customer,
        submission_id,
        int(_number(request, "expects", -1, -1, MAX_NUMBER)),
        _query(request, "by", "api")[:MAX_AUTHOR_LENGTH],
        draft,
        back_to,
    )


def _asked(request: Any) -> RequestAttributes:
    """Return the request that `explain` asks about."""
    return RequestAttributes(
        _query(request, "class"),
        int(_number(request, "caller", -1, -1, MAX_NUMBER)),
        int(_number(request, "subject", -1, -1, MAX_NUMBER)),
        _number(request, "rank", 0.0, 0.0, 1.0),
        _query(request, "key"),
    )


def _waits(request: Any) -> bool:
    return bool(_query(request, "wait"))


class NamespacePages(Guarded):
    """`/namespaces`: customers' rules, read, published and explained."""

    def __init__(self, token: str, service: NamespaceService) -> None:
        super().__init__(token)
        self._operations = NamespaceOperations(service)

    def render_GET(self, request: Any) -> Any:
        """List, show or explain."""
        path = path_of(request)
        if not path:
            return reply(request, 200, self._operations.listed())
        if len(path) == 1:
            return later(request, lambda then: self._operations.show(path[0], then))
        if path[1:] == ["explain"]:
            return later(request, lambda then: self._operations.explain(path[0], _asked(request), then))
        return reply(request, 404, {"error": "no such page"})

    def render_PUT(self, request: Any) -> Any:
        """Publish the draft in the body.

        Three bounds limit its size, in this order:

        - `MAX_DRAFT_BYTES` of the body, the same for all customers and without a setting;
        - `bytes` of [namespaces] or of the customer (`Budget.max_draft_bytes`), when the draft is parsed;
        - `state_bytes` of [duties] less `policy.STATE_OVERHEAD_BYTES`, when the revision is added to the retained ones.

        Settings that grant more `bytes` than the third bound are rejected when they are read.
        """
        if not self.allowed(request):
            return reply(request, 401, NO_TOKEN)
        path = path_of(request)
        if len(path) != 1:
            return reply(request, 404, {"error": "expected /namespaces/NAME"})
        draft = request.content.read(MAX_DRAFT_BYTES + 1)
        if len(draft) > MAX_DRAFT_BYTES:
            return reply(request, 413, {"error": f"more than {MAX_DRAFT_BYTES} bytes"})
        return later(
            request,
            lambda then: self._operations.publish(
                _submission(request, path[0], draft), _waits(request), then
            ),
        )

    def render_POST(self, request: Any) -> Any:
        """Publish an earlier draft again."""
        if not self.allowed(request):
            return reply(request, 401, NO_TOKEN)
        match path_of(request):
            case [customer, "back", number] if number.isdigit() and 0 < len(number) <= MAX_NUMBER_DIGITS:
                return later(
                    request,
                    lambda then: self._operations.publish(
                        _submission(request, customer, back_to=int(number)), _waits(request), then
                    ),
                )
        return reply(request, 404, {"error": "expected /namespaces/NAME/back/NUMBER"})

    def render_DELETE(self, request: Any) -> Any:
        """Delete a namespace."""
        if not self.allowed(request):
            return reply(request, 401, NO_TOKEN)
        path = path_of(request)
        if len(path) != 1:
            return reply(request, 404, {"error": "expected /namespaces/NAME"})
        return later(request, lambda then: self._operations.delete(path[0], _waits(request), then))
