"""The documents of `GET /fleet` and `GET /fleet/work`: one runner's view of its cluster.

This module maps the names in the code to the keys of the API.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..membership.member import Member
from ..replication.key_tenure import Tenure
from ..replication.node import Node
from ..storage.journal_writer import JournalWriter
from ..time_units import MS

MAX_LISTED_KEYS = 1_000
KEY_DIGITS = 12  # hexadecimal digits of a key's digest that are shown


def member_document(member: Member, zone: str, now: int) -> dict[str, object]:
    """Return the document of one member. `now`: us."""
    return {
        "seat": member.seat,
        "zone": zone,
        "state": member.state.name.lower(),
        "since_ms": (now - member.state_since) / MS,
        "fit": member.accepts_work,
        "inc": member.incarnation,
        "heard_ms": None if member.last_message_us < 0 else (now - member.last_message_us) / MS,
    }


def journal_state(journals: Iterable[JournalWriter]) -> str | None:
    """Return `written`, or the failures of the journals; None without journals."""
    writers = list(journals)
    if not writers:
        return None
    return "; ".join(writer.failure for writer in writers if writer.failure) or "written"


def cluster_document(
    cluster: str, node: Node, journals: Iterable[JournalWriter], counters: dict[str, int], now: int
) -> dict[str, object]:
    """Return the document of the cluster as known to this runner. `counters`: all counters; `now`: us."""
    return {
        "name": cluster,
        "seat": node.me,
        "members": [
            member_document(member, node.placement.by_name[member.seat].zone, now)
            for member in node.detector.by_seat.values()
        ],
        "remembers": all(space.acceptor.recovered for space in node.spaces.values()),
        "journal": journal_state(journals),
        "health": node.detector.health,
        "keeps": len(node.acceptor.registers),
        "in_hand": len(node.tenures),
        "counters": {name: value for name, value in counters.items() if name.startswith("fleet")},
    }


def tenure_document(tenure: Tenure, now: int) -> dict[str, object]:
    """Return the document of a key that this runner holds or waits for, without its body and token. `now`: us."""
    return {
        "key": tenure.key.hex()[:KEY_DIGITS],
        "class": None if tenure.request is None else tenure.request.request_class,
        "stage": tenure.stage.value,
        "owner": None if tenure.owner is None else tenure.owner.seat,
        "attempt": tenure.attempt,
        "left_ms": (tenure.expires_at - now) / MS,
    }


def work_document(node: Node, now: int) -> dict[str, object]:
    """Return the document of the keys that this runner holds or waits for. `now`: us."""
    tenures = list(node.tenures.values())[:MAX_LISTED_KEYS]
    return {"work": [tenure_document(tenure, now) for tenure in tenures]}
