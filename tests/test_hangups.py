"""SIGHUP (reload) at a bad moment: while a process starts, and while the configuration can't be opened."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from .faults.day import INJECT
from .stand_ins import HOST, FrontEnd, Kernel, running
from .test_sockets import asynchronous_test, wait_until

pytestmark = pytest.mark.processes


def fault_environment(error: str, start: Path | None, duration_s: float) -> dict[str, str]:
    """Return the environment in which `open` fails: from the process's start, or once the file `start` exists."""
    plan = json.dumps([("open", error, 0, duration_s, 1.0)])
    trigger = {} if start is None else {"FAULT_START": str(start)}
    return {"PYTHONPATH": str(INJECT), "FAULT_PLAN": plan, **trigger}


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "EIO"])
@asynchronous_test
async def test_a_configuration_that_can_not_be_opened_for_a_moment_is_applied_later(
    tmp_path: Path, error: str
) -> None:
    start, new_kernel = tmp_path / "start", Kernel(work=0.01)
    new_kernel.listen()
    async with running(Kernel(), environment=fault_environment(error, start, 1.5)) as runner:
        start.touch()
        runner.reload(kernel=f"{HOST}:{new_kernel.port}")
        await asyncio.sleep(0.5)
        assert not new_kernel.opened
        await wait_until(lambda: bool(new_kernel.opened))
        assert "result" in await (await FrontEnd.connect(runner.port)).ask("check")
        assert new_kernel.runs and 1 <= runner.read_log().count("configuration temporarily unreadable") <= 3
        assert "configuration not changed" not in runner.read_log()
    new_kernel.close()


@asynchronous_test
async def test_the_latest_of_several_configurations_is_applied_and_an_invalid_one_is_rejected(
    tmp_path: Path,
) -> None:
    start, new_kernel = tmp_path / "start", Kernel(work=0.01)
    new_kernel.listen()
    async with running(Kernel(), environment=fault_environment("ENFILE", start, 1.0)) as runner:
        start.touch()
        runner.reload(kernel="nowhere")
        await asyncio.sleep(0.2)
        runner.reload(kernel=f"{HOST}:{new_kernel.port}")
        await wait_until(lambda: bool(new_kernel.opened))
        assert runner.read_log().count("configuration read again") == 1
        runner.reload(kernel="nowhere")
        await wait_until(lambda: "configuration not changed" in runner.read_log())
    new_kernel.close()


@asynchronous_test
async def test_a_process_waits_at_startup_until_its_configuration_can_be_opened() -> None:
    async with running(Kernel(), environment=fault_environment("ENFILE", None, 1.5)) as runner:
        assert "result" in await (await FrontEnd.connect(runner.port)).ask("check")


@pytest.mark.parametrize(
    "module",
    ["moorusher.server.main", "moorusher.config.loader", "twisted.internet", "moorusher.server.server"],
)
@asynchronous_test
async def test_a_sighup_during_startup_does_not_end_the_process(module: str) -> None:
    hangup = {"PYTHONPATH": str(INJECT), "FAULT_HANGUP": module}
    async with running(Kernel(), environment=hangup) as runner:
        assert "result" in await (await FrontEnd.connect(runner.port)).ask("check")
        assert runner.process.poll() is None
