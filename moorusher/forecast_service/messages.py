"""Messages between members about demand and its forecast.

Wire format: msgpack arrays of the tag and the fields in the order of their definition. Class and field names are not
sent.
"""

from __future__ import annotations

from ..forecasting.demand_counts import BucketCounts, RouteKey
from ..replication.messages import ComponentPayload, component_codec

PART = "forecast"  # The component's name in `replication.messages.ComponentMessage`.

# Number of a bucket, and the Unix time in ms up to which it had been counted when it was reported.
BucketProgress = tuple[int, int]


class DemandReport(ComponentPayload, frozen=True, tag="report"):
    """Report of a member to the leader, with the member's unacknowledged buckets."""

    serial: int
    buckets: list[BucketCounts]


class ReportAck(ComponentPayload, frozen=True, tag="took"):
    """Reply of the leader to a report: a majority has its counts."""

    serial: int
    buckets: list[BucketProgress]


class NotLeader(ComponentPayload, frozen=True, tag="elsewhere"):
    """Reply to a report by a member that doesn't lead the forecast. `leader`: seat of the leader, "" if unknown."""

    serial: int
    leader: str


class ForecastQuery(ComponentPayload, frozen=True, tag="ask"):
    """Query to the leader for the forecast of one customer, or of all if it is "". Answered by `LeaderReply`."""

    serial: int
    customer: str


class ImportedHistory(ComponentPayload, frozen=True, tag="past"):
    """Hours of one route that were counted elsewhere.

    Attributes:
        key: Key of the route.
        first_hour: Hours since 1970, UTC.
        requests: Requests by hour.
        core_us: Processor time per request; 0 if unknown.
        priority_weight: Priority weight per request; 0 if unknown.
    """

    key: RouteKey
    first_hour: int
    requests: list[int]
    core_us: float
    priority_weight: float


class HistoryImport(ComponentPayload, frozen=True, tag="load"):
    """Request to the leader to import histories from an operator. Answered by `LeaderReply`."""

    serial: int
    histories: list[ImportedHistory]


class LeaderReply(ComponentPayload, frozen=True, tag="told"):
    """Reply to a query or an import.

    Attributes:
        serial: Serial number of the request.
        document: JSON document; b"" after an error.
        error: `kind` of the error; "" after success.
        error_text: Message of the error.
    """

    serial: int
    document: bytes
    error: str = ""
    error_text: str = ""


Message = DemandReport | ReportAck | NotLeader | ForecastQuery | HistoryImport | LeaderReply

encode, decode = component_codec(Message)
