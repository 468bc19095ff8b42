"""How an acceptor that has forgotten recovers: from other replicas, by time, or by an operator's bootstrap command."""

from __future__ import annotations

from moorusher.time_units import MS

from ..membership.placement import SLICES
from .acceptor import Acceptor
from .interfaces import RegisterHost
from .messages import Bootstrap, SyncReply, SyncRequest

SYNC_INTERVAL_US = 500 * MS  # until those that have not sent all that they know are asked again
MAX_SYNC_INTERVAL_US = 16_000 * MS  # the interval doubles up to this for seats that have sent what they know
BOOTSTRAP_DELAY_US = 100 * MS  # from an operator's word that a cluster is new to the first vote by it
SLICES_PER_SURVEY_TURN = 64
SURVEY_TURN_US = 5 * MS


class AcceptorRecovery:
    """Recovers one acceptor.

    Attributes:
        forgets_after: `int`, us, after which nothing that an earlier process knew counts any more; None where registers
            are permanent.
        recovering_peers: seats that have answered that they have forgotten too.
    """

    def __init__(self, space: int, acceptor: Acceptor, host: RegisterHost, forgets_after: int | None) -> None:
        self.forgets_after = forgets_after
        self.recovering_peers: set[str] = set()
        self._space = space
        self._acceptor = acceptor
        self._host = host
        self._started_at = 0

    def start(self) -> None:
        """Asks the others, where something was forgotten."""
        acceptor = self._acceptor
        if acceptor.recovered:
            return
        self._started_at = self._host.clock()
        if self.forgets_after is not None:
            self._host.at(self._started_at + self.forgets_after, self._recover_by_time)
        if acceptor.slice_replicas is not None and acceptor.own_slices is None:
            self._survey_slices(0, [])
        self.request_sync(SYNC_INTERVAL_US)

    def _recover_by_time(self) -> None:
        """Whatever an earlier process of this seat knew is out of its window by now."""
        if self.forgets_after is None:
            return
        due = self._started_at + self.forgets_after
        if self._host.clock() < due:  # the window has become longer meanwhile
            self._host.at(due, self._recover_by_time)
        elif not self._acceptor.recovered:
            self._acceptor.recovered = True
            self._host.count("fleet: remembers, as what was forgotten no longer counts")

    def _survey_slices(self, first: int, found: list[int]) -> None:
        """Finds the slices that this seat is a replica of: some at a time, as all of them take a second in a cluster of
        a thousand."""
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
        """Asks all seats that have not sent everything, again and again until the acceptor has recovered."""
        acceptor = self._acceptor
        if acceptor.recovered:
            return
        asked = sorted(acceptor.other_seats - acceptor.synced_from)
        for seat in asked:
            self._host.send(seat, SyncRequest(acceptor.incarnation, self._space))
        # Seats that have sent what they know are asked less and less often; those that are recovering or not there
        # may know more at any time.
        all_have_sent = all(seat in acceptor.slices_synced_from for seat in asked)
        next_interval = min(MAX_SYNC_INTERVAL_US, 2 * interval_us) if all_have_sent else SYNC_INTERVAL_US
        self._host.at(self._host.clock() + next_interval, lambda: self.request_sync(next_interval))

    def handle_sync(self, seat: str, request: SyncRequest) -> None:
        """Another replica has forgotten."""
        parts = self._acceptor.answer_sync(self._host.clock(), seat, request.incarnation, self._space)
        reply = self._host.replier(seat)

        def send_parts() -> None:
            for part in parts:
                reply(part)

        # That the asker's earlier incarnations count for nothing must outlive this process.
        self._host.durable(send_parts, self._space)

    def handle_sync_reply(self, seat: str, reply: SyncReply) -> None:
        """What another replica knows."""
        if reply.incarnation < self._acceptor.incarnation:
            return  # to an earlier process
        if reply.incarnation > self._acceptor.incarnation:
            return self._host.raise_incarnation(reply.incarnation + 1)
        if reply.recovering:
            self.recovering_peers.add(seat)
        else:
            self.recovering_peers.discard(seat)
            self._acceptor.apply_sync(self._host.clock(), seat, reply)

    # ---- by an operator's word ----

    def bootstrap(self, accept_loss: bool = False) -> str | None:
        """An operator says that nothing ran here before.

        With `accept_loss`: that what no seat knows any more counts for nothing.

        Returns the reason where that can't be: a seat that has recovered may know better, and one that is not there may
        have recovered.
        """
        acceptor = self._acceptor
        if acceptor.recovered:
            remedy = "ask one that does not" if accept_loss else "the fleet has begun"
            return f"this runner remembers: {remedy}"
        known = self.recovering_peers
        if accept_loss:
            known = known | acceptor.synced_from | acceptor.slices_synced_from.keys()
        if missing := sorted(acceptor.other_seats - known):
            reason = "not heard of" if accept_loss else "not heard as one that remembers nothing"
            return f"{reason}: {', '.join(missing)}"
        for seat in sorted(acceptor.other_seats):
            self._host.send(seat, Bootstrap(acceptor.incarnations[seat], self._space, accept_loss))
        self.handle_bootstrap(acceptor.seat, Bootstrap(acceptor.incarnation, self._space, accept_loss))
        return None

    def handle_bootstrap(self, seat: str, message: Bootstrap) -> None:
        """An operator's word, heard at `seat`."""
        acceptor = self._acceptor
        if message.incarnation != acceptor.incarnation or acceptor.recovered:
            return
        if message.accept_loss or not acceptor.synced_from:
            due = self._host.clock() + BOOTSTRAP_DELAY_US
            self._host.at(due, lambda: self._finish_bootstrap(message.incarnation))

    def _finish_bootstrap(self, incarnation: int) -> None:
        """Some time after the word.

        At once, a seat that votes by it could sync another one that the word has not reached yet; that one would not
        take it any more, and two such know nothing that the other could recover by.
        """
        if incarnation == self._acceptor.incarnation and not self._acceptor.recovered:
            self._acceptor.recovered = True
            self._host.count("fleet: begun")
