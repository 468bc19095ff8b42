"""Clusters of real runners with faults: other runners take keyed work over, and no key runs twice."""

from __future__ import annotations

import asyncio
import os
import signal
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import pytest

from moorusher.core.answer import Cause
from moorusher.replication.key_tenure import TenureStage
from moorusher.replication.messages import PROTOCOL_VERSION, HandshakeRejected, Hello, decode, encode

from .fleets import Fleet, fleet, token
from .stand_ins import HOST, SETTINGS, Kernel, body_of, content, exchange, status, until, uwsgi_request
from .test_sockets import asynchronous_test, wait_until

pytestmark = pytest.mark.processes


@asynchronous_test
async def test_a_retry_at_another_runner_gets_the_result_of_the_one_run() -> None:
    async with fleet(work=0.3) as cluster:
        front_0, front_1 = await cluster.connect_front_end(0), await cluster.connect_front_end(1)
        key = token()
        first = front_0.send("submit", token=key, body=b"one")
        await wait_until(lambda: len(cluster.run_bodies()) == 1)
        second, third = (
            front_1.send("submit", token=key, body=b"one"),
            (await cluster.connect_front_end(2)).send("submit", token=key, body=b"one"),
        )
        answers = await asyncio.gather(first, second, third)
        assert [content(answer) for answer in answers] == [b"did one"] * 3 and cluster.run_bodies() == [
            b"one"
        ]
        assert (
            content(await (await cluster.connect_front_end(3)).ask("submit", token=key, body=b"one"))
            == b"did one"
        )
        assert cluster.run_bodies() == [b"one"]


PendingAnswer = asyncio.Future[dict[str, Any]]
SLOTS = int(SETTINGS["extra"]["cpus"])  # Concurrent runs of a runner on its kernel.


async def send_requests(
    cluster: Fleet, count: int, at: int = 0, budget_ms: int = 8000
) -> dict[str, PendingAnswer]:
    """Send keyed requests to one runner. Return those that are running or queued there; it may reject the others."""
    front = await cluster.connect_front_end(at)
    tokens = [token() for _ in range(count)]
    requests = {key: front.send("submit", token=key, body=key.encode(), budget=budget_ms) for key in tokens}
    await wait_until(lambda: len(cluster.kernels[at].runs) >= 2)

    async def all_claimed_and_rejections_received() -> bool:
        counters = await cluster.runners[at].counters()
        return bool(
            counters["fleet: covered"] == count
            and counters.get("refused", 0) == sum(answer.done() for answer in requests.values())
        )

    await until(all_claimed_and_rejections_received)
    pending = {key: answer for key, answer in requests.items() if not answer.done()}
    assert len(pending) > len(cluster.started_keys(at) & set(pending)), "no request is queued"
    return pending


async def retry_requests(cluster: Fleet, at: int, tokens: Iterable[str]) -> dict[str, dict[str, Any]]:
    """Send the requests again, with retries while they are rejected, and return the answers by key."""
    front = await cluster.connect_front_end(at)

    async def retry_while_rejected(key: str) -> dict[str, Any]:
        for _ in range(60):
            if not is_rejected(answer := await front.ask("submit", token=key, body=key.encode())):
                break
            await asyncio.sleep(0.2)
        return answer

    keys = list(tokens)
    return dict(zip(keys, await asyncio.gather(*map(retry_while_rejected, keys)), strict=True))


def is_served(key: str, answer: dict[str, Any]) -> bool:
    """Return whether the answer has the result of the key's run."""
    return "result" in answer and content(answer) == b"did " + key.encode()


def assert_ran_at_most_once(cluster: Fleet, tokens: Iterable[str]) -> None:
    """Assert that each key ran at most once in the whole cluster."""
    runs = Counter(cluster.run_bodies())
    assert all(runs[key.encode()] <= 1 for key in tokens), [key for key in tokens if runs[key.encode()] > 1]


def is_rejected(answer: dict[str, Any]) -> bool:
    """Return whether the request was rejected and has not run."""
    return "error" in answer and bool(answer["error"]["code"] == -32014)


def ignore_outcomes(requests: dict[str, PendingAnswer]) -> None:
    """Ignore the exceptions of answers that never arrive because their runner is killed."""
    for answer in requests.values():
        answer.add_done_callback(lambda done: done.cancelled() or done.exception())


@asynchronous_test
async def test_held_work_of_a_killed_runner_runs_elsewhere_without_a_retry_and_started_work_does_not() -> (
    None
):
    async with fleet(work=0.5) as cluster:
        requests = await send_requests(cluster, 10)
        ignore_outcomes(requests)
        started = cluster.started_keys(0)
        cluster.kill(0)
        queued = set(requests) - started
        await wait_until(lambda: queued <= cluster.started_keys(1, 2, 3))
        answers = await retry_requests(cluster, 2, requests)
        assert all(is_served(key, answers[key]) for key in queued)
        assert all("error" in answers[key] and not is_rejected(answers[key]) for key in started), (
            "work that may have run must fail, and must not be reported as rejected"
        )
        assert_ran_at_most_once(cluster, requests)


@asynchronous_test
async def test_a_paused_owner_that_resumes_after_its_work_was_taken_over_runs_none_of_it() -> None:
    async with fleet(work=0.5) as cluster:
        requests = await send_requests(cluster, 10)
        cluster.pause(0)
        queued = set(requests) - cluster.started_keys(0)
        await wait_until(lambda: queued <= cluster.started_keys(1, 2, 3))
        cluster.resume(0)
        for key, answer in requests.items():
            assert is_served(key, await answer), "the owner's own callers must get the results too"
        assert_ran_at_most_once(cluster, requests)
        retried = await retry_requests(cluster, 3, requests)
        assert all(is_served(key, answer) for key, answer in retried.items()), (
            "the owner's result must replace the end without a result that another runner recorded"
        )


@asynchronous_test
async def test_no_work_is_taken_over_during_a_pause_of_half_a_second() -> None:
    async with fleet(work=0.4) as cluster:
        requests = await send_requests(cluster, 8)
        for _ in range(2):
            cluster.pause(0)
            await asyncio.sleep(0.5)
            cluster.resume(0)
            await asyncio.sleep(0.3)
        assert all([is_served(key, await answer) for key, answer in requests.items()])
        assert not cluster.started_keys(1, 2, 3)


@asynchronous_test
async def test_a_key_that_is_requested_on_both_sides_of_a_partition_runs_once() -> None:
    async with fleet(work=0.5) as cluster:
        requests = await send_requests(cluster, 10)
        started = cluster.started_keys(0)
        cluster.isolate(0)
        retried = await retry_requests(cluster, 1, requests)
        for key, answer in requests.items():
            isolated_answer = await answer
            assert not (is_rejected(isolated_answer) and key in cluster.started_keys(0)), (
                "it was rejected and ran"
            )
            assert is_served(key, retried[key]) == (key in cluster.started_keys(1, 2, 3))
            assert ("result" in isolated_answer) == (key in started)
        cluster.isolate(0, False)
        assert all(
            [is_served(key, answer) for key, answer in (await retry_requests(cluster, 0, requests)).items()]
        ), "after the partition both sides must have the results"
        assert_ran_at_most_once(cluster, requests)


@asynchronous_test
async def test_a_key_that_is_requested_at_all_runners_at_once_runs_once() -> None:
    async with fleet(work=0.02) as cluster:
        fronts = [await cluster.connect_front_end(i) for i in range(4)]
        tokens = [token() for _ in range(25)]
        requests = [front.send("submit", token=key, body=key.encode()) for key in tokens for front in fronts]
        await asyncio.gather(*requests)
        answers = await retry_requests(cluster, 0, tokens)
        assert sorted(cluster.run_bodies()) == sorted(key.encode() for key in tokens)
        assert all(is_served(key, answer) for key, answer in answers.items())


@asynchronous_test
async def test_a_retry_over_uwsgi_gets_the_result_of_a_request_over_json() -> None:
    async with fleet(work=0.3) as cluster:
        key = token()
        first = (await cluster.connect_front_end(0)).send("submit", token=key, body=b"one")
        await wait_until(lambda: len(cluster.run_bodies()) == 1)
        response = await exchange(cluster.runners[1].uwsgi, uwsgi_request("submit", b"one", token=key))
        assert status(response) == 200 and body_of(response) == b"did one" == content(await first)
        assert cluster.run_bodies() == [b"one"]


@asynchronous_test
async def test_another_body_with_the_same_token_is_rejected_and_does_not_run() -> None:
    async with fleet(work=0.3) as cluster:
        key = token()
        first = (await cluster.connect_front_end(0)).send("submit", token=key, body=b"one")
        await wait_until(lambda: len(cluster.run_bodies()) == 1)
        assert "error" in await (await cluster.connect_front_end(1)).ask("submit", token=key, body=b"two")
        assert content(await first) == b"did one" and cluster.run_bodies() == [b"one"]


def keys_with_majority(cluster: Fleet, requests: Iterable[str], *lost: int) -> set[str]:
    """Return the keys that still have a majority of their replicas if these runners are lost."""
    lost_seats = {f"n{i}" for i in lost}
    return {key for key in requests if len(lost_seats & set(cluster.replicas(key))) < 2}


async def is_taken_over_and_idle(cluster: Fleet, tokens: set[str], *at: int) -> bool:
    """Return whether each key is queued or started at one of these runners, with no step in progress at any of them."""
    count = 0
    for i in at:
        stages = Counter(
            [entry["stage"] for entry in (await cluster.runners[i].counters("fleet/work"))["work"]]
        )
        queued, started = stages[TenureStage.QUEUED.value], stages[TenureStage.STARTED.value]
        in_progress = stages.total() - queued - started
        can_start_more = queued and started < SLOTS
        if in_progress or can_start_more or started != len(cluster.started_keys(i)):
            return False
        count += queued + started
    return count == len(tokens)


async def has_written_all_ends(cluster: Fleet, requests: dict[str, PendingAnswer], at: int) -> bool:
    """Return whether the registers have the end of every rejected or finished key, and its callers have the answer.

    A runner sends an answer before it writes the end. If it is killed in between, a rejected key still looks queued and
    occupies a slot of the runner that takes it over, or a finished key has a result that its callers have not received.
    """
    work = (await cluster.runners[at].counters("fleet/work"))["work"]
    unfinished = sum(
        entry["stage"] in (TenureStage.QUEUED.value, TenureStage.STARTED.value) for entry in work
    )
    return len(work) == unfinished == sum(not answer.done() for answer in requests.values())


def choose_runner_to_kill(cluster: Fleet, requests: Iterable[str]) -> int:
    """Return the runner that has started the most work, among those whose loss leaves some key with a majority."""
    candidates = [i for i in range(1, len(cluster.runners)) if keys_with_majority(cluster, requests, 0, i)]
    return max(candidates, key=lambda i: len(cluster.started_keys(i)))


async def assert_results_only_from(cluster: Fleet, at: int, tokens: set[str], living: set[int]) -> None:
    """Assert that, of keys without a majority, only those that a living runner has started get a result."""
    front = await cluster.connect_front_end(at)
    for key in tokens:
        assert not is_served(
            key, await front.ask("submit", token=key, body=key.encode())
        ) or key in cluster.started_keys(*living)


@asynchronous_test
async def test_work_that_all_runners_reject_is_taken_over_at_most_once_by_each() -> None:
    """A taker's rejection was not recorded, so that one key went from runner to runner 32 times in 19.5 s."""
    async with fleet(work=1.0, aim_ms=1_000) as cluster:
        requests = await send_requests(cluster, 10)
        ignore_outcomes(requests)
        cluster.pause(0)  # The class's latency objective has passed when it counts as lost.
        queued = set(requests) - cluster.started_keys(0)

        async def takeovers() -> int:
            counters = [await cluster.runners[i].counters() for i in (1, 2, 3)]
            return sum(int(counted.get("fleet: taken over", 0)) for counted in counters)

        async def each_was_taken_over() -> bool:
            return await takeovers() >= len(queued)

        await until(each_was_taken_over)
        await asyncio.sleep(4)
        assert await takeovers() <= 3 * len(queued)


@asynchronous_test
async def test_a_third_runner_takes_over_after_the_second_is_killed_too() -> None:
    """The second runner is killed when the registers and the kernels agree on which keys have started.

    Only keys that a lost runner has started may end without a result. The latency objective of the class is longer than
    this test waits, because every runner rejects a key that has not run when its objective has passed.
    """
    async with fleet(6, work=0.6, claim_ms=3_000, aim_ms=8_000) as cluster:
        requests = await send_requests(cluster, 24)
        ignore_outcomes(requests)
        for kernel in cluster.kernels:
            kernel.slow(0.0)
        await until(lambda: has_written_all_ends(cluster, requests, 0))
        pending = {key for key, answer in requests.items() if not answer.done()}
        cluster.kill(0)
        queued = pending - cluster.started_keys(0)
        await until(lambda: is_taken_over_and_idle(cluster, queued, 1, 2, 3, 4, 5))
        second = choose_runner_to_kill(cluster, pending)
        cluster.kill(second)
        living = {1, 2, 3, 4, 5} - {second}
        for i in living:
            cluster.kernels[i].slow(1.0)
        started_at_lost = cluster.started_keys(0, second)
        with_majority = keys_with_majority(cluster, pending, 0, second)
        answers = await retry_requests(cluster, 1 + second % 5, with_majority)
        assert with_majority
        assert all(is_served(key, answer) == (key not in started_at_lost) for key, answer in answers.items())
        await assert_results_only_from(cluster, 1 + second % 5, pending - with_majority, living)
        assert_ran_at_most_once(cluster, requests)


@asynchronous_test
async def test_a_third_runner_takes_over_the_rest_after_the_second_is_killed_while_it_starts_work() -> None:
    """The second runner is killed at a random moment.

    If it has recorded the start of a key and its kernel has not read the command, the other runners can't know that the
    key did not run. Such a key must end without a result and run nowhere else. All other keys must be served.
    """
    async with fleet(6, work=0.6, claim_ms=3_000) as cluster:
        requests = await send_requests(cluster, 24)
        ignore_outcomes(requests)
        cluster.kill(0)
        await wait_until(lambda: bool(cluster.started_keys(1, 2, 3, 4, 5)))
        second = choose_runner_to_kill(cluster, requests)
        cluster.kill(second)
        living = {1, 2, 3, 4, 5} - {second}
        started_at_lost = cluster.started_keys(0, second)
        with_majority = keys_with_majority(cluster, requests, 0, second)
        answers = await retry_requests(cluster, 1 + second % 5, with_majority)
        assert with_majority
        for key, answer in answers.items():
            if key in started_at_lost:
                assert not is_served(key, answer)
            elif not is_served(key, answer):
                assert answer["error"]["message"] == Cause.NO_SHARED_RESULT.value, answer
                assert key not in cluster.started_keys(*living), (
                    "it ran at a living runner and its result is missing"
                )
        await assert_results_only_from(cluster, 1 + second % 5, set(requests) - with_majority, living)
        assert_ran_at_most_once(cluster, requests)


@asynchronous_test
async def test_a_runner_that_shuts_down_hands_over_held_work_and_its_own_callers_get_the_results() -> None:
    async with fleet(work=0.5) as cluster:
        requests = await send_requests(cluster, 14)
        queued = set(requests) - cluster.started_keys(0)
        cluster.runners[0].process.send_signal(signal.SIGTERM)
        assert all([is_served(key, await answer) for key, answer in requests.items()])
        assert_ran_at_most_once(cluster, requests)
        assert queued <= cluster.started_keys(1, 2, 3)
        await wait_until(lambda: cluster.runners[0].process.poll() == 0)


@asynchronous_test
async def test_a_runner_that_has_lost_its_kernel_hands_over_held_work() -> None:
    async with fleet(work=0.5) as cluster:
        requests = await send_requests(cluster, 10)
        queued = set(requests) - cluster.started_keys(0)
        cluster.kernels[0].close()
        assert all([is_served(key, await requests[key]) for key in queued])
        assert_ran_at_most_once(cluster, requests)


@asynchronous_test
async def test_without_a_majority_keyed_work_fails_at_once_and_other_work_is_served() -> None:
    async with fleet(3, work=0.02) as cluster:
        cluster.kill(1)
        cluster.kill(2)
        front = await cluster.connect_front_end(0)
        key = token()
        answer = await front.ask("submit", token=key)
        assert "error" in answer and not is_rejected(answer), (
            "an isolated runner can't promise that no other runner has run the key"
        )
        assert status(await exchange(cluster.runners[0].uwsgi, uwsgi_request("submit", token=token()))) == 504
        assert content(await front.ask("check", body=b"x")) == b"did x"
        assert cluster.run_bodies() == [b"x"]


@asynchronous_test
async def test_uncovered_work_is_served_without_the_cluster_if_the_operator_allows_it() -> None:
    async with fleet(3, work=0.02, uncovered="alone") as cluster:
        cluster.kill(1)
        cluster.kill(2)
        assert (
            content(await (await cluster.connect_front_end(0)).ask("submit", token=token(), body=b"x"))
            == b"did x"
        )


@asynchronous_test
async def test_restarted_acceptors_recover_from_the_others_and_no_key_runs_twice() -> None:
    async with fleet(work=0.02) as cluster:
        tokens = [token() for _ in range(10)]
        assert all(
            is_served(key, answer) for key, answer in (await retry_requests(cluster, 0, tokens)).items()
        )
        for i in (1, 2, 3):  # One after the other, so that at most one of them is recovering at a time.
            cluster.runners[i].process.kill()
            cluster.runners[i].process.wait()
            cluster.runners[i].restart()
            await cluster.runners[i].ready()
            await wait_until_recovered(cluster, i)
        assert all(
            is_served(key, answer) for key, answer in (await retry_requests(cluster, 3, tokens)).items()
        )
        assert_ran_at_most_once(cluster, tokens)


@asynchronous_test
async def test_a_cluster_that_has_lost_all_state_votes_again_after_the_longest_window() -> None:
    async with fleet(3, work=0.02, window_ms=1000) as cluster:
        tokens = [token() for _ in range(5)]
        assert all(
            is_served(key, answer) for key, answer in (await retry_requests(cluster, 0, tokens)).items()
        )
        for runner in cluster.runners:
            runner.process.kill()
            runner.process.wait()
        for runner in cluster.runners:
            runner.restart()
        for runner in cluster.runners:
            await runner.ready()
        front = await cluster.connect_front_end(1)
        assert all(["error" in await front.ask("submit", token=key, body=key.encode()) for key in tokens])
        assert_ran_at_most_once(cluster, tokens)
        for i in range(3):
            await wait_until_recovered(cluster, i)
        assert "result" in await front.ask("submit", token=token())


@asynchronous_test
async def test_invalid_oversized_and_incomplete_frames_do_no_harm() -> None:
    async with fleet(3, work=0.02) as cluster:
        for data in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"\x7f\xff\xff\xff" + b"x" * 5000,
            b"\0\0\0\5\x91\xa1",
            b"\0\0\0\1\xc1",
            b"\0\0\0\2\x91\x01",
            os.urandom(3000),
        ):
            reader, writer = await asyncio.open_connection(HOST, cluster.ports[0])
            writer.write(data)
            with suppress(ConnectionError):
                await asyncio.wait_for(reader.read(), 5)
            writer.close()
        assert "result" in await (await cluster.connect_front_end(0)).ask("submit", token=token())


@asynchronous_test
async def test_a_runner_of_another_fleet_or_version_or_with_other_seats_is_rejected_with_the_reason() -> None:
    async with fleet(3, work=0.02) as cluster:
        for hello, reason in (
            (Hello(PROTOCOL_VERSION, "g", "", "n1", 1), "another fleet"),
            (Hello(9, "f", "", "n1", 1), "version"),
            (Hello(PROTOCOL_VERSION, "f", "", "n1", 1), "other seats"),
        ):
            reader, writer = await asyncio.open_connection(HOST, cluster.ports[0])
            frame = encode([hello])
            writer.write(len(frame).to_bytes(4, "big") + frame)
            response = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            (answer,) = decode(response[4:])
            assert isinstance(answer, HandshakeRejected) and reason in answer.reason


@asynchronous_test
async def test_no_work_is_lost_over_slow_links_that_break_within_frames() -> None:
    # The claim timeout is long because such links are slow on a busy machine.
    async with fleet(work=0.02, claim_ms=3_000) as cluster:
        for relay in cluster.relays.values():
            relay.cut_after_bytes, relay.delay_s = 20_000, 0.005
        tokens = [token() for _ in range(60)]
        for at in range(0, 60, 12):
            await retry_requests(cluster, at // 12 % 4, tokens[at : at + 12])
        answers = await retry_requests(cluster, 3, tokens[:30]) | await retry_requests(
            cluster, 2, tokens[30:]
        )
        assert_ran_at_most_once(cluster, tokens)
        assert all(is_served(key, answer) for key, answer in answers.items()), [
            answer for key, answer in answers.items() if not is_served(key, answer)
        ]


@asynchronous_test
async def test_a_process_that_was_replaced_keeps_its_work_until_it_exits() -> None:
    """In a hot restart the old process still lives. The other runners must not take its work over."""
    async with fleet(work=0.5) as cluster:
        requests = await send_requests(cluster, 10)
        runner = cluster.runners[0]
        kernel = Kernel(work=0.02)
        kernel.listen()
        runner.start(kernel.port)
        await runner.wait_until_healthy()
        key = next(iter(requests))
        assert is_served(key, (await retry_requests(cluster, 2, [key]))[key]), (
            "a retry at another runner must find the work of the old process"
        )
        runner.processes[0].send_signal(signal.SIGTERM)
        assert all([is_served(key, await answer) for key, answer in requests.items()])
        await wait_until(lambda: runner.processes[0].poll() == 0)
        assert not cluster.started_keys(1, 2, 3) and not kernel.runs, (
            "work of a living process was taken over"
        )
        await wait_until_recovered(cluster, 0)
        new_key = token()
        assert is_served(new_key, (await retry_requests(cluster, 0, [new_key]))[new_key])
        assert all(
            is_served(key, answer) for key, answer in (await retry_requests(cluster, 3, requests)).items()
        )
        assert_ran_at_most_once(cluster, requests)
        kernel.close()


async def wait_until_recovered(cluster: Fleet, i: int) -> None:
    """Wait until the acceptor of this runner has recovered."""

    async def has_recovered() -> bool:
        return bool((await cluster.runners[i].counters("fleet"))["remembers"])

    await until(has_recovered)
