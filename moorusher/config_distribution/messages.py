"""What runners say to each other about customers' revisions."""

from __future__ import annotations

from ..namespaces.revisions import Submission
from ..replication.messages import ComponentPayload, component_codec

PART = "namespaces"  # of `fleet.messages.For`
At = tuple[int, int]  # the incarnation of a namespace, and the number of a revision in it


class Submit(ComponentPayload, frozen=True, tag="submit"):
    """To the owner of the customer's duty, in that term."""

    serial: int
    submission: Submission


class Submitted(ComponentPayload, frozen=True, tag="submitted"):
    """`error`: the name of one of `ERRORS`, with its words; else it is published as `at`."""

    serial: int
    at: At
    error: str = ""
    what: str = ""


class Cast(ComponentPayload, frozen=True, tag="cast"):
    """Down the tree: have that revision, and see that the seats from `low` up to, and without, `high` (in the order of
    their names) have it. `draft` is None where it is to be asked for, or where the namespace is gone."""

    serial: int
    customer: str
    at: At
    gone: bool
    low: int
    high: int
    left_ms: int  # an answer that comes later is not waited for
    draft: bytes | None = None


class Heard(ComponentPayload, frozen=True, tag="heard"):
    """A cast has come; what has become of it follows."""

    serial: int


class Covered(ComponentPayload, frozen=True, tag="covered"):
    """Who in the range has it not, and why; all others have it."""

    serial: int
    lacking: dict[str, str]


class Want(ComponentPayload, frozen=True, tag="want"):
    """Asks a member for a customer's revision."""

    customer: str
    at: At


class Given(ComponentPayload, frozen=True, tag="given"):
    """That revision, or a later one."""

    customer: str
    at: At
    gone: bool
    draft: bytes


class Compare(ComponentPayload, frozen=True, tag="compare"):
    """Digests of what is had, by parts of the customers' names. `ready`: whoever says so knows what others had."""

    parts: tuple[int, ...]
    ready: bool


class Differ(ComponentPayload, frozen=True, tag="differ"):
    """What is had in the parts that differ; `more`: not all of it. `back`: the same is wanted of the other one."""

    parts: tuple[int, ...]
    listed: tuple[tuple[str, At, bool], ...]
    back: bool
    ready: bool


encode, decode = component_codec(
    Submit | Submitted | Cast | Heard | Covered | Want | Given | Compare | Differ
)
