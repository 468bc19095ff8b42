"""Messages between runners about customers' revisions.

Messages are encoded as arrays that start with the tag. Tags and the order of fields are the protocol; names are not.
"""

from __future__ import annotations

from ..namespaces.revision_history import Submission
from ..namespaces.revision_id import RevisionId
from ..replication.messages import ComponentPayload, component_codec

PART = "namespaces"  # Name of this component in `replication.messages.ComponentMessage`.


class SubmitDraft(ComponentPayload, frozen=True, tag="submit"):
    """Sends a submission to the leader of the customer's lease."""

    serial: int
    submission: Submission


class SubmitResult(ComponentPayload, frozen=True, tag="submitted"):
    """Answers `SubmitDraft` with the published revision, or with the kind and text of an error."""

    serial: int
    revision_id: RevisionId
    error: str = ""
    error_text: str = ""


class Disseminate(ComponentPayload, frozen=True, tag="cast"):
    """Asks the receiver to obtain a revision and to forward it to the seats with indexes in [low, high).

    Attributes:
        timeout_ms: How long the receiver has to report the result.
        draft: None if the draft is large and must be requested, or if the namespace is deleted.
    """

    serial: int
    customer: str
    revision_id: RevisionId
    deleted: bool
    low: int
    high: int
    timeout_ms: int
    draft: bytes | None = None


class DisseminateReceived(ComponentPayload, frozen=True, tag="heard"):
    """Acknowledges a `Disseminate`; its result follows."""

    serial: int


class DisseminateResult(ComponentPayload, frozen=True, tag="covered"):
    """Reports the seats of the range that lack the revision, with reasons."""

    serial: int
    lacking: dict[str, str]


class RevisionRequest(ComponentPayload, frozen=True, tag="want"):
    """Requests a customer's revision, or a later one."""

    customer: str
    revision_id: RevisionId


class RevisionReply(ComponentPayload, frozen=True, tag="given"):
    """Sends the requested revision, or a later one."""

    customer: str
    revision_id: RevisionId
    deleted: bool
    draft: bytes


class DigestSummary(ComponentPayload, frozen=True, tag="compare"):
    """Sends one digest for each bucket of customers.

    Attributes:
        ready: Whether the sender knows the other members' revisions.
    """

    digests: tuple[int, ...]
    ready: bool


class DigestDifference(ComponentPayload, frozen=True, tag="differ"):
    """Lists the sender's revisions in the buckets whose digests differ.

    Attributes:
        listed: For each customer, its name, its revision and whether the namespace is deleted.
        reply_wanted: Whether the receiver must reply with its own revisions in these buckets.
        ready: Whether the sender knows the other members' revisions.
    """

    buckets: tuple[int, ...]
    listed: tuple[tuple[str, RevisionId, bool], ...]
    reply_wanted: bool
    ready: bool


encode, decode = component_codec(
    SubmitDraft
    | SubmitResult
    | Disseminate
    | DisseminateReceived
    | DisseminateResult
    | RevisionRequest
    | RevisionReply
    | DigestSummary
    | DigestDifference
)
