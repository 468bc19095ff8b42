"""Parts of leadership that need no fleet: chunks of a state, candidates, settings, errors."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from moorusher.config.fleet import read_fleet
from moorusher.config.section import ConfigError, Section
from moorusher.leadership.candidates import (
    Candidate,
    StabilityTracker,
    capacity,
    fair_share,
    overload_threshold,
    preference_order,
)
from moorusher.leadership.chunks import CHUNK_BYTES, ChunkStore, chunk_names, digest, join, split
from moorusher.leadership.errors import (
    ERRORS,
    LeadershipError,
)
from moorusher.leadership.lease_record import (
    LeaseRecord,
    LeaseStatus,
    StateVersion,
    register_key,
)
from moorusher.replication.work_record import Owner

A = Owner("a", 1)
B = Owner("b", 2)
KEY = register_key("d")


def record(status: LeaseStatus = LeaseStatus.HELD, owner: Owner | None = A, **fields: Any) -> LeaseRecord:
    return LeaseRecord("d", "test", 1, 3, 7, status, owner, **fields)


# ---- states in chunks ----


def test_chunks_are_retained_while_a_change_can_reference_them_and_deleted_afterwards() -> None:
    """A replica must not delete a chunk that a pending change will reference, nor keep unreferenced chunks forever."""
    store, state = ChunkStore(1 << 20), b"x" * CHUNK_BYTES + b"y"
    for chunk in split(state).values():
        assert store.add(KEY, (1, 3, 8), chunk)
    version = StateVersion(8, len(state), chunk_names(state))
    assert join(version, lambda d: store.find(KEY, d)) == state
    # At revision 7 the change to revision 8, which references the chunks, can still follow.
    store.delete_unreferenced(KEY, record())
    assert join(version, lambda d: store.find(KEY, d)) == state
    named = record(versions=(version,))
    store.delete_unreferenced(
        KEY, LeaseRecord("d", "test", 1, 3, 8, LeaseStatus.HELD, A, versions=(version,))
    )
    assert not store.missing(KEY, named)
    store.delete_unreferenced(KEY, LeaseRecord("d", "test", 1, 3, 9, LeaseStatus.HELD, A))
    assert store.missing(KEY, named) and store.total_bytes() == 0
    assert not store.add(KEY, (1, 3, 8), b"late"), "no later change can reference the chunk"


def test_a_chunk_store_is_bounded_and_deletes_damaged_chunks() -> None:
    """A stored chunk no longer matches its digest. It must not be returned."""
    store = ChunkStore(10)
    assert store.add(KEY, (1, 1, 1), b"12345678") and not store.add(KEY, (1, 1, 1), b"abc")
    name = digest(b"12345678")
    store.chunks[KEY][name] = b"12345679"
    assert store.find(KEY, name) is None and store.total_bytes() == 0


# ---- candidates ----


def create_candidates(
    n: int, led_duties: Callable[[int], int] = lambda i: 0, stored_duties: int = 6
) -> list[Candidate]:
    return [Candidate(f"n{i}", True, led_duties(i), stored_duties) for i in range(n)]


def test_no_member_is_preferred_for_more_than_twice_the_mean_number_of_duties() -> None:
    led_duties: Counter[str] = Counter()
    for i in range(300):
        candidates = [Candidate(f"n{j}", True, led_duties[f"n{j}"], 6) for j in range(150)]
        led_duties[preference_order(b"%d" % i, candidates, fair_share(candidates, 3))[0]] += 1
    assert max(led_duties.values()) <= 2 * 300 / 150


def test_only_the_duties_of_a_lost_member_move() -> None:
    """One of nine members is lost. The preferred leaders of the other members' duties don't change."""
    candidates = create_candidates(9)
    before = {i: preference_order(b"%d" % i, candidates, 100.0)[0] for i in range(200)}
    after = {
        i: preference_order(b"%d" % i, [m for m in candidates if m.seat != "n4"], 100.0)[0]
        for i in range(200)
    }
    assert all(before[i] == after[i] or before[i] == "n4" for i in before)


def test_members_at_capacity_and_unstable_members_come_last_and_unfit_members_are_excluded() -> None:
    candidates = [
        Candidate("a", True, 0, 6),
        Candidate("b", True, 9, 6),
        Candidate("c", False, 0, 6),
        Candidate("d", True, 0, 6, is_stable=False),
    ]
    assert preference_order(KEY, candidates, 2.0) == ["a", "b", "d"]
    assert capacity(0.0) == 1 and overload_threshold(0.0) == 2 and overload_threshold(2.0) > capacity(2.0)


def test_the_backoff_of_a_member_doubles_with_each_loss() -> None:
    """A member restarts repeatedly. Each loss costs a change of leader, so its backoff doubles."""
    tracker = StabilityTracker(1_000, 16_000)
    now, backoffs = 0, []
    for _ in range(6):
        tracker.record_loss(now, "a")
        start = now
        while not tracker.is_stable(now, "a"):
            now += 100
        backoffs.append(now - start)
    assert backoffs == [1_000, 2_000, 4_000, 8_000, 16_000, 16_000] and tracker.is_stable(0, "b")
    tracker.record_loss(now + 50_000, "a")
    assert tracker.backoff_us(tracker.losses["a"].count) == 1_000, "losses long ago don't count"


# ---- settings, errors ----


def test_duties_need_a_fleet_and_errors_name_the_key() -> None:
    def read(duties: dict[str, Any]) -> Any:
        return read_fleet(Section({}, "fleet"), Section(duties, "duties"))

    assert not read({}).duties.enabled
    with pytest.raises(ConfigError, match=r"duties.on: duties need a fleet"):
        read({"on": True})
    for wrong, name in (
        ({"most": 0}, "duties.most"),
        ({"odd": 1}, "duties.odd"),
        ({"report": [{"name": "a b"}]}, r"duties.report\[0\].name"),
        ({"report": [{"name": "a"}]}, r"duties.report\[0\].to"),
        ({"report": [{"name": "a", "to": "8.8.8.8:1"}]}, r"duties.report\[0\].to"),
    ):
        with pytest.raises(ConfigError, match=name):
            read(wrong)


def test_each_error_has_a_remedy_and_is_documented() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operate" / "duties.md").read_text()
    for kind in ERRORS:
        assert kind.remedy and kind.status in (404, 409, 413, 503)
        assert f"`{kind.kind}`" in page, kind
    assert set(LeadershipError.__subclasses__()) == set(ERRORS)
    assert set(re.findall(r"^\| `([A-Z]\w+)` \|", page, re.M)) == {k.kind for k in ERRORS}
