"""Publishing and distribution of customers' revisions without sockets: unit tests, simulations in virtual time, and
deliberate mistakes that the simulations must detect.
"""

from __future__ import annotations

import heapq
import itertools
import random
import re
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from moorusher.config_distribution.anti_entropy import AntiEntropy
from moorusher.config_distribution.dissemination import FAN_OUT, MAX_INLINE_DRAFT_BYTES, Disseminator
from moorusher.config_distribution.messages import (
    DigestDifference,
    DigestSummary,
    Disseminate,
    DisseminateReceived,
    DisseminateResult,
)
from moorusher.config_distribution.propagation import DELETED_NUMBER
from moorusher.config_distribution.publisher import Publisher
from moorusher.config_distribution.replica import Replica
from moorusher.leadership.effects import Completed, Outcome
from moorusher.leadership.errors import LeaseSupersededError, NoMajorityError
from moorusher.leadership.fencing_token import FencingToken
from moorusher.model_checking.cluster_simulation import find_counterexample
from moorusher.model_checking.explorer import explore, replay
from moorusher.model_checking.publish_interleavings import PublishModel
from moorusher.model_checking.publish_simulation import DISK_SCENARIO, PublishSimulation, draft_of
from moorusher.namespaces.current_revisions import CurrentRevisions, Revision
from moorusher.namespaces.errors import (
    BudgetExceededError,
    NamespaceError,
    PublishConflictError,
    RevisionNotRetainedError,
)
from moorusher.namespaces.policy import PublishingLimits
from moorusher.namespaces.revision_history import (
    RevisionHistory,
    Submission,
    add_revision,
    decode_history,
    draft_to_publish,
    encode_history,
)
from moorusher.namespaces.revision_id import RevisionId

# ---- histories ----

LIMITS = PublishingLimits(max_revisions=3, max_state_bytes=40_000, max_per_hour=4)


def submission(
    submission_id: str, expected_number: int = -1, draft: bytes = b"{}", rollback_number: int = 0
) -> Submission:
    return Submission("acme", submission_id, expected_number, "ann", draft, rollback_number)


def test_numbers_increase_by_one_and_a_rollback_is_a_new_revision() -> None:
    history = RevisionHistory("acme")
    for i in range(3):
        change = submission(f"s{i}", i, draft_of(f"r{i}"))
        history = add_revision(history, change, draft_to_publish(history, change), 1_000 + i, LIMITS)
    rollback = submission("back", 3, rollback_number=1)
    history = add_revision(history, rollback, draft_to_publish(history, rollback), 2_000, LIMITS)
    assert [(r.number, r.restored_number) for r in history.revisions] == [(4, 1), (3, 0), (2, 0)]
    assert (
        history.revisions[0].draft == draft_of("r0")
        and decode_history(encode_history(history), "acme") == history
    )
    with pytest.raises(RevisionNotRetainedError, match=r"revision 1 is not kept; there are 4, 3, 2"):
        draft_to_publish(history, submission("x", rollback_number=1))


def test_a_conflict_lists_the_changes_since_the_expected_revision() -> None:
    history = RevisionHistory("acme")
    for i, name in enumerate(("main", "main", "other")):
        change = submission(f"s{i}", i, draft_of(name))
        history = add_revision(history, change, change.draft, 0, LIMITS)
    with pytest.raises(PublishConflictError) as raised:
        draft_to_publish(history, submission("late", expected_number=1))
    assert (raised.value.expected, raised.value.found) == (1, 3)
    assert raised.value.changes == ("~ default", "- routes.main", "+ routes.other")
    assert draft_to_publish(history, submission("any", expected_number=-1, draft=b"d")) == b"d"


def test_publications_per_hour_and_retained_bytes_are_limited() -> None:
    history, now = RevisionHistory("acme"), 10 * 3_600_000
    for i in range(4):
        history = add_revision(history, submission(f"s{i}"), b"x" * 15_000, now + i, LIMITS)
    assert [r.number for r in history.revisions] == [4, 3], "three drafts would exceed max_state_bytes"
    for now_ms in (now + 3_599_999, now - 3_599_000):
        with pytest.raises(BudgetExceededError, match="4 revisions within the hour; 4 are granted"):
            add_revision(history, submission("more"), b"", now_ms, LIMITS)
    assert add_revision(history, submission("later"), b"", now + 3_600_004, LIMITS).current_number == 5
    with pytest.raises(BudgetExceededError, match="35904 can be kept"):
        add_revision(RevisionHistory("acme"), submission("big"), b"x" * 40_000, now, LIMITS)


def test_a_state_of_another_customer_or_a_damaged_one_is_rejected() -> None:
    assert decode_history(b"", "acme") == RevisionHistory("acme")
    for state in (
        encode_history(RevisionHistory("Acme")),
        b"\x93garbage",
        encode_history(RevisionHistory("acme"))[:-1],
    ):
        with pytest.raises(ValueError, match="acme"):
            decode_history(state, "acme")


# ---- publisher ----


class FakeLeaseAndHost:
    """The lease, the register and the `PublisherHost` of a publisher, with scripted outcomes of changes."""

    def __init__(self, *outcomes: tuple[bool, bool]) -> None:
        """Script the outcomes.

        :param outcomes: For each change, whether it is reported as completed, and whether the register applies it.
            Further changes are both reported and applied.
        """
        self.outcomes = list(outcomes)
        self.register, self.reads, self.published_ids = RevisionHistory("acme"), 0, list[RevisionId]()
        self.name, self.state = "namespace/acme", b""
        self.record: Any = self
        self.generation = 7

    def submit(self, effect: Any, callback: Callable[[Outcome], None]) -> None:
        is_reported, is_applied = self.outcomes.pop(0) if self.outcomes else (True, True)
        if is_applied:
            self.register = decode_history(effect.state, "acme")
        callback(Completed(FencingToken(7, 1, 1)) if is_reported else NoMajorityError(self.name))

    def check(self, customer: str, draft: bytes, callback: Callable[[NamespaceError | None], None]) -> None:
        callback(None)

    def history(self, customer: str, callback: Callable[[Any], None]) -> None:
        self.reads += 1
        callback((self.generation, self.register))

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        self.published_ids.append(revision_id)

    def publishing_limits(self, customer: str) -> PublishingLimits:
        return PublishingLimits()

    def ended(self, publisher: Publisher) -> None:
        return None

    def unix_ms(self) -> int:
        return 1_000


@pytest.mark.parametrize("is_applied", [False, True])
def test_the_register_is_read_after_an_unknown_outcome(is_applied: bool) -> None:
    """The outcome of a change is unknown, and the register may still accept the change later. Without a read of the
    register, the next draft could get the same number."""
    host = FakeLeaseAndHost((True, True), (False, is_applied))
    publisher, results = Publisher(host, host), list[Any]()  # type: ignore[arg-type]
    publisher.start()
    for submission_id in ("first", "unsure", "next", "unsure"):
        publisher.submit(submission(submission_id, draft=submission_id.encode()), results.append)
    assert isinstance(results[1], NoMajorityError) and host.reads == 1
    ids = [revision.submission_id for revision in reversed(host.register.revisions)]
    assert ids == (["first", "unsure", "next"] if is_applied else ["first", "next", "unsure"])
    assert results[3] == (7, ids.index("unsure") + 1), (
        "the retry returns the revision published before, if any"
    )


def test_waiting_submissions_fail_when_the_lease_is_superseded() -> None:
    host = FakeLeaseAndHost()
    publisher, results = Publisher(host, host), list[Any]()  # type: ignore[arg-type]
    publisher.start()
    host.submit = lambda effect, callback: None  # type: ignore[method-assign]
    publisher.submit(submission("a"), results.append)
    publisher.submit(submission("b"), results.append)
    publisher.stop(LeaseSupersededError("namespace/acme", 1, None, 2))
    publisher.submit(submission("c"), results.append)
    assert [type(result) for result in results] == [LeaseSupersededError] * 3 and not host.published_ids


# ---- tree broadcast ----


class SimulatedNetwork:
    """A network of members in virtual time.

    Attributes:
        silent: Seats that neither send nor receive messages, but are considered alive.
        down: Seats that the failure detector considers dead.
        sent: Number of messages sent by each seat.
    """

    def __init__(self, n: int, seed: int = 1) -> None:
        self.random, self.now, self.order = random.Random(seed), 0, itertools.count()
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.members = {f"n{i:04}": BroadcastMember(self, f"n{i:04}") for i in range(n)}
        self.silent: set[str] = set()
        self.down: set[str] = set()
        self.sent: Counter[str] = Counter()
        for member in self.members.values():
            member.disseminator = Disseminator(member, member, tuple(self.members))

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), action))

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until


class BroadcastMember:
    """A member that broadcasts revisions, as its `Disseminator` sees it."""

    def __init__(self, network: SimulatedNetwork, me: str) -> None:
        self.network, self.me = network, me
        self.disseminator: Disseminator
        self.current: tuple[RevisionId, bytes | None] = (0, 0), None
        self.waiting: list[tuple[str, RevisionId, Callable[[str], None]]] = []

    def unreachable_reason(self, seat: str) -> str:
        return "down" if seat in self.network.down else ""

    def reply(self, seat: str, message: Any) -> None:
        self.send(seat, message)

    def replier(self, seat: str) -> Callable[[Any], None]:
        return partial(self.send, seat)

    def send(self, seat: str, message: Any) -> None:
        self.network.sent[self.me] += 1
        if (
            seat not in self.network.silent
            and self.me not in self.network.silent
            and seat not in self.network.down
        ):
            receiver = self.network.members[seat]
            handlers: dict[Any, Any] = {
                Disseminate: receiver.disseminator.on_disseminate,
                DisseminateReceived: receiver.disseminator.on_received,
                DisseminateResult: receiver.disseminator.on_result,
            }
            handler = handlers[type(message)]
            self.network.call_at(
                self.network.now + self.network.random.randint(200, 2_000), lambda: handler(self.me, message)
            )

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        self.network.call_at(when, action)

    def now(self) -> int:
        return self.network.now

    def count(self, name: str) -> None:
        return None

    def draft(self, customer: str, revision_id: RevisionId) -> bytes | None:
        return self.current[1] if self.current[0] == revision_id else None

    def obtain(
        self,
        customer: str,
        revision_id: RevisionId,
        deleted: bool,
        draft: bytes | None,
        source: str,
        callback: Callable[[str], None],
    ) -> None:
        def on_received() -> None:
            self.current = max(self.current, (revision_id, draft or self.network.members[source].current[1]))
            callback("")

        self.network.call_at(self.network.now + 1_000, on_received)


@pytest.mark.parametrize("n", [1, 2, 6, 60, 1_000])
def test_a_broadcast_reaches_all_members_with_few_messages_per_member(n: int) -> None:
    network, results = SimulatedNetwork(n), list[dict[str, str]]()
    origin = network.members["n0000"]
    origin.current = (1, 1), b"draft"
    origin.disseminator.broadcast("acme", (1, 1), False, 2_000_000, results.append)
    network.run(2_100_000)
    assert results == [{}] and all(
        member.current == ((1, 1), b"draft") for member in network.members.values()
    )
    assert max(network.sent.values(), default=0) <= FAN_OUT + 2


def test_large_drafts_are_requested_at_each_level_of_the_tree() -> None:
    network, results = SimulatedNetwork(60), list[dict[str, str]]()
    origin, large = network.members["n0000"], b"x" * (MAX_INLINE_DRAFT_BYTES + 1)
    origin.current = (1, 1), large
    origin.disseminator.broadcast("acme", (1, 1), False, 2_000_000, results.append)
    network.run(2_100_000)
    assert results == [{}] and all(member.current[1] == large for member in network.members.values())


@pytest.mark.parametrize("seed", range(20))
def test_unresponsive_heads_are_reported_and_their_ranges_are_covered_by_others(seed: int) -> None:
    network, results = SimulatedNetwork(40, seed), list[dict[str, str]]()
    names = list(network.members)[1:]
    network.silent, network.down = set(network.random.sample(names, 4)), set(network.random.sample(names, 3))
    network.silent -= network.down
    origin = network.members["n0000"]
    origin.current = (1, 1), b"draft"
    origin.disseminator.broadcast("acme", (1, 1), False, 4_000_000, results.append)
    network.run(4_100_000)
    assert [set(result) for result in results] == [network.silent | network.down]
    assert all(results[0][name] == "down" for name in network.down)
    assert all(
        member.current[0] == (1, 1)
        for name, member in network.members.items()
        if name not in network.silent | network.down
    )


# ---- anti-entropy ----


class ComparingMember:
    """One of two members that compare their revisions with each other."""

    def __init__(
        self, network: SimulatedNetwork, me: str, revisions: dict[str, tuple[RevisionId, bool]]
    ) -> None:
        self.network, self.me, self.revisions, self.peer = network, me, dict(revisions), self
        self.anti_entropy = AntiEntropy(self, self, 2, self.became_ready)
        self.ready_at = -1
        for name in revisions:
            self.anti_entropy.mark_changed(name)

    def live_peers(self) -> list[str]:
        return [self.peer.me]

    def reply(self, seat: str, message: Any) -> None:
        self.send(seat, message)

    def replier(self, seat: str) -> Callable[[Any], None]:
        return partial(self.send, seat)

    def send(self, seat: str, message: Any) -> None:
        handlers: dict[Any, Any] = {
            DigestSummary: self.peer.anti_entropy.on_summary,
            DigestDifference: self.peer.anti_entropy.on_difference,
        }
        handler = handlers[type(message)]
        self.network.call_at(self.network.now + 500, lambda: handler(self.me, message))

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        self.network.call_at(when, action)

    def now(self) -> int:
        return self.network.now

    def random(self) -> float:
        return self.network.random.random()

    def known(self, customer: str) -> tuple[RevisionId, bool]:
        return self.revisions.get(customer, ((0, 0), False))

    def obtain(
        self,
        customer: str,
        revision_id: RevisionId,
        deleted: bool,
        draft: bytes | None,
        source: str,
        callback: Callable[[str], None],
    ) -> None:
        self.revisions[customer] = revision_id, deleted
        self.anti_entropy.mark_changed(customer)
        callback("")

    def became_ready(self) -> None:
        self.ready_at = self.network.now


def test_two_members_converge_to_the_later_revisions_and_a_starting_one_becomes_ready() -> None:
    network = SimulatedNetwork(1)
    old = ComparingMember(
        network,
        "n0",
        {f"c{i}": ((1, DELETED_NUMBER if i % 7 == 0 else 1 + i % 3), i % 7 == 0) for i in range(900)},
    )
    new = ComparingMember(network, "n1", {f"c{i}": ((1, 2), False) for i in range(880, 920)})
    old.peer, new.peer = new, old
    old.anti_entropy.ready = True
    new.anti_entropy.start(5_000_000)
    old.anti_entropy.start(5_000_000)
    network.run(400_000)
    assert 0 <= new.ready_at < 200_000, "it has compared with a ready peer"
    network.run(60_000_000)
    assert old.revisions == new.revisions and old.anti_entropy.digests() == new.anti_entropy.digests()
    assert new.revisions["c899"] == ((1, 3), False) and new.revisions["c889"] == ((1, DELETED_NUMBER), True)
    assert old.revisions["c919"] == ((1, 2), False)


def test_a_member_without_live_peers_becomes_ready_after_the_timeout() -> None:
    network = SimulatedNetwork(1)
    alone = ComparingMember(network, "n0", {})
    alone.live_peers = list  # type: ignore[method-assign]
    alone.anti_entropy.start(2_000_000)
    network.run(1_999_999)
    assert alone.ready_at < 0
    network.run(2_000_000)
    assert alone.ready_at == 2_000_000


# ---- simulations ----


@pytest.mark.parametrize("seed", range(14))
def test_revisions_are_published_once_only_advance_and_reach_all_members(seed: int) -> None:
    simulation = PublishSimulation(seed)
    assert simulation.play() is None, simulation.faults.log


@pytest.mark.parametrize("seed", range(100, 108))
def test_simulations_with_disks_and_power_failures_violate_no_invariant(seed: int) -> None:
    simulation = PublishSimulation(seed, DISK_SCENARIO, has_disks=True)
    assert simulation.play() is None, simulation.faults.log


# ---- deliberate mistakes that must be found ----


class RegressingRevisions(CurrentRevisions):
    """Makes a revision current even if a later one is known."""

    def install(self, revision: Revision) -> Revision:
        self._current[revision.customer] = revision
        self._tombstones.pop(revision.customer, None)
        return revision


class RegressingReplica(Replica):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.revisions.customers = RegressingRevisions()


class StaleHistoryPublisher(Publisher):
    """Continues with the old history after an unknown outcome, instead of reading the register."""

    def _evaluate(self, history: RevisionHistory) -> None:
        self._last_history = history
        super()._evaluate(history)

    def _finish_first(self, result: Any) -> None:
        if isinstance(result, NoMajorityError):
            self._history = self._last_history
        super()._finish_first(result)


class StaleHistoryReplica(Replica):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.publishers.publisher_type = StaleHistoryPublisher


class EarlyConfirmingPublisher(Publisher):
    """Confirms a submission before a majority has accepted it."""

    def _publish(self, history: RevisionHistory, submission: Submission, draft: bytes) -> None:
        submit = self.lease.submit

        def submit_and_confirm(effect: Any, callback: Callable[[Outcome], None]) -> None:
            submit(effect, lambda outcome: None)
            callback(Completed(None))  # type: ignore[arg-type]

        self.lease.submit = submit_and_confirm  # type: ignore[method-assign]
        super()._publish(history, submission, draft)
        self.lease.submit = submit  # type: ignore[method-assign]


class EarlyConfirmingReplica(Replica):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.publishers.publisher_type = EarlyConfirmingPublisher


class RepublishingPublisher(Publisher):
    """Publishes a retried submission again, because it ignores submission ids."""

    def _evaluate(self, history: RevisionHistory) -> None:
        submission = self._waiting[0][0]
        try:
            draft = draft_to_publish(history, submission)
        except NamespaceError as exc:
            return self._finish_first(exc)
        return self._publish(history, submission, draft)


class RepublishingReplica(Replica):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.publishers.publisher_type = RepublishingPublisher


class OverconfidentDisseminator(Disseminator):
    """Reports that all seats have the revision, even those that lack it."""

    def _add_lacking(self, broadcast: Any, seat: str, reason: str) -> None:
        return None


class OverconfidentReplica(Replica):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.disseminator = OverconfidentDisseminator(self.member, self.revisions, self.member.seats)
        self.propagation.disseminator = self.disseminator
        self._handlers |= {
            Disseminate: self.disseminator.on_disseminate,
            DisseminateReceived: self.disseminator.on_received,
            DisseminateResult: self.disseminator.on_result,
        }


# ---- every interleaving ----


def test_no_interleaving_of_two_publishers_violates_an_invariant() -> None:
    found = explore(PublishModel())
    assert found.complete and found.violation is None, str(found)
    assert found.states > 5_000


@pytest.mark.parametrize(
    ("publisher_type", "violation"),
    [
        (StaleHistoryPublisher, "revision 1 has two drafts"),
        (RepublishingPublisher, "was confirmed but is missing|became two|has two drafts"),
        (EarlyConfirmingPublisher, "was confirmed but is missing|has two drafts"),
    ],
)
def test_the_exploration_finds_each_seeded_mistake_and_its_path(
    publisher_type: type[Publisher], violation: str
) -> None:
    found = explore(PublishModel(publisher_type))
    assert found.violation is not None and re.search(violation, found.violation), str(found)
    assert replay(PublishModel(publisher_type), found.path) == found.violation


@pytest.mark.parametrize(
    ("replica_type", "violation"),
    [
        (RegressingReplica, "went back"),
        (EarlyConfirmingReplica, "more than one draft|confirmed|no register|published as|was reported"),
        (RepublishingReplica, "published as . and as|one submission became two"),
        (OverconfidentReplica, "was reported to have"),
    ],
)
def test_some_seed_finds_each_seeded_mistake(replica_type: type[Replica], violation: str) -> None:
    found = find_counterexample(range(40), partial(PublishSimulation, replica_class=replica_type))
    assert found is not None and re.search(violation, found.violation), found
