"""A fleet of runners whose links to each other lead through proxies that can hold all bytes back."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from .bench import (
    HOST,
    Announce,
    Database,
    Kernel,
    Record,
    Runner,
    call_http,
    free_port,
    site_settings,
    until,
)

TOKEN = "secret"


class Proxy:
    """Forwards connections to a port. While it is stalled, it holds everything back, and no connection ends."""

    def __init__(self, target: int) -> None:
        self.port = 0
        self._target = target
        self._flows = asyncio.Event()
        self._flows.set()

    async def listen(self) -> None:
        """Listen on a free port."""
        self.port = free_port()
        await asyncio.start_server(self._serve, HOST, self.port)

    def stall(self, stalled: bool) -> None:
        """Hold all bytes back, or forward them again."""
        if stalled:
            self._flows.clear()
        else:
            self._flows.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            other_reader, other_writer = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(reader, other_writer), self._pump(other_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                await self._flows.wait()
                writer.write(data)
        except OSError:
            pass
        writer.close()


class Fleet:
    """Runners of one fleet with a kernel each. `proxies[i, j]` carries the connections from runner i to runner j."""

    def __init__(
        self, count: int, record: Record, scratch: Path, journals: bool = False, **kernel: Any
    ) -> None:
        self.record = record
        self.scratch = scratch
        self.count = count
        self.ports = [free_port() for _ in range(count)]
        self.admin = [free_port() for _ in range(count)]
        self.kernels = [Kernel(record, **kernel) for _ in range(count)]
        self.proxies = {(i, j): Proxy(self.ports[j]) for i in range(count) for j in range(count) if i != j}
        self.runners: list[Runner] = []
        self._journals = journals

    def _fronts(self, i: int) -> str:
        seats = ""
        for j in range(self.count):
            port = self.ports[j] if i == j else self.proxies[i, j].port
            seats += f'[[fleet.seat]]\nname = "n{j}"\naddress = "{HOST}:{port}"\n'
        journal = f'journal = "{self.scratch}/journal{i}"\n' if self._journals else ""
        return (
            f'[admin]\nlisten = "{HOST}:{self.admin[i]}"\ntoken = "{TOKEN}"\n'
            f'[fleet]\nlisten = "{HOST}:{self.ports[i]}"\nname = "fleet"\n{journal}{seats}'
        )

    async def start(self) -> None:
        """Start all runners, begin the fleet, and wait until every runner has a vote and is ready."""
        for proxy in self.proxies.values():
            await proxy.listen()
        announce = await Announce().listen()
        database = await Database(self.record).listen()
        for i in range(self.count):
            runner = Runner(
                self.scratch, f"n{i}", site_settings(), fronts=self._fronts(i),
                kernel=f"{HOST}:{await self.kernels[i].listen()}",
                db=f"{HOST}:{database}", announce=f"{HOST}:{announce}",
            )  # fmt: skip
            runner.start()
            self.runners.append(runner)
        for runner in self.runners:
            await until(runner.says_yes, 30, "the console says yes")
        await until(self._has_begun, 20, "the fleet begins")
        await until(self._all_vote, 20, "all runners vote")
        for runner in self.runners:
            await runner.ready()

    async def _has_begun(self) -> bool:
        return (await call_http(self.admin[0], "POST", "/fleet/begin", token=TOKEN))[0] == 200

    async def _all_vote(self) -> bool:
        pages = [await call_http(port, "GET", "/fleet") for port in self.admin]
        return all(status == 200 and json.loads(body)["remembers"] for status, body in pages)

    def isolate(self, i: int, isolated: bool) -> None:
        """Hold back everything between runner i and the others, or forward it again."""
        self.record.write("isolated" if isolated else "reached-again", runner=f"n{i}")
        for pair, proxy in self.proxies.items():
            if i in pair:
                proxy.stall(isolated)

    def ran_at(self, rid: str) -> list[int]:
        """Return the runners whose kernels have run a try."""
        return [i for i, kernel in enumerate(self.kernels) if any(run[0] == rid for run in kernel.runs)]
