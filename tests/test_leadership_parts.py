"""The parts of leadership that need no fleet: chunks of a state, candidates, settings, errors."""

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


def test_chunks_are_kept_while_a_change_may_name_them_and_deleted_once_none_can() -> None:
    """A replica must not delete a chunk that a change under way will name, nor keep for ever one that nobody names."""
    store, state = ChunkStore(1 << 20), b"x" * CHUNK_BYTES + b"y"
    for piece in split(state).values():
        assert store.add(KEY, (1, 3, 8), piece)
    version = StateVersion(8, len(state), chunk_names(state))
    assert join(version, lambda d: store.find(KEY, d)) == state
    store.delete_unnamed(KEY, record())  # change 7: the one that is to name them may still come
    assert join(version, lambda d: store.find(KEY, d)) == state
    named = record(versions=(version,))
    store.delete_unnamed(KEY, LeaseRecord("d", "test", 1, 3, 8, LeaseStatus.HELD, A, versions=(version,)))
    assert not store.missing(KEY, named)
    store.delete_unnamed(KEY, LeaseRecord("d", "test", 1, 3, 9, LeaseStatus.HELD, A))
    assert store.missing(KEY, named) and store.total_bytes() == 0
    assert not store.add(KEY, (1, 3, 8), b"late"), "nobody can name it any more"


def test_a_chunk_store_is_bounded_and_deletes_damaged_chunks() -> None:
    """A chunk has rotted: it no longer matches its name. It must not be handed out."""
    store = ChunkStore(10)
    assert store.add(KEY, (1, 1, 1), b"12345678") and not store.add(KEY, (1, 1, 1), b"abc")
    name = digest(b"12345678")
    store.chunks[KEY][name] = b"12345679"
    assert store.find(KEY, name) is None and store.total_bytes() == 0


# ---- candidates ----


def members(n: int, has: Callable[[int], int] = lambda i: 0, keeps: int = 6) -> list[Candidate]:
    return [Candidate(f"n{i}", True, has(i), keeps) for i in range(n)]


def test_no_member_is_given_more_than_twice_the_mean_of_duties() -> None:
    has: Counter[str] = Counter()
    for i in range(300):
        seen = [Candidate(f"n{j}", True, has[f"n{j}"], 6) for j in range(150)]
        has[preference_order(b"%d" % i, seen, fair_share(seen, 3))[0]] += 1
    assert max(has.values()) <= 2 * 300 / 150


def test_only_the_duties_of_a_lost_member_move() -> None:
    """One of nine members is lost. The duties of the others stay where they are."""
    seen = members(9)
    before = {i: preference_order(b"%d" % i, seen, 100.0)[0] for i in range(200)}
    after = {
        i: preference_order(b"%d" % i, [m for m in seen if m.seat != "n4"], 100.0)[0] for i in range(200)
    }
    assert all(before[i] == after[i] or before[i] == "n4" for i in before)


def test_full_and_unstable_members_come_last_and_unfit_ones_not_at_all() -> None:
    seen = [
        Candidate("a", True, 0, 6),
        Candidate("b", True, 9, 6),
        Candidate("c", False, 0, 6),
        Candidate("d", True, 0, 6, is_stable=False),
    ]
    assert preference_order(KEY, seen, 2.0) == ["a", "b", "d"]
    assert capacity(0.0) == 1 and overload_threshold(0.0) == 2 and overload_threshold(2.0) > capacity(2.0)


def test_a_member_that_comes_and_goes_is_passed_over_for_longer_each_time() -> None:
    """A member restarts again and again. Each of its losses costs a change of leader, so it gets duties ever later."""
    steady = StabilityTracker(1_000, 16_000)
    now, waits = 0, []
    for _ in range(6):
        steady.record_loss(now, "a")
        start = now
        while not steady.is_stable(now, "a"):
            now += 100
        waits.append(now - start)
    assert waits == [1_000, 2_000, 4_000, 8_000, 16_000, 16_000] and steady.is_stable(0, "b")
    steady.record_loss(now + 50_000, "a")
    assert steady.backoff_us(steady.losses["a"].count) == 1_000, "long ago counts no more"


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


def test_each_error_says_what_an_operator_can_do_and_the_page_has_it() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operate" / "duties.md").read_text()
    for kind in ERRORS:
        assert kind.remedy and kind.status in (404, 409, 413, 503)
        assert f"`{kind.kind}`" in page, kind
    assert set(LeadershipError.__subclasses__()) == set(ERRORS)
    assert set(re.findall(r"^\| `([A-Z]\w+)` \|", page, re.M)) == {k.kind for k in ERRORS}
