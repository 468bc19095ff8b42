"""The duty that reports to a dead man's switch that the fleet is there, again and again.

One report at a time for the whole fleet, from whichever member leads the duty; fenced, so that a former leader's does
not count.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..membership.failure_detector import MS
from .effects import Completed, DeferredStateUpdate, FencedRequest, Outcome, StateUpdate
from .errors import LeadershipError
from .lease_holder import LeaseHolder
from .policy import HeartbeatDuty
from .serial_queue import ignore_outcome

KIND = "report"
REPORTS_PER_STATE_UPDATE = 5


class HeartbeatState(msgspec.Struct, frozen=True):
    """The duty's state, stored as JSON. `reports`: int, sent since the duty was created, by any leader."""

    reports: int = 0


_json = msgspec.json.Encoder()


class HeartbeatWorker:
    """Sends reports to a receiver, one at a time.

    state: HeartbeatState, with the reports that the receiver has acknowledged.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        report: HeartbeatDuty,
        after: Callable[[int, Callable[[], None]], None],
        fleet_summary: Callable[[], dict[str, Any]],
    ) -> None:
        """`after`: calls an action after a delay in us. `fleet_summary`: what a report says."""
        self.state = HeartbeatState()
        if lease.state:
            self.state = msgspec.json.decode(lease.state, type=HeartbeatState)
        self._lease = lease
        self._report = report
        self._after = after
        self._fleet_summary = fleet_summary
        self._is_stopped = False
        self._is_report_pending = False

    def start(self) -> None:
        """Send the first report."""
        self._tick()

    def before_release(self) -> None:
        """Hand the count on. A report may be pending: it counts in that state, as the state is read after it."""
        self._lease.submit(DeferredStateUpdate(lambda: _json.encode(self.state)), ignore_outcome)

    def stop(self, reason: LeadershipError | None) -> None:
        """Send nothing any more."""
        self._is_stopped = True

    def _tick(self) -> None:
        if self._is_stopped:
            return
        self._after(round(self._report.interval_ms * MS), self._tick)
        if not self._is_report_pending:
            self._send_report()

    def _send_report(self) -> None:
        self._is_report_pending = True
        host, port = self._report.to
        body = _json.encode(self._fleet_summary() | {"reports": self.state.reports + 1})
        self._lease.submit(FencedRequest(f"{host}:{port}", body), self._on_outcome)

    def _on_outcome(self, outcome: Outcome) -> None:
        self._is_report_pending = False
        if not isinstance(outcome, Completed):
            return
        self.state = HeartbeatState(self.state.reports + 1)
        if self.state.reports % REPORTS_PER_STATE_UPDATE == 0:
            self._lease.submit(StateUpdate(_json.encode(self.state)), ignore_outcome)
