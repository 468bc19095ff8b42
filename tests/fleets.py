"""Several runners with their kernels, each link between two of them through a relay."""

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
    """Runner i has kernel i; `relays[i, j]` is the way from i to j."""

    def __init__(
        self,
        n: int,
        uncovered: str = "refuse",
        window_ms: int = 20_000,
        journals: bool = False,
        aim_ms: int = 3000,
        more: Callable[[int], str] = lambda i: "",
        copies: int = 3,
        claim_ms: int = 250,
        environment: Callable[[int], Mapping[str, str]] = lambda i: {},
        **kernel: Any,
    ) -> None:
        self.ports = [free_port() for _ in range(n)]
        self.relays = {(i, j): Relay(reactor(), self.ports[j]) for i in range(n) for j in range(n) if i != j}
        self._kernel, self._journals = kernel, tempfile.TemporaryDirectory() if journals else None
        self.kernels = [Kernel(**kernel) for _ in range(n)]
        for k in self.kernels:
            k.listen()
        check, submit = SETTINGS["classes"]
        settings = SETTINGS | {"classes": [check, submit | {"windowMs": window_ms, "aimMs": aim_ms}]}
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
            for i in range(n)
        ]
        self.stopped: set[int] = set()
        self._fronts: list[FrontEnd] = []  # a connection lasts as long as somebody knows it

    def toml(self, i: int) -> str:
        seats = "".join(
            f'[[fleet.seat]]\nname = "n{j}"\nzone = "z{j % 2}"\n'
            f'address = "{HOST}:{self.relays[i, j].port if i != j else self.ports[i]}"\n'
            for j in range(len(self.ports))
        )
        disk = f'journal = "{self._journals.name}/n{i}"\n' if self._journals else ""
        return (
            f'[fleet]\nlisten = "{HOST}:{self.ports[i]}"\nname = "f"\nuncovered = "{self.uncovered}"\n'
            f"copies = {self._copies}\nclaim_ms = {self._claim_ms}\n"
            f"{disk}{seats}{self._more(i)}"
        )

    async def begin(self) -> None:
        for r in self.runners:
            await r.ready()

        async def begun() -> bool:
            got = await self.admin(0, "POST", "fleet/begin")
            return got.startswith(b"HTTP/1.0 200") or got.startswith(b"HTTP/1.1 200")

        await until(begun)

        async def all_remember() -> bool:
            return all([(await r.counters("fleet"))["remembers"] for r in self.runners])

        await until(all_remember)

    async def admin(self, i: int, method: str, path: str) -> bytes:
        return await exchange(
            self.runners[i].admin,
            f"{method} /{path} HTTP/1.0\r\nAuthorization: Bearer {TOKEN}\r\n"
            "Content-Length: 0\r\n\r\n".encode(),
        )

    async def front(self, i: int) -> FrontEnd:
        made = await FrontEnd.connect(self.runners[i].port)
        self._fronts.append(made)
        return made

    def journal(self, i: int) -> Path:
        assert self._journals is not None
        return Path(self._journals.name) / f"n{i}"

    def keepers(self, token: str) -> tuple[str, ...]:
        seats = [Seat(f"n{i}", (HOST, 0), f"z{i % 2}") for i in range(len(self.ports))]
        return Placement(seats).replicas(key_of("acme", token))

    def ran(self) -> list[bytes]:
        """The bodies of all runs that were begun, wherever."""
        return [body for k in self.kernels for _, _, body in k.runs]

    def began(self, *at: int) -> set[str]:
        """The tokens of keyed runs that were begun by these runners' kernels."""
        return {body.decode() for i in at for _, klass, body in self.kernels[i].runs if klass == "submit"}

    # ---- faults ----

    def kill(self, i: int) -> None:
        """With its kernel, as a machine is lost."""
        self.runners[i].process.kill()
        self.kernels[i].close()

    async def gone(self, *which: int) -> None:
        """Those that were killed, all where none is named, have left their addresses."""
        for i in which or range(len(self.runners)):
            self.runners[i].process.wait()
        await asyncio.sleep(0.1)

    def again(self, i: int) -> None:
        """A machine that was killed comes back, with an empty kernel; what its last one had begun is kept here."""
        runs, port = self.kernels[i].runs, self.kernels[i].port
        self.kernels[i] = Kernel(**self._kernel)
        self.kernels[i].runs.extend(runs)
        self.kernels[i].listen(port)
        self.runners[i].again()

    def stop(self, i: int) -> None:
        self.stopped.add(i)
        self.runners[i].process.send_signal(signal.SIGSTOP)

    def go_on(self, i: int) -> None:
        self.stopped.discard(i)
        self.runners[i].process.send_signal(signal.SIGCONT)

    def cut_off(self, i: int, silent: bool = True) -> None:
        """From all others, both ways, with nothing closed."""
        for (a, b), relay in self.relays.items():
            if i in (a, b):
                relay.silence(silent)

    def close(self) -> None:
        for i in list(self.stopped):
            self.go_on(i)
        for r in self.runners:
            r.close()
        for k in self.kernels:
            k.close()
        for relay in self.relays.values():
            relay.close()
        if self._journals is not None:
            self._journals.cleanup()


@asynccontextmanager
async def fleet(n: int = 4, **how: Any) -> AsyncIterator[Fleet]:
    made = Fleet(n, **how)
    try:
        await made.begin()
        yield made
    finally:
        made.close()


def token() -> str:
    return os.urandom(16).hex()


async def within(true: Callable[[], bool], s: float) -> bool:
    end = time.monotonic() + s
    while not true() and time.monotonic() < end:
        await asyncio.sleep(0.02)
    return true()
