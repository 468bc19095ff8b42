"""Recovery of an acceptor that has lost its state: from other replicas, by expiry, or by an operator's command."""

from __future__ import annotations

from moorusher.time_units import MS

from ..membership.placement import SLICES
from .acceptor import Acceptor
from .interfaces import RegisterHost
from .messages import Bootstrap, SyncReply, SyncRequest

SYNC_INTERVAL_US = 500 * MS  # Time between requests to seats that have not sent their complete state.
# Once all requested seats have sent the slices that they know, the interval doubles up to this value.
MAX_SYNC_INTERVAL_US = 16_000 * MS
BOOTSTRAP_DELAY_US = 100 * MS  # From a bootstrap command to the first vote; see `_finish_bootstrap`.
SLICES_PER_SURVEY_TURN = 64
SURVEY_TURN_US = 5 * MS  # Time between two turns of the survey.


class AcceptorRecovery:
    """The recovery of one acceptor.

    Attributes:
        expires_after_us: Time after which all state of an earlier process has expired; None if registers are permanent.
        recovering_peers: Seats that have replied that they are recovering too.
    """

    def __init__(
        self, space: int, acceptor: Acceptor, host: RegisterHost, expires_after_us: int | None
    ) -> None:
        self.expires_after_us = expires_after_us
        self.recovering_peers: set[str] = set()
        self._space = space
        self._acceptor = acceptor
        self._host = host
        self._started_at = 0

    def start(self) -> None:
        """Start the recovery if the acceptor has lost its state."""
        acceptor = self._acceptor
        if acceptor.recovered:
            return
        self._started_at = self._host.clock()
        if self.expires_after_us is not None:
            self._host.at(self._started_at + self.expires_after_us, self._recover_by_time)
        if acceptor.slice_replicas is not None and acceptor.own_slices is None:
            self._survey_slices(0, [])
        self.request_sync(SYNC_INTERVAL_US)

    def _recover_by_time(self) -> None:
        """Mark the acceptor as recovered once all state of an earlier process of this seat has expired."""
        if self.expires_after_us is None:
            return
        due = self._started_at + self.expires_after_us
        if self._host.clock() < due:  # The window has been extended in the meantime.
            self._host.at(due, self._recover_by_time)
        elif not self._acceptor.recovered:
            self._acceptor.recovered = True
            self._host.count("fleet: remembers, as what was forgotten no longer counts")

    def _survey_slices(self, first: int, found: list[int]) -> None:
        """Find the slices of which this seat is a replica."""
        # Done in turns, because all slices at once take a second in a cluster of a thousand seats.
        slice_replicas = self._acceptor.slice_replicas
        if slice_replicas is None or self._acceptor.recovered:
            return
        seat = self._acceptor.seat
        end = min(first + SLICES_PER_SURVEY_TURN, SLICES + 1)
        found += [number for number in range(first, end) if seat in slice_replicas(number)]
        if end <= SLICES:
            next_turn = self._host.clock() + SURVEY_TURN_US
            return self._host.at(next_turn, lambda: self._survey_slices(end, found))
        self._acceptor.own_slices = found
        self._acceptor.check_recovered()

    # ---- from other replicas ----

    def request_sync(self, interval_us: int) -> None:
        """Request the state of all seats that have not sent it completely, repeatedly until the acceptor recovers."""
        acceptor = self._acceptor
        if acceptor.recovered:
            return
        pending_seats = sorted(acceptor.other_seats - acceptor.synced_from)
        for seat in pending_seats:
            self._host.send(seat, SyncRequest(acceptor.incarnation, self._space))
        # The interval grows only if all these seats have sent the slices that they know. A seat that has not replied,
        # or is recovering itself, may be able to send its state at any time.
        all_have_sent = all(seat in acceptor.slices_synced_from for seat in pending_seats)
        next_interval = min(MAX_SYNC_INTERVAL_US, 2 * interval_us) if all_have_sent else SYNC_INTERVAL_US
        self._host.at(self._host.clock() + next_interval, lambda: self.request_sync(next_interval))

    def handle_sync(self, seat: str, request: SyncRequest) -> None:
        """Handle the sync request of a recovering replica."""
        parts = self._acceptor.answer_sync(self._host.clock(), seat, request.incarnation, self._space)
        reply = self._host.replier(seat)

        def send_parts() -> None:
            for part in parts:
                reply(part)

        # This acceptor must ignore the requester's earlier incarnations after its own restart too, so the reply waits
        # until the journal has the new incarnation.
        self._host.call_when_durable(send_parts, self._space)

    def handle_sync_reply(self, seat: str, reply: SyncReply) -> None:
        """Handle a part of another replica's state."""
        if reply.incarnation < self._acceptor.incarnation:
            return  # The reply is for an earlier process of this seat.
        if reply.incarnation > self._acceptor.incarnation:
            return self._host.raise_incarnation(reply.incarnation + 1)
        if reply.recovering:
            self.recovering_peers.add(seat)
        else:
            self.recovering_peers.discard(seat)
            self._acceptor.apply_sync(self._host.clock(), seat, reply)

    # ---- by an operator's command ----

    def bootstrap(self, accept_loss: bool = False) -> str | None:
        """Bootstrap the acceptors of all seats, on an operator's statement that the cluster is new.

        :param accept_loss: Whether the operator, for a cluster that is not new, accepts the loss of all state that no
            seat has any more.
        :returns: None on success, or the reason for a refusal.
        """
        # Every other seat must have replied that it is recovering: a seat that has recovered has state, and one that
        # has not replied may have some. With `accept_loss`, seats that have sent their state are allowed too.
        acceptor = self._acceptor
        if acceptor.recovered:
            remedy = "ask one that does not" if accept_loss else "the fleet has begun"
            return f"this runner remembers: {remedy}"
        replied_seats = self.recovering_peers
        if accept_loss:
            replied_seats = replied_seats | acceptor.synced_from | acceptor.slices_synced_from.keys()
        if missing := sorted(acceptor.other_seats - replied_seats):
            reason = "not heard of" if accept_loss else "not heard as one that remembers nothing"
            return f"{reason}: {', '.join(missing)}"
        for seat in sorted(acceptor.other_seats):
            self._host.send(seat, Bootstrap(acceptor.incarnations[seat], self._space, accept_loss))
        self.handle_bootstrap(acceptor.seat, Bootstrap(acceptor.incarnation, self._space, accept_loss))
        return None

    def handle_bootstrap(self, seat: str, message: Bootstrap) -> None:
        """Handle an operator's bootstrap command, which was given at `seat`."""
        acceptor = self._acceptor
        if message.incarnation != acceptor.incarnation or acceptor.recovered:
            return
        if message.accept_loss or not acceptor.synced_from:
            due = self._host.clock() + BOOTSTRAP_DELAY_US
            self._host.at(due, lambda: self._finish_bootstrap(message.incarnation))

    def _finish_bootstrap(self, incarnation: int) -> None:
        """Mark the acceptor as recovered, a delay after the bootstrap command."""
        # Without the delay, a bootstrapped seat could send its state to seats that the command has not reached yet.
        # Those seats would then ignore the command, and two of them could not recover from each other.
        if incarnation == self._acceptor.incarnation and not self._acceptor.recovered:
            self._acceptor.recovered = True
            self._host.count("fleet: begun")
