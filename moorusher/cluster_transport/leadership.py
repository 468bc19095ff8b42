"""The duties of the fleet, carried out: their disk, their receivers, who does their work, what is told to operators."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from ..core.clock import MS
from ..leadership.effects import Told
from ..leadership.errors import DutyError
from ..leadership.fencing_token import Fence
from ..leadership.heartbeat import KIND as REPORT
from ..leadership.heartbeat import Reporting
from ..leadership.lease_holder import Ownership
from ..leadership.lease_record import Intent, Life, Post, Settle, key_of
from ..leadership.participant import Participant, Reading, Worker
from ..leadership.policy import Policy
from ..replication.journal import JournalImage
from ..replication.register_space import DUTY_SPACE
from .effect_receivers import Receivers
from .replication import ReplicationService

log = logging.getLogger("moorusher")

MOST_SHOWN = 1_000
NAMESPACE, FORECAST = "namespace", "forecast"  # kinds whose work is imported only where it is set


class DutyLink:
    """`office.Host`, and what the administration API asks."""

    def __init__(self, fleet: ReplicationService, policy: Policy) -> None:
        self.fleet, self.policy, self.core = fleet, policy, fleet.core
        self._image: JournalImage | None = None
        self.namespaces: Any = None  # who does the work of those duties, where there are some
        self.forecast: Any = None
        self._receivers = Receivers(fleet.reactor, fleet.core)
        found = fleet.open_part_journal("duties")
        if found is not None:
            self._image = found.image
        self.participant = Participant(fleet.node, self, policy)
        if found is not None:
            self.participant.shelf.notes = True
            fleet.attach_journal(found, DUTY_SPACE, self.participant.keeper)
        for report in policy.reports:
            self.participant.want(report.name, REPORT)

    def start(self) -> None:
        """Before the fleet's own start, which asks others for what is not here."""
        if self._image is not None:
            self.participant.keeper.restore(self.core.clock.now, self._image)
            self.participant.recalled()
            self._image = None
        self.participant.start()

    # ---- for the office ----

    def fit(self) -> bool:
        return self.fleet.fit()

    def perform(self, to: str, duty: str, fence: Fence, body: bytes, then: Callable[[Told], None]) -> None:
        self._receivers.perform(to, duty, fence, body, then)

    def intend(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None:
        self._receivers.intend(to, duty, intent, then)

    def asked(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None:
        self._receivers.asked(to, duty, intent, then)

    def work(self, ownership: Ownership) -> Worker | None:
        log.info("duties: %s is this runner's, in term %d", ownership.name, ownership.post.term)
        report = next((r for r in self.policy.reports if r.name == ownership.name), None)
        if ownership.post.kind == REPORT and report is not None:
            return Reporting(ownership, report, self.participant.at, self.participant.clock, self._members)
        does = {NAMESPACE: self.namespaces, FORECAST: self.forecast}.get(ownership.post.kind)
        if does is not None:
            worker: Worker = does.work(ownership)
            return worker
        log.warning("duties: nothing in this runner's settings says what %s is for", ownership.name)
        return None

    def _members(self) -> dict[str, Any]:
        members = self.fleet.node.detector.by_seat.values()
        return {
            "fleet": self.fleet.config.name,
            "by": self.fleet.name,
            "up": sum(m.is_alive for m in members),
            "seats": len(members),
        }

    # ---- for operators ----

    def listed(self) -> list[dict[str, Any]]:
        """What is known here without asking others: duties that this runner has, or whose registers it keeps."""
        self.core.touch()
        posts = {
            **self.participant.tending.posts,
            **{key: t.post for key, t in self.participant.ownerships.items()},
        }
        shown = sorted((p for p in posts.values() if p.life != Life.GONE.value), key=lambda p: p.name)
        return [self._told(p) for p in shown[:MOST_SHOWN]]

    def _told(self, post: Post) -> dict[str, Any]:
        ownership = self.participant.ownerships.get(key_of(post.name))
        mine = ownership is not None and ownership.post.at == post.at
        return {
            "name": post.name,
            "kind": post.kind,
            "life": Life(post.life).name.lower(),
            "born": post.born,
            "term": post.term,
            "number": post.number,
            "owner": None if post.owner is None else post.owner.seat,
            "lost": post.lost,
            "why": post.why,
            "versions": [[v.number, v.size] for v in post.versions],
            "intents": [
                {
                    "number": i.number,
                    "term": i.term,
                    "to": i.to,
                    "what": i.what.decode("utf-8", "replace"),
                    "settle": Settle(i.settle).name.lower(),
                }
                for i in post.intents
            ],
            "here": None
            if ownership is None or not mine
            else {
                "stage": ownership.stage.value,
                "for_ms": (self.core.clock.now - ownership.since) / MS,
                "trouble": None if ownership.told is None else str(ownership.told),
            },
        }

    def read(self, name: str, then: Callable[[dict[str, Any] | DutyError], None]) -> None:
        """Through the register."""

        def got(reading: Reading | DutyError) -> None:
            if isinstance(reading, DutyError):
                return then(reading)
            state = None if reading.state is None else reading.state.decode("utf-8", "replace")
            return then(self._told(reading.post) | {"state": state, "current": True})

        self.core.touch()
        self.participant.read(name, got)

    def resume(self, name: str, then: Callable[[dict[str, Any] | DutyError], None]) -> None:
        self.core.touch()
        self.participant.resume(
            name, lambda got: then(got if isinstance(got, DutyError) else self._told(got))
        )

    def settle(
        self, name: str, number: int, how: str, then: Callable[[dict[str, Any] | DutyError], None]
    ) -> None:
        """`how`: what the operator has found; the intent is closed either way."""
        self.core.touch()
        log.warning("duties: an operator says of %d of %s that it is %s", number, name, how)
        self.participant.settle(
            name, number, lambda got: then(got if isinstance(got, DutyError) else self._told(got))
        )
