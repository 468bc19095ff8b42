"""What tests drive a runner with. What it speaks with is the laboratory's; all on loopback, all bounded."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from moorusher.lab import ports, runners
from moorusher.lab.stand_ins import announce_service, database, kernel, uwsgi_peer
from moorusher.protocols.uwsgi_packets import VARS, build_packet

HOST, ROOT, free_port = ports.HOST, runners.ROOT, ports.free_port

WAIT = 20.0  # for what must come at all; no test says how soon
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "check", "aimMs": 3000, "deadlineMs": 8000, "effect": "free", "worth": 1},
        {
            "name": "submit",
            "aimMs": 3000,
            "deadlineMs": 8000,
            "effect": "guarded",
            "windowMs": 20000,
            "worth": 3,
        },
    ],
    "realms": [{"name": "acme", "share": 0.5}, {"name": "bolt", "share": 0.5}],
    "extra": {
        "cpus": 2,
        "memoryKb": 50000,
        "blowup": 16,
        "entryKb": 1,
        "halt": "discard",
        "say": "allowance",
        "below": "tier",
        "classCalls": [True, True],
        "worthWithout": [0.5, 0],
        "passesDeadline": True,
        "tellsGone": True,
        "gauges": ["cpu_busy"],
        "upstreams": 2,
    },
    "invariants": {"graceToAnswerMs": 80, "tipMultiple": 5, "stopSendingWithinMs": 2000},
    "limits": {"maxRetryAfterMs": 1000},
}


def reactor() -> Any:
    """Twisted on the loop of the test: one reactor a loop, never installed as the process's own."""
    loop: Any = asyncio.get_running_loop()
    if not hasattr(loop, "twisted"):
        loop.twisted = AsyncioSelectorReactor(loop)
    return loop.twisted


class Kernel(kernel.Kernel):
    def __init__(self, **how: Any) -> None:
        super().__init__(reactor(), **how)


class Database(database.Database):
    def __init__(self, *script: int | str) -> None:
        super().__init__(reactor(), *script)


class UwsgiPeer(uwsgi_peer.UwsgiPeer):
    def __init__(self, *script: int | str) -> None:
        super().__init__(reactor(), *script)


class Announce(announce_service.Announce):
    def __init__(self, cut_at: int = 0) -> None:
        super().__init__(reactor(), cut_at)
        self.listen()


class FrontEnd:
    """One connection over the platform's protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._waiting: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.answers: Counter[int] = Counter()
        self.stray: list[dict[str, Any]] = []  # errors without an id, and notifications
        self._next = 0
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, port: int) -> FrontEnd:
        return cls(*await asyncio.open_connection(HOST, port))

    async def _read(self) -> None:
        with suppress(ConnectionError):
            async for line in self._reader:
                m = json.loads(line)
                if m.get("id") is None:
                    self.stray.append(m)
                    continue
                self.answers[m["id"]] += 1
                if (waiting := self._waiting.pop(m["id"], None)) is not None:
                    waiting.set_result(m)
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_exception(ConnectionError("closed"))

    def send(self, method: str, **params: Any) -> asyncio.Future[dict[str, Any]]:
        self._next += 1
        body = params.pop("body", b"x")
        params = {
            "rid": os.urandom(8).hex(),
            "t0": int(time.time() * 1000),
            "peer": 1,
            "acct": "acme",
            "budget": 8000,
            "mem": 20.0,
            "prio": 0.5,
            "content": base64.b64encode(body).decode(),
        } | params
        self.raw(
            json.dumps({"jsonrpc": "2.0", "id": self._next, "method": method, "params": params}).encode()
        )
        future = self._waiting[self._next] = asyncio.get_running_loop().create_future()
        return future

    def raw(self, line: bytes) -> None:
        self.writer.write(line + b"\n")

    async def ask(self, method: str, **params: Any) -> dict[str, Any]:
        return await asyncio.wait_for(self.send(method, **params), WAIT)

    def close(self) -> None:
        self.writer.transport.abort()


def content(answer: dict[str, Any]) -> bytes:
    return base64.b64decode(answer["result"]["content"])


def uwsgi_request(klass: str, body: bytes = b"x", **more: str) -> bytes:
    variables = {
        VARS["class"]: klass,
        VARS["tenant"]: "acme",
        VARS["budget"]: "8000",
        VARS["mem"]: "20",
        "CONTENT_LENGTH": str(len(body)),
    }
    return build_packet(variables | {VARS[k]: v for k, v in more.items()}) + body


async def exchange(port: int, *parts: bytes) -> bytes:
    """Send the parts one by one and read until the other side closes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01 if len(parts) > 1 else 0)
    got = await asyncio.wait_for(reader.read(), WAIT)
    writer.close()
    return got


def status(got: bytes) -> int:
    return int(got.split(b" ", 2)[1])


def body_of(got: bytes) -> bytes:
    return got.split(b"\r\n\r\n", 1)[1]


class Runner:
    """The program, as the platform starts it."""

    def __init__(
        self,
        kernel_port: int,
        db_port: int | None,
        below_port: int | None,
        announce: int | None,
        listen: int | None,
        settings: dict[str, Any],
        more: str = "",
        beside: Mapping[str, bytes] | None = None,
        descriptors: int = 0,
        name: str = "n1",
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self._descriptors, self.environment = descriptors, environment or {}
        self.port, self.uwsgi, self.agent, self.health, self.admin, self.console = (
            free_port() for _ in range(6)
        )
        self.port = listen or self.port
        self.dir = tempfile.TemporaryDirectory()
        folder = Path(self.dir.name)
        below = f'below = "{HOST}:{below_port}"\n' if below_port else ""
        self.fronts = folder / "fronts.toml"
        self.fronts.write_text(
            f'[uwsgi]\nlisten = "{HOST}:{self.uwsgi}"\nidle_s = 3\n{below}[agent]\nlisten = "{HOST}:{self.agent}"\n'
            f'[health]\nlisten = "{HOST}:{self.health}"\n'
            f'[admin]\nlisten = "{HOST}:{self.admin}"\ntoken = "t0p"\n{more}'
        )
        for name, raw in (beside or {}).items():
            (folder / name).write_bytes(raw)
        config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "kernel": f"{HOST}:{kernel_port}",
            "seed": "ab",
            "console": f"{HOST}:{self.console}",
            "stop_ms": 4000,
            "settings": settings,
        } | {name: f"{HOST}:{port}" for name, port in (("db", db_port), ("announce", announce)) if port}
        (folder / "config.json").write_text(json.dumps(config))
        self.config = config
        self.log = open(folder / "log", "w+")  # noqa: SIM115 - it lives as long as the runner
        self.spool = folder / "tmp"
        self.spool.mkdir()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.start(kernel_port)

    def start(self, kernel_port: int) -> None:
        """The first process, or one beside it: the same addresses, but for the console's and the kernel's."""
        folder = Path(self.dir.name)
        if self.processes:
            self.console = free_port()
            self.config |= {"kernel": f"{HOST}:{kernel_port}"} if kernel_port else {}
            (folder / "config.json").write_text(json.dumps(self.config))
        self.began = time.monotonic()
        self.processes.append(
            subprocess.Popen(
                [sys.executable, "-m", "moorusher", "serve", "--fronts", str(self.fronts)],
                cwd=ROOT,
                env=os.environ
                | {
                    "GW_CONFIG": str(folder / "config.json"),
                    "GW_CONSOLE": f"{HOST}:{self.console}",
                    "TMPDIR": str(self.spool),
                    **self.environment,
                },
                stdout=self.log,
                stderr=self.log,
            )
        )
        if self._descriptors:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self._descriptors, self._descriptors))

    def again(self) -> None:
        """Another process after the last one has ended, with the same configuration and addresses."""
        for left in self.spool.iterdir():  # a machine that starts anew has an empty $TMPDIR
            left.unlink()
        self.start(0)

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The one that was started last."""
        return self.processes[-1]

    async def asked(self, call: str, port: int = 0) -> int:
        """The status that the console of a process gives, the last one's if none is named; 0 where none listens."""
        method = b"GET" if call == "health" else b"POST"
        with suppress(ConnectionError):
            return status(
                await exchange(port or self.console, method + f" /admin/{call} HTTP/1.1\r\n\r\n".encode())
            )
        return 0

    async def says_yes(self) -> None:
        async def yes() -> bool:
            return await self.asked("health") == 200

        await until(yes)

    async def ready(self) -> None:
        await until(self._fit)

    async def _fit(self) -> bool:
        with suppress(ConnectionError):
            return status(await exchange(self.health, b"GET /health HTTP/1.0\r\n\r\n")) == 200
        return False

    async def counters(self, name: str = "counters") -> dict[str, Any]:
        got: dict[str, Any] = json.loads(
            body_of(await exchange(self.admin, b"GET /" + name.encode() + b" HTTP/1.0\r\n\r\n"))
        )
        return got

    def reload(self, **changes: Any) -> None:
        self.config |= changes
        (Path(self.dir.name) / "config.json").write_text(json.dumps(self.config))
        self.process.send_signal(signal.SIGHUP)

    def text(self) -> str:
        self.log.flush()
        return Path(self.log.name).read_text()

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        text = self.text()
        self.log.close()
        self.dir.cleanup()
        assert "Traceback" not in text, text


async def until(true: Callable[[], Awaitable[bool]]) -> None:
    end = time.monotonic() + WAIT
    while not await true():
        assert time.monotonic() < end, "waited for something that did not come"
        await asyncio.sleep(0.03)


@asynccontextmanager
async def running(
    kernel: Kernel,
    db: Database | None = None,
    below: int | None = None,
    wait: bool = True,
    announce: int | None = None,
    listen: int | None = None,
    more: str = "",
    beside: Mapping[str, bytes] | None = None,
    descriptors: int = 0,
    environment: Mapping[str, str] | None = None,
    **changes: Any,
) -> AsyncIterator[Runner]:
    kernel.listen()
    if db is not None:
        db.listen()
    runner = Runner(
        kernel.port,
        db.port if db else None,
        below,
        announce,
        listen,
        SETTINGS | changes,
        more,
        beside,
        descriptors,
        environment=environment,
    )
    try:
        if wait:
            await runner.ready()
        yield runner
    finally:
        runner.close()
        kernel.close()
        if db is not None:
            db.close()
