"""Keys over chains of processes, in which a process knows the keys of earlier ones only from the one before it."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from moorusher.core.answer import Answer, Verdict
from moorusher.core.coordination import NoCoordinator
from moorusher.core.idempotency_keys import WINDOW_MARGIN_US, IdempotencyKey
from moorusher.core.outcomes import EndReason
from moorusher.core.registration import InvalidArrival
from moorusher.core.requests import Request
from moorusher.hot_restart.process_role import State
from moorusher.time_units import MS

from .replaced_runner import RESULT, Process, ReplacedRunner, started_runner

SMALL_TABLE_MB = 27.0  # the smallest key table: 666 keys
SMALL_TABLE_KEYS = 666
WINDOW_MS = 8_000 + WINDOW_MARGIN_US / MS


@pytest.fixture
def runner(monkeypatch: pytest.MonkeyPatch) -> ReplacedRunner:
    return started_runner(monkeypatch)


def is_served(answer: object) -> bool:
    return isinstance(answer, Answer) and answer.verdict is Verdict.SERVED and answer.content == RESULT


def test_each_key_outlasts_four_replacements_with_its_result(runner: ReplacedRunner) -> None:
    """From the second replacement on, each request that ran before the first one ran again when it was repeated."""
    for number in range(4):
        runner.serve(f"k{number}")
        runner.replace()
    assert all(is_served(runner.ask(f"k{number}")) for number in range(4))
    assert set(runner.runs().values()) == {1}


def test_a_predecessor_hands_on_the_keys_of_its_dead_successor(runner: ReplacedRunner) -> None:
    """The successor dies, its predecessor serves again and is replaced: what the successor had run ran again."""
    first = runner.serving
    second = runner.start()
    runner.settle()
    runner.serve("k")
    second.submit("open")
    runner.settle()
    runner.kill(second)
    runner.settle()
    assert first.is_alone and runner.serving is first
    runner.replace()
    runner.replace()
    assert is_served(runner.ask("k"))
    answer = runner.ask("open")  # it may have run
    assert isinstance(answer, Answer) and answer.verdict is Verdict.FAILED
    assert runner.runs() == {"k": 1, "open": 1}


def test_a_run_that_ends_in_a_replaced_process_is_known_to_all_later_ones(runner: ReplacedRunner) -> None:
    """A run ends after its process has been replaced: its result was lost with the second replacement."""
    first = runner.serving
    first.submit("k")
    runner.settle()
    runner.start()
    runner.settle()
    (run,) = first.open_runs()
    first.end_run(run)
    runner.settle()
    runner.exit(first)
    runner.settle()
    runner.replace()
    runner.replace()
    assert is_served(runner.ask("k")) and runner.runs() == {"k": 1}


def test_a_key_that_is_freed_while_the_key_table_is_sent_can_run_in_the_next_process(
    runner: ReplacedRunner,
) -> None:
    """A request ends without a run while its process sends the key table, which takes several turns.

    Its key was sent after the message that freed it. The next process waited for an attempt that had ended, and refused
    the key for its window.
    """
    first = runner.serving
    for number in range(100):
        runner.serve(f"k{number}")
    request = first.submit("refused")
    second = runner.start()
    for connection in runner.connections:  # the handshake, and a part of the key table
        connection.read(first)
        connection.read(second)
    assert isinstance(request, Request)
    first.core.caller_disconnected(request)
    runner.settle()
    runner.exit(first)
    runner.settle()
    runner.ask("refused")
    assert runner.runs()["refused"] == 1 and len(second.open_runs()) == 1


def test_keys_that_do_not_fit_the_next_process_are_not_run_there_until_they_expire(
    runner: ReplacedRunner,
) -> None:
    """The next process has less memory, so that its key table can't hold all keys of its predecessor."""
    keys = [f"k{number}" for number in range(SMALL_TABLE_KEYS + 5)]
    runner.serve(*keys)
    runner.replace(memory_mb=SMALL_TABLE_MB)
    assert len(runner.serving.core.keys) == SMALL_TABLE_KEYS
    runner.replace()  # this process has room for all keys, but its predecessor does not know them
    assert is_served(runner.ask(keys[0])) and runner.ask(keys[-1]) is InvalidArrival.KEY_STATE_UNKNOWN
    assert set(runner.runs().values()) == {1}
    runner.wait(WINDOW_MS)
    runner.ask(keys[-1])
    assert runner.runs()[keys[-1]] == 2


def test_a_key_whose_result_does_not_fit_the_next_process_does_not_run_there(runner: ReplacedRunner) -> None:
    first = runner.serving
    keys = [f"k{number}" for number in range(10)]
    runner.serve(*keys)
    second = runner.start()
    second.core.keys.limits.max_result_bytes = 5 * len(RESULT)
    runner.settle()
    runner.exit(first)
    runner.settle()
    second.core.keys.limits.set_memory_limit(192.0)
    runner.replace()
    answers = [runner.ask(key) for key in keys]
    assert [is_served(answer) for answer in answers] == [True] * 5 + [False] * 5
    assert set(runner.runs().values()) == {1}


class OtherRunners(NoCoordinator):
    """The cluster's answer to a claim, which the test gives later."""

    def acquire_key(self, request: Request) -> bool:
        return True


def submit_key_of_another_runner(runner: ReplacedRunner, process: Process) -> IdempotencyKey:
    """Send a request whose key another runner has, and return the key."""
    process.core.hooks.coordinator = OtherRunners()
    request = process.submit("k")
    assert isinstance(request, Request) and request.key is not None
    runner.settle()
    process.core.remote_claims.joined(request)
    runner.settle()
    return request.key


def test_an_attempt_of_another_runner_is_not_ended_when_the_old_process_exits(
    runner: ReplacedRunner,
) -> None:
    """Another runner of the cluster runs a key that was requested here too, and this process's predecessor exits.

    The request failed, and the result that came later was dropped.
    """
    first = runner.serving
    second = runner.start()
    runner.settle()
    key = submit_key_of_another_runner(runner, second)
    runner.exit(first)
    runner.settle()
    assert second.answer_to(second.last_tag) is None
    second.core.remote_claims.result_received(key, RESULT)
    runner.settle()
    assert is_served(second.answer_to(second.last_tag))
    runner.replace()
    assert is_served(runner.ask("k")) and not runner.runs()


@pytest.mark.parametrize("has_run", [True, False])
def test_the_other_process_learns_how_the_attempt_of_another_runner_ends(
    runner: ReplacedRunner, has_run: bool
) -> None:
    """A process claims a key with its successor, and then finds that another runner has it.

    The successor waited for an attempt of its predecessor that did not exist, and never learned the result; if the
    other runner had rejected the request, the successor refused the key for its window.
    """
    first = runner.serving
    second = runner.start()
    for connection in runner.connections:  # up to the key table, so that the old process still accepts
        connection.read(first)
    key = submit_key_of_another_runner(runner, first)
    assert second.state is State.SUCCESSOR
    second.submit("k")
    runner.settle()
    if has_run:
        first.core.remote_claims.result_received(key, RESULT)
    else:
        first.core.remote_claims.never_ran(key)
    runner.settle()
    assert second.answer_to(second.last_tag) is not None
    runner.exit(first)
    runner.settle()
    assert is_served(runner.ask("k")) == has_run
    assert runner.runs() == ({} if has_run else {"k": 1})


MAX_STEPS = 400
MAX_WAITS = 25  # so that no key expires during a test
WAIT_MS = 250.0
PROCESSES = 3  # so many at once


def step(runner: ReplacedRunner, rng: random.Random) -> None:  # noqa: C901 - one branch an event
    """Let something happen that can happen to the processes of one runner."""
    process = rng.choice(runner.alive or [runner.start()])
    choice = rng.random()
    if choice < 0.3:
        if process.service.accepting:
            process.submit(rng.choice("abcdef"))
    elif choice < 0.6:
        for connection in runner.connections:
            if process in connection.ends:
                connection.read(process, rng.randint(1, 3))
    elif choice < 0.75:
        process.harness.turn()
    elif choice < 0.88:
        if runs := process.open_runs():
            ends = (EndReason.RUN_SUCCEEDED, EndReason.RUN_FAILED, EndReason.RUN_NEVER_STARTED)
            process.end_run(rng.choice(runs), rng.choice(ends))
    elif choice < 0.95:
        if len(runner.alive) < PROCESSES:
            runner.start()
    elif choice < 0.98:
        if process.state is State.REPLACED and not len(process.core.table):
            runner.exit(process)
    elif len(runner.alive) > 1:
        runner.kill(process)


# The last four seeds find a replaced process that exits before its successor has published its own socket.
@pytest.mark.parametrize("seed", [*range(300), 582, 1130, 1164, 4140])
def test_no_key_runs_twice_in_any_chain_of_processes(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """Requests, messages, ends of runs, replacements, exits and kills come in an order that a seed determines.

    A key that had run in an earlier process ran again in a later one.
    """
    rng = random.Random(seed)
    runner = ReplacedRunner(monkeypatch)
    runner.start()
    runner.settle()
    for number in range(MAX_STEPS):
        step(runner, rng)
        if number % (MAX_STEPS // MAX_WAITS) == 0:
            runner.wait(WAIT_MS)
    runner.settle()
    assert all(count == 1 for count in runner.runs().values()), runner.runs()
    for process in runner.processes:  # at most one answer to each request
        assert max(Counter(tag for tag, _ in process.harness.answers).values(), default=1) == 1
