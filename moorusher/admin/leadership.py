"""The administration API of duties.

GET  /duties                              the duties that this runner leads or replicates
GET  /duties/NAME                         a duty's current state, read from its register
POST /duties/NAME/resume                  resumes a suspended duty
POST /duties/NAME/settle/NUMBER/done      resolves an open intent as done; also /undone
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..cluster_transport.leadership import DutyLink, DutyReading, DutySnapshot
from ..leadership.errors import LeadershipError
from ..leadership.lease_holder import LeaseHolder
from ..leadership.lease_record import Intent, IntentResolution, LeaseStatus
from ..time_units import MS
from .api import TokenProtectedPage, reply, reply_later

MAX_NUMBER_DIGITS = 18
INTENT_VERDICTS = ("done", "undone")


class DutyPages(TokenProtectedPage):
    """`/duties`: the duties of the fleet, and operators' decisions about them."""

    def __init__(self, token: str, duties: DutyLink) -> None:
        super().__init__(token)
        self._duties = duties

    @staticmethod
    def _path(request: Any) -> list[str]:
        return [part.decode("utf-8", "replace") for part in request.postpath if part]

    def render_GET(self, request: Any) -> Any:
        """List the duties, or read one."""
        path = self._path(request)
        if not path:
            duties = [snapshot_document(snapshot) for snapshot in self._duties.local_duties()]
            return reply(request, 200, {"duties": duties})
        name = "/".join(path)  # A duty's name may contain slashes.
        return reply_later(request, lambda answer: self._duties.read(name, _as_document(answer)))

    def render_POST(self, request: Any) -> Any:
        """Resume a duty, or resolve an intent. Needs the bearer token."""
        if not self.is_authorized(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        path = self._path(request)
        if len(path) > 1 and path[-1] == "resume":
            name = "/".join(path[:-1])
            return reply_later(request, lambda answer: self._duties.resume(name, _as_document(answer)))
        if _is_intent_resolution_path(path):
            return self._resolve_intent(request, "/".join(path[:-3]), int(path[-2]), path[-1])
        return reply(
            request, 404, {"error": "expected /duties/NAME/resume or /duties/NAME/settle/NUMBER/done"}
        )

    def _resolve_intent(self, request: Any, name: str, intent_revision: int, verdict: str) -> Any:
        return reply_later(
            request,
            lambda answer: self._duties.resolve_intent(name, intent_revision, verdict, _as_document(answer)),
        )


def _is_intent_resolution_path(path: list[str]) -> bool:
    if len(path) <= 3 or path[-3] != "settle" or path[-1] not in INTENT_VERDICTS:
        return False
    return path[-2].isdigit() and len(path[-2]) <= MAX_NUMBER_DIGITS


def _as_document(
    answer: Callable[[Any], None],
) -> Callable[[DutyReading | DutySnapshot | LeadershipError], None]:
    """Return a callback that passes a result's document, or an error unchanged, to `answer`."""

    def callback(result: DutyReading | DutySnapshot | LeadershipError) -> None:
        if isinstance(result, DutyReading):
            answer(reading_document(result))
        elif isinstance(result, DutySnapshot):
            answer(snapshot_document(result))
        else:
            answer(result)

    return callback


def reading_document(reading: DutyReading) -> dict[str, Any]:
    """Return the JSON document of a duty that was read, with its state as text."""
    state = None if reading.state is None else reading.state.decode("utf-8", "replace")
    return snapshot_document(reading.snapshot) | {"state": state, "current": True}


def snapshot_document(snapshot: DutySnapshot) -> dict[str, Any]:
    """Return the JSON document of a duty. Its keys are part of the API."""
    record = snapshot.record
    return {
        "name": record.name,
        "kind": record.kind,
        "life": LeaseStatus(record.status).api_name,
        "born": record.generation,
        "term": record.term,
        "number": record.revision,
        "owner": None if record.holder is None else record.holder.seat,
        "lost": record.lost_leaders,
        "why": record.suspension_reason,
        "versions": [[version.revision, version.size] for version in record.versions],
        "intents": [_intent_document(intent) for intent in record.intents],
        "here": None if snapshot.lease is None else _lease_document(snapshot.lease, snapshot.now_us),
    }


def _intent_document(intent: Intent) -> dict[str, Any]:
    return {
        "number": intent.revision,
        "term": intent.term,
        "to": intent.receiver,
        "what": intent.payload.decode("utf-8", "replace"),
        "settle": IntentResolution(intent.resolution).api_name,
    }


def _lease_document(lease: LeaseHolder, now_us: int) -> dict[str, Any]:
    return {
        "stage": lease.stage.value,
        "for_ms": (now_us - lease.since_us) / MS,
        "trouble": None if lease.last_error is None else str(lease.last_error),
    }
