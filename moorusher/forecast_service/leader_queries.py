"""Queries to the leader, on behalf of operators: each is answered once, or fails after a timeout."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..leadership.errors import LeadershipError
from ..leadership.services import MemberServices
from ..time_units import MS
from .errors import ForecastError, ForecastNotReadyError, error_from_wire
from .leader_lookup import LeaderCallback
from .messages import ForecastQuery, HistoryImport, LeaderReply, Message

REPLY_TIMEOUT_US = 2_000 * MS
MAX_QUERIES = 64  # that wait for an answer

DocumentCallback = Callable[[bytes | ForecastError | LeadershipError], None]


class LeaderQueries:
    """The queries of one member that wait for the leader's answer."""

    def __init__(
        self,
        services: MemberServices,
        find_leader: Callable[[LeaderCallback], None],
        send: Callable[[str, Message], None],
        serials: Iterator[int],
    ) -> None:
        """:param serials: numbers that no earlier process of this seat has used."""
        self._services = services
        self._find_leader = find_leader
        self._send = send
        self._serials = serials
        self._waiting: dict[int, DocumentCallback] = {}

    def ask(
        self, make_query: Callable[[int], ForecastQuery | HistoryImport], callback: DocumentCallback
    ) -> None:
        """Send a query to the leader.

        :param make_query: returns it, with that serial.
        :param callback: called with the document of the answer. Errors: ForecastNotReadyError, that of the leader, and
            those of the search for it.
        """
        if len(self._waiting) >= MAX_QUERIES:
            return callback(ForecastNotReadyError(f"{MAX_QUERIES} questions wait at this runner"))

        def found(leader: str | LeadershipError) -> None:
            if isinstance(leader, LeadershipError):
                return callback(leader)
            serial = next(self._serials)
            self._waiting[serial] = callback
            timeout_at = self._services.now() + REPLY_TIMEOUT_US
            self._services.at(timeout_at, lambda: self._timed_out(serial, leader))
            return self._send(leader, make_query(serial))

        return self._find_leader(found)

    def answered(self, reply: LeaderReply) -> None:
        """Pass an answer on; one that comes after its timeout is dropped."""
        callback = self._waiting.pop(reply.serial, None)
        if callback is not None:
            error = error_from_wire(reply.error, reply.error_text) if reply.error else None
            callback(error or reply.document)

    def _timed_out(self, serial: int, leader: str) -> None:
        callback = self._waiting.pop(serial, None)
        if callback is not None:
            callback(ForecastNotReadyError(f"{leader} has the forecast, and does not answer"))
