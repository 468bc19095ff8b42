"""The duty that sends periodic heartbeat reports of the fleet to a dead man's switch.

Only the leader of the duty sends reports, one at a time. Reports are fenced, so the receiver rejects those of a former
leader.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..time_units import MS
from .effects import Completed, DeferredStateUpdate, FencedRequest, Outcome, StateUpdate
from .errors import LeadershipError
from .lease_holder import LeaseHolder
from .policy import HeartbeatDuty
from .serial_queue import ignore_outcome

KIND = "report"
REPORTS_PER_STATE_UPDATE = 5


class HeartbeatState(msgspec.Struct, frozen=True):
    """The duty's state, stored as JSON.

    Attributes:
        reports: Number of reports sent by all leaders since the duty was created.
    """

    reports: int = 0


_json = msgspec.json.Encoder()


class HeartbeatWorker:
    """Sends reports to a receiver, one at a time.

    Attributes:
        state: The duty's state, with the number of reports that the receiver has acknowledged.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        duty: HeartbeatDuty,
        after: Callable[[int, Callable[[], None]], None],
        fleet_summary: Callable[[], dict[str, Any]],
    ) -> None:
        self.state = HeartbeatState()
        if lease.state:
            self.state = msgspec.json.decode(lease.state, type=HeartbeatState)
        self._lease = lease
        self._duty = duty
        # Calls an action after a delay in us.
        self._after = after
        # Returns the contents of a report.
        self._fleet_summary = fleet_summary
        self._is_stopped = False
        self._is_report_pending = False

    def start(self) -> None:
        """Send the first report."""
        self._tick()

    def before_release(self) -> None:
        """Store the count for the next leader. The deferred update includes a report that is still pending."""
        self._lease.submit(DeferredStateUpdate(lambda: _json.encode(self.state)), ignore_outcome)

    def stop(self, reason: LeadershipError | None) -> None:
        """Stop sending reports."""
        self._is_stopped = True

    def _tick(self) -> None:
        if self._is_stopped:
            return
        self._after(round(self._duty.interval_ms * MS), self._tick)
        if not self._is_report_pending:
            self._send_report()

    def _send_report(self) -> None:
        self._is_report_pending = True
        host, port = self._duty.to
        body = _json.encode(self._fleet_summary() | {"reports": self.state.reports + 1})
        self._lease.submit(FencedRequest(f"{host}:{port}", body), self._on_outcome)

    def _on_outcome(self, outcome: Outcome) -> None:
        self._is_report_pending = False
        if not isinstance(outcome, Completed):
            return
        self.state = HeartbeatState(self.state.reports + 1)
        if self.state.reports % REPORTS_PER_STATE_UPDATE == 0:
            self._lease.submit(StateUpdate(_json.encode(self.state)), ignore_outcome)
