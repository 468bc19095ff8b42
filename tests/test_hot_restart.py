"""Hot restart without sockets: the states of one process, and the idempotency keys of both."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from moorusher.core.answer import Verdict
from moorusher.core.idempotency_keys import WINDOW_MARGIN_US
from moorusher.core.key_claims import CLAIM_TIMEOUT_US
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
from moorusher.hot_restart.shared_budget import fits_second_process, rendezvous_path
from moorusher.time_units import MS

from .test_core import EngineHarness

# ---- the role of one process ----


def state_after(*events: Event) -> tuple[State, list[Instruction]]:
    """Return the state after these events, and all instructions on the way."""
    role = ProcessRole()
    instructions: list[Instruction] = []
    for event in events:
        instructions += role.handle(event)
    return role.state, instructions


TAKE_OVER = Event.WELCOMED, Event.KEYS_SYNCED, Event.KERNEL_UP, Event.ACCEPT_PERMITTED


@pytest.mark.parametrize(
    "events, state, required, forbidden",
    [
        (
            (Event.NO_PEER,),
            State.SOLE,
            {Instruction.LISTEN, Instruction.PUBLISH_ADDRESS},
            {Instruction.DISTRUST_KEYS_FOR_A_WINDOW},
        ),
        (
            (Event.DEAD_PEER_FOUND,),
            State.SOLE,
            {Instruction.LISTEN, Instruction.DISTRUST_KEYS_FOR_A_WINDOW},
            {Instruction.TRUST_KEYS},
        ),
        (
            TAKE_OVER,
            State.SUCCESSOR,
            {
                Instruction.CLAIM_KEYS,
                Instruction.SEND_READY,
                Instruction.ADOPT_SOCKETS,
                Instruction.PUBLISH_ADDRESS,
                Instruction.TRUST_KEYS,
            },
            {Instruction.LISTEN, Instruction.DISTRUST_KEYS},
        ),
        (
            (Event.KERNEL_UP, Event.WELCOMED, Event.KEYS_SYNCED, Event.PEER_DIED),
            State.SOLE,
            {Instruction.TRUST_KEYS, Instruction.ADOPT_SOCKETS, Instruction.CLOSE_PEER_KEYS},
            {Instruction.DISTRUST_KEYS_FOR_A_WINDOW},
        ),
        (
            (Event.WELCOMED, Event.PEER_DIED),
            State.SOLE,
            {Instruction.DISTRUST_KEYS_FOR_A_WINDOW, Instruction.ADOPT_SOCKETS, Instruction.CLOSE_PEER_KEYS},
            {Instruction.TRUST_KEYS},
        ),
        (
            (Event.PEER_DIED, Event.DEAD_PEER_FOUND),
            State.SOLE,
            {Instruction.DISTRUST_KEYS_FOR_A_WINDOW, Instruction.LISTEN},
            {Instruction.TRUST_KEYS},
        ),
        (
            (Event.WELCOMED, Event.PEER_DISCONNECTED),
            State.DISCOVERING,
            {Instruction.DISCARD_PEER_KEYS, Instruction.DISCOVER},
            {Instruction.LISTEN, Instruction.CLOSE_PEER_KEYS},
        ),
        (
            (*TAKE_OVER, Event.PEER_DIED),
            State.SOLE,
            {Instruction.CLOSE_PEER_KEYS},
            {Instruction.LISTEN, Instruction.DISTRUST_KEYS},
        ),
        (
            (Event.TIMEOUT,),
            State.SERVING_WITHOUT_KEYS,
            {Instruction.DISTRUST_KEYS, Instruction.LISTEN},
            {Instruction.PUBLISH_ADDRESS, Instruction.TRUST_KEYS},
        ),
        (
            (Event.TIMEOUT, Event.WELCOMED, Event.KEYS_SYNCED, Event.KERNEL_UP, Event.ACCEPT_PERMITTED),
            State.SUCCESSOR,
            {Instruction.SEND_READY, Instruction.TRUST_KEYS, Instruction.PUBLISH_ADDRESS},
            {Instruction.ADOPT_SOCKETS},
        ),
        (
            (Event.TIMEOUT, Event.PEER_DIED, Event.NO_PEER),
            State.SOLE,
            {Instruction.DISTRUST_KEYS_FOR_A_WINDOW, Instruction.PUBLISH_ADDRESS},
            {Instruction.TRUST_KEYS},
        ),
        ((Event.PEER_BUSY, Event.PEER_BUSY), State.DISCOVERING, {Instruction.DISCOVER}, {Instruction.LISTEN}),
        ((*TAKE_OVER, Event.NEWCOMER), State.SUCCESSOR, {Instruction.SEND_BUSY}, {Instruction.SEND_WELCOME}),
        (
            (*TAKE_OVER, Event.PEER_DIED, Event.NEWCOMER),
            State.HANDING_OVER,
            {Instruction.SEND_WELCOME},
            {Instruction.SEND_BUSY},
        ),
        (
            (Event.NO_PEER, Event.NEWCOMER, Event.PEER_DIED),
            State.SOLE,
            {Instruction.DISCARD_PEER_KEYS},
            {Instruction.STOP_ACCEPTING, Instruction.RESUME_ACCEPTING},
        ),
        (
            (Event.NO_PEER, Event.NEWCOMER, Event.TIMEOUT),
            State.SOLE,
            {Instruction.DISCONNECT, Instruction.DISCARD_PEER_KEYS},
            {Instruction.STOP_ACCEPTING},
        ),
        (
            (Event.NO_PEER, Event.NEWCOMER, Event.SIGTERM),
            State.HANDING_OVER,
            {Instruction.DRAIN},
            {Instruction.FINISH},
        ),
        (
            (Event.NO_PEER, Event.NEWCOMER, Event.NEWCOMER_READY),
            State.REPLACED,
            {Instruction.STOP_ACCEPTING, Instruction.PERMIT_ACCEPT},
            {Instruction.DRAIN},
        ),
        (
            (Event.NO_PEER, Event.NEWCOMER, Event.NEWCOMER_READY, Event.SIGTERM),
            State.REPLACED,
            {Instruction.FINISH},
            {Instruction.DRAIN},
        ),
        (
            (Event.NO_PEER, Event.NEWCOMER, Event.NEWCOMER_READY, Event.PEER_DIED),
            State.SOLE,
            {Instruction.CLOSE_PEER_KEYS, Instruction.RESUME_ACCEPTING, Instruction.PUBLISH_ADDRESS},
            {Instruction.DRAIN},
        ),
        ((Event.NO_PEER, Event.SIGTERM), State.SOLE, {Instruction.DRAIN}, {Instruction.FINISH}),
        # A process that drains must not let its peer stop accepting.
        (
            (Event.TIMEOUT, Event.WELCOMED, Event.KEYS_SYNCED, Event.SIGTERM, Event.KERNEL_UP),
            State.SERVING_WITHOUT_KEYS,
            {Instruction.DISCONNECT, Instruction.DRAIN},
            {Instruction.SEND_READY},
        ),
    ],
)
def test_each_sequence_of_events_leads_to_its_state_and_instructions(
    events: tuple[Event, ...], state: State, required: set[Instruction], forbidden: set[Instruction]
) -> None:
    final_state, instructions = state_after(*events)
    assert final_state is state and required <= set(instructions) and not forbidden & set(instructions)


def test_each_wait_has_a_timeout_and_all_together_are_shorter_than_the_startup_time() -> None:
    """A peer that hangs must not prevent a new process from answering its first health check in time."""
    assert all((state, Event.TIMEOUT) in TRANSITIONS for state in TIMEOUTS_MS)
    assert sum(TIMEOUTS_MS.values()) < 5_000
    assert all((state, Event.SIGTERM) in TRANSITIONS for state in State)
    states_with_a_peer = set(State) - {State.SOLE}
    assert all(
        (state, Event.PEER_DIED) in TRANSITIONS and (state, Event.PEER_DISCONNECTED) in TRANSITIONS
        for state in states_with_a_peer
    )


def test_a_new_process_runs_no_new_keys_before_the_handover() -> None:
    """In each reachable state, a process that runs new keys is permitted to accept, or has no live peer."""
    # Each entry: state, whether it serves, whether it distrusts keys.
    frontier: set[tuple[State, bool, bool]] = {(State.DISCOVERING, False, False)}
    seen = set(frontier)
    while frontier:
        reached = set()
        for state, is_serving, distrusted in frontier:
            for event in Event:
                role = ProcessRole()
                distrusts_keys = distrusted
                role.state = state
                instructions = role.handle(event)
                serves_now = (
                    is_serving
                    or Instruction.LISTEN in instructions
                    or Instruction.ADOPT_SOCKETS in instructions
                )
                for instruction in instructions:
                    if instruction in (Instruction.DISTRUST_KEYS, Instruction.DISTRUST_KEYS_FOR_A_WINDOW):
                        distrusts_keys = True
                    elif instruction is Instruction.TRUST_KEYS:
                        distrusts_keys = False
                if role.state in (
                    State.DISCOVERING,
                    State.SYNCING_KEYS,
                    State.AWAITING_KERNEL,
                    State.REQUESTING_HANDOVER,
                ):
                    assert not serves_now
                if role.state is State.SERVING_WITHOUT_KEYS:
                    assert distrusts_keys
                reached.add((role.state, serves_now, distrusts_keys))
        frontier = reached - seen
        seen |= reached


def test_a_second_process_needs_enough_memory_in_addition_to_the_first() -> None:
    assert fits_second_process(80, 28.0) and fits_second_process(32, 0.0)
    assert not fits_second_process(32, 22.0) and not fits_second_process(40, 22.0)


def test_only_processes_of_the_same_runner_share_a_rendezvous_path() -> None:
    path = rendezvous_path("/tmp/", "n1", ("127.0.0.1", 1))
    assert path == rendezvous_path("/tmp", "n1", ("127.0.0.1", 1))
    assert path not in (
        rendezvous_path("/tmp", "n2", ("127.0.0.1", 1)),
        rendezvous_path("/tmp", "n1", ("127.0.0.1", 2)),
    )


# ---- keys ----


class ProcessPair:
    """The request engines of two processes, and the messages of each that its peer has not read.

    The second one is the successor.
    """

    def __init__(self) -> None:
        self.worlds = (EngineHarness(), EngineHarness())
        self.unread: tuple[deque[Any], deque[Any]] = (deque(), deque())
        self.dead: set[int] = set()
        for i, world in enumerate(self.worlds):
            world.core.key_claims.peer = SentMessages(self.unread[i])
            world.core.key_claims.is_successor = i == 1

    def read(self, reader: int, max_messages: int = 1_000) -> None:
        """Let this process read what its peer has sent."""
        claims: Any = self.worlds[reader].core.key_claims
        methods = {
            "claim": claims.peer_claims,
            "key_released": claims.peer_keys.released,
            "key_finished": claims.peer_keys.finished,
        }
        while self.unread[1 - reader] and max_messages:
            kind, args = self.unread[1 - reader].popleft()
            (methods.get(kind) or getattr(claims, kind))(*args)
            max_messages -= 1
        self.worlds[reader].turn()

    def settle(self) -> None:
        """Let both processes read and act until nothing is left to read."""
        for _ in range(4):
            for i in (0, 1):
                if i not in self.dead:
                    self.worlds[i].turn()
                    self.read(i)

    def kill(self, which: int) -> None:
        """Kill a process: what it sent before still reaches its peer, as over a socket."""
        self.dead.add(which)
        self.read(1 - which)
        self.worlds[1 - which].core.key_claims.peer_disconnected(died=True)
        self.worlds[1 - which].turn()

    def runs(self) -> Counter[str]:
        """Return how often each key ran, in both processes together."""
        return Counter(str(rid).partition("-")[0] for world in self.worlds for rid in world.runs())


class SentMessages:
    """A fake peer that records each call as a sent message."""

    def __init__(self, unread: deque[Any]) -> None:
        self._unread = unread

    def __getattr__(self, kind: str) -> Callable[..., None]:
        return lambda *args: self._unread.append((kind, args))


def test_a_keyed_run_waits_for_the_peers_claim_and_a_retry_there_gets_its_result() -> None:
    """A keyed request runs in one process while its retry arrives at the other."""
    pair = ProcessPair()
    old, new = pair.worlds
    old.submit("k-1", 1, token="k")
    old.turn()
    assert not old.runs()
    pair.settle()
    assert old.runs() == ["k-1"]
    new.submit("k-2", 2, token="k")
    pair.settle()
    assert not new.runs() and not new.answers
    old.core.execution.run_ended("k-1", EndReason.RUN_SUCCEEDED, b"did")
    pair.settle()
    assert new.verdicts() == [(2, Verdict.SERVED)] and new.answers[0][1].content == b"did"
    new.submit("k-3", 3, token="k")  # the run has finished, and its result is known here
    pair.settle()
    assert new.verdicts()[1] == (3, Verdict.SERVED) and pair.runs() == {"k": 1}


def test_simultaneous_attempts_at_both_processes_run_once_and_both_are_served() -> None:
    """Two attempts with one key reach both processes at once: one of them runs, and both get its result."""
    pair = ProcessPair()
    old, new = pair.worlds
    old.submit("k-1", 1, token="k")
    new.submit("k-2", 2, token="k")
    pair.settle()
    assert pair.runs() == {"k": 1} and new.runs() == ["k-2"]
    new.core.execution.run_ended("k-2", EndReason.RUN_SUCCEEDED, b"did")
    pair.settle()
    assert old.verdicts() == [(1, Verdict.SERVED)] and new.verdicts() == [(2, Verdict.SERVED)]


def test_a_key_whose_attempt_was_cancelled_before_it_ran_is_released_in_both_processes() -> None:
    """A client disconnects before its request ran, while an attempt at the peer waits for it.

    The waiting attempt fails or runs, and a later attempt runs.
    """
    pair = ProcessPair()
    old, new = pair.worlds
    first = old.submit("k-1", 1, token="k")
    second = new.submit("k-2", 2, token="k")
    new.core.caller_disconnected(second)
    pair.settle()
    # The attempt waited for a run that never started.
    assert not pair.runs() and old.verdicts() == [(1, Verdict.FAILED)]
    old.submit("k-3", 3, token="k")
    pair.settle()
    assert old.runs() == ["k-3"]
    pair = ProcessPair()
    old, new = pair.worlds
    first = old.submit("k-1", 1, token="k")
    new.submit("k-2", 2, token="k")
    pair.read(1)  # The successor has precedence: it reads its peer's claim, and keeps its own claim.
    pair.read(0)
    old.core.caller_disconnected(first)
    pair.settle()
    assert new.runs() == ["k-2"]


def test_open_keys_of_a_dead_process_do_not_run_within_their_window_and_run_after_it() -> None:
    """A process is killed during a keyed run, and it is unknown whether the run had an effect."""
    pair = ProcessPair()
    old, new = pair.worlds
    old.submit("k-1", 1, token="k")
    pair.settle()
    new.submit("k-2", 2, token="k")
    pair.settle()
    pair.kill(0)
    assert new.verdicts() == [(2, Verdict.FAILED)]
    new.submit("k-3", 3, token="k")
    new.turn()
    assert new.verdicts()[1] == (3, Verdict.FAILED) and not new.runs()
    new.now_ns += 8_000 * 1_000_000 + WINDOW_MARGIN_US * 1_000
    new.submit("k-4", 4, token="k")
    new.turn()
    assert new.runs() == ["k-4"]


def disconnect_peer(world: EngineHarness) -> bool:
    """Disconnect the peer, as a process does if the peer does not respond before the handover."""
    world.core.key_claims.peer_disconnected(died=False)
    return True


def test_a_silent_peer_causes_a_rejection_after_the_handover_and_none_before() -> None:
    """The peer hangs while a key is being claimed with it."""
    for before_handover in (False, True):
        pair = ProcessPair()
        old = pair.worlds[0]
        if before_handover:
            old.core.key_claims.peer_unresponsive = partial(disconnect_peer, old)
        old.submit("k-1", 1, token="k")
        old.wait(CLAIM_TIMEOUT_US / MS + 10)
        assert old.runs() == (["k-1"] if before_handover else [])
        assert old.verdicts() == ([] if before_handover else [(1, Verdict.REJECTED)])
        pair.settle()  # a late answer changes nothing
        assert len(old.runs()) == before_handover


def test_a_claim_that_the_peer_leaves_open_ends_when_its_caller_stops_waiting() -> None:
    """Requests with little time left were answered after 250 ms if the other process hung."""
    pair = ProcessPair()
    old = pair.worlds[0]
    old.core.submit(
        Arrival("k-1", "write", b"x", token="k", budget_ms=60.0, memory_kb=10.0),
        old,
        1,
    )
    old.wait(61)
    assert old.verdicts() == [(1, Verdict.REJECTED)]
    pair.settle()
    assert not old.runs()


def test_a_different_body_under_a_key_of_the_peer_is_rejected() -> None:
    pair = ProcessPair()
    old, new = pair.worlds
    old.submit("k-1", 1, token="k")
    new.core.submit(Arrival("k-2", "write", b"other", token="k", memory_kb=10.0), new, 2)
    pair.settle()  # the claims are simultaneous, and the successor has precedence
    assert old.verdicts() == [(1, Verdict.REJECTED)] and pair.runs() == {"k": 1}
    assert (
        old.core.submit(Arrival("k-3", "write", b"x", token="k", memory_kb=10.0), old, 3)
        is InvalidArrival.BODY_MISMATCH
    )


def test_keys_of_a_snapshot_do_not_run_again_and_uncertain_ones_are_rejected() -> None:
    """A new process takes over the keys of the old one, which dies while one of them runs."""
    old, new = EngineHarness(), EngineHarness()
    for i, rid in enumerate(("k-1", "m-1")):
        old.submit(rid, i, token=rid[0])
    old.turn()
    old.core.execution.run_ended("k-1", EndReason.RUN_SUCCEEDED, b"did")
    for entry in old.core.key_claims.peer_keys.snapshot():
        new.core.key_claims.peer_keys.snapshot_entry(
            entry.key, entry.body_digest, entry.expires_us, entry.finished, entry.result
        )
    new.submit("k-2", 1, token="k")
    new.submit("m-2", 2, token="m")
    new.turn()
    assert new.verdicts() == [(1, Verdict.SERVED)] and not new.runs()
    new.core.key_claims.peer_disconnected(died=True)
    new.turn()
    assert new.verdicts()[1] == (2, Verdict.FAILED)
    new.core.state.distrust_new_keys()
    arrival = Arrival("n-1", "write", b"x", token="n", memory_kb=10.0)
    assert new.core.submit(arrival, new, 3) is InvalidArrival.KEY_STATE_UNKNOWN
    new.turn()
    new.now_ns += 8_000 * 1_000_000 + WINDOW_MARGIN_US * 1_000
    new.submit("n-2", 4, token="n")
    new.turn()
    assert new.runs() == ["n-2"]


@pytest.mark.parametrize("seed", range(150))
def test_no_key_runs_twice_in_any_order_of_messages_and_kills(seed: int) -> None:
    """Requests, messages, ends of runs and a kill happen in a random order that a seed determines."""
    rng = random.Random(seed)
    pair = ProcessPair()
    attempts = 0
    for _ in range(60):
        i = rng.choice([process for process in (0, 1) if process not in pair.dead])
        world = pair.worlds[i]
        choice = rng.random()
        if choice < 0.35:
            attempts += 1
            key = rng.choice("abc")
            world.submit(f"{key}-{attempts}", attempts, token=key)
        elif choice < 0.7:
            pair.read(i, 0 if pair.dead else rng.randint(1, 3))
        elif choice < 0.85 and world.runs():
            rid = str(rng.choice(world.runs()))
            world.core.execution.run_ended(
                rid, rng.choice([EndReason.RUN_SUCCEEDED, EndReason.RUN_FAILED]), b"did"
            )
        elif choice < 0.95:
            world.turn()
        elif choice > 0.985 and not pair.dead:
            pair.kill(i)
    if not pair.dead:
        pair.settle()
    assert all(count == 1 for count in pair.runs().values()), pair.runs()
    for world in pair.worlds:  # at most one answer to each request
        assert max(Counter(tag for tag, _ in world.answers).values(), default=1) == 1
