"""Outages of machines, carried out: the roster's disk, this runner's own state, what operators ask and are told."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import xxhash

from ..core.clock import MS
from ..core.request_engine import RequestEngine
from ..health.states import Standing
from ..maintenance.coordinator import OutageCoordinator, Waited
from ..maintenance.errors import NoSuchSeat, NotHere, OutageError
from ..maintenance.load_report import Gauge
from ..maintenance.local_machine import Doing, Own
from ..maintenance.next_step import foretold
from ..maintenance.policy import Policy
from ..maintenance.schedule import Ask, Ends, How, Roster, Stage, Turn
from ..replication.journal import JournalImage
from ..replication.register_space import CLUSTER_SPACE
from ..server.health_report import Reporter
from .replication import ReplicationService

log = logging.getLogger("moorusher")

OURS = "outage: "
WARM = (Standing.SERVING, Standing.CROWDED)
MOST_WAIT_S = 30.0  # of one question; who waits asks again
MOST_ID, MOST_TEXT = 64, 200
Told = Callable[[dict[str, Any] | OutageError], None]


def mark_of(path: str) -> str:
    """What tells this start of the machine from others; "" where it can't be read: then no start proves anything."""
    try:
        return Path(path).read_text().strip()[:64]
    except OSError as exc:
        log.error(
            "outage.machine_id: %s: a machine that was out counts as back by an operator's word alone", exc
        )
        return ""


class OutageLink:
    """`outage.coordinator.Host`, and what the administration API asks."""

    def __init__(self, fleet: ReplicationService, policy: Policy, reporter: Reporter) -> None:
        self.fleet, self.policy, self.reporter = fleet, policy, reporter
        self.core: RequestEngine = fleet.core
        self.mark = mark_of(policy.machine_id)
        self.away = False  # nothing new is taken, what is held goes to others
        self._since = 0
        self._digested: Any = None
        self._settings = ""
        self._image: JournalImage | None = None
        self._gauge = Gauge(self.core.settings.cores, round(policy.peak_s * 1e6))
        found = fleet.open_part_journal("outage")
        if found is not None:
            self._image = found.image
        self.coordinator = OutageCoordinator(fleet.node, self, policy)
        if found is not None:
            self.coordinator.keeper.journaled = fleet.node.is_durable = True
            fleet.attach_journal(found, CLUSTER_SPACE, self.coordinator.keeper)
        fleet.maintenance = self

    def start(self) -> None:
        """Before the fleet's own start, which asks others for what is not here."""
        if self._image is not None:
            self.coordinator.keeper.restore(self.core.clock.now, self._image)
            self._image = None
        self.coordinator.start()

    def follow(self, policy: Policy) -> None:
        """Other bounds: at once, for what is granted from now on."""
        self.policy = policy
        self.coordinator.follow(policy)

    def look(self) -> None:
        """What is told to the others of this runner."""
        now, cores = self.core.clock.now, self.core.settings.cores
        self._gauge.cores = cores
        load, peak = self._gauge.sample(now, self.core.runs.on_cores)
        self.fleet.node.load_figures = self.reporter.report().weight, load, peak

    # ---- for the desk ----

    def unix_s(self) -> float:
        return time.time()

    def own(self) -> Own:
        made = self.reporter.report()
        spaces = self.fleet.node.spaces.values()
        return Own(
            "",
            0,
            not self.fleet.predecessor,
            self.mark,
            self._digest(),
            self.away and self._drained(),
            warm=made.standing in WARM,
            whole=all(s.acceptor.recovered for s in spaces),
        )

    def _digest(self) -> str:
        """Worked out anew only where the settings are others: it is asked for all the time."""
        if self._digested is not self.core.settings:
            self._digested = self.core.settings
            self._settings = xxhash.xxh64_hexdigest(repr(self._digested).encode())
        return self._settings

    def _drained(self) -> bool:
        """Nothing is open or runs, nothing of it is the fleet's, and whoever sends had the time to hear of it."""
        core, horizon = self.core, self.reporter.tracker.horizon(self.core.clock.now)
        return (
            not (core.table.unanswered or len(core.runs) or self.fleet.is_busy)
            and core.clock.now - self._since >= horizon
        )

    def do(self, doing: Doing, why: str) -> None:
        away = doing in (Doing.DRAINS, Doing.GONE)
        if away and not self.away:
            log.info("outage: taken out for %s", why)
            self._since = self.core.clock.now
        elif self.away and not away:
            log.info("outage: %s", doing.value)
        self.away = away
        if away and self.reporter.wanted:
            self.reporter.maintain(OURS + why)
        elif not away and self._is_ours():
            self.reporter.put_back()

    def _is_ours(self) -> bool:
        """The maintenance that is set, also by the process that this one replaces; not an operator's own."""
        m = self.reporter.tracker.maintenance
        return m is not None and m.reason.startswith(OURS)

    def loud(self, what: str) -> None:
        log.error("%s", what)
        self.core.counters.add("outages that need a person")

    # ---- for operators ----

    def _seats(self, sent: dict[str, Any]) -> tuple[str, ...]:
        seats = self.fleet.node.placement.by_name
        if sent.get("all") or sent.get("zone") or sent.get("group"):
            return tuple(
                name
                for name, s in seats.items()
                if (not sent.get("zone") or s.zone == sent["zone"])
                and (not sent.get("group") or s.group == sent["group"])
            )
        return tuple(dict.fromkeys(sent.get("seats") or (self.fleet.name,)))

    def ask(self, sent: dict[str, Any], then: Told) -> None:
        """`sent` was read and checked by the page."""
        self.core.begin_turn()
        seats, bound = self._seats(sent), bool(sent.get("bound"))
        if not seats:
            return then(NoSuchSeat("no seat of that zone or group"))
        if bound and seats != (self.fleet.name,):
            return then(NotHere(f"{', '.join(seats[:3])}: this is {self.fleet.name}"))
        ends = Ends[sent.get("ends", "boot").upper()]
        ask = Ask(
            sent["id"],
            sent["reason"],
            sent["by"],
            sent["lasts_s"],
            self.unix_s(),
            sent["not_before_s"],
            sent["due_s"],
            sent["priority"],
            sent["together"],
            ends.value,
            seats,
            bound=self.mark if bound else "",
        )
        return self.coordinator.ask(ask, self._then(then))

    def cancel(self, id: str, seats: Sequence[str], by: str, then: Told) -> None:
        self.core.begin_turn()
        self.coordinator.cancel(id, list(seats), by, self._then(then))

    def hold(self, why: str, then: Told) -> None:
        self.core.begin_turn()
        self.coordinator.hold(why, self._then(then))

    def resume(self, seat: str, then: Told) -> None:
        self.core.begin_turn()
        self.coordinator.resume(seat, self._then(then))

    def over(self, seat: str, by: str, then: Told) -> None:
        self.core.begin_turn()
        self.coordinator.over(seat, by, self._then(then))

    def show(self, then: Told) -> None:
        self.core.begin_turn()
        self.coordinator.read(lambda roster, current: then(self._told(roster, current)))

    def wait(self, id: str, seat: str, for_s: float, then: Told) -> Callable[[], None]:
        """What is returned says that whoever asked has gone. Raises NotHere."""
        self.core.begin_turn()
        seat = seat or self.fleet.name

        def waited(got: Waited) -> None:
            then({"id": id, "seat": seat, "word": got.word, "note": got.note})

        return self.coordinator.wait(id, seat, round(min(for_s, MOST_WAIT_S) * 1e6), waited)

    def _then(self, then: Told) -> Callable[[Roster | OutageError], None]:
        return lambda got: then(got if isinstance(got, OutageError) else self._told(got, True))

    def _told(self, roster: Roster, current: bool) -> dict[str, Any]:
        now_s, coordinator = self.unix_s(), self.coordinator
        step, seats = coordinator.shown(), self.fleet.node.placement.by_name
        when = foretold(roster, step.order, {n: s.zone for n, s in seats.items()}, self.policy, now_s)
        return {
            "seat": self.fleet.name,
            "number": roster.number,
            "hold": roster.hold,
            "current": current,
            "age_ms": None if coordinator.known < 0 else (self.core.clock.now - coordinator.known) / MS,
            "limits": {
                "most": self.policy.most,
                "most_zone": self.policy.most_zone,
                "most_group": self.policy.most_group,
            },
            "asks": [
                {
                    "id": a.id,
                    "reason": a.reason,
                    "by": a.by,
                    "lasts_s": a.lasts_s,
                    "due_s": a.due_s,
                    "priority": a.priority,
                    "waiting": len(a.waiting),
                    "done": a.done,
                    "ends": Ends(a.ends).name.lower(),
                    "held": [{"seat": s, "why": why} for s, why in a.held],
                }
                for a in roster.asks
            ],
            "turns": [self._turn(t, roster, now_s) for t in roster.turns],
            "order": [
                {
                    "seat": seat,
                    "ask": ask.id,
                    "why": step.why.get((ask.id, seat), ""),
                    "in_s": when.get((ask.id, seat)),
                }
                for ask, seat in step.order
            ],
            "ended": [
                {
                    "ask": e.ask,
                    "seat": e.seat,
                    "how": How(e.how).name.lower().replace("_", " "),
                    "ago_s": now_s - e.at_s,
                    "note": e.note,
                }
                for e in roster.ended[-16:]
            ],
        }

    def _turn(self, turn: Turn, roster: Roster, now_s: float) -> dict[str, Any]:
        member, ask = self.fleet.node.detector.by_seat.get(turn.seat), roster.ask(turn.ask)
        up, for_s = member is not None and member.is_alive, now_s - turn.since_s
        stage = turn.at.name.lower()
        if turn.at is Stage.OUT:
            stage = "may go" if up else "overdue" if for_s > turn.lasts_s * self.policy.overdue else "out"
        elif turn.at is Stage.BACK:
            stage = "cold" if up else "back, and gone again"
        elif not up:
            stage += ", and not heard of"
        return {
            "seat": turn.seat,
            "ask": turn.ask,
            "number": turn.number,
            "stage": stage,
            "reason": "" if ask is None else ask.reason,
            "for_s": for_s,
            "lasts_s": turn.lasts_s,
            "note": turn.note,
        }
