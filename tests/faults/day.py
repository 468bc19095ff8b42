"""A day of some seconds: runners with their kernels and databases behind relays, clients, and one kind of fault.

All that is drawn comes from a seed. What clients, kernels and databases see goes into a history for the auditor.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from moorusher.lab.relays import Relay

from ..stand_ins import HOST, SETTINGS, Announce, Database, Kernel, Runner, reactor
from .auditor import Answered, Asked, Called, Finding, Given, Hung, Ran, Result, Seen, Verdict, judge

INJECT = Path(__file__).resolve().parent / "inject"
EFFECTS = ("free", "guarded", "single_shot")
SLACK_S = 0.6  # of the machine under a test, on top of the grace that the settings state
REFUSED = -32014
DEADLINE_S = 3.0
WINDOW_S = 3.0
BUDGETS_S = (0.03, 0.3, 1.0, 3.0)
KILLED_S = 0.3  # for all connections of a killed process to end
CROSSING_S = 0.05  # of a request and the end of the connection that it is written to
STRETCHES_MS = (5, 20, 60, 150)  # of work, with a call between two of them


class WatchedKernel(Kernel):
    """Writes down runs, results and replies. The body of a call names its run and which of its calls it is; a reply is
    right where it repeats that."""

    def __init__(self, history: list[Seen], draw: random.Random, twice: float, **how: Any) -> None:
        super().__init__(**how)
        self._history, self._draw, self._twice = history, draw, twice
        self._count: Counter[str] = Counter()
        self._wanted: dict[str, bytes] = {}

    def message_received(self, link: Any, m: dict[str, Any]) -> None:
        kind, rid = m["t"], m.get("rid", "")
        body = base64.b64decode(m.get("b64") or "")
        if kind == "SCHED" and not self.has_run(rid) and kind not in self.rejected_kinds:
            self._history.append(Ran(time.monotonic(), rid, body))
        if kind == "IODONE" and self.is_waiting(rid):
            self._history.append(Given(time.monotonic(), rid, b"re:" + self._wanted[rid], body))
        super().message_received(link, m)

    def notify(self, **notice: Any) -> None:
        rid = notice.get("rid", "")
        if notice["t"] == "IOREQ":
            self._count[rid] += 1
            self._wanted[rid] = f"{rid} {self._count[rid]}".encode()
            notice["b64"] = base64.b64encode(self._wanted[rid]).decode()
        elif notice["t"] == "REAP" and notice["status"] == "PASS":
            self._history.append(Result(time.monotonic(), rid, base64.b64decode(notice["b64"])))
        super().notify(**notice)
        if self.link is not None and self._draw.random() < self._twice:
            self.link.send_message(self._notices[-1])


class WatchedDatabase(Database):
    """Answers a call with what it asked for; `turned_away`, `failing` and `spoilt` are shares of calls."""

    def __init__(self, history: list[Seen], draw: random.Random, faults: Faults) -> None:
        super().__init__()
        self._history, self._draw, self._faults = history, draw, faults

    def request_received(self, connection: Any, request_line: bytes, body: bytes) -> None:
        luck = self._draw.random()
        never_ran = luck < self._faults.turned_away
        self._history.append(Called(time.monotonic(), body.split()[0].decode(), body, never_ran))
        if never_ran:
            head, content = b"HTTP/1.1 503 X\r\nNever-Started: 1\r\n", b""
        elif luck < self._faults.turned_away + self._faults.failing:
            head, content = b"HTTP/1.1 500 X\r\n", b""
        else:
            head, content = b"HTTP/1.1 200 X\r\n", b"re:" + body
        reply = head + b"Content-Length: %d\r\n\r\n" % len(content) + content
        if not never_ran and self._draw.random() < self._faults.spoilt:
            reply = self._spoil(reply)
        self.reactor.callLater(0.005 + 0.03 * self._draw.random(), connection.transport.write, reply)

    def _spoil(self, reply: bytes) -> bytes:
        """Noise before it or behind it, a second copy, or a head that is none."""
        noise = bytes(self._draw.randrange(256) for _ in range(20))
        return self._draw.choice((noise + reply, reply + noise, reply + reply, b"HTTP/1.1 ok\r\n\r\n"))


class Client:
    """A front end's connection that writes down what it asks and what it is told."""

    def __init__(self, day: Day, index: int, port: int) -> None:
        self.day, self.index, self.port = day, index, port
        self.runner = f"n{index}.{day.lives[index]}"
        self.open: dict[int, str] = {}
        self._asked: dict[str, float] = {}
        self._let_in_by = 0.0  # the earliest that it may be accepted, where that was failing as it was made
        self.leaving = False
        self.obeys = day.draw.random() < day.faults.obeys
        self._next = 0
        self._writer: Any = None
        self._task: Any = None

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._writer is not None:
            self._writer.transport.abort()

    def walk_away(self) -> None:
        """Without a word."""
        now = time.monotonic()
        for rid in self.open.values():
            self.day.history.append(Hung(now, rid, by_client=True))
        self.open.clear()
        self.close()

    async def connect(self) -> bool:
        try:
            reader, self._writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        self._let_in_by = self.day.let_in_by(self.index)
        self._task = asyncio.create_task(self._read(reader))
        return True

    @property
    def usable(self) -> bool:
        return (
            self._writer is not None and not (self.leaving and self.obeys) and not self._writer.is_closing()
        )

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with suppress(OSError):
            async for line in reader:
                self._heard(json.loads(line))
        self.leaving, self.obeys = True, True
        self._writer.close()
        now = time.monotonic()
        ran = {s.rid for s in self.day.history if isinstance(s, Ran)}
        for rid in self.open.values():  # one that crosses the end of a resting connection is sent anew
            crossed = len(self.open) == 1 and now - self._asked[rid] < CROSSING_S and rid not in ran
            excused = crossed or now - self.day.killed.get(self.index, -KILLED_S) < KILLED_S
            self.day.history.append(Hung(now, rid, by_client=excused))
        self.open.clear()

    def _heard(self, m: dict[str, Any]) -> None:
        if m.get("method") == "leaving":
            self.leaving = True
        if (rid := self.open.pop(m.get("id", 0), None)) is None:
            return
        if "result" in m:
            verdict, content = Verdict.SERVED, base64.b64decode(m["result"]["content"])
        else:
            verdict, content = Verdict.FAILED, b""
            if m["error"]["code"] == REFUSED:
                verdict = Verdict.REFUSED
        self.day.history.append(Answered(time.monotonic(), rid, verdict, content))

    def ask(self, effect: str, body: bytes, token: str, budget_s: float) -> None:
        self._next += 1
        now, rid = time.monotonic(), f"{self.day.draw.getrandbits(64):016x}"
        params: dict[str, Any] = {
            "rid": rid,
            "t0": round((time.time() + self.day.clients_step_s) * 1000),
            "peer": 1,
            "acct": "acme",
            "budget": budget_s * 1000,
            "mem": 20.0,
            "prio": 0.5,
            "content": base64.b64encode(body).decode(),
        }
        if token:
            params["token"] = token
        message = {"jsonrpc": "2.0", "id": self._next, "method": effect, "params": params}
        self._writer.write(json.dumps(message).encode() + b"\n")
        self.open[self._next] = rid
        self._asked[rid] = now
        due = max(now + min(budget_s, DEADLINE_S), self._let_in_by)
        self.day.history.append(
            Asked(now, rid, effect, self.runner, body, due, token, WINDOW_S if token else 0.0)
        )


def settings() -> dict[str, Any]:
    base: dict[str, Any] = {"aimMs": 2000, "deadlineMs": DEADLINE_S * 1000, "worth": 1}
    classes = [
        base | {"name": e, "effect": e, "windowMs": WINDOW_S * 1000 if e == "guarded" else 0} for e in EFFECTS
    ]
    extra = SETTINGS["extra"] | {"classCalls": [True] * 3, "worthWithout": [0.5, 0, 0]}
    return SETTINGS | {"classes": classes, "extra": extra}


@dataclass(frozen=True, slots=True)
class Faults:
    """What happens on a day, beside its load."""

    name: str
    kernel_life_s: float = 0.0  # each link to a kernel is reset after about so long
    kernel_cut_after: int = 0  # bytes, both ways, after which it breaks in the midst of a message
    db_life_s: float = 0.0
    db_cut_after: int = 0
    delay_s: float = 0.0  # on both links
    inside: tuple[tuple[str, Any, float, float, float], ...] = ()  # see inject/sitecustomize.py
    reloads: bool = False  # good and bad configurations in a row
    stopped_s: float = 0.0  # SIGSTOP for so long, now and then
    restarts: bool = False  # SIGTERM, SIGKILL where it has not ended in time, and a new process
    replacements: bool = False  # a second process takes over from the first, which then gets SIGTERM
    crowd: int = 0  # connections of others that say nothing, or half a line
    sockets: int = 0  # the limit on descriptors, where it is a narrow one
    failed_replacements: float = 0.0  # the share of new processes that are killed or stopped on the way
    woken_replacements: float = 0.0  # that of new processes that are stopped for seconds, and go on
    told_early: float = 0.0  # that of former processes that get SIGTERM before the new one says yes
    drains: bool = False  # by the console, and back into service
    obeys: float = 1.0  # the share of clients that send nothing new once they were told so
    turned_away: float = 0.1
    failing: float = 0.1
    spoilt: float = 0.0  # the share of replies of the database that can't be read, or come with noise
    twice: float = 0.0  # the share of the kernel's notices that come twice
    walks_away: float = 0.02  # the share of requests whose client drops its connection soon after
    quiet_s: float = 0.0  # nothing is asked for so long before the day begins


async def _watch_lag(day: Day) -> None:
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.02)
        day.lag_s = max(day.lag_s, time.monotonic() - before - 0.02)


Trouble = Callable[[Any], Coroutine[Any, Any, None]]


@dataclass
class Day:
    """One day. `play` gives the findings."""

    seed: int
    faults: Faults
    runners: int = 3
    length_s: float = 6.0
    rate: float = 30.0  # requests a second, over all
    clients_step_s: float = 0.0
    history: list[Seen] = field(default_factory=list)
    draw: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.draw = random.Random(self.seed)
        self._parts: list[Any] = []
        self.nodes: list[Runner] = []
        self.killed: dict[int, float] = {}  # when a process of a runner was, with what it had read
        self.let_on: Counter[str] = Counter()  # successors of each runner, before the one under way
        self.still: dict[str, list[tuple[float, float]]] = defaultdict(list)  # when who served was stopped
        self.lives: Counter[int] = Counter()  # of each runner; a new one knows no keys
        self.announce: Announce
        self._clients: dict[int, list[Client]] = defaultdict(list)
        self._tokens: list[tuple[float, int, str, bytes]] = []
        self.relays: list[Relay] = []
        self.lag_s = 0.0  # the longest that this process itself was held up: the machine is busy

    def _relay(self, to: int, life_s: float, cut_after: int) -> Relay:
        relay = Relay(reactor(), to)
        relay.delay_s, relay.cut_after_bytes = self.faults.delay_s, cut_after
        relay.bytes_since_cut = self.draw.randrange(cut_after) if cut_after else 0
        self.relays.append(relay)
        if life_s:
            self._cut_now_and_then(relay, life_s)
        return relay

    def _cut_now_and_then(self, relay: Relay, life_s: float) -> None:
        def cut() -> None:
            relay.cut()
            self._cut_now_and_then(relay, life_s)

        call = relay.reactor.callLater(life_s * (0.5 + self.draw.random()), cut)
        self._parts.append(call)

    def lets_on(self, node: Runner) -> int:
        """How often a process of this runner has left its clients to a further one."""
        return node.text().count("hot restart: finishes, and the other one serves")

    def _due_once_woken(self, asked: Asked) -> Asked:
        """Due when the process that serves goes on, or another one serves in its place."""
        stops = self.still[asked.runner.split(".")[0]]
        ends = [end for began, end in stops if began <= asked.due and asked.at <= end]
        return replace(asked, due=max([asked.due, *ends]))

    def let_in_by(self, index: int) -> float:
        """When a connection that is made now is accepted at the latest, where the system refuses that for a while."""
        faults = [(since, until) for call, _, since, until, _ in self.faults.inside if call == "accept"]
        began = self.nodes[index].began
        now = time.monotonic()
        ends = [began + until for since, until in faults if began + since - 0.2 <= now < began + until + 0.2]
        return max(ends, default=0.0)

    def kernel_port(self) -> int:
        """Of a kernel of its own for a process, behind a relay."""
        kernel = WatchedKernel(self.history, self.draw, self.faults.twice, cores=2)
        kernel.listen()
        self._parts.append(kernel)
        return self._relay(kernel.port, self.faults.kernel_life_s, self.faults.kernel_cut_after).port

    def _start(self, index: int) -> None:
        f = self.faults
        database = WatchedDatabase(self.history, self.draw, f)
        database.listen()
        self._parts.append(database)
        environment = {}
        if f.inside:
            environment = {
                "PYTHONPATH": str(INJECT),
                "FAULT_PLAN": json.dumps(f.inside),
                "FAULT_SEED": str(self.seed + index),
            }
        self.nodes.append(
            Runner(
                self.kernel_port(),
                self._relay(database.port, f.db_life_s, f.db_cut_after).port,
                None,
                self._relay(self.announce.port, f.db_life_s, 0).port,
                None,
                settings(),
                name=f"n{index}",
                descriptors=f.sockets,
                environment=environment,
            )
        )

    async def play(self) -> list[Finding]:
        self.announce = Announce()
        for index in range(self.runners):
            self._start(index)
        try:
            for node in self.nodes:
                await node.ready()
            troubles = [asyncio.create_task(t(self)) for t in [_watch_lag, *self._troubles()]]
            await asyncio.sleep(self.faults.quiet_s)
            end = time.monotonic() + self.length_s
            while time.monotonic() < end:
                await asyncio.sleep(self.draw.expovariate(self.rate))
                await self._ask()
            for task in troubles:
                assert not task.done(), task.exception()
                task.cancel()
            await asyncio.sleep(DEADLINE_S + 2 * SLACK_S)
            ends = time.monotonic()
        finally:
            self._close()
        grace = SETTINGS["invariants"]["graceToAnswerMs"] / 1000
        history = [self._due_once_woken(s) if isinstance(s, Asked) else s for s in self.history]
        return judge(history, grace + SLACK_S + self.faults.stopped_s + 3 * self.lag_s, ends)

    def _troubles(self) -> list[Trouble]:
        from .troubles import crowding, draining, reloading, replacing, restarting, stopping

        chosen: list[Trouble] = []
        if self.faults.reloads:
            chosen.append(reloading)
        if self.faults.stopped_s:
            chosen.append(stopping)
        if self.faults.restarts:
            chosen.append(restarting)
        if self.faults.crowd:
            chosen.append(crowding)
        if self.faults.replacements:
            chosen.append(replacing)
        if self.faults.drains:
            chosen.append(draining)
        return chosen

    async def _ask(self) -> None:
        index = self.draw.randrange(self.runners)
        effect = EFFECTS[self.draw.randrange(3)]
        stretches = [self.draw.choice(STRETCHES_MS) for _ in range(self.draw.randint(1, 3))]
        body = b"work " + b" ".join(b"%d" % ms for ms in stretches)
        token = f"{self.draw.getrandbits(64):016x}" if effect == "guarded" else ""
        budget_s = self.draw.choice(BUDGETS_S)
        now = time.monotonic()
        if token and self.draw.random() < 0.4:
            since = [t for t in self._tokens if t[0] > now - WINDOW_S]
            if since:
                _, index, token, body = self.draw.choice(since)
        elif token:
            self._tokens.append((now, index, token, body))
        client = await self._client(index)
        if client is None:
            return
        client.ask(effect, body, token, budget_s)
        if self.draw.random() < self.faults.walks_away:
            asyncio.get_running_loop().call_later(0.1 * self.draw.random(), client.walk_away)

    async def _client(self, index: int) -> Client | None:
        pool = [c for c in self._clients[index] if c.usable]
        if len(pool) < 3:
            client = Client(self, index, self.nodes[index].port)
            self._parts.append(client)
            if not await client.connect():
                return None
            pool.append(client)
            pool = [c for c in pool if c.usable]  # one may have walked away meanwhile
        self._clients[index] = pool
        return self.draw.choice(pool) if pool else None

    def _close(self) -> None:
        for part in self._parts:
            if hasattr(part, "close"):
                part.close()
            elif part.active():
                part.cancel()
        self.announce.close()
        for relay in self.relays:
            relay.close()
        for node in self.nodes:
            node.close()

    def served(self) -> int:
        return sum(isinstance(s, Answered) and s.verdict is Verdict.SERVED for s in self.history)

    def timeline(self, rid: str) -> str:
        return "\n".join(repr(s) for s in self.history if s.rid == rid)
