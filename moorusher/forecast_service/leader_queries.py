"""Queries of operators to the leader. Each query is answered once, or fails after a timeout."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..leadership.errors import LeadershipError
from ..leadership.services import MemberServices
from ..time_units import MS
from .errors import ForecastError, ForecastNotReadyError, error_from_wire
from .leader_lookup import LeaderCallback
from .messages import ForecastQuery, HistoryImport, LeaderReply, Message

REPLY_TIMEOUT_US = 2_000 * MS
# Maximum number of queries that wait for an answer.
MAX_QUERIES = 64

DocumentCallback = Callable[[bytes | ForecastError | LeadershipError], None]


class LeaderQueries:
    """Sends one member's queries to the leader and passes the replies on."""

    def __init__(
        self,
        services: MemberServices,
        find_leader: Callable[[LeaderCallback], None],
        send: Callable[[str, Message], None],
        serials: Iterator[int],
    ) -> None:
        """:param serials: Serial numbers that no earlier process of this seat has used."""
        self._services = services
        self._find_leader = find_leader
        self._send = send
        self._serials = serials
        self._callbacks: dict[int, DocumentCallback] = {}

    def send_query(
        self, make_query: Callable[[int], ForecastQuery | HistoryImport], callback: DocumentCallback
    ) -> None:
        """Send a query to the leader.

        :param make_query: Returns the query with the given serial number.
        :param callback: Called with the document of the reply, or with ForecastNotReadyError, the leader's error or
            the error of the leader lookup.
        """
        if len(self._callbacks) >= MAX_QUERIES:
            return callback(ForecastNotReadyError(f"{MAX_QUERIES} questions wait at this runner"))

        def leader_found(leader: str | LeadershipError) -> None:
            if isinstance(leader, LeadershipError):
                return callback(leader)
            serial = next(self._serials)
            self._callbacks[serial] = callback
            timeout_at = self._services.now() + REPLY_TIMEOUT_US
            self._services.at(timeout_at, lambda: self._timed_out(serial, leader))
            return self._send(leader, make_query(serial))

        return self._find_leader(leader_found)

    def reply_received(self, reply: LeaderReply) -> None:
        """Pass a reply to the callback of its query. A reply after the timeout is dropped."""
        callback = self._callbacks.pop(reply.serial, None)
        if callback is not None:
            error = error_from_wire(reply.error, reply.error_text) if reply.error else None
            callback(error or reply.document)

    def _timed_out(self, serial: int, leader: str) -> None:
        callback = self._callbacks.pop(serial, None)
        if callback is not None:
            callback(ForecastNotReadyError(f"{leader} has the forecast, and does not answer"))
