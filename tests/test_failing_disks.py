"""A cluster with journals on disks that fail for seconds: no acknowledged result is lost, and no key runs twice."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import pytest

from .faults.day import INJECT
from .fleets import Fleet, fleet, token
from .stand_ins import until
from .test_sockets import asynchronous_test, wait_until
from .test_takeover import assert_ran_at_most_once, is_rejected, is_served, retry_requests

pytestmark = pytest.mark.processes

FROM_S, TO_S = 0.5, 2.5  # The disks fail between these times after the start file has been created.
ROUNDS = 12
REQUESTS_PER_ROUND = 4
ROUND_S = 0.25
BATCH_SIZE = 8  # The number of open requests of a connection is limited.
ENDED = -32000  # Error code of a request that may have run.

DiskFault = tuple[str, str, float]  # Call, error and fraction of the calls that fail.

DISK_FAULTS: dict[str, tuple[DiskFault, ...]] = {
    "full": (("disk write", "ENOSPC", 1.0),),
    "write fails": (("disk write", "EIO", 0.5),),
    "sync fails": (("disk sync", "EIO", 0.5),),
    "rename fails": (("disk sync", "EIO", 0.3), ("disk rename", "EIO", 0.7)),
    "short writes": (("disk write", "SHORT", 0.7),),
}


def fault_environment(start: Path, disk_faults: tuple[DiskFault, ...], *runners: int) -> Any:
    """Return a function from a runner to its environment; disks of `runners` fail once the file `start` exists."""
    plan = json.dumps([(call, error, FROM_S, TO_S, fraction) for call, error, fraction in disk_faults])

    def environment_of(i: int) -> Mapping[str, str]:
        faults = {"FAULT_PLAN": plan, "FAULT_START": str(start)} if i in runners else {}
        return {"PYTHONPATH": str(INJECT), "FAULT_SEED": str(i), **faults}

    return environment_of


async def send_requests(cluster: Fleet, start: Path) -> dict[str, dict[str, Any]]:
    """Start the faults and send requests to each runner in turn while disks fail; return the answers by token."""
    start.touch()
    answers: dict[str, dict[str, Any]] = {}
    pending: dict[str, asyncio.Future[dict[str, Any]]] = {}
    for number in range(ROUNDS):
        front_end = await cluster.connect_front_end(number % len(cluster.runners))
        for key in (token() for _ in range(REQUESTS_PER_ROUND)):
            pending[key] = front_end.send("submit", token=key, body=key.encode())
        await asyncio.sleep(ROUND_S)
    for key, answer in pending.items():
        answers[key] = await asyncio.wait_for(answer, 10)
    return answers


async def retry_all(cluster: Fleet, at: int, tokens: Iterable[str]) -> dict[str, dict[str, Any]]:
    """Retry each token at one runner, in batches; return the answers by token."""
    answers: dict[str, dict[str, Any]] = {}
    retried = list(tokens)
    for first in range(0, len(retried), BATCH_SIZE):
        answers |= await retry_requests(cluster, at, retried[first : first + BATCH_SIZE])
    return answers


async def assert_disks_failed(cluster: Fleet, kind: str, *runners: int) -> None:
    """Assert that the faults took effect: these runners report a failed disk, except for short writes."""
    for i in runners:
        reported = (await cluster.runners[i].counters()).get("fleet: the disk failed", 0)
        assert bool(reported) == (kind != "short writes")


async def is_settled(cluster: Fleet) -> bool:
    """Return whether a majority has each result. This is the case some ms after the answer is sent."""
    return not any([(await runner.counters("fleet/work"))["work"] for runner in cluster.runners])


async def restart_all_after_power_loss(cluster: Fleet) -> None:
    """Kill all runners at once and start them again, with only the state on their disks, which no longer fail."""
    for runner in cluster.runners:
        runner.process.kill()
    await cluster.wait_for_exit()
    for runner in cluster.runners:
        runner.environment = {}
        runner.restart()
    for runner in cluster.runners:
        await runner.ready()


def assert_first_answers_are_true(cluster: Fleet, answers: Mapping[str, dict[str, Any]]) -> None:
    """Assert that rejected requests did not run and that served ones did; must be called before any retry."""
    executed = cluster.started_keys(*range(len(cluster.runners)))
    for key, answer in answers.items():
        assert not is_rejected(answer) or key not in executed, "a rejected request was executed"
        assert not is_served(key, answer) or key in executed


@pytest.mark.parametrize("kind", DISK_FAULTS)
@asynchronous_test
async def test_a_failing_disk_of_one_runner_in_three_loses_no_result(kind: str, tmp_path: Path) -> None:
    start = tmp_path / "start"
    async with fleet(
        3,
        work=0.02,
        journals=True,
        claim_ms=3_000,
        environment=fault_environment(start, DISK_FAULTS[kind], 1),
    ) as cluster:
        answers = await send_requests(cluster, start)
        assert_first_answers_are_true(cluster, answers)
        await assert_disks_failed(cluster, kind, 1)
        retried = await retry_all(cluster, 2, answers)
        assert not [answer for key, answer in retried.items() if not is_served(key, answer)]
        assert_ran_at_most_once(cluster, answers)


@pytest.mark.parametrize("kind", DISK_FAULTS)
@asynchronous_test
async def test_a_cluster_whose_disks_all_fail_recovers_when_the_disks_do(kind: str, tmp_path: Path) -> None:
    """After the recovery, a power loss of all runners must not lose an acknowledged result."""
    start = tmp_path / "start"
    async with fleet(
        3,
        work=0.02,
        journals=True,
        claim_ms=500,
        environment=fault_environment(start, DISK_FAULTS[kind], 0, 1, 2),
    ) as cluster:
        answers = await send_requests(cluster, start)
        assert_first_answers_are_true(cluster, answers)
        await assert_disks_failed(cluster, kind, 0, 1, 2)
        retried = await retry_all(cluster, 2, answers)
        not_served = {key: answer for key, answer in retried.items() if not is_served(key, answer)}
        assert not [answer for answer in not_served.values() if answer["error"]["code"] != ENDED]
        assert_ran_at_most_once(cluster, answers)
        new = [token() for _ in range(6)]
        assert all(is_served(key, answer) for key, answer in (await retry_requests(cluster, 1, new)).items())
        assert_ran_at_most_once(cluster, [*answers, *new])
        acknowledged = [*new, *(key for key in answers if key not in not_served)]
        await until(lambda: is_settled(cluster))
        await restart_all_after_power_loss(cluster)
        after = await retry_all(cluster, 0, acknowledged)
        assert not [answer for key, answer in after.items() if not is_served(key, answer)], (
            "a result was lost"
        )
        assert_ran_at_most_once(cluster, acknowledged)


@asynchronous_test
async def test_a_process_killed_within_the_write_of_a_record_restores_its_promises(tmp_path: Path) -> None:
    """One runner is killed with a partial record in its journal, and restarted; then another runner is killed."""
    start = tmp_path / "start"
    async with fleet(
        3,
        work=0.02,
        journals=True,
        claim_ms=3_000,
        environment=fault_environment(start, (("disk write", "KILL", 0.5),), 1),
    ) as cluster:
        before = [token() for _ in range(6)]
        assert all(
            is_served(key, answer) for key, answer in (await retry_requests(cluster, 0, before)).items()
        )
        start.touch()
        during: list[str] = []
        front_end = await cluster.connect_front_end(0)
        while cluster.runners[1].process.poll() is None:
            during.append(token())
            assert is_served(
                during[-1], await front_end.ask("submit", token=during[-1], body=during[-1].encode())
            )
            await asyncio.sleep(0.05)
        cluster.runners[1].environment = {}
        cluster.runners[1].restart()
        await cluster.runners[1].ready()
        cluster.kill(2)
        tokens = [*before, *during]
        retried = await retry_all(cluster, 1, tokens)
        assert all(is_served(key, answer) for key, answer in retried.items()), (
            "two of three disks have every result"
        )
        assert_ran_at_most_once(cluster, tokens)
        await wait_until(lambda: "keys restored" in cluster.runners[1].read_log())
