"""The lease record of a duty: all its changes, and the fencing tokens derived from it."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.leadership.fencing_token import FencingToken, TokenVerdict, check_token
from moorusher.leadership.holder_changes import (
    AddIntent,
    IssueToken,
    ReleaseLease,
    StartRelease,
    Suspend,
    UpdateState,
)
from moorusher.leadership.lease_record import (
    IntentResolution,
    LeaseRecord,
    LeaseStatus,
    decode_record,
    encode_record,
)
from moorusher.leadership.lease_transitions import AcquireLease, Create, Remove, ResolveIntent, Resume
from moorusher.replication.work_record import Owner

A = Owner("a", 1)
B = Owner("b", 2)


def record(status: LeaseStatus = LeaseStatus.HELD, owner: Owner | None = A, **fields: Any) -> LeaseRecord:
    return LeaseRecord("d", "test", 1, 3, 7, status, owner, **fields)


@pytest.mark.parametrize(
    "change, old, status, term, owner",
    [
        (Create("d", "test", 9), None, LeaseStatus.VACANT, 0, None),
        (Create("d", "test", 9), record(), None, 0, None),
        (Create("d", "test", 0), record(LeaseStatus.REMOVED, None), LeaseStatus.VACANT, 0, None),
        (Create("d", "test", 0, recreate=False), record(LeaseStatus.REMOVED, None), None, 0, None),
        (AcquireLease(B, (1, 3), False, 3), record(LeaseStatus.VACANT, None), LeaseStatus.HELD, 4, B),
        (AcquireLease(B, (1, 3), True, 3), record(), LeaseStatus.HELD, 4, B),
        (AcquireLease(B, (1, 2), True, 3), record(), None, 0, None),
        (AcquireLease(A, (1, 3), True, 3), record(), None, 0, None),
        (AcquireLease(B, (1, 3), True, 3), record(lost_leaders=2), LeaseStatus.SUSPENDED, 4, None),
        (AcquireLease(B, (1, 3), False, 3), record(lost_leaders=2), LeaseStatus.HELD, 4, B),
        (AcquireLease(B, (1, 3), True, 3), record(LeaseStatus.SUSPENDED, None), None, 0, None),
        (AcquireLease(B, (1, 3), True, 3), record(LeaseStatus.REMOVED, None), None, 0, None),
        (IssueToken(A, 1, 3, 1), record(), LeaseStatus.HELD, 3, A),
        (IssueToken(A, 1, 3, 1), record(holder_sequence=1), None, 0, None),
        (IssueToken(A, 1, 2, 1), record(), None, 0, None),
        (IssueToken(A, 0, 3, 1), record(), None, 0, None),
        (IssueToken(B, 1, 3, 1), record(), None, 0, None),
        (IssueToken(A, 1, 3, 1), record(LeaseStatus.RELEASING), None, 0, None),
        (UpdateState(A, 1, 3, 1, 7, 0, (), 3), record(LeaseStatus.RELEASING), LeaseStatus.RELEASING, 3, A),
        (UpdateState(A, 1, 3, 1, 6, 0, (), 3), record(), None, 0, None),
        (StartRelease(A, 1, 3, 1), record(), LeaseStatus.RELEASING, 3, A),
        (ReleaseLease(A, 1, 3, 1, "b"), record(LeaseStatus.RELEASING), LeaseStatus.OFFERED, 3, None),
        (ReleaseLease(A, 1, 3, 1, ""), record(LeaseStatus.RELEASING), LeaseStatus.VACANT, 3, None),
        (Suspend(A, 1, 3, 1, "why", 2), record(), LeaseStatus.SUSPENDED, 3, None),
        (Resume(), record(LeaseStatus.SUSPENDED, None), LeaseStatus.VACANT, 3, None),
        (Resume(), record(), None, 0, None),
        (Remove(1), record(), LeaseStatus.REMOVED, 4, None),
        (Remove(0), record(), None, 0, None),
    ],
)
def test_each_change_of_a_lease_record_has_one_outcome(
    change: Any, old: LeaseRecord | None, status: LeaseStatus | None, term: int, owner: Owner | None
) -> None:
    new = decode_record(change(None if old is None else encode_record(old)))
    assert (new is None) == (status is None)
    if new is not None and status is not None:
        assert (new.status, new.term, new.holder) == (status, term, owner)
        assert old is None or new.revision > old.revision or new.generation > old.generation


def test_a_change_that_a_retry_finds_applied_is_not_applied_twice() -> None:
    """A round of a change is interrupted, and the retry finds that the change was chosen in the first round."""
    change = AddIntent(A, 1, 3, 1, "s", b"job", IntentResolution.OPERATOR_DECIDES)
    changed = change(encode_record(record()))
    assert (
        change(changed) is None
        and change.is_applied_in(decode_record(changed))
        and not change.is_applied_in(record(owner=B))
    )
    found = decode_record(changed)
    assert (
        found is not None
        and [i.payload for i in found.intents] == [b"job"]
        and found.intents[0].revision == 8
    )
    without_intent = decode_record(ResolveIntent(8)(changed))
    assert (
        without_intent is not None
        and not without_intent.intents
        and ResolveIntent(8)(encode_record(without_intent)) is None
    )


def test_a_duty_created_again_has_a_later_generation_than_every_earlier_token() -> None:
    """A receiver remembers tokens of a removed duty. A new duty of the same name must get higher tokens."""
    removed = decode_record(Remove(1)(encode_record(record())))
    assert removed is not None
    recreated = decode_record(Create("d", "test", 0)(encode_record(removed)))
    assert recreated is not None and FencingToken(*recreated.position) > FencingToken(1, 99, 99)
    suspended = decode_record(Suspend(A, 1, 3, 1, "forgotten", 50)(encode_record(record())))
    resumed = None if suspended is None else decode_record(Resume()(encode_record(suspended)))
    assert resumed is not None and resumed.generation == 50


def test_a_receiver_accepts_higher_tokens_repeats_equal_ones_and_rejects_stale_ones() -> None:
    high = FencingToken(1, 2, 5)
    assert (
        check_token(None, high) is TokenVerdict.CURRENT and check_token(high, high) is TokenVerdict.DUPLICATE
    )
    assert (
        check_token(high, FencingToken(1, 2, 6))
        is check_token(high, FencingToken(1, 3, 1))
        is check_token(high, FencingToken(2, 0, 0))
        is TokenVerdict.CURRENT
    )
    assert (
        check_token(high, FencingToken(1, 2, 4))
        is check_token(high, FencingToken(1, 1, 99))
        is check_token(high, FencingToken(0, 9, 9))
        is TokenVerdict.STALE
    )
