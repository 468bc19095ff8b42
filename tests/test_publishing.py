"""Customers' revisions without sockets: histories, the tree, comparing, seeds in virtual time, mistakes to be found."""

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

BOUNDS = PublishingLimits(max_revisions=3, max_state_bytes=40_000, max_per_hour=4)


def submission(id: str, expects: int = -1, draft: bytes = b"{}", back_to: int = 0) -> Submission:
    return Submission("acme", id, expects, "ann", draft, back_to)


def test_numbers_grow_by_one_and_an_earlier_draft_comes_back_as_a_new_revision() -> None:
    history = RevisionHistory("acme")
    for i in range(3):
        s = submission(f"s{i}", i, draft_of(f"r{i}"))
        history = add_revision(history, s, draft_to_publish(history, s), 1_000 + i, BOUNDS)
    back = submission("back", 3, back_to=1)
    history = add_revision(history, back, draft_to_publish(history, back), 2_000, BOUNDS)
    assert [(e.number, e.restored_number) for e in history.revisions] == [(4, 1), (3, 0), (2, 0)]
    assert (
        history.revisions[0].draft == draft_of("r0")
        and decode_history(encode_history(history), "acme") == history
    )
    with pytest.raises(RevisionNotRetainedError, match=r"revision 1 is not kept; there are 4, 3, 2"):
        draft_to_publish(history, submission("x", back_to=1))


def test_who_made_a_change_on_top_of_another_revision_is_told_what_changed_since() -> None:
    history = RevisionHistory("acme")
    for i, name in enumerate(("main", "main", "other")):
        s = submission(f"s{i}", i, draft_of(name))
        history = add_revision(history, s, s.draft, 0, BOUNDS)
    with pytest.raises(PublishConflictError) as told:
        draft_to_publish(history, submission("late", expects=1))
    assert (told.value.expected, told.value.found) == (1, 3)
    assert told.value.changes == ("~ default", "- routes.main", "+ routes.other")
    assert draft_to_publish(history, submission("any", expects=-1, draft=b"d")) == b"d"


def test_what_a_customer_publishes_in_an_hour_and_what_is_kept_are_bounded() -> None:
    history, now = RevisionHistory("acme"), 10 * 3_600_000
    for i in range(4):
        history = add_revision(history, submission(f"s{i}"), b"x" * 15_000, now + i, BOUNDS)
    assert [e.number for e in history.revisions] == [4, 3], "three would be more bytes than are kept"
    for when in (now + 3_599_999, now - 3_599_000):
        with pytest.raises(BudgetExceededError, match="4 revisions within the hour; 4 are granted"):
            add_revision(history, submission("more"), b"", when, BOUNDS)
    assert add_revision(history, submission("later"), b"", now + 3_600_004, BOUNDS).current_number == 5
    with pytest.raises(BudgetExceededError, match="35904 can be kept"):
        add_revision(RevisionHistory("acme"), submission("big"), b"x" * 40_000, now, BOUNDS)


def test_a_state_that_is_anothers_or_damaged_is_not_taken() -> None:
    assert decode_history(b"", "acme") == RevisionHistory("acme")
    for state in (
        encode_history(RevisionHistory("Acme")),
        b"\x93garbage",
        encode_history(RevisionHistory("acme"))[:-1],
    ):
        with pytest.raises(ValueError, match="acme"):
            decode_history(state, "acme")


# ---- the owner's part ----


class ReplicaHost:
    """A duty and its register, as a publisher sees them: each change goes as `outcomes` says, made or not."""

    def __init__(self, *outcomes: tuple[bool, bool]) -> None:
        """(told as made, made in truth) of each change in turn; then all are made."""
        self.outcomes = list(outcomes)
        self.register, self.reads, self.told = RevisionHistory("acme"), 0, list[RevisionId]()
        self.name, self.state = "namespace/acme", b""
        self.record: Any = self
        self.generation = 7

    def submit(self, effect: Any, then: Callable[[Outcome], None]) -> None:
        told, made = self.outcomes.pop(0) if self.outcomes else (True, True)
        if made:
            self.register = decode_history(effect.state, "acme")
        then(Completed(FencingToken(7, 1, 1)) if told else NoMajorityError(self.name))

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None:
        then(None)

    def history(self, customer: str, then: Callable[[Any], None]) -> None:
        self.reads += 1
        then((self.generation, self.register))

    def published(self, customer: str, at: RevisionId, draft: bytes) -> None:
        self.told.append(at)

    def publishing_limits(self, customer: str) -> PublishingLimits:
        return PublishingLimits()

    def ended(self, publisher: Publisher) -> None:
        return None

    def unix_ms(self) -> int:
        return 1_000


@pytest.mark.parametrize("came_about", [False, True])
def test_after_an_outcome_that_is_not_known_the_register_is_read_before_anything_else(
    came_about: bool,
) -> None:
    there = ReplicaHost((True, True), (False, came_about))
    publisher, got = Publisher(there, there), list[Any]()  # type: ignore[arg-type]
    publisher.start()
    for id in ("first", "unsure", "next", "unsure"):
        publisher.submit(submission(id, draft=id.encode()), got.append)
    assert isinstance(got[1], NoMajorityError) and there.reads == 1
    ids = [e.submission_id for e in reversed(there.register.revisions)]
    assert ids == (["first", "unsure", "next"] if came_about else ["first", "next", "unsure"])
    assert got[3] == (7, ids.index("unsure") + 1), "handed in again it is what it became, or becomes it now"


def test_whoever_waits_for_an_owner_whose_time_is_over_is_told_so() -> None:
    there = ReplicaHost()
    publisher, got = Publisher(there, there), list[Any]()  # type: ignore[arg-type]
    publisher.start()
    there.submit = lambda effect, then: None  # type: ignore[method-assign]
    publisher.submit(submission("a"), got.append)
    publisher.submit(submission("b"), got.append)
    publisher.stop(LeaseSupersededError("namespace/acme", 1, None, 2))
    publisher.submit(submission("c"), got.append)
    assert [type(g) for g in got] == [LeaseSupersededError] * 3 and not there.told


# ---- the tree ----


class Net:
    """Members of a tree in virtual time; `silent` hear nothing, `slow` take a revision late."""

    def __init__(self, n: int, seed: int = 1) -> None:
        self.random, self.now, self.order = random.Random(seed), 0, itertools.count()
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.members = {f"n{i:04}": Leaf(self, f"n{i:04}") for i in range(n)}
        self.silent: set[str] = set()
        self.down: set[str] = set()
        self.sent: Counter[str] = Counter()
        for m in self.members.values():
            m.disseminator = Disseminator(m, m, tuple(self.members))

    def at(self, when: int, do: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), do))

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = until


class Leaf:
    def __init__(self, net: Net, me: str) -> None:
        self.net, self.me = net, me
        self.disseminator: Disseminator
        self.had: tuple[RevisionId, bytes | None] = (0, 0), None
        self.waits: list[tuple[str, RevisionId, Callable[[str], None]]] = []

    def unreachable_reason(self, seat: str) -> str:
        return "down" if seat in self.net.down else ""

    def send(self, seat: str, message: Any) -> None:
        self.net.sent[self.me] += 1
        if seat not in self.net.silent and self.me not in self.net.silent and seat not in self.net.down:
            to = self.net.members[seat]
            kinds: dict[Any, Any] = {
                Disseminate: to.disseminator.on_disseminate,
                DisseminateReceived: to.disseminator.on_received,
                DisseminateResult: to.disseminator.on_result,
            }
            handler = kinds[type(message)]
            self.net.at(self.net.now + self.net.random.randint(200, 2_000), lambda: handler(self.me, message))

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        self.net.at(when, action)

    def now(self) -> int:
        return self.net.now

    def count(self, name: str) -> None:
        return None

    def draft(self, customer: str, at: RevisionId) -> bytes | None:
        return self.had[1] if self.had[0] == at else None

    def obtain(
        self,
        customer: str,
        at: RevisionId,
        gone: bool,
        draft: bytes | None,
        whence: str,
        then: Callable[[str], None],
    ) -> None:
        def got() -> None:
            self.had = max(self.had, (at, draft or self.net.members[whence].had[1]))
            then("")

        self.net.at(self.net.now + 1_000, got)


@pytest.mark.parametrize("n", [1, 2, 6, 60, 1_000])
def test_a_revision_goes_down_the_tree_to_all_and_each_member_says_little(n: int) -> None:
    net, told = Net(n), list[dict[str, str]]()
    root = net.members["n0000"]
    root.had = (1, 1), b"draft"
    root.disseminator.broadcast("acme", (1, 1), False, 2_000_000, told.append)
    net.run(2_100_000)
    assert told == [{}] and all(m.had == ((1, 1), b"draft") for m in net.members.values())
    assert max(net.sent.values(), default=0) <= FAN_OUT + 2


def test_large_drafts_are_asked_for_level_by_level() -> None:
    net, told = Net(60), list[dict[str, str]]()
    root, large = net.members["n0000"], b"x" * (MAX_INLINE_DRAFT_BYTES + 1)
    root.had = (1, 1), large
    root.disseminator.broadcast("acme", (1, 1), False, 2_000_000, told.append)
    net.run(2_100_000)
    assert told == [{}] and all(m.had[1] == large for m in net.members.values())


@pytest.mark.parametrize("seed", range(20))
def test_heads_that_do_not_answer_are_passed_over_and_named_and_what_is_below_them_is_told(seed: int) -> None:
    net, told = Net(40, seed), list[dict[str, str]]()
    names = list(net.members)[1:]
    net.silent, net.down = set(net.random.sample(names, 4)), set(net.random.sample(names, 3))
    net.silent -= net.down
    root = net.members["n0000"]
    root.had = (1, 1), b"draft"
    root.disseminator.broadcast("acme", (1, 1), False, 4_000_000, told.append)
    net.run(4_100_000)
    assert [set(t) for t in told] == [net.silent | net.down]
    assert all(told[0][name] == "down" for name in net.down)
    assert all(m.had[0] == (1, 1) for name, m in net.members.items() if name not in net.silent | net.down)


# ---- comparing ----


class Pair:
    """Two members and what they have."""

    def __init__(self, net: Net, me: str, has: dict[str, tuple[RevisionId, bool]]) -> None:
        self.net, self.me, self.there, self.other = net, me, dict(has), self
        self.anti_entropy = AntiEntropy(self, self, 2, self.became_ready)
        self.is_ready_at = -1
        for name in has:
            self.anti_entropy.note_changed(name)

    def live_peers(self) -> list[str]:
        return [self.other.me]

    def send(self, seat: str, message: Any) -> None:
        kinds: dict[Any, Any] = {
            DigestSummary: self.other.anti_entropy.on_summary,
            DigestDifference: self.other.anti_entropy.on_difference,
        }
        handler = kinds[type(message)]
        self.net.at(self.net.now + 500, lambda: handler(self.me, message))

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        self.net.at(when, action)

    def now(self) -> int:
        return self.net.now

    def random(self) -> float:
        return self.net.random.random()

    def known(self, customer: str) -> tuple[RevisionId, bool]:
        return self.there.get(customer, ((0, 0), False))

    def obtain(
        self,
        customer: str,
        at: RevisionId,
        gone: bool,
        draft: bytes | None,
        whence: str,
        then: Callable[[str], None],
    ) -> None:
        self.there[customer] = at, gone
        self.anti_entropy.note_changed(customer)
        then("")

    def became_ready(self) -> None:
        self.is_ready_at = self.net.now


def test_two_that_compare_come_to_the_later_of_what_each_has_and_one_that_begins_waits_for_it() -> None:
    net = Net(1)
    old = Pair(
        net,
        "n0",
        {f"c{i}": ((1, DELETED_NUMBER if i % 7 == 0 else 1 + i % 3), i % 7 == 0) for i in range(900)},
    )
    new = Pair(net, "n1", {f"c{i}": ((1, 2), False) for i in range(880, 920)})
    old.other, new.other = new, old
    old.anti_entropy.ready = True
    new.anti_entropy.start(5_000_000)
    old.anti_entropy.start(5_000_000)
    net.run(400_000)
    assert 0 <= new.is_ready_at < 200_000, "it knows one that knows what the others had"
    net.run(60_000_000)
    assert old.there == new.there and old.anti_entropy.digests() == new.anti_entropy.digests()
    assert new.there["c899"] == ((1, 3), False) and new.there["c889"] == ((1, DELETED_NUMBER), True)
    assert old.there["c919"] == ((1, 2), False)


def test_one_that_hears_nobody_is_ready_when_its_time_is_over() -> None:
    net = Net(1)
    alone = Pair(net, "n0", {})
    alone.live_peers = list  # type: ignore[method-assign]
    alone.anti_entropy.start(2_000_000)
    net.run(1_999_999)
    assert alone.is_ready_at < 0
    net.run(2_000_000)
    assert alone.is_ready_at == 2_000_000


# ---- seeds ----


@pytest.mark.parametrize("seed", range(14))
def test_revisions_are_published_once_never_go_back_and_reach_all_members(seed: int) -> None:
    sim = PublishSimulation(seed)
    assert sim.play() is None, sim.faults.log


@pytest.mark.parametrize("seed", range(100, 108))
def test_revisions_are_published_once_with_disks_and_power_failures(seed: int) -> None:
    sim = PublishSimulation(seed, DISK_SCENARIO, has_disks=True)
    assert sim.play() is None, sim.faults.log


# ---- mistakes that must be found ----


class Backwards(CurrentRevisions):
    def install(self, revision: Revision) -> Revision:
        self._current[revision.customer] = revision
        self._tombstones.pop(revision.customer, None)
        return revision


class GoesBack(Replica):
    def __init__(self, *how: Any) -> None:
        super().__init__(*how)
        self.revisions.customers = Backwards()


class Twice(Publisher):
    """Goes on from what it thinks is there, though it does not know whether the last one came about."""

    def _judge(self, history: RevisionHistory) -> None:
        self._last = history
        super()._judge(history)

    def _done(self, got: Any) -> None:
        if isinstance(got, NoMajorityError):
            self._history = self._last
        super()._done(got)


class GoesOnUnsure(Replica):
    def __init__(self, *how: Any) -> None:
        super().__init__(*how)
        self.publishers.publisher_type = Twice


class Early(Publisher):
    """Says that it is published before a majority has taken it."""

    def _publish(self, history: RevisionHistory, s: Submission, draft: bytes) -> None:
        submit = self.lease.submit

        def early(effect: Any, callback: Callable[[Outcome], None]) -> None:
            submit(effect, lambda outcome: None)
            callback(Completed(None))  # type: ignore[arg-type]

        self.lease.submit = early  # type: ignore[method-assign]
        super()._publish(history, s, draft)
        self.lease.submit = submit  # type: ignore[method-assign]


class SaysItEarly(Replica):
    def __init__(self, *how: Any) -> None:
        super().__init__(*how)
        self.publishers.publisher_type = Early


class Forgetful(Publisher):
    """Takes a submission that is handed in again for another one."""

    def _judge(self, history: RevisionHistory) -> None:
        s = self._waiting[0][0]
        try:
            draft = draft_to_publish(history, s)
        except NamespaceError as exc:
            return self._done(exc)
        return self._publish(history, s, draft)


class ForgetsIds(Replica):
    def __init__(self, *how: Any) -> None:
        super().__init__(*how)
        self.publishers.publisher_type = Forgetful


class Deaf(Disseminator):
    """Says for those below it that they have it, whatever they say."""

    def _add_lacking(self, broadcast: Any, seat: str, reason: str) -> None:
        return None


class SaysAll(Replica):
    def __init__(self, *how: Any) -> None:
        super().__init__(*how)
        self.disseminator = Deaf(self.member, self.revisions, self.member.seats)
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
    ("kind", "how"),
    [
        (Twice, "revision 1 has two drafts"),
        (Forgetful, "was confirmed but is missing|became two|has two drafts"),
        (Early, "was confirmed but is missing|has two drafts"),
    ],
)
def test_the_exploration_finds_each_seeded_mistake_and_its_path(kind: type[Publisher], how: str) -> None:
    found = explore(PublishModel(kind))
    assert found.violation is not None and re.search(how, found.violation), str(found)
    assert replay(PublishModel(kind), found.path) == found.violation


@pytest.mark.parametrize(
    ("replica", "how"),
    [
        (GoesBack, "went back"),
        (SaysItEarly, "more than one draft|confirmed|no register|published as|was reported"),
        (ForgetsIds, "published as . and as|one submission became two"),
        (SaysAll, "was reported to have"),
    ],
)
def test_some_seed_finds_each_seeded_mistake(replica: type[Replica], how: str) -> None:
    found = find_counterexample(range(40), partial(PublishSimulation, replica_class=replica))
    assert found is not None and re.search(how, found.violation), found
