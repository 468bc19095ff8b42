"""Keyed work that this runner claims, starts, finishes, releases or hands over, each by a change of its register."""

from __future__ import annotations

from moorusher.time_units import MS

from .interfaces import ReleaseCallback, WorkNode
from .key_tenure import Tenure, TenureStage
from .messages import OwnershipReply
from .proposer import ChangeFunction, ChangeResult
from .work_events import ClaimUncovered, HandedOver, StartConfirmed, StartLost, StartUncovered
from .work_record import (
    ClaimWork,
    FinishWork,
    KeyDigest,
    ReleaseWork,
    StartWork,
    WithdrawClaim,
    WorkRecord,
    WorkRequest,
    WorkState,
)

# Longest delay between retries of a withdrawal. No caller waits for a withdrawal, and a runner that a partition has cut
# off from all majorities may have thousands of them.
MAX_WITHDRAW_BACKOFF_US = 8_000 * MS
MAX_WITHDRAWALS = 4_000  # Maximum number of concurrent withdrawals.
NO_MAJORITY = "no majority of its keepers answers"  # Part of the error that a caller gets.


class OwnedWork:
    """The owner's side of the lifecycle of work. Steps on one key are serialized by `Tenure.run_step`."""

    def __init__(self, node: WorkNode) -> None:
        self._node = node
        self._withdrawals = 0

    # ---- claim ----

    def claim(
        self, key: KeyDigest, body_digest: int, request: WorkRequest, expires_at: int, answer_by: int
    ) -> None:
        """Claim a key that is new at this runner.

        `ClaimGranted`, `ClaimJoined`, `ResultKnown`, `BodyDiffers` or `ClaimUncovered` follows, possibly during this
        call.

        :param expires_at: Time (us) at which the key expires.
        :param answer_by: Time (us) at which the request's caller stops waiting.
        """
        previous = self._node.tenures.get(key)
        tenure = Tenure(key, body_digest, request, expires_at, TenureStage.CLAIMING)
        self._node.tenures[key] = tenure
        if previous is None or not previous.busy:
            return tenure.run_step(lambda: self._claim(tenure, request, answer_by))
        # An earlier claim is still being withdrawn; the new claim waits for that.
        give_up_at = self._node.clock() + self._claim_timeout(answer_by)
        self._node.at(give_up_at, lambda: self._give_up_claim(tenure))

        def claim_after_previous() -> None:
            tenure.run_step(lambda: self._claim(tenure, request, answer_by))
            previous.finish_step()

        previous.run_step(claim_after_previous)
        return None

    def _claim_timeout(self, answer_by: int) -> int:
        """Return the time (us) for a claim, whose request has to be answered when its caller stops waiting."""
        return min(self._node.claim_timeout_us, max(MS, answer_by - self._node.clock()))

    def _claim(self, tenure: Tenure, request: WorkRequest, answer_by: int) -> None:
        if tenure.stage is not TenureStage.CLAIMING:
            return tenure.finish_step()
        self._node.change(
            tenure.key,
            ClaimWork(self._node.owner, tenure.body_digest, request),
            tenure.expires_at,
            self._claim_timeout(answer_by),
            lambda result: self._claimed(tenure, result),
        )
        return None

    def _claimed(self, tenure: Tenure, result: ChangeResult | None) -> None:
        if tenure.stage is not TenureStage.CLAIMING:
            # The work was released while the claim was in progress; the next step releases it in the register too.
            work: WorkRecord | None = None if result is None else result.value
            is_ours = work is not None and work.owner == self._node.owner
            tenure.attempt = work.attempt if work is not None and is_ours else 0
        elif result is None:
            self._claim_uncovered(tenure)
        else:
            self._node.adopt(tenure, result)
        tenure.finish_step()

    def _claim_uncovered(self, tenure: Tenure) -> None:
        may_be_chosen = self._node.last_may_be_chosen
        self._node.host.count("fleet: uncovered")
        self._node.host.notify(ClaimUncovered(tenure.key, NO_MAJORITY, proven=not may_be_chosen))
        if may_be_chosen:
            self._withdraw(tenure)
        else:
            self._node.forget(tenure)

    def _give_up_claim(self, tenure: Tenure) -> None:
        """Fail a claim that still waits for the withdrawal of an earlier claim."""
        is_waiting = tenure.stage is TenureStage.CLAIMING and not tenure.busy
        if self._node.tenures.get(tenure.key) is tenure and is_waiting:
            tenure.stage = TenureStage.FINISHING
            self._node.host.count("fleet: uncovered")
            reason = "an earlier try is not taken back yet"
            self._node.host.notify(ClaimUncovered(tenure.key, reason, proven=False))
            self._node.forget(tenure)

    def _withdraw(self, tenure: Tenure) -> None:
        """Release a claim whose outcome is unknown."""
        # No caller waits for the work, but the register may name this runner as its owner. If this runner were then
        # lost, another one would run the work.
        if self._node.policy.serves_without_majority:
            return self._node.forget(tenure)
        if self._withdrawals >= MAX_WITHDRAWALS:
            self._node.host.count("fleet: not taken back")
            return self._node.forget(tenure)
        tenure.stage = TenureStage.FINISHING
        self._withdrawals += 1

        def withdrawn(result: ChangeResult | None) -> None:
            self._withdrawals -= 1
            self._node.forget(tenure)
            tenure.finish_step()

        tenure.run_step(
            lambda: self._node.change(
                tenure.key,
                WithdrawClaim(self._node.owner),
                tenure.expires_at,
                self._remaining_time(tenure),
                withdrawn,
                max_backoff_us=MAX_WITHDRAW_BACKOFF_US,
            )
        )
        return None

    # ---- start ----

    def start(self, key: KeyDigest) -> bool:
        """Record the start of queued work before its run is commanded.

        `StartConfirmed`, `StartLost` or `StartUncovered` follows, possibly during this call.

        :returns: Whether the work is queued at this runner. If not, no event follows.
        """
        tenure = self._node.tenures.get(key)
        if tenure is None or tenure.stage is not TenureStage.QUEUED:
            return False
        tenure.stage = TenureStage.STARTING
        tenure.run_step(lambda: self._start(tenure))
        return True

    def _start(self, tenure: Tenure) -> None:
        if tenure.stage is not TenureStage.STARTING:  # The work was released while this step was queued.
            return tenure.finish_step()
        self._node.change(
            tenure.key,
            StartWork(self._node.owner, tenure.attempt),
            tenure.expires_at,
            self._node.claim_timeout_us,
            lambda result: self._started(tenure, result),
            tenure.consume_promise(),
        )
        return None

    def _started(self, tenure: Tenure, result: ChangeResult | None) -> None:
        if result is None:
            self._start_uncovered(tenure)
        elif self._is_started_here(tenure, result.value):
            tenure.stage = TenureStage.STARTED
            tenure.promise = result.promise
            self._node.host.notify(StartConfirmed(tenure.key))
        else:
            self._node.host.count("fleet: lost to another")
            self._node.host.notify(StartLost(tenure.key))
            tenure.stage = TenureStage.OWNED_ELSEWHERE
            tenure.promise = None
            self._node.adopt(tenure, result)
        tenure.finish_step()

    def _start_uncovered(self, tenure: Tenure) -> None:
        self._node.host.count("fleet: not begun")
        if self._node.policy.serves_without_majority:
            tenure.stage = TenureStage.STARTED
            self._node.host.notify(StartConfirmed(tenure.key))
        else:
            tenure.stage = TenureStage.QUEUED
            self._node.host.notify(StartUncovered(tenure.key, NO_MAJORITY))

    def _is_started_here(self, tenure: Tenure, work: WorkRecord | None) -> bool:
        return (
            work is not None
            and work.state is WorkState.STARTED
            and work.owner == self._node.owner
            and work.attempt == tenure.attempt
        )

    # ---- the end ----

    def finish(self, key: KeyDigest, result: bytes | None) -> None:
        """Record that a run of this runner has ended.

        :param result: Result of the run, or None if it gave none.
        """
        tenure = self._node.tenures.get(key)
        if tenure is None or tenure.stage is TenureStage.OWNED_ELSEWHERE:
            return
        tenure.stage = TenureStage.FINISHING
        tenure.result = result
        for seat in sorted(tenure.waiting_seats):
            self._node.host.send(seat, OwnershipReply(key, tenure.attempt, False, True, result))
        tenure.waiting_seats.clear()
        self._write_until_chosen(tenure, FinishWork(self._node.owner, tenure.attempt, result))

    def _write_until_chosen(self, tenure: Tenure, change: ChangeFunction) -> None:
        """Change the register, with retries until the change is chosen or the key expires."""

        def written(result: ChangeResult | None) -> None:
            self._node.forget(tenure)
            tenure.finish_step()

        def write() -> None:
            self._node.change(
                tenure.key,
                change,
                tenure.expires_at,
                self._remaining_time(tenure),
                written,
                tenure.consume_promise(),
            )

        tenure.run_step(write)

    def release(
        self, key: KeyDigest, rejected: bool = False, on_released: ReleaseCallback | None = None
    ) -> None:
        """Release an attempt of this runner that ended before its run.

        Work that was taken over, or for which other runners wait, is offered to the next seat.

        :param rejected: Whether this runner rejected the work; the work is then not offered to it again.
        :param on_released: Called when the release has ended, unless this runner does not own the work.
        """
        tenure = self._node.tenures.get(key)
        if tenure is None or tenure.stage is TenureStage.OWNED_ELSEWHERE:
            return
        request = tenure.request if tenure.taken_over or tenure.waiting_seats else None
        tenure.stage = TenureStage.FINISHING

        def release() -> None:
            self._node.change(
                key,
                ReleaseWork(self._node.owner, tenure.attempt or 1, request, rejected),
                tenure.expires_at,
                self._remaining_time(tenure),
                lambda result: self._released(tenure, result, on_released),
                tenure.consume_promise(),
            )

        tenure.run_step(release)

    def _released(
        self, tenure: Tenure, result: ChangeResult | None, on_released: ReleaseCallback | None
    ) -> None:
        self._node.forget(tenure)
        work: WorkRecord | None = None if result is None else result.value
        if on_released is not None:
            on_released(self._is_released_by_this_runner(tenure, work))
        if work is not None and work.state is WorkState.RELEASED and work.request is not None:
            self._node.offer_work(tenure.key, work)
        self._notify_waiting_seats(tenure)
        tenure.finish_step()

    def _is_released_by_this_runner(self, tenure: Tenure, work: WorkRecord | None) -> bool:
        if work is None or work.owner != self._node.owner or work.attempt != (tenure.attempt or 1):
            return False
        return work.state is WorkState.RELEASED

    def hand_over(self, key: KeyDigest) -> None:
        """Release queued work for another runner. `HandedOver` follows once a majority has accepted the release."""
        tenure = self._node.tenures.get(key)
        if tenure is None or tenure.stage is not TenureStage.QUEUED or tenure.request is None:
            return
        request = tenure.request
        tenure.run_step(lambda: self._hand_over(tenure, request))

    def _hand_over(self, tenure: Tenure, request: WorkRequest) -> None:
        if tenure.stage is not TenureStage.QUEUED:
            return tenure.finish_step()
        self._node.change(
            tenure.key,
            ReleaseWork(self._node.owner, tenure.attempt, request, rejected=False),
            tenure.expires_at,
            self._node.claim_timeout_us,
            lambda result: self._handed_over(tenure, result),
            tenure.consume_promise(),
        )
        return None

    def _handed_over(self, tenure: Tenure, result: ChangeResult | None) -> None:
        work: WorkRecord | None = None if result is None else result.value
        if result is not None and work is not None and not self._is_owned_here(work):
            self._node.host.notify(HandedOver(tenure.key))
            self._node.host.count("fleet: handed over")
            tenure.stage = TenureStage.OWNED_ELSEWHERE
            tenure.promise = None
            if work.state is WorkState.RELEASED:
                self._node.offer_work(tenure.key, work)
            self._notify_waiting_seats(tenure)
            tenure.waiting_seats.clear()
            self._node.adopt(tenure, result)
        tenure.finish_step()

    def _is_owned_here(self, work: WorkRecord) -> bool:
        return work.owner == self._node.owner and work.state is WorkState.QUEUED

    def _notify_waiting_seats(self, tenure: Tenure) -> None:
        """Notify the seats that wait for the result that the work is no longer queued or running here."""
        for seat in sorted(tenure.waiting_seats):
            self._node.host.send(seat, OwnershipReply(tenure.key, tenure.attempt, False))

    def _remaining_time(self, tenure: Tenure) -> int:
        """Return the time (us) until the key expires, and at least 1 ms, so that one attempt is made."""
        return max(MS, tenure.expires_at - self._node.clock())
