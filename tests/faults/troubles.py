"""What is done to the runners of a day while it is played."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

from ..stand_ins import HOST

if TYPE_CHECKING:
    from ..stand_ins import Runner
    from .day import Day

DEADLINE_S, KILL_MORE_S = 3.0, 0.7
STILL_S = 4.0  # longer than a process waits for another one of its runner
BAD = ("", '{"name": "n1"', "[]")


async def reloading(day: Day) -> None:
    """Configurations in a row, good and bad ones, also back to back; classes come and go."""
    while True:
        await asyncio.sleep(0.2 + 0.4 * day.draw.random())
        node = day.nodes[day.draw.randrange(day.runners)]
        for _ in range(day.draw.randint(1, 3)):
            _configure(day, node)


def _configure(day: Day, node: Runner) -> None:
    path = Path(node.dir.name) / "config.json"
    choice = day.draw.randrange(5)
    if choice < len(BAD):
        path.write_text(BAD[choice])
    else:
        path.write_text(json.dumps(node.config | {"settings": _with_or_without_another(node, choice == 3)}))
    with suppress(ProcessLookupError):
        node.process.send_signal(signal.SIGHUP)


def _with_or_without_another(node: Runner, another: bool) -> dict[str, Any]:
    settings = cast(dict[str, Any], node.config["settings"])
    if not another:
        return settings
    first: dict[str, Any] = settings["classes"][0] | {"name": "free-b", "effect": "single_shot"}
    extra: dict[str, Any] = settings["extra"]
    more = {"classCalls": [*extra["classCalls"], True], "worthWithout": [0.5, 0, 0, 0]}
    return settings | {"classes": [*settings["classes"], first], "extra": extra | more}


async def stopping(day: Day) -> None:
    """A process stands still for a while, and goes on."""
    while True:
        await asyncio.sleep(0.5 + day.draw.random())
        node = day.nodes[day.draw.randrange(day.runners)]
        node.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(day.faults.stopped_s)
        finally:
            node.process.send_signal(signal.SIGCONT)


async def restarting(day: Day) -> None:
    """A runner leaves, and starts anew from nothing once it has ended."""
    while True:
        await asyncio.sleep(0.3 + 0.5 * day.draw.random())
        index = day.draw.randrange(day.runners)
        node = day.nodes[index]
        await _told_to_end(node.process)
        day.lives[index] += 1
        node.again()
        await node.ready()


async def replacing(day: Day) -> None:
    """A second process takes over from the first while that serves."""
    while True:
        await asyncio.sleep(0.3 + 0.5 * day.draw.random())
        node = day.nodes[day.draw.randrange(day.runners)]
        former = node.process
        day.let_on[str(node.config["name"])] = day.lets_on(node)
        node.start(day.kernel_port())
        choice = day.draw.random()
        if choice < day.faults.failed_replacements:
            await _fails(day, node)
            continue
        if choice < day.faults.failed_replacements + day.faults.woken_replacements:
            await _stands_still(day, node)
        if day.draw.random() < day.faults.told_early:
            await asyncio.sleep(1.2 * day.draw.random())
        else:
            await node.says_yes()
        await _told_to_end(former)
        await node.says_yes()


async def _stands_still(day: Day, node: Runner) -> None:
    """The new process is stopped at some step, for longer than the former one waits for it, and goes on."""
    await asyncio.sleep(1.2 * day.draw.random())
    try:
        async with _stopped(day, node):
            await asyncio.sleep(STILL_S)
    finally:
        node.process.send_signal(signal.SIGCONT)


async def draining(day: Day) -> None:
    """An operator drains a runner by its console, and takes it back into service."""
    while True:
        await asyncio.sleep(0.3 + 0.5 * day.draw.random())
        node = day.nodes[day.draw.randrange(day.runners)]
        console = node.console
        await node.asked("quiesce", console)
        await asyncio.sleep(day.draw.random())
        await node.asked("resume", console)


async def _fails(day: Day, node: Runner) -> None:
    """The new process is killed at some step, or stands still for so long that the former one gives it up."""
    await asyncio.sleep(1.2 * day.draw.random())
    stands_still = day.draw.random() < 0.5
    try:
        if stands_still:
            async with _stopped(day, node):
                await asyncio.sleep(2 * day.draw.random())
    finally:
        day.killed[day.nodes.index(node)] = time.monotonic()
        node.process.kill()
        node.process.wait()
        node.processes.pop()


@asynccontextmanager
async def _stopped(day: Day, node: Runner) -> AsyncIterator[None]:
    """Whoever asks a process that stands still, and is the one that serves, hears nothing until that is over. One that
    has not been let on yet frees nobody of an answer."""
    node.process.send_signal(signal.SIGSTOP)
    name, began = str(node.config["name"]), time.monotonic()
    try:
        yield
    finally:
        if day.lets_on(node) > day.let_on[name]:
            day.still[name].append((began, time.monotonic()))


async def crowding(day: Day) -> None:
    """Others open connections without end, and say nothing or half a line on them."""
    crowd: list[socket.socket] = []
    try:
        while True:
            node = day.nodes[day.draw.randrange(day.runners)]
            for _ in range(day.faults.crowd // 10):
                crowd.append(_connect(node.port))
                if day.draw.random() < 0.5:
                    with suppress(OSError):
                        crowd[-1].send(b'{"jsonrpc":"2.0","id":1,"met')
            while len(crowd) > day.faults.crowd:
                crowd.pop(day.draw.randrange(len(crowd))).close()
            await asyncio.sleep(0.05)
    finally:
        for one in crowd:
            one.close()


def _connect(port: int) -> socket.socket:
    made = socket.socket()
    made.setblocking(False)
    made.connect_ex((HOST, port))
    return made


async def _told_to_end(process: subprocess.Popen[bytes]) -> None:
    """SIGTERM, and SIGKILL as early as it may come."""
    process.send_signal(signal.SIGTERM)
    end = time.monotonic() + DEADLINE_S + KILL_MORE_S
    while process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.02)
    if process.poll() is None:
        process.kill()
        process.wait()
