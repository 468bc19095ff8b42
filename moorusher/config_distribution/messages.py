"""Messages between runners about customers' revisions.

Encoded as arrays that begin with the tag: tags and the order of fields are the protocol, names are not.
"""

from __future__ import annotations

from ..namespaces.revision_history import Submission
from ..namespaces.revision_id import RevisionId
from ..replication.messages import ComponentPayload, component_codec

PART = "namespaces"  # the component's name in `replication.messages.ComponentMessage`


class SubmitDraft(ComponentPayload, frozen=True, tag="submit"):
    """A submission, to the leader of the customer's lease."""

    serial: int
    submission: Submission


class SubmitResult(ComponentPayload, frozen=True, tag="submitted"):
    """The answer: published as `revision_id`, or the name of an error class with its text."""

    serial: int
    revision_id: RevisionId
    error: str = ""
    error_text: str = ""


class Disseminate(ComponentPayload, frozen=True, tag="cast"):
    """Obtain a revision, and see that the seats with indexes from `low` up to, without, `high` obtain it.

    draft: None where it has to be requested (a large one), or where the namespace is deleted.
    left_ms: the sender waits no longer than this for the result.
    """

    serial: int
    customer: str
    revision_id: RevisionId
    deleted: bool
    low: int
    high: int
    left_ms: int
    draft: bytes | None = None


class DisseminateReceived(ComponentPayload, frozen=True, tag="heard"):
    """A `Disseminate` has arrived; its result follows."""

    serial: int


class DisseminateResult(ComponentPayload, frozen=True, tag="covered"):
    """The seats of the range that lack the revision, each with the reason; all others have it."""

    serial: int
    lacking: dict[str, str]


class RevisionRequest(ComponentPayload, frozen=True, tag="want"):
    """Asks a member for a customer's revision, or a later one."""

    customer: str
    revision_id: RevisionId


class RevisionReply(ComponentPayload, frozen=True, tag="given"):
    """The requested revision, or a later one."""

    customer: str
    revision_id: RevisionId
    deleted: bool
    draft: bytes


class DigestSummary(ComponentPayload, frozen=True, tag="compare"):
    """The sender's digests, one a bucket of customers. `ready`: the sender knows what the other members have."""

    digests: tuple[int, ...]
    ready: bool


class DigestDifference(ComponentPayload, frozen=True, tag="differ"):
    """What the sender has in the buckets that differ.

    listed: customer, revision, whether it is deleted.
    reply_wanted: the receiver is to list its own.
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
