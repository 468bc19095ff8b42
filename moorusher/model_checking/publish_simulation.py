"""Customers' revisions in virtual time: the real desks, publishers and duties, submissions at any runner, the faults of
`check.fleets`. One seed is one course; its whole history is checked.

No number of an incarnation ever means two drafts; what was told to be published stays; a submission becomes one
revision however often it is handed in; no process goes back; who is said to have a revision has it; in the end all have
the same.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import msgspec

from ..config_distribution.errors import DistributionError
from ..config_distribution.messages import RevisionId
from ..config_distribution.propagation import DELETED_NUMBER
from ..config_distribution.publisher import duty_of
from ..config_distribution.replica import Replica
from ..errors import kind_of
from ..leadership.lease_holder import LeaseHolder
from ..leadership.lease_record import LeaseStatus
from ..leadership.worker import Worker
from ..namespaces.document import Namespace, parse_draft
from ..namespaces.errors import NamespaceError
from ..namespaces.policy import Bounds, Granted
from ..namespaces.revisions import Book, Submission, unpack
from ..replication.node import Node
from .cluster_simulation import MS, SECOND, Scenario, Simulation
from .leadership_simulation import (
    MIN_REPLICAS,
    DutyProcess,
    DutySimulation,
    latest_record,
    replicated_state,
)

CUSTOMERS = ("acme", "bolt", "Acme")
GRANTED = Granted(frozenset({"s"}))
COURSE = Scenario(
    seats=5, keys=0, faults=6, fault_kinds=("kill", "forget", "stop", "cut", "one way", "leave")
)
DISKS = Scenario(seats=4, keys=0, faults=6, fault_kinds=("kill", "stop", "cut", "one way", "power"))
Draft = tuple[str, RevisionId]


def draft_of(name: str) -> bytes:
    """A draft that is told apart by its one name."""
    return msgspec.json.encode({"default": name, "routes": {name: {"servers": {"s": 1}}}})


class PublishProcess(DutyProcess):
    """One process of a simulated fleet, with the real replica of all revisions."""

    def __init__(
        self, sim: Simulation, seat: int, number: int, inc: int, remembers: bool, make: type[Node]
    ) -> None:
        super().__init__(sim, seat, number, inc, remembers, make)
        assert isinstance(sim, PublishSimulation)
        self.whole = sim
        self.born_at = sim.now
        self.replica = sim.replica(self.participant, self, 100)

    def work(self, lease: LeaseHolder) -> Worker | None:
        return self.replica.work(lease)

    def begin(self) -> None:
        stored = self.whole.stored[self.seat]
        self.replica.start([(c, at, d) for c, (at, d) in stored.items()], 2_000 * MS)

    # ---- desk.Host ----

    def granted(self, customer: str) -> Granted | None:
        return GRANTED

    def bounds(self, customer: str) -> Bounds:
        return Bounds(keep=64)

    def check(self, draft: bytes, granted: Granted, then: Callable[[NamespaceError | None], None]) -> None:
        self.read(draft, lambda got: then(got if isinstance(got, NamespaceError) else None))

    def read(self, draft: bytes, then: Callable[[Namespace | NamespaceError], None]) -> None:
        try:
            got: Namespace | NamespaceError = parse_draft(draft, None)
        except NamespaceError as exc:
            got = exc
        self.sim.at(self.sim.now + round(self.sim.random.uniform(0.2, 40) * MS), self, lambda: then(got))

    def keep(self, customer: str, at: RevisionId, draft: bytes | None) -> None:
        if self.whole.lasting:
            self.whole.stored[self.seat][customer] = at, draft

    def unix_ms(self) -> int:
        return 1_700_000_000_000 + self.sim.now // MS

    def became_ready(self) -> None:
        return None

    def changed(self, customer: str) -> None:
        self.whole.had(self, customer)


class PublishSimulation(DutySimulation):
    """`replica` is the real one, or one with a seeded mistake."""

    def __init__(
        self,
        seed: int,
        course: Scenario | None = None,
        lasting: bool = False,
        replica: type[Replica] = Replica,
        submissions: int = 30,
        deletions: int = 2,
    ) -> None:
        self.replica = replica
        self.stored: list[dict[str, tuple[RevisionId, bytes | None]]] = [
            {} for _ in range((course or COURSE).seats)
        ]
        self.drafts: defaultdict[Draft, set[bytes]] = defaultdict(
            set
        )  # what each number was seen to mean, anywhere
        self.last: dict[tuple[int, str], RevisionId] = {}  # of each process
        self.told: list[tuple[str, RevisionId, str, bytes, int]] = []  # customer, as what, id, draft, when
        self.failed: list[tuple[str, str]] = []
        self.found: list[str] = []
        self.waited: list[int] = []  # us from publishing to everywhere
        self._published: dict[Draft, int] = {}
        super().__init__(seed, course or COURSE, duties=0, lasting=lasting, process=PublishProcess)
        r = self.random
        for i in range(submissions):
            customer, at = r.choice(CUSTOMERS), r.uniform(0.3, self.course.seconds)
            expects = r.choice((-1, -1, -1, 0, 1, 2))
            for again in range(
                r.choice((1, 1, 2, 3))
            ):  # handed in once more, elsewhere or here, as no answer came
                self._submit(customer, f"s{i}", expects, at + again * r.uniform(0, 2))
        for _ in range(deletions):
            self._delete(r.choice(CUSTOMERS), r.uniform(1.0, self.course.seconds))

    def start_process(self, seat: int, remembers: bool, inc: int = 0) -> DutyProcess:
        made = super().start_process(seat, remembers, inc)
        assert isinstance(made, PublishProcess)
        self.at(self.now, made, made.begin)
        return made

    def _somebody(self, seat: int, at: float, do: Callable[[PublishProcess], None]) -> None:
        def now() -> None:
            process = self.processes[seat]
            if process.alive and isinstance(process, PublishProcess):
                self.at(self.now, process, lambda: do(process))

        self.at(round(at * SECOND), None, now)

    def _submit(self, customer: str, id: str, expects: int, at: float) -> None:
        draft = draft_of(id)

        def over(process: PublishProcess, got: RevisionId | DistributionError) -> None:
            if isinstance(got, Exception):
                return self.failed.append((id, kind_of(type(got))))
            self.told.append((customer, got, id, draft, self.now))
            self._means(customer, got, draft)
            began = self.now
            return process.replica.propagation.everywhere(
                customer, got, lambda lacking: self._everywhere(customer, got, lacking, began)
            )

        self._somebody(
            self.random.randrange(self.course.seats),
            at,
            lambda p: p.replica.submit(
                Submission(customer, id, expects, "x", draft), lambda got: over(p, got)
            ),
        )

    def _delete(self, customer: str, at: float) -> None:
        def over(got: RevisionId | DistributionError) -> None:
            if not isinstance(got, Exception):
                self.told.append((customer, got, "", b"", self.now))

        self._somebody(
            self.random.randrange(self.course.seats), at, lambda p: p.replica.delete(customer, over)
        )

    # ---- what is seen ----

    def _means(self, customer: str, at: RevisionId, draft: bytes) -> None:
        self.drafts[customer, at].add(draft)
        self._published.setdefault((customer, at), self.now)
        if len(self.drafts[customer, at]) > 1:
            self.found.append(f"{customer} {at} means {sorted(self.drafts[customer, at])}")

    def had(self, process: PublishProcess, customer: str) -> None:
        at = process.replica.customers.at(customer)
        if at < self.last.get((process.number, customer), (0, 0)):
            self.found.append(f"process {process.number} went back to {at} of {customer}")
        self.last[process.number, customer] = at
        found = process.replica.customers.of(customer)
        if found is not None:
            self._means(customer, at, found.draft)

    def _everywhere(self, customer: str, at: RevisionId, lacking: dict[str, str], began: int) -> None:
        if not lacking:
            self.waited.append(self.now - began)
        for p in self.processes:
            if (
                isinstance(p, PublishProcess)
                and p.alive
                and p.node.me not in lacking
                and p.born_at < began
                and p.replica.customers.at(customer) < at
            ):
                self.found.append(
                    f"n{p.seat} was said to have {at} of {customer}, and has {p.replica.customers.at(customer)}"
                )

    # ---- the whole ----

    def violation(self) -> str | None:
        if self.found:
            return self.found[0]
        for customer in CUSTOMERS:
            if (found := self._at_the_end_of(customer)) is not None:
                return f"{customer}: {found}"
        return None

    def _at_the_end_of(self, customer: str) -> str | None:
        duty = duty_of(customer)
        numbers: dict[tuple[int, str], int] = {}
        for name, (born, number), id, _, _ in self.told:
            if name == customer and id and numbers.setdefault((born, id), number) != number:
                return f"{id} was published as {numbers[born, id]} and as {number}"
        live = [p for p in self.processes if p.alive and isinstance(p, PublishProcess)]
        replicas = self.voting_replicas(duty)
        if len(replicas) < MIN_REPLICAS:
            return None
        record = latest_record(duty, replicas)
        told = [(at, draft) for name, at, _, draft, _ in self.told if name == customer]
        if record is None:
            return f"no register, though {told} was told" if told else None
        if record.status == LeaseStatus.REMOVED:
            late = [at for at, _ in told if at[0] > record.generation]
            return (
                f"told {late} after the last birth {record.generation}"
                if late
                else self._all_have(live, customer, (record.generation, DELETED_NUMBER))
            )
        if record.status == LeaseStatus.SUSPENDED:
            return None
        state = replicated_state(duty, record, replicas)
        if record.versions and state is None:
            return None  # `leadership_simulation` checks that
        book = unpack(state or b"", customer)
        found = self._of_the_book(book, record.generation, told)
        if found is None and book.number:
            found = self._all_have(live, customer, (record.generation, book.number))
        return found

    @staticmethod
    def _of_the_book(book: Book, born: int, told: list[tuple[RevisionId, bytes]]) -> str | None:
        there = [e.number for e in book.entries]
        if there != list(range(len(there), 0, -1)):
            return f"numbers {there}"
        ids = [e.id for e in book.entries]
        if len(set(ids)) != len(ids):
            return f"one submission became two revisions: {ids}"
        for (its, number), draft in told:
            entry = book.find(number)
            if its > born or (its == born and (entry is None or entry.draft != draft)):
                return f"{(its, number)} was told to be published, and {there} of {born} are there"
        return None

    def _all_have(self, live: list[PublishProcess], customer: str, at: RevisionId) -> str | None:
        behind = {
            p.node.me: p.replica.customers.at(customer)
            for p in live
            if p.replica.customers.at(customer) != at
        }
        return f"{at} is there, and {behind} have not come to it" if behind else None


def search(seeds: range, course: Scenario | None = None, **how: Any) -> tuple[int, str] | None:
    """The first seed whose course is wrong, with what is."""
    for seed in seeds:
        if (wrong := PublishSimulation(seed, course, **how).play()) is not None:
            return seed, wrong
    return None
