"""Chains of replacements over real processes: keys that later processes know only from the one before them."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import pytest

from .fleets import Fleet, fleet, token
from .stand_ins import FrontEnd, Kernel, Runner, content
from .test_replacing import ReplaceableRunner, replaceable_runner
from .test_sockets import asynchronous_test, new_key, wait_until
from .test_takeover import wait_until_recovered

processes = pytest.mark.processes
REPLACEMENTS = 3
PEER_READ_S = 0.3  # within this time after a caller has its answer, the other process has the result as well


async def end_old_process(runner: Runner) -> None:
    """End the process before the last one as the page on daily operation says, and wait until it has exited."""
    old = runner.processes[-2]
    old.send_signal(signal.SIGTERM)
    await wait_until(lambda: old.poll() is not None)


async def submit(replaceable: ReplaceableRunner, keys: list[str]) -> list[dict[str, Any]]:
    """Send a request with each key, and return the answers."""
    front = await FrontEnd.connect(replaceable.runner.port)
    return [await front.ask("submit", token=key, body=key.encode()) for key in keys]


@processes
@asynchronous_test
async def test_results_outlast_three_replacements_in_a_row() -> None:
    """From the second replacement on, each request that ran before the first one ran again when it was repeated."""
    async with replaceable_runner() as replaceable:
        keys = [new_key() for _ in range(10)]
        await submit(replaceable, keys)
        for _ in range(REPLACEMENTS):
            await replaceable.replace()
            await end_old_process(replaceable.runner)
        answers = await submit(replaceable, keys)
        assert [content(answer) for answer in answers] == [b"did " + key.encode() for key in keys]
        assert sorted(replaceable.run_bodies()) == sorted(key.encode() for key in keys)


@processes
@asynchronous_test
async def test_a_run_that_outlasts_its_process_being_replaced_does_not_run_again_later() -> None:
    """A run is open during the first replacement. After the second one its request ran again."""
    async with replaceable_runner(work=2.5) as replaceable:
        key = new_key()
        front = await FrontEnd.connect(replaceable.runner.port)
        first = front.send("submit", token=key, body=b"once")
        await wait_until(lambda: replaceable.run_bodies() == [b"once"])
        for _ in range(REPLACEMENTS):
            await replaceable.replace()
            await end_old_process(replaceable.runner)
        assert content(await first) == b"did once"
        front = await FrontEnd.connect(replaceable.runner.port)
        assert content(await front.ask("submit", token=key, body=b"once")) == b"did once"
        assert replaceable.run_bodies() == [b"once"]


@processes
@asynchronous_test
async def test_keys_of_a_killed_successor_are_handed_on_by_its_predecessor() -> None:
    """The successor runs requests and dies. Once its predecessor was replaced, they ran again."""
    async with replaceable_runner() as replaceable:
        runner = replaceable.runner
        keys = [new_key() for _ in range(10)]
        await submit(replaceable, keys[:5])
        await replaceable.replace()
        await submit(replaceable, keys[5:])
        await asyncio.sleep(PEER_READ_S)
        runner.processes[1].kill()
        await wait_until(lambda: "is alone (the other one has died)" in runner.read_log())
        await replaceable.replace()
        runner.processes[0].send_signal(signal.SIGTERM)
        await wait_until(lambda: runner.processes[0].poll() is not None)
        answers = await submit(replaceable, keys)
        assert [content(answer) for answer in answers] == [b"did " + key.encode() for key in keys]
        assert len(replaceable.run_bodies()) == len(keys)


async def replace_runner(cluster: Fleet, i: int, kernels: list[Kernel]) -> None:
    """Replace the process of one runner of a fleet completely."""
    kernel = Kernel(work=0.02)
    kernel.listen()
    kernels.append(kernel)
    cluster.runners[i].start(kernel.port)
    await cluster.runners[i].wait_until_healthy()
    await end_old_process(cluster.runners[i])
    await wait_until_recovered(cluster, i)


@processes
@asynchronous_test
async def test_no_key_of_a_fleet_runs_again_after_each_runner_was_replaced_three_times() -> None:
    """Each runner's registers come from the others, which have theirs from others in turn."""
    kernels: list[Kernel] = []
    async with fleet(3, work=0.02) as cluster:
        try:
            keys = [token() for _ in range(12)]
            for at, key in enumerate(keys):
                front = await cluster.connect_front_end(at % 3)
                await front.ask("submit", token=key, body=key.encode())
            for _ in range(REPLACEMENTS):
                for i in range(3):
                    await replace_runner(cluster, i, kernels)
            for at in range(3):
                front = await cluster.connect_front_end(at)
                for key in keys:
                    answer = await front.ask("submit", token=key, body=key.encode())
                    assert content(answer) == b"did " + key.encode()
            bodies = cluster.run_bodies() + [body for kernel in kernels for _, _, body in kernel.runs]
            assert sorted(bodies) == sorted(key.encode() for key in keys)
        finally:
            for kernel in kernels:
                kernel.close()
