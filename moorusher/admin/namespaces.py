"""The pages below `/namespaces`.

GET    /namespaces                    the revisions that this runner has
GET    /namespaces/NAME               a customer's current revision, read from a majority
GET    /namespaces/NAME/explain       the rule that decides for a request
PUT    /namespaces/NAME               publishes the draft in the body
POST   /namespaces/NAME/back/NUMBER   publishes an earlier draft again
DELETE /namespaces/NAME               deletes the namespace

Query parameters of changes: expects, by, id, wait.
"""

from __future__ import annotations

import os
from typing import Any

from ..cluster_transport.config_distribution import NamespaceService
from ..namespaces.errors import MalformedInputError
from ..namespaces.revision_history import MAX_AUTHOR_LENGTH, Submission
from ..namespaces.rules import RequestAttributes
from .api import TOKEN_REQUIRED, TokenProtectedPage, path_segments, reply, reply_later
from .namespace_operations import NamespaceOperations

# Limit of the body of PUT. `render_PUT` lists the other limits of a draft's size.
MAX_DRAFT_BYTES = 768 << 10
MAX_ID_LENGTH = 64
MAX_NUMBER_DIGITS = 15  # digits of a revision's number in a path
MAX_NUMBER = 1e15


def _query_text(request: Any, name: str, default: str = "") -> str:
    values = request.args.get(name.encode(), [])
    return values[-1].decode("utf-8", "replace") if values else default


def _query_number(request: Any, name: str, default: float, minimum: float, maximum: float) -> float:
    """Return a number from the query.

    :raises MalformedInputError: The text is not a number, or the number is out of bounds.
    """
    text = _query_text(request, name)
    try:
        number = float(text) if text else default
    except ValueError:
        raise MalformedInputError(f"{name}: expected a number, got {text!r}") from None
    if not minimum <= number <= maximum:
        raise MalformedInputError(f"{name}: expected {minimum:g} to {maximum:g}, got {text!r}")
    return number


def _submission(request: Any, customer: str, draft: bytes = b"", rollback_number: int = 0) -> Submission:
    submission_id = _query_text(request, "id") or os.urandom(12).hex()
    if len(submission_id) > MAX_ID_LENGTH:
        raise MalformedInputError(f"id: expected at most {MAX_ID_LENGTH} characters")
    return Submission(
        customer,
        submission_id,
        int(_query_number(request, "expects", -1, -1, MAX_NUMBER)),
        _query_text(request, "by", "api")[:MAX_AUTHOR_LENGTH],
        draft,
        rollback_number,
    )


def _request_attributes(request: Any) -> RequestAttributes:
    """Return the attributes of the request that is to be explained."""
    return RequestAttributes(
        _query_text(request, "class"),
        int(_query_number(request, "caller", -1, -1, MAX_NUMBER)),
        int(_query_number(request, "subject", -1, -1, MAX_NUMBER)),
        _query_number(request, "rank", 0.0, 0.0, 1.0),
        _query_text(request, "key"),
    )


def _is_wait_requested(request: Any) -> bool:
    return bool(_query_text(request, "wait"))


class NamespacePages(TokenProtectedPage):
    """`/namespaces`: customers' rules."""

    def __init__(self, token: str, service: NamespaceService) -> None:
        super().__init__(token)
        self._operations = NamespaceOperations(service)

    def render_GET(self, request: Any) -> Any:
        """List the namespaces, show one, or explain its decision for a request."""
        path = path_segments(request)
        if not path:
            return reply(request, 200, self._operations.list_all())
        if len(path) == 1:
            return reply_later(request, lambda callback: self._operations.show(path[0], callback))
        if path[1:] == ["explain"]:
            return reply_later(
                request,
                lambda callback: self._operations.explain(path[0], _request_attributes(request), callback),
            )
        return reply(request, 404, {"error": "no such page"})

    def render_PUT(self, request: Any) -> Any:
        """Publish the draft in the body.

        Its size is checked against three limits, in this order:

        - `MAX_DRAFT_BYTES` for the body, the same for all customers and not configurable;
        - `bytes` of [namespaces] or of the customer (`Budget.max_draft_bytes`), when the draft is parsed;
        - `state_bytes` of [duties] less `policy.STATE_OVERHEAD_BYTES`, when the revision is added to the retained ones.

        Settings whose `bytes` exceed the third limit are rejected when they are read.
        """
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        path = path_segments(request)
        if len(path) != 1:
            return reply(request, 404, {"error": "expected /namespaces/NAME"})
        draft = request.content.read(MAX_DRAFT_BYTES + 1)
        if len(draft) > MAX_DRAFT_BYTES:
            return reply(request, 413, {"error": f"more than {MAX_DRAFT_BYTES} bytes"})
        return reply_later(
            request,
            lambda callback: self._operations.publish(
                _submission(request, path[0], draft), _is_wait_requested(request), callback
            ),
        )

    def render_POST(self, request: Any) -> Any:
        """Publish the draft of an earlier revision again."""
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        match path_segments(request):
            case [customer, "back", number] if number.isdigit() and 0 < len(number) <= MAX_NUMBER_DIGITS:
                return reply_later(
                    request,
                    lambda callback: self._operations.publish(
                        _submission(request, customer, rollback_number=int(number)),
                        _is_wait_requested(request),
                        callback,
                    ),
                )
        return reply(request, 404, {"error": "expected /namespaces/NAME/back/NUMBER"})

    def render_DELETE(self, request: Any) -> Any:
        """Delete a namespace."""
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        path = path_segments(request)
        if len(path) != 1:
            return reply(request, 404, {"error": "expected /namespaces/NAME"})
        return reply_later(
            request, lambda callback: self._operations.delete(path[0], _is_wait_requested(request), callback)
        )
