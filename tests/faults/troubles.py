"""Faults that are applied to the runners from outside during a simulated day."""

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

DEADLINE_S, KILL_DELAY_S = 3.0, 0.7
PAUSE_S = 4.0  # Longer than a process waits for the other process of its runner.
INVALID_CONFIGURATIONS = ("", '{"name": "n1"', "[]")


async def reload_configurations(day: Day) -> None:
    """Load valid and invalid configurations in quick succession. Some add or remove a request class."""
    while True:
        await asyncio.sleep(0.2 + 0.4 * day.rng.random())
        node = day.nodes[day.rng.randrange(day.runner_count)]
        for _ in range(day.rng.randint(1, 3)):
            _configure(day, node)


def _configure(day: Day, node: Runner) -> None:
    path = Path(node.dir.name) / "config.json"
    choice = day.rng.randrange(5)
    if choice < len(INVALID_CONFIGURATIONS):
        path.write_text(INVALID_CONFIGURATIONS[choice])
    else:
        path.write_text(json.dumps(node.config | {"settings": _settings_variant(node, choice == 3)}))
    with suppress(ProcessLookupError):
        node.process.send_signal(signal.SIGHUP)


def _settings_variant(node: Runner, with_additional_class: bool) -> dict[str, Any]:
    settings = cast(dict[str, Any], node.config["settings"])
    if not with_additional_class:
        return settings
    additional_class: dict[str, Any] = settings["classes"][0] | {"name": "free-b", "effect": "single_shot"}
    extra: dict[str, Any] = settings["extra"]
    additional = {"classCalls": [*extra["classCalls"], True], "worthWithout": [0.5, 0, 0, 0]}
    return settings | {"classes": [*settings["classes"], additional_class], "extra": extra | additional}


async def pause_processes(day: Day) -> None:
    """Pause the process of a runner and continue it."""
    while True:
        await asyncio.sleep(0.5 + day.rng.random())
        node = day.nodes[day.rng.randrange(day.runner_count)]
        node.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(day.faults.pause_s)
        finally:
            node.process.send_signal(signal.SIGCONT)


async def restart_runners(day: Day) -> None:
    """End the process of a runner, and start a new one without the idempotency keys of the old one."""
    while True:
        await asyncio.sleep(0.3 + 0.5 * day.rng.random())
        index = day.rng.randrange(day.runner_count)
        node = day.nodes[index]
        await _terminate(node.process)
        day.restart_counts[index] += 1
        node.restart()
        await node.ready()


async def replace_processes(day: Day) -> None:
    """Start a second process, which takes over from the first while the first one serves."""
    while True:
        await asyncio.sleep(0.3 + 0.5 * day.rng.random())
        node = day.nodes[day.rng.randrange(day.runner_count)]
        old_process = node.process
        day.takeovers_before[str(node.config["name"])] = day.completed_takeovers(node)
        node.start(day.kernel_port())
        choice = day.rng.random()
        if choice < day.faults.failed_replacement_share:
            await _kill_new_process(day, node)
            continue
        if choice < day.faults.failed_replacement_share + day.faults.paused_replacement_share:
            await _pause_new_process(day, node)
        if day.rng.random() < day.faults.early_sigterm_share:
            await asyncio.sleep(1.2 * day.rng.random())
        else:
            await node.wait_until_healthy()
        await _terminate(old_process)
        await node.wait_until_healthy()


async def _pause_new_process(day: Day, node: Runner) -> None:
    """Pause the new process at a random step for longer than the old one waits for it, then continue it."""
    await asyncio.sleep(1.2 * day.rng.random())
    try:
        async with _paused(day, node):
            await asyncio.sleep(PAUSE_S)
    finally:
        node.process.send_signal(signal.SIGCONT)


async def drain_runners(day: Day) -> None:
    """Drain a runner by its console and resume it."""
    while True:
        await asyncio.sleep(0.3 + 0.5 * day.rng.random())
        node = day.nodes[day.rng.randrange(day.runner_count)]
        console = node.console
        await node.call_console("quiesce", console)
        await asyncio.sleep(day.rng.random())
        await node.call_console("resume", console)


async def _kill_new_process(day: Day, node: Runner) -> None:
    """Kill the new process at a random step. In half of the cases it is paused first, so that the old one gives up."""
    await asyncio.sleep(1.2 * day.rng.random())
    pauses_first = day.rng.random() < 0.5
    try:
        if pauses_first:
            async with _paused(day, node):
                await asyncio.sleep(2 * day.rng.random())
    finally:
        day.killed[day.nodes.index(node)] = time.monotonic()
        node.process.kill()
        node.process.wait()
        node.processes.pop()


@asynccontextmanager
async def _paused(day: Day, node: Runner) -> AsyncIterator[None]:
    """Pause the new process during the context, and record the pause if the process serves.

    A process that serves can't answer while it is paused, so its answers are due later. Until the new process has
    taken over, the old process must answer in time.
    """
    node.process.send_signal(signal.SIGSTOP)
    name, began = str(node.config["name"]), time.monotonic()
    try:
        yield
    finally:
        if day.completed_takeovers(node) > day.takeovers_before[name]:
            day.pauses[name].append((began, time.monotonic()))


async def open_idle_connections(day: Day) -> None:
    """Open connections that send nothing or half a line, and close random ones if there are too many."""
    connections: list[socket.socket] = []
    try:
        while True:
            node = day.nodes[day.rng.randrange(day.runner_count)]
            for _ in range(day.faults.idle_connections // 10):
                connections.append(_connect(node.port))
                if day.rng.random() < 0.5:
                    with suppress(OSError):
                        connections[-1].send(b'{"jsonrpc":"2.0","id":1,"met')
            while len(connections) > day.faults.idle_connections:
                connections.pop(day.rng.randrange(len(connections))).close()
            await asyncio.sleep(0.05)
    finally:
        for connection in connections:
            connection.close()


def _connect(port: int) -> socket.socket:
    connection = socket.socket()
    connection.setblocking(False)
    connection.connect_ex((HOST, port))
    return connection


async def _terminate(process: subprocess.Popen[bytes]) -> None:
    """Send SIGTERM, and SIGKILL if the process is alive after the shortest time that a process manager waits."""
    process.send_signal(signal.SIGTERM)
    end = time.monotonic() + DEADLINE_S + KILL_DELAY_S
    while process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.02)
    if process.poll() is None:
        process.kill()
        process.wait()
