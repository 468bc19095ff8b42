"""A fleet with journals on disks that fail for seconds: what was taken on is owed, and no key runs twice."""

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

FROM_S, TO_S = 0.5, 2.5  # after the test has said so
ROUNDS = 12
AT_ONCE = 4
ROUND_S = 0.25
BATCH = 8  # a connection has bounds
ENDED = -32000  # it may have run

Failing = tuple[str, str, float]  # call, error and share of the calls

KINDS: dict[str, tuple[Failing, ...]] = {
    "full": (("disk write", "ENOSPC", 1.0),),
    "write fails": (("disk write", "EIO", 0.5),),
    "sync fails": (("disk sync", "EIO", 0.5),),
    "rename fails": (("disk sync", "EIO", 0.3), ("disk rename", "EIO", 0.7)),
    "short writes": (("disk write", "SHORT", 0.7),),
}


def environment(start: Path, failing: tuple[Failing, ...], *at: int) -> Any:
    """Disks of these runners fail from when `start` is there."""
    plan = json.dumps([(call, error, FROM_S, TO_S, share) for call, error, share in failing])

    def of(i: int) -> Mapping[str, str]:
        faults = {"FAULT_PLAN": plan, "FAULT_START": str(start)} if i in at else {}
        return {"PYTHONPATH": str(INJECT), "FAULT_SEED": str(i), **faults}

    return of


async def load(f: Fleet, start: Path) -> dict[str, dict[str, Any]]:
    """Requests at each runner in turn, over the time in which disks fail, each with its first answer."""
    start.touch()
    answers: dict[str, dict[str, Any]] = {}
    asked: dict[str, asyncio.Future[dict[str, Any]]] = {}
    for number in range(ROUNDS):
        front = await f.connect_front_end(number % len(f.runners))
        for t in (token() for _ in range(AT_ONCE)):
            asked[t] = front.send("submit", token=t, body=t.encode())
        await asyncio.sleep(ROUND_S)
    for t, answer in asked.items():
        answers[t] = await asyncio.wait_for(answer, 10)
    return answers


async def results(f: Fleet, at: int, tokens: Iterable[str]) -> dict[str, dict[str, Any]]:
    """Each asked for again, a few at a time."""
    found: dict[str, dict[str, Any]] = {}
    wanted = list(tokens)
    for first in range(0, len(wanted), BATCH):
        found |= await retry_requests(f, at, wanted[first : first + BATCH])
    return found


async def disks_failed(f: Fleet, kind: str, *at: int) -> None:
    """The fault was played: each of these says that its disk failed, or none where writes were only short."""
    for i in at:
        told = (await f.runners[i].counters()).get("fleet: the disk failed", 0)
        assert bool(told) == (kind != "short writes")


async def settled(f: Fleet) -> bool:
    """An answer goes out some ms before a majority has the result: none of that is left to do."""
    return not any([(await runner.counters("fleet/work"))["work"] for runner in f.runners])


async def lose_power(f: Fleet) -> None:
    """All runners at once; the next processes find only their disks, which are well again."""
    for runner in f.runners:
        runner.process.kill()
    await f.wait_for_exit()
    for runner in f.runners:
        runner.environment = {}
        runner.again()
    for runner in f.runners:
        await runner.ready()


def judge_first(f: Fleet, answers: Mapping[str, dict[str, Any]]) -> None:
    """A refusal is a promise that it did not run; no token of these has been asked for again yet."""
    ran = f.started_keys(*range(len(f.runners)))
    for t, answer in answers.items():
        assert not is_rejected(answer) or t not in ran, "refused, and it ran"
        assert not is_served(t, answer) or t in ran


@pytest.mark.parametrize("kind", KINDS)
@asynchronous_test
async def test_one_failing_disk_of_three_costs_no_result(kind: str, tmp_path: Path) -> None:
    start = tmp_path / "start"
    async with fleet(
        3, work=0.02, journals=True, claim_ms=3_000, environment=environment(start, KINDS[kind], 1)
    ) as f:
        answers = await load(f, start)
        judge_first(f, answers)
        await disks_failed(f, kind, 1)
        again = await results(f, 2, answers)
        assert not [a for t, a in again.items() if not is_served(t, a)]
        assert_ran_at_most_once(f, answers)


@pytest.mark.parametrize("kind", KINDS)
@asynchronous_test
async def test_a_fleet_whose_disks_all_fail_goes_on_by_itself_when_they_recover(
    kind: str, tmp_path: Path
) -> None:
    start = tmp_path / "start"
    async with fleet(
        3, work=0.02, journals=True, claim_ms=500, environment=environment(start, KINDS[kind], 0, 1, 2)
    ) as f:
        answers = await load(f, start)
        judge_first(f, answers)
        await disks_failed(f, kind, 0, 1, 2)
        again = await results(f, 2, answers)
        not_served = {t: a for t, a in again.items() if not is_served(t, a)}
        assert not [a for a in not_served.values() if a["error"]["code"] != ENDED]
        assert_ran_at_most_once(f, answers)
        fresh = [token() for _ in range(6)]
        assert all(is_served(t, a) for t, a in (await retry_requests(f, 1, fresh)).items())
        assert_ran_at_most_once(f, [*answers, *fresh])
        known = [*fresh, *(t for t in answers if t not in not_served)]
        await until(lambda: settled(f))
        await lose_power(f)
        after = await results(f, 0, known)
        assert not [a for t, a in after.items() if not is_served(t, a)], (
            "what was said to be done is forgotten"
        )
        assert_ran_at_most_once(f, known)


@asynchronous_test
async def test_a_process_killed_with_half_a_record_written_comes_back_with_what_it_promised(
    tmp_path: Path,
) -> None:
    start = tmp_path / "start"
    async with fleet(
        3,
        work=0.02,
        journals=True,
        claim_ms=3_000,
        environment=environment(start, (("disk write", "KILL", 0.5),), 1),
    ) as f:
        first = [token() for _ in range(6)]
        assert all(is_served(t, a) for t, a in (await retry_requests(f, 0, first)).items())
        start.touch()
        asked: list[str] = []
        front = await f.connect_front_end(0)
        while f.runners[1].process.poll() is None:
            asked.append(token())
            assert is_served(asked[-1], await front.ask("submit", token=asked[-1], body=asked[-1].encode()))
            await asyncio.sleep(0.05)
        f.runners[1].environment = {}
        f.runners[1].again()
        await f.runners[1].ready()
        f.kill(2)
        everything = [*first, *asked]
        got = await results(f, 1, everything)
        assert all(is_served(t, a) for t, a in got.items()), "two of three have it on their disks"
        assert_ran_at_most_once(f, everything)
        await wait_until(lambda: "keys recalled" in f.runners[1].text())
