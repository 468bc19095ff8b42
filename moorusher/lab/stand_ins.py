"""What a runner speaks with, on loopback sockets: the kernel, what lies below it, the announce service."""

from __future__ import annotations

import base64
import json
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.basic import LineOnlyReceiver, LineReceiver

from ..protocols.uwsgi_packets import HEAD, VARS, parse_vars
from .cores import FAR, Cores, Machine
from .ports import HOST, free_port

LOOK = 50_000  # us; cores are looked at so often while something runs: speeds change under it
SCALE = (
    "work "  # a body that begins so says what its run takes: 'work 20 30' is 20 ms, a call, and 30 ms more
)


def now_us() -> int:
    """The monotonic clock, in us."""
    return time.monotonic_ns() // 1000


class Server(Factory):
    """Listens on a port of its own; what it has open is closed with it."""

    noisy = False
    protocol: Any

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.port = self.accepted = 0
        self._port: Any = None
        self.open: set[Any] = set()

    def listen(self, port: int = 0) -> None:
        self._port = self.reactor.listenTCP(port or free_port(), self, interface=HOST)
        self.port = self._port.getHost().port

    def deafen(self) -> None:
        """Nothing new is taken; what is open stays."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def close(self) -> None:
        self.deafen()
        for connection in list(self.open):
            connection.transport.abortConnection()

    def buildProtocol(self, addr: object) -> Any:
        self.accepted += 1
        made = self.protocol()
        made.server = self
        return made


class Tracked(Protocol):
    """A connection that its server knows as open."""

    transport: Any
    server: Any

    def connectionMade(self) -> None:
        self.server.open.add(self)

    def connectionLost(self, reason: object = None) -> None:
        self.server.open.discard(self)


# ---- the kernel ----


class _KernelLink(Tracked, LineOnlyReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def lineReceived(self, line: bytes) -> None:
        self.server.heard_line(self, json.loads(line))

    def say(self, message: dict[str, Any]) -> None:
        self.transport.write(json.dumps(message).encode() + b"\n")


class Kernel(Server):
    """Runs take `work` seconds of a core, `calls` has each make one call halfway; a body that begins with 'work '
    says both for itself. `hang` never ends a run. `gauges` names the figures told; `stuck` is told in their place."""

    protocol = _KernelLink

    def __init__(
        self,
        reactor: Any,
        cores: int = 2,
        work: float = 0.02,
        hang: bool = False,
        calls: bool = False,
        late: float = 0.0,
        state: str = "LOADED",
        machine: Machine | None = None,
        gauges: tuple[str, ...] = ("cpu_busy",),
        age_ms: int = 5000,
    ) -> None:
        super().__init__(reactor)
        machine = machine or Machine(cores, knee=1e9, tip_per_core=1e9)
        self.cores = Cores(machine, now_us(), cold=state == "EMPTY")
        self.work, self.hang, self.calls, self.state = work, hang, calls, state
        self.up_at, self.age_ms, self.gauges = now_us() + round(late * 1e6), age_ms, gauges
        self.stuck: list[float] | None = None
        self.fell: Callable[[], None] | None = None  # told once, where the rule on crowds is broken
        self.worst = 0.0  # the highest mean of the window, a core
        self.runs: list[tuple[str, str, bytes]] = []
        self.heard: Counter[str] = Counter()
        self.opened: list[int] = []
        self.io: dict[str, bytes] = {}
        self.left_out: list[int] = []
        self.refuse: set[str] = set()  # commands that get EINVAL
        self.most_running = 0
        self.link: _KernelLink | None = None
        self._notices: list[dict[str, Any]] = []
        self._state: dict[str, str] = {}  # of every run: running, waiting or over
        self._stretches: dict[str, list[float]] = {}
        self._bodies: dict[str, bytes] = {}
        self._looking: Any = None
        self._waits: Any = None  # the link that has asked before the kernel was up
        self._busy = (now_us(), 0.0)

    def cut(self) -> None:
        if self.link is not None:
            self.link.transport.abortConnection()
            self.link = None

    def close(self) -> None:
        super().close()
        if self._looking is not None and self._looking.active():
            self._looking.cancel()

    def move(self) -> None:
        """To a new port: the old one takes nothing new, its link stays until the next replaces it."""
        self.deafen()
        self.listen()

    def slow(self, factor: float) -> None:
        self._look()
        self.cores.factor = factor
        self._look()

    def notify(self, **notice: Any) -> None:
        notice["no"] = len(self._notices) + 1
        self._notices.append(notice)
        if self.link is not None:
            self.link.say(notice)

    def heard_line(self, link: _KernelLink, m: dict[str, Any]) -> None:
        kind, rid = m["t"], m.get("rid", "")
        self.heard[kind] += 1
        if kind == "OPEN":
            if self.up_at > now_us():
                self._waits = (
                    link,
                    m["no"],
                    self.reactor.callLater((self.up_at - now_us()) / 1e6, self.come_up),
                )
            else:
                self._opened(link, m["no"])
        elif kind in self.refuse:
            link.say({"t": "EINVAL", "status": kind, "rid": rid})
        elif kind == "SYSINFO":
            link.say({"t": "INFO", "mark": m["mark"], "v": self.stuck or self._figures()})
        elif kind == "SCHED" and rid not in self._state:
            body = base64.b64decode(m["b64"])
            self.runs.append((rid, m["route"], body))
            self._bodies[rid], self._stretches[rid] = body, self._plan(body)
            self._go(rid)
            self.most_running = max(self.most_running, sum(s == "running" for s in self._state.values()))
        elif kind == "PREEMPT" and self._state.get(rid, "over") != "over":
            self.cores.stop(now_us(), rid)
            self._over(rid, "KILLED", b"")
        elif kind in ("IODONE", "NOIO") and self._state.get(rid) == "waiting":
            if kind == "NOIO":
                self.left_out.append(m["no"])
            self.io[rid] = base64.b64decode(m["b64"]) if kind == "IODONE" else b""
            self._go(rid)
        self._look()

    def come_up(self) -> None:
        """Now, whatever `late` said: a cold kernel warms from here on."""
        self.up_at = self.cores.born = now_us()
        waits, self._waits = self._waits, None
        if waits is not None:
            if waits[2].active():
                waits[2].cancel()
            self._opened(*waits[:2])

    def _opened(self, link: _KernelLink, after: int) -> None:
        self.link = link
        self.opened.append(after)
        link.say({"t": "BOOTED", "status": self.state, "time_ms": self.age_ms})
        for notice in self._notices[after:]:
            link.say(notice)

    def _plan(self, body: bytes) -> list[float]:
        """Stretches of work in us; a call lies between two."""
        if body.startswith(SCALE.encode()):
            return [float(ms) * 1000 for ms in body[len(SCALE) :].split()]
        work = 1e12 if self.hang else self.work * 1e6
        return [work / 2, work / 2] if self.calls else [work]

    def _go(self, rid: str) -> None:
        self._state[rid] = "running"
        self.cores.start(now_us(), rid, self._stretches[rid].pop(0))

    def _over(self, rid: str, status: str, result: bytes) -> None:
        self._state[rid] = "over"
        self._stretches.pop(rid, None)
        self.notify(t="REAP", rid=rid, status=status, time_ms=20, b64=base64.b64encode(result).decode())

    def _figures(self) -> list[float]:
        now = now_us()
        self.cores.advance(now)
        since, before = self._busy
        spent = (self.cores.busy_us - before) / max(1, now - since) / self.cores.machine.cores
        if now - since > 250_000:
            self._busy = (now, self.cores.busy_us)
        told = {
            "cpu_busy": min(1.0, spent),
            "runnable": float(len(self.cores)),
            "mem_used": 0.1,
            "sockets": 1.0,
        }
        return [told[name] for name in self.gauges]

    def _look(self) -> None:
        """End what is done, and look again when the next is."""
        now = now_us()
        for rid in self.cores.ended(now):
            body = self._bodies[rid]
            if self._stretches[rid]:
                self._state[rid] = "waiting"
                self.notify(t="IOREQ", rid=rid, b64=base64.b64encode(b"ask " + body).decode())
            else:
                self._over(rid, "PASS", b"did " + body)
        self.worst = max(self.worst, self.cores.crowd.mean(now) / self.cores.machine.cores)
        if self.fell is not None and self.cores.fallen(now):
            fell, self.fell = self.fell, None
            return fell()
        if self._looking is not None and self._looking.active():
            self._looking.cancel()
        due = self.cores.next_end(now)
        if due < FAR:
            self._looking = self.reactor.callLater(min(due - now, LOOK) / 1e6, self._look)


# ---- below ----


class _Http(Tracked, LineReceiver):
    def connectionMade(self) -> None:
        super().connectionMade()
        self._length, self._first = 0, b""

    def lineReceived(self, line: bytes) -> None:
        if not self._first:
            self._first = line
        elif line.lower().startswith(b"content-length:"):
            self._length = int(line.split(b":")[1])
        elif not line:
            self._body = b""
            self.setRawMode()  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:
        self._body += data
        if len(self._body) >= self._length:
            body, rest, first = self._body[: self._length], self._body[self._length :], self._first
            self._first = b""
            self.server.asked(self, first, body)
            self.setLineMode(rest)  # type: ignore[no-untyped-call]


class Scripted(Server):
    """`script` says what becomes of each call in turn: a status, 'reset', 'hang'; the last one stays."""

    def __init__(self, reactor: Any, *script: int | str, delay: float = 0.0) -> None:
        super().__init__(reactor)
        self.script, self.delay = list(script or (200,)), delay
        self.calls: list[bytes] = []

    def answer(self, connection: Any, what: int | str) -> None:
        raise NotImplementedError

    def asked(self, connection: Any, first: bytes, body: bytes) -> None:
        self.calls.append(body)
        what = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if what == "reset":
            connection.transport.abortConnection()
        elif what != "hang":
            self.reactor.callLater(self.delay, self.answer, connection, what)


class Database(Scripted):
    """The platform's HTTP form of what lies below."""

    protocol = _Http

    def answer(self, connection: Any, what: int | str) -> None:
        never = "Never-Started: 1\r\n" if what in (503, 409) else ""
        connection.transport.write(f"HTTP/1.1 {what} X\r\n{never}Content-Length: 5\r\n\r\nreply".encode())


class _Uwsgi(Tracked):
    def connectionMade(self) -> None:
        super().connectionMade()
        self._data = b""

    def dataReceived(self, data: bytes) -> None:
        self._data += data
        if len(self._data) >= HEAD.size:
            size = HEAD.unpack_from(self._data)[1]
            if len(self._data) >= HEAD.size + size:
                variables = parse_vars(self._data[HEAD.size : HEAD.size + size])
                body = self._data[HEAD.size + size :]
                if len(body) >= int(variables["CONTENT_LENGTH"]):
                    self._data = b""
                    self.server.tokens.append(variables.get(VARS["token"]))
                    self.server.asked(self, b"", body)


class UwsgiPeer(Scripted):
    """A uwsgi server; 'cut' breaks off in the middle of its reply."""

    protocol = _Uwsgi

    def __init__(self, reactor: Any, *script: int | str) -> None:
        super().__init__(reactor, *script)
        self.tokens: list[str | None] = []

    def answer(self, connection: Any, what: int | str) -> None:
        never = "X-Moorusher-Never-Ran: 1\r\n" if what == 503 else ""
        code, body = (200, b"rep") if what == "cut" else (what, b"reply")
        connection.transport.write(f"HTTP/1.1 {code} X\r\n{never}Content-Length: 5\r\n\r\n".encode() + body)
        connection.transport.loseConnection()


class Announce(Server):
    """The list of runners; `once` breaks off its first connection at its second report."""

    protocol = _Http

    def __init__(self, reactor: Any, cut_at: int = 0) -> None:
        super().__init__(reactor)
        self.heard: list[bytes] = []
        self._cut_at = cut_at

    def asked(self, connection: Any, first: bytes, body: bytes) -> None:
        self.heard.append(first.split(b" HTTP")[0] + b" " + body)
        if len(self.heard) == self._cut_at:
            connection.transport.abortConnection()
        else:
            connection.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")
