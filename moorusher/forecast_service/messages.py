"""The messages between members about demand and its forecast.

Wire form: msgpack arrays of the tag and the fields in the order in which they stand here. Class and field names do not
reach the wire.
"""

from __future__ import annotations

from ..forecasting.demand_counts import BucketCounts, RouteKey
from ..replication.messages import ComponentPayload, component_codec

PART = "forecast"  # names these messages among all that members exchange

# A bucket, and until when (Unix ms) it had been counted when it was reported.
BucketProgress = tuple[int, int]


class DemandReport(ComponentPayload, frozen=True, tag="report"):
    """From a member to the leader: its buckets that are not acknowledged as far as they were counted."""

    serial: int
    buckets: list[BucketCounts]


class ReportAck(ComponentPayload, frozen=True, tag="took"):
    """The answer of the leader: a majority has what the report of that serial said."""

    serial: int
    buckets: list[BucketProgress]


class NotLeader(ComponentPayload, frozen=True, tag="elsewhere"):
    """The answer of a member that doesn't lead the forecast. `leader`: the seat that does, "" where unknown."""

    serial: int
    leader: str


class ForecastQuery(ComponentPayload, frozen=True, tag="ask"):
    """To the leader: the forecast of one customer, or with "" of all. Answered by `LeaderReply`."""

    serial: int
    customer: str


class ImportedHistory(ComponentPayload, frozen=True, tag="past"):
    """Hours of one route that were counted elsewhere.

    first_hour: int, hours since 1970, UTC.
    requests: by hour.
    core_us: float, processor time of a request; 0 where unknown.
    priority_weight: float, of a request; 0 where unknown.
    """

    key: RouteKey
    first_hour: int
    requests: list[int]
    core_us: float
    priority_weight: float


class HistoryImport(ComponentPayload, frozen=True, tag="load"):
    """To the leader: histories that an operator brings. Answered by `LeaderReply`."""

    serial: int
    histories: list[ImportedHistory]


class LeaderReply(ComponentPayload, frozen=True, tag="told"):
    """The answer to a query or an import.

    document: JSON; b"" after an error.
    error: str, its `kind`; "" after success.
    error_text: str.
    """

    serial: int
    document: bytes
    error: str = ""
    error_text: str = ""


Message = DemandReport | ReportAck | NotLeader | ForecastQuery | HistoryImport | LeaderReply

encode, decode = component_codec(Message)
