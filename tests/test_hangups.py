"""New configurations that come at a bad moment: as a process begins, and while files can't be opened."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from .faults.day import INJECT
from .stand_ins import HOST, FrontEnd, Kernel, running
from .test_sockets import asynchronous_test, wait_until

pytestmark = pytest.mark.processes


def environment(error: str, start: Path | None, until_s: float) -> dict[str, str]:
    plan = json.dumps([("open", error, 0, until_s, 1.0)])
    begins = {} if start is None else {"FAULT_START": str(start)}
    return {"PYTHONPATH": str(INJECT), "FAULT_PLAN": plan, **begins}


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "EIO"])
@asynchronous_test
async def test_a_configuration_that_can_not_be_opened_for_a_moment_is_taken_when_it_can(
    tmp_path: Path, error: str
) -> None:
    start, moved = tmp_path / "start", Kernel(work=0.01)
    moved.listen()
    async with running(Kernel(), environment=environment(error, start, 1.5)) as r:
        start.touch()
        r.reload(kernel=f"{HOST}:{moved.port}")
        await asyncio.sleep(0.5)
        assert not moved.opened
        await wait_until(lambda: bool(moved.opened))
        assert "result" in await (await FrontEnd.connect(r.port)).ask("check")
        assert moved.runs and 1 <= r.text().count("configuration temporarily unreadable") <= 3
        assert "configuration not changed" not in r.text()
    moved.close()


@asynchronous_test
async def test_the_newest_of_several_configurations_is_taken_and_a_bad_one_is_turned_down(
    tmp_path: Path,
) -> None:
    start, moved = tmp_path / "start", Kernel(work=0.01)
    moved.listen()
    async with running(Kernel(), environment=environment("ENFILE", start, 1.0)) as r:
        start.touch()
        r.reload(kernel="nowhere")
        await asyncio.sleep(0.2)
        r.reload(kernel=f"{HOST}:{moved.port}")
        await wait_until(lambda: bool(moved.opened))
        assert r.text().count("configuration read again") == 1
        r.reload(kernel="nowhere")
        await wait_until(lambda: "configuration not changed" in r.text())
    moved.close()


@asynchronous_test
async def test_a_start_waits_until_its_configuration_can_be_opened() -> None:
    async with running(Kernel(), environment=environment("ENFILE", None, 1.5)) as r:
        assert "result" in await (await FrontEnd.connect(r.port)).ask("check")


@pytest.mark.parametrize(
    "module",
    ["moorusher.server.main", "moorusher.config.loader", "twisted.internet", "moorusher.server.server"],
)
@asynchronous_test
async def test_a_hangup_as_a_process_begins_does_not_end_it(module: str) -> None:
    hangup = {"PYTHONPATH": str(INJECT), "FAULT_HANGUP": module}
    async with running(Kernel(), environment=hangup) as r:
        assert "result" in await (await FrontEnd.connect(r.port)).ask("check")
        assert r.process.poll() is None
