"""Starts a runner in a test, with clients and backends. All connections are on loopback, and all waits are bounded.

The backends are those of `moorusher.lab.stand_ins`.
"""

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

WAIT = 20.0  # Seconds until a wait fails. It bounds the test run and is no requirement on latency.
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
    """Return the Twisted reactor on the event loop of the test: one per loop, never installed as the process's own."""
    loop: Any = asyncio.get_running_loop()
    if not hasattr(loop, "twisted"):
        loop.twisted = AsyncioSelectorReactor(loop)
    return loop.twisted


class Kernel(kernel.Kernel):
    """The laboratory's kernel on the reactor of the test."""

    def __init__(self, **options: Any) -> None:
        super().__init__(reactor(), **options)


class Database(database.Database):
    """The laboratory's database on the reactor of the test."""

    def __init__(self, *script: int | str) -> None:
        super().__init__(reactor(), *script)


class UwsgiPeer(uwsgi_peer.UwsgiPeer):
    """The laboratory's uwsgi peer on the reactor of the test."""

    def __init__(self, *script: int | str) -> None:
        super().__init__(reactor(), *script)


class Announce(announce_service.Announce):
    """The laboratory's announce service on the reactor of the test. It listens from its construction on."""

    def __init__(self, cut_at: int = 0) -> None:
        super().__init__(reactor(), cut_at)
        self.listen()


class FrontEnd:
    """A client connection with the platform's protocol.

    Attributes:
        answers: Number of answers to each JSON-RPC id.
        stray: Notifications, and errors without an id.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._waiting: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.answers: Counter[int] = Counter()
        self.stray: list[dict[str, Any]] = []
        self._last_id = 0
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, port: int) -> FrontEnd:
        """Connect to a runner."""
        return cls(*await asyncio.open_connection(HOST, port))

    async def _read(self) -> None:
        with suppress(ConnectionError):
            async for line in self._reader:
                message = json.loads(line)
                if message.get("id") is None:
                    self.stray.append(message)
                    continue
                self.answers[message["id"]] += 1
                if (future := self._waiting.pop(message["id"], None)) is not None:
                    future.set_result(message)
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(ConnectionError("closed"))

    def send(self, method: str, **params: Any) -> asyncio.Future[dict[str, Any]]:
        """Send a request and return a future of its answer.

        :param params: Parameters that replace the defaults, and `body`, the content before its encoding.
        """
        self._last_id += 1
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
            json.dumps({"jsonrpc": "2.0", "id": self._last_id, "method": method, "params": params}).encode()
        )
        future = self._waiting[self._last_id] = asyncio.get_running_loop().create_future()
        return future

    def raw(self, line: bytes) -> None:
        """Send a line."""
        self.writer.write(line + b"\n")

    async def ask(self, method: str, **params: Any) -> dict[str, Any]:
        """Send a request like `send` and return its answer."""
        return await asyncio.wait_for(self.send(method, **params), WAIT)

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


def content(answer: dict[str, Any]) -> bytes:
    """Return the decoded content of an answer."""
    return base64.b64decode(answer["result"]["content"])


def uwsgi_request(class_name: str, body: bytes = b"x", **more: str) -> bytes:
    """Return an encoded uwsgi request.

    :param more: Further variables, by their keys in `VARS`.
    """
    variables = {
        VARS["class"]: class_name,
        VARS["tenant"]: "acme",
        VARS["budget"]: "8000",
        VARS["mem"]: "20",
        "CONTENT_LENGTH": str(len(body)),
    }
    return build_packet(variables | {VARS[k]: v for k, v in more.items()}) + body


async def exchange(port: int, *parts: bytes) -> bytes:
    """Send the parts one by one, read until the other side closes, and return the response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01 if len(parts) > 1 else 0)
    response = await asyncio.wait_for(reader.read(), WAIT)
    writer.close()
    return response


def status(response: bytes) -> int:
    """Return the status of an HTTP response."""
    return int(response.split(b" ", 2)[1])


def body_of(response: bytes) -> bytes:
    """Return the body of an HTTP response."""
    return response.split(b"\r\n\r\n", 1)[1]


class Runner:
    """A runner, started like the platform starts it, with one process, or with several during a hot restart.

    :param db_port: Port of the database, or None if there is none. The same holds for the announce service.
    :param below_port: Port of the next tier, to which the uwsgi front end forwards.
    :param listen: Port of the platform's protocol, or None for a free one.
    :param more: Text that is appended to the settings of the front ends.
    :param beside: Contents of further files in the folder of the settings, by name.
    :param descriptors: Limit on file descriptors, or 0 for none.

    Attributes:
        port: Port of the platform's protocol.
        uwsgi, agent, health, admin, console: Ports of the other front ends.
        fronts: Settings file of the front ends.
        spool: TMPDIR of the processes.
        processes: All processes in order of their starts.
        began: Time of the last start on the monotonic clock, in seconds.
    """

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
        """Start a process. All processes have the same addresses, except for their console ports.

        :param kernel_port: Port of the process's kernel, or 0 for the kernel of the last process. Ignored for the
            first process, whose kernel is that of the runner's configuration.
        """
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

    def restart(self) -> None:
        """Start a process after the last one has ended, with the same configuration and an empty $TMPDIR."""
        for path in self.spool.iterdir():  # $TMPDIR is empty after a reboot.
            path.unlink()
        self.start(0)

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The process that was started last."""
        return self.processes[-1]

    async def call_console(self, call: str, port: int = 0) -> int:
        """Send a call to the console of a process and return the status of the response, or 0 if it can't connect.

        :param port: Port of the console, or 0 for that of the last process.
        """
        method = b"GET" if call == "health" else b"POST"
        with suppress(ConnectionError):
            return status(
                await exchange(port or self.console, method + f" /admin/{call} HTTP/1.1\r\n\r\n".encode())
            )
        return 0

    async def wait_until_healthy(self) -> None:
        """Wait until the console of the last process reports that it is healthy."""

        async def is_healthy() -> bool:
            return await self.call_console("health") == 200

        await until(is_healthy)

    async def ready(self) -> None:
        """Wait until the health check of the runner succeeds."""
        await until(self._is_ready)

    async def _is_ready(self) -> bool:
        with suppress(ConnectionError):
            return status(await exchange(self.health, b"GET /health HTTP/1.0\r\n\r\n")) == 200
        return False

    async def counters(self, name: str = "counters") -> dict[str, Any]:
        """Return a JSON page of the admin port."""
        response: dict[str, Any] = json.loads(
            body_of(await exchange(self.admin, b"GET /" + name.encode() + b" HTTP/1.0\r\n\r\n"))
        )
        return response

    def reload(self, **changes: Any) -> None:
        """Change the configuration file and send SIGHUP to the last process."""
        self.config |= changes
        (Path(self.dir.name) / "config.json").write_text(json.dumps(self.config))
        self.process.send_signal(signal.SIGHUP)

    def read_log(self) -> str:
        """Return the log of all processes."""
        self.log.flush()
        return Path(self.log.name).read_text()

    def close(self) -> None:
        """Kill the processes, and fail if the log contains a traceback."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        text = self.read_log()
        self.log.close()
        self.dir.cleanup()
        assert "Traceback" not in text, text


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll until the condition holds, and fail after `WAIT` seconds."""
    end = time.monotonic() + WAIT
    while not await condition():
        assert time.monotonic() < end, "the condition was not met in time"
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
    """Run a runner with its kernel and database during the context.

    :param wait: Whether to wait until the runner is ready.
    :param changes: Replacements in `SETTINGS`. The other parameters are those of `Runner`.
    """
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
