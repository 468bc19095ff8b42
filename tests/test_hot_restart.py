"""Two processes of one runner, without sockets: the table of their lives, and that no key runs twice whatever comes
in which order and whoever is killed when."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from moorusher.core.answer import Verdict
from moorusher.core.idempotency_keys import MARGIN
from moorusher.core.key_claims import CLAIM_TIMEOUT
from moorusher.core.outcomes import EndReason
from moorusher.core.registration import InvalidArrival
from moorusher.core.requests import Arrival
from moorusher.hot_restart.process_role import (
    TIMEOUTS_MS,
    TRANSITIONS,
    Event,
    Instruction,
    ProcessRole,
    State,
)
from moorusher.hot_restart.shared_budget import fits_beside, rendezvous_path
from moorusher.time_units import MS

from .test_core import World

E, S, P = Event, State, Instruction

# ---- the role of one process ----


def after(*events: Event) -> tuple[State, list[Instruction]]:
    role, steps = ProcessRole(), list[Instruction]()
    for event in events:
        steps += role.handle(event)
    return role.state, steps


TAKE_OVER = E.WELCOMED, E.KEYS_SYNCED, E.KERNEL_UP, E.LET_ON


@pytest.mark.parametrize(
    "events, state, does, never",
    [
        ((E.NO_PEER,), S.SOLE, {P.LISTEN, P.PUBLISH_ADDRESS}, {P.DISTRUST_KEYS_FOR_A_WINDOW}),
        ((E.PEER_DEAD,), S.SOLE, {P.LISTEN, P.DISTRUST_KEYS_FOR_A_WINDOW}, {P.TRUST_KEYS}),
        (
            TAKE_OVER,
            S.SUCCESSOR,
            {P.CLAIM_KEYS, P.SEND_READY, P.ADOPT_SOCKETS, P.PUBLISH_ADDRESS, P.TRUST_KEYS},
            {P.LISTEN, P.DISTRUST_KEYS},
        ),
        (
            (E.KERNEL_UP, E.WELCOMED, E.KEYS_SYNCED, E.PEER_DIED),
            S.SOLE,
            {P.TRUST_KEYS, P.ADOPT_SOCKETS, P.CLOSE_PEER_KEYS},
            {P.DISTRUST_KEYS_FOR_A_WINDOW},
        ),
        (
            (E.WELCOMED, E.PEER_DIED),
            S.SOLE,
            {P.DISTRUST_KEYS_FOR_A_WINDOW, P.ADOPT_SOCKETS, P.CLOSE_PEER_KEYS},
            {P.TRUST_KEYS},
        ),
        ((E.PEER_DIED, E.PEER_DEAD), S.SOLE, {P.DISTRUST_KEYS_FOR_A_WINDOW, P.LISTEN}, {P.TRUST_KEYS}),
        (
            (E.WELCOMED, E.PEER_LEFT),
            S.DISCOVERING,
            {P.DISCARD_PEER_KEYS, P.DISCOVER},
            {P.LISTEN, P.CLOSE_PEER_KEYS},
        ),
        ((*TAKE_OVER, E.PEER_DIED), S.SOLE, {P.CLOSE_PEER_KEYS}, {P.LISTEN, P.DISTRUST_KEYS}),
        (
            (E.TIMEOUT,),
            S.SERVING_WITHOUT_KEYS,
            {P.DISTRUST_KEYS, P.LISTEN},
            {P.PUBLISH_ADDRESS, P.TRUST_KEYS},
        ),
        (
            (E.TIMEOUT, E.WELCOMED, E.KEYS_SYNCED, E.KERNEL_UP, E.LET_ON),
            S.SUCCESSOR,
            {P.SEND_READY, P.TRUST_KEYS, P.PUBLISH_ADDRESS},
            {P.ADOPT_SOCKETS},
        ),
        (
            (E.TIMEOUT, E.PEER_DIED, E.NO_PEER),
            S.SOLE,
            {P.DISTRUST_KEYS_FOR_A_WINDOW, P.PUBLISH_ADDRESS},
            {P.TRUST_KEYS},
        ),
        ((E.PEER_BUSY, E.PEER_BUSY), S.DISCOVERING, {P.DISCOVER}, {P.LISTEN}),
        ((*TAKE_OVER, E.NEWCOMER), S.SUCCESSOR, {P.SEND_BUSY}, {P.SEND_WELCOME}),
        ((*TAKE_OVER, E.PEER_DIED, E.NEWCOMER), S.HANDING_OVER, {P.SEND_WELCOME}, {P.SEND_BUSY}),
        (
            (E.NO_PEER, E.NEWCOMER, E.PEER_DIED),
            S.SOLE,
            {P.DISCARD_PEER_KEYS},
            {P.STOP_ACCEPTING, P.RESUME_ACCEPTING},
        ),
        ((E.NO_PEER, E.NEWCOMER, E.TIMEOUT), S.SOLE, {P.DISCONNECT, P.DISCARD_PEER_KEYS}, {P.STOP_ACCEPTING}),
        ((E.NO_PEER, E.NEWCOMER, E.SIGTERM), S.HANDING_OVER, {P.DRAIN}, {P.FINISH}),
        ((E.NO_PEER, E.NEWCOMER, E.NEWCOMER_READY), S.REPLACED, {P.STOP_ACCEPTING, P.LET_ON}, {P.DRAIN}),
        ((E.NO_PEER, E.NEWCOMER, E.NEWCOMER_READY, E.SIGTERM), S.REPLACED, {P.FINISH}, {P.DRAIN}),
        (
            (E.NO_PEER, E.NEWCOMER, E.NEWCOMER_READY, E.PEER_DIED),
            S.SOLE,
            {P.CLOSE_PEER_KEYS, P.RESUME_ACCEPTING, P.PUBLISH_ADDRESS},
            {P.DRAIN},
        ),
        ((E.NO_PEER, E.SIGTERM), S.SOLE, {P.DRAIN}, {P.FINISH}),
        # Told to leave, it must not have the other one stop accepting for it.
        (
            (E.TIMEOUT, E.WELCOMED, E.KEYS_SYNCED, E.SIGTERM, E.KERNEL_UP),
            S.SERVING_WITHOUT_KEYS,
            {P.DISCONNECT, P.DRAIN},
            {P.SEND_READY},
        ),
    ],
)
def test_each_course_has_its_stated_outcome(
    events: tuple[Event, ...], state: State, does: set[Instruction], never: set[Instruction]
) -> None:
    got, steps = after(*events)
    assert got is state and does <= set(steps) and not never & set(steps)


def test_no_wait_is_without_an_end_and_no_end_keeps_the_yes_back_for_six_seconds() -> None:
    assert all((state, E.TIMEOUT) in TRANSITIONS for state in TIMEOUTS_MS)
    assert sum(TIMEOUTS_MS.values()) < 5_000
    assert all((state, E.SIGTERM) in TRANSITIONS for state in State)
    linked = set(State) - {S.SOLE}
    assert all(
        (state, E.PEER_DIED) in TRANSITIONS and (state, E.PEER_LEFT) in TRANSITIONS for state in linked
    )


def test_nobody_runs_keys_before_the_other_one_has_let_go() -> None:
    """Over every course of six events: a new process that serves keyed classes has heard GO, or that the other one is
    dead or was never there."""
    frontier: set[tuple[State, bool, bool]] = {(S.DISCOVERING, False, False)}  # state, serves, may be sure
    seen = set(frontier)
    while frontier:
        reached = set()
        for state, serves, was in frontier:
            for event in Event:
                role, unsure = ProcessRole(), was
                role.state = state
                steps = role.handle(event)
                now = serves or P.LISTEN in steps or P.ADOPT_SOCKETS in steps
                for step in steps:
                    if step in (P.DISTRUST_KEYS, P.DISTRUST_KEYS_FOR_A_WINDOW):
                        unsure = True
                    elif step is P.TRUST_KEYS:
                        unsure = False
                if role.state in (S.DISCOVERING, S.SYNCING_KEYS, S.AWAITING_KERNEL, S.REQUESTING_HANDOVER):
                    assert not now
                if role.state is S.SERVING_WITHOUT_KEYS:
                    assert unsure
                reached.add((role.state, now, unsure))
        frontier = reached - seen
        seen |= reached


def test_a_process_that_has_no_room_beside_the_other_does_not_begin() -> None:
    assert fits_beside(80, 28.0) and fits_beside(32, 0.0)
    assert not fits_beside(32, 22.0) and not fits_beside(40, 22.0)


def test_processes_of_one_runner_meet_and_others_do_not() -> None:
    here = rendezvous_path("/tmp/", "n1", ("127.0.0.1", 1))
    assert here == rendezvous_path("/tmp", "n1", ("127.0.0.1", 1))
    assert here not in (
        rendezvous_path("/tmp", "n2", ("127.0.0.1", 1)),
        rendezvous_path("/tmp", "n1", ("127.0.0.1", 2)),
        None,
    )
    assert rendezvous_path("/tmp/" + "x" * 80, "n1", ("127.0.0.1", 1)) is None


# ---- keys ----


class Pair:
    """Two cores, and what each has said that the other one has not read. The second is the successor."""

    def __init__(self) -> None:
        self.both = World(), World()
        self.said: tuple[deque[Any], deque[Any]] = deque(), deque()
        self.dead: set[int] = set()
        for i, world in enumerate(self.both):
            world.core.key_claims.peer, world.core.key_claims.is_successor = Said(self.said[i]), i == 1

    def read(self, by: int, most: int = 1_000) -> None:
        """What the other one has said."""
        claims: Any = self.both[by].core.key_claims
        names = {
            "claim": "peer_claims",
            "key_released": "peer_released_key",
            "key_finished": "peer_finished_key",
        }
        while self.said[1 - by] and most:
            kind, args = self.said[1 - by].popleft()
            getattr(claims, names.get(kind, kind))(*args)
            most -= 1
        self.both[by].turn()

    def settle(self) -> None:
        for _ in range(4):
            for i in (0, 1):
                if i not in self.dead:
                    self.both[i].turn()
                    self.read(i)

    def kill(self, which: int) -> None:
        """What it said before reaches the other one, as over a socket; nothing more."""
        self.dead.add(which)
        self.read(1 - which)
        self.both[1 - which].core.key_claims.peer_disconnected(died=True)
        self.both[1 - which].turn()

    def runs(self) -> Counter[str]:
        return Counter(str(rid).partition("-")[0] for world in self.both for rid in world.runs())


class Said:
    def __init__(self, said: deque[Any]) -> None:
        self._said = said

    def __getattr__(self, kind: str) -> Callable[..., None]:
        return lambda *args: self._said.append((kind, args))


def test_a_run_waits_for_the_other_process_and_a_repeat_there_gets_its_result() -> None:
    p = Pair()
    old, new = p.both
    old.take("k-1", 1, token="k")
    old.turn()
    assert not old.runs()
    p.settle()
    assert old.runs() == ["k-1"]
    new.take("k-2", 2, token="k")
    p.settle()
    assert not new.runs() and not new.answers
    old.core.execution.run_ended("k-1", EndReason.RUN_SUCCEEDED, b"did")
    p.settle()
    assert new.verdicts() == [(2, Verdict.SERVED)] and new.answers[0][1].content == b"did"
    new.take("k-3", 3, token="k")  # over by now, and known here
    p.settle()
    assert new.verdicts()[1] == (3, Verdict.SERVED) and p.runs() == {"k": 1}


def test_tries_that_reach_both_in_one_moment_run_once_and_both_are_served() -> None:
    p = Pair()
    old, new = p.both
    old.take("k-1", 1, token="k")
    new.take("k-2", 2, token="k")
    p.settle()
    assert p.runs() == {"k": 1} and new.runs() == ["k-2"]
    new.core.execution.run_ended("k-2", EndReason.RUN_SUCCEEDED, b"did")
    p.settle()
    assert old.verdicts() == [(1, Verdict.SERVED)] and new.verdicts() == [(2, Verdict.SERVED)]


def test_a_key_whose_first_try_never_ran_is_free_again_and_who_waited_has_a_true_ending() -> None:
    p = Pair()
    old, new = p.both
    first = old.take("k-1", 1, token="k")
    second = new.take("k-2", 2, token="k")
    new.core.caller_disconnected(second)
    p.settle()
    assert not p.runs() and old.verdicts() == [(1, Verdict.FAILED)]  # it waited for what never ran
    old.take("k-3", 3, token="k")
    p.settle()
    assert old.runs() == ["k-3"]
    p = Pair()
    old, new = p.both
    first = old.take("k-1", 1, token="k")
    new.take("k-2", 2, token="k")
    p.read(1)  # the successor goes first: it hears the claim of the other, and keeps its own
    p.read(0)
    old.core.caller_disconnected(first)
    p.settle()
    assert new.runs() == ["k-2"]


def test_what_a_dead_process_left_open_never_runs_in_its_window_and_does_after_it() -> None:
    p = Pair()
    old, new = p.both
    old.take("k-1", 1, token="k")
    p.settle()
    new.take("k-2", 2, token="k")
    p.settle()
    p.kill(0)
    assert new.verdicts() == [(2, Verdict.FAILED)]
    new.take("k-3", 3, token="k")
    new.turn()
    assert new.verdicts()[1] == (3, Verdict.FAILED) and not new.runs()
    new.at += 8_000 * 1_000_000 + MARGIN * 1_000
    new.take("k-4", 4, token="k")
    new.turn()
    assert new.runs() == ["k-4"]


def give_up(world: World) -> bool:
    world.core.key_claims.peer_disconnected(died=False)
    return True


def test_a_silent_process_costs_a_refusal_after_go_and_nothing_before() -> None:
    for before_go in (False, True):
        p = Pair()
        old = p.both[0]
        if before_go:
            old.core.key_claims.peer_unresponsive = partial(give_up, old)
        old.take("k-1", 1, token="k")
        old.wait(CLAIM_TIMEOUT / MS + 10)
        assert old.runs() == (["k-1"] if before_go else [])
        assert old.verdicts() == ([] if before_go else [(1, Verdict.REJECTED)])
        p.settle()  # an answer that comes late changes nothing
        assert len(old.runs()) == before_go


def test_another_body_under_a_key_of_the_other_process_is_turned_away() -> None:
    p = Pair()
    old, new = p.both
    old.take("k-1", 1, token="k")
    new.core.submit(Arrival("k-2", "write", b"other", token="k", memory_kb=10.0), new, 2)
    p.settle()  # both in one moment: the successor's goes first
    assert old.verdicts() == [(1, Verdict.REJECTED)] and p.runs() == {"k": 1}
    assert (
        old.core.submit(Arrival("k-3", "write", b"x", token="k", memory_kb=10.0), old, 3)
        is InvalidArrival.BODY_MISMATCH
    )


def test_keys_taken_over_stand_for_what_ran_and_unsure_ones_are_turned_away() -> None:
    old, new = World(), World()
    for i, rid in enumerate(("k-1", "m-1")):
        old.take(rid, i, token=rid[0])
    old.turn()
    old.core.execution.run_ended("k-1", EndReason.RUN_SUCCEEDED, b"did")
    for entry in old.core.key_claims.snapshot():
        new.core.key_claims.snapshot_entry(
            entry.key, entry.body_digest, entry.expires_us, entry.finished, entry.result
        )
    new.take("k-2", 1, token="k")
    new.take("m-2", 2, token="m")
    new.turn()
    assert new.verdicts() == [(1, Verdict.SERVED)] and not new.runs()
    new.core.key_claims.peer_disconnected(died=True)
    new.turn()
    assert new.verdicts()[1] == (2, Verdict.FAILED)
    new.core.state.forget_keys_for_a_window()
    arrival = Arrival("n-1", "write", b"x", token="n", memory_kb=10.0)
    assert new.core.submit(arrival, new, 3) is InvalidArrival.KEY_STATE_UNKNOWN
    new.turn()
    new.at += 8_000 * 1_000_000 + MARGIN * 1_000
    new.take("n-2", 4, token="n")
    new.turn()
    assert new.runs() == ["n-2"]


@pytest.mark.parametrize("seed", range(150))
def test_no_key_runs_twice_whatever_the_order_and_whoever_is_killed(seed: int) -> None:
    r = random.Random(seed)
    p, tries = Pair(), 0
    for _ in range(60):
        i = r.choice([n for n in (0, 1) if n not in p.dead])
        world = p.both[i]
        what = r.random()
        if what < 0.35:
            tries, key = tries + 1, r.choice("abc")
            world.take(f"{key}-{tries}", tries, token=key)
        elif what < 0.7:
            p.read(i, 0 if p.dead else r.randint(1, 3))
        elif what < 0.85 and world.runs():
            rid = str(r.choice(world.runs()))
            world.core.execution.run_ended(
                rid, r.choice([EndReason.RUN_SUCCEEDED, EndReason.RUN_FAILED]), b"did"
            )
        elif what < 0.95:
            world.turn()
        elif what > 0.985 and not p.dead:
            p.kill(i)
    if not p.dead:
        p.settle()
    assert all(count == 1 for count in p.runs().values()), p.runs()
    for world in p.both:  # one answer at most to each
        assert max(Counter(tag for tag, _ in world.answers).values(), default=1) == 1
