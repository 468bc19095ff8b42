"""Clusters of real runners with their kernels, in which each link between two runners leads through a relay."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from moorusher.lab.relays import Relay
from moorusher.membership.placement import Placement
from moorusher.membership.policy import Seat
from moorusher.replication.work_record import key_of

from .stand_ins import HOST, SETTINGS, FrontEnd, Kernel, Runner, exchange, free_port, reactor, until

TOKEN = "t0p"


class Fleet:
    """A cluster of runners. Runner i has kernel i; `relays[i, j]` carries the connections from i to j."""

    def __init__(
        self,
        count: int,
        uncovered: str = "refuse",
        window_ms: int = 20_000,
        journals: bool = False,
        aim_ms: int = 3000,
        deadline_ms: int = 8000,
        more: Callable[[int], str] = lambda i: "",
        copies: int = 3,
        claim_ms: int = 250,
        environment: Callable[[int], Mapping[str, str]] = lambda i: {},
        **kernel_options: Any,
    ) -> None:
        self.ports = [free_port() for _ in range(count)]
        self.relays = {
            (i, j): Relay(reactor(), self.ports[j]) for i in range(count) for j in range(count) if i != j
        }
        self._kernel_options = kernel_options
        self._journals = tempfile.TemporaryDirectory() if journals else None
        self.kernels = [Kernel(**kernel_options) for _ in range(count)]
        for kernel in self.kernels:
            kernel.listen()
        check, submit = SETTINGS["classes"]
        settings = SETTINGS | {
            "classes": [check, submit | {"windowMs": window_ms, "aimMs": aim_ms, "deadlineMs": deadline_ms}]
        }
        self.uncovered, self._more, self._copies, self._claim_ms = uncovered, more, copies, claim_ms
        self.runners = [
            Runner(
                self.kernels[i].port,
                None,
                None,
                None,
                None,
                settings,
                self.toml(i),
                name=f"n{i}",
                environment=environment(i),
            )
            for i in range(count)
        ]
        self.paused: set[int] = set()
        self._front_ends: list[FrontEnd] = []  # References that keep the connections open.

    def toml(self, i: int) -> str:
        seats = "".join(
            f'[[fleet.seat]]\nname = "n{j}"\nzone = "z{j % 2}"\n'
            f'address = "{HOST}:{self.relays[i, j].port if i != j else self.ports[i]}"\n'
            for j in range(len(self.ports))
        )
        journal = f'journal = "{self._journals.name}/n{i}"\n' if self._journals else ""
        return (
            f'[fleet]\nlisten = "{HOST}:{self.ports[i]}"\nname = "f"\nuncovered = "{self.uncovered}"\n'
            f"copies = {self._copies}\nclaim_ms = {self._claim_ms}\n"
            f"{journal}{seats}{self._more(i)}"
        )

    async def bootstrap(self) -> None:
        """Bootstrap the cluster and wait until all acceptors vote."""
        for runner in self.runners:
            await runner.ready()

        async def is_bootstrapped() -> bool:
            response = await self.admin_request(0, "POST", "fleet/begin")
            return response.startswith(b"HTTP/1.0 200") or response.startswith(b"HTTP/1.1 200")

        await until(is_bootstrapped)

        async def all_have_recovered() -> bool:
            return all([(await runner.counters("fleet"))["remembers"] for runner in self.runners])

        await until(all_have_recovered)

    async def admin_request(self, i: int, method: str, path: str) -> bytes:
        return await exchange(
            self.runners[i].admin,
            f"{method} /{path} HTTP/1.0\r\nAuthorization: Bearer {TOKEN}\r\n"
            "Content-Length: 0\r\n\r\n".encode(),
        )

    async def connect_front_end(self, i: int) -> FrontEnd:
        front_end = await FrontEnd.connect(self.runners[i].port)
        self._front_ends.append(front_end)
        return front_end

    def journal(self, i: int) -> Path:
        assert self._journals is not None
        return Path(self._journals.name) / f"n{i}"

    def replicas(self, token: str) -> tuple[str, ...]:
        seats = [Seat(f"n{i}", (HOST, 0), f"z{i % 2}") for i in range(len(self.ports))]
        return Placement(seats).replicas(key_of("acme", token))

    def run_bodies(self) -> list[bytes]:
        """Return the bodies of all runs that any kernel has started."""
        return [body for kernel in self.kernels for _, _, body in kernel.runs]

    def started_keys(self, *at: int) -> set[str]:
        """Return the keys of the keyed runs that these runners' kernels have started."""
        return {
            body.decode()
            for i in at
            for _, request_class, body in self.kernels[i].runs
            if request_class == "submit"
        }

    # ---- faults ----

    def kill(self, i: int) -> None:
        """Kill a runner with its kernel, as if its machine were lost."""
        self.runners[i].process.kill()
        self.kernels[i].close()

    async def wait_for_exit(self, *which: int) -> None:
        """Wait until the killed runners, or all if none is named, have released their addresses."""
        for i in which or range(len(self.runners)):
            self.runners[i].process.wait()
        await asyncio.sleep(0.1)

    def restart(self, i: int) -> None:
        """Restart a killed runner with an empty kernel. The runs of its earlier kernel stay in `Kernel.runs`."""
        runs, port = self.kernels[i].runs, self.kernels[i].port
        self.kernels[i] = Kernel(**self._kernel_options)
        self.kernels[i].runs.extend(runs)
        self.kernels[i].listen(port)
        self.runners[i].restart()

    def pause(self, i: int) -> None:
        self.paused.add(i)
        self.runners[i].process.send_signal(signal.SIGSTOP)

    def resume(self, i: int) -> None:
        self.paused.discard(i)
        self.runners[i].process.send_signal(signal.SIGCONT)

    def isolate(self, i: int, silent: bool = True) -> None:
        """Drop all traffic between a runner and the others without closing connections; `silent=False` restores it."""
        for (a, b), relay in self.relays.items():
            if i in (a, b):
                relay.silence(silent)

    def close(self) -> None:
        for i in list(self.paused):
            self.resume(i)
        for runner in self.runners:
            runner.close()
        for kernel in self.kernels:
            kernel.close()
        for relay in self.relays.values():
            relay.close()
        if self._journals is not None:
            self._journals.cleanup()


@asynccontextmanager
async def fleet(count: int = 4, **options: Any) -> AsyncIterator[Fleet]:
    """Run a bootstrapped cluster."""
    cluster = Fleet(count, **options)
    try:
        await cluster.bootstrap()
        yield cluster
    finally:
        cluster.close()


def token() -> str:
    return os.urandom(16).hex()


async def within(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Return whether the condition becomes true within the timeout."""
    end = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < end:
        await asyncio.sleep(0.02)
    return condition()
