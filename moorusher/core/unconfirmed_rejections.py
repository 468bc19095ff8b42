"""Rejections that wait for the cluster, because the promise that a request never ran has to hold at all runners."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from moorusher.time_units import MS

from .answer import Answer, Cause, Reply, Verdict
from .clock import Alarm, Alarms, Clock
from .requests import Request

# Share of the slack after the due time within which the failure is sent; the rest is for its way to the caller.
FAILURE_SHARE_OF_SLACK = 0.5


@dataclass(slots=True)
class HeldAnswer:
    """An answer that has not been sent yet. It does not keep the request's body in memory."""

    reply: Reply
    tag: int
    tenant: str | None
    answer: Answer


@dataclass(slots=True)
class _Unconfirmed:
    held: HeldAnswer
    alarm: Alarm


class UnconfirmedRejections:
    """Rejections of requests that other runners may still take over.

    Until a majority has accepted that this runner gives a key up, a runner that regards this one as lost may run the
    request. So the rejection is sent once the release is confirmed. If it is not confirmed by the request's due time,
    the request fails, which promises nothing.
    """

    def __init__(self, clock: Clock, alarms: Alarms) -> None:
        self._clock = clock
        self._alarms = alarms
        # By request number. Each occupies the slot of its request at the frontend, which bounds their number.
        self._pending: dict[int, _Unconfirmed] = {}

    def add(
        self, request: Request, held: HeldAnswer, slack_ms: float, on_expiry: Callable[[int], None]
    ) -> None:
        """Hold a rejection until `pop` is called.

        :param slack_ms: Time after the due time within which an answer is still in time.
        :param on_expiry: Called with the request's number when the answer can't wait any longer.
        """
        due_us = request.deadline_us + round(FAILURE_SHARE_OF_SLACK * slack_ms * MS)
        number = request.number
        alarm = self._alarms.at(max(due_us, self._clock.now), lambda: on_expiry(number))
        self._pending[number] = _Unconfirmed(held, alarm)

    def pop(self, number: int, is_released: bool) -> HeldAnswer | None:
        """Return the answer to send, which is a failure unless the release was confirmed. None if there is none."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        pending.alarm.cancel()
        if not is_released:
            pending.held.answer = Answer(Verdict.FAILED, cause=Cause.MAY_RUN_ELSEWHERE)
        return pending.held

    def numbers(self) -> list[int]:
        """Return the numbers of the requests whose rejection is held."""
        return list(self._pending)
