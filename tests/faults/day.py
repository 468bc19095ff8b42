"""A simulated day: real runners under load for some seconds, with one kind of fault.

The links from the runners to their kernels and databases pass through relays, which can delay and cut them.
All random numbers derive from a seed. Clients, kernels and databases record their observations in a history, which the
auditor checks.
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
from .auditor import (
    AnswerReceived,
    CallReceived,
    ConnectionEnded,
    Finding,
    Observation,
    ReplyReceived,
    RequestSent,
    RunEnded,
    RunStarted,
    Verdict,
    audit,
)

INJECT = Path(__file__).resolve().parent / "inject"
EFFECTS = ("free", "guarded", "single_shot")
SLACK_S = 0.6  # Allowed delay of the test machine, in addition to the grace period of the settings.
REFUSED = -32014  # JSON-RPC error code
DEADLINE_S = 3.0
WINDOW_S = 3.0
BUDGETS_S = (0.03, 0.3, 1.0, 3.0)
KILL_GRACE_S = 0.3  # Time until all connections of a killed process have ended.
# No answer is due to a request that is sent less than this time before the runner closes its idle connection.
CLOSE_RACE_S = 0.05
WORK_PIECES_MS = (5, 20, 60, 150)  # Lengths of the work between the calls of a run.


class RecordingKernel(Kernel):
    """Records runs, results and replies.

    The body of a call contains the id of its request and the number of the call. A correct reply repeats this body.
    """

    def __init__(
        self, history: list[Observation], rng: random.Random, repeated_notice_share: float, **options: Any
    ) -> None:
        super().__init__(**options)
        self._history, self._rng, self._repeated_notice_share = history, rng, repeated_notice_share
        self._call_counts: Counter[str] = Counter()
        self._expected_bodies: dict[str, bytes] = {}

    def message_received(self, link: Any, m: dict[str, Any]) -> None:
        """Record starts of runs and replies to calls."""
        kind, rid = m["t"], m.get("rid", "")
        body = base64.b64decode(m.get("b64") or "")
        if kind == "SCHED" and not self.has_run(rid) and kind not in self.rejected_kinds:
            self._history.append(RunStarted(time.monotonic(), rid, body))
        if kind == "IODONE" and self.is_waiting(rid):
            self._history.append(
                ReplyReceived(time.monotonic(), rid, b"re:" + self._expected_bodies[rid], body)
            )
        super().message_received(link, m)

    def notify(self, **notice: Any) -> None:
        """Record results, and send some notices twice."""
        rid = notice.get("rid", "")
        if notice["t"] == "IOREQ":
            self._call_counts[rid] += 1
            self._expected_bodies[rid] = f"{rid} {self._call_counts[rid]}".encode()
            notice["b64"] = base64.b64encode(self._expected_bodies[rid]).decode()
        elif notice["t"] == "REAP" and notice["status"] == "PASS":
            self._history.append(RunEnded(time.monotonic(), rid, base64.b64decode(notice["b64"])))
        super().notify(**notice)
        if self.link is not None and self._rng.random() < self._repeated_notice_share:
            self.link.send_message(self._notices[-1])


class RecordingDatabase(Database):
    """Records calls, and replies with their bodies except for the shares of calls that `faults` specifies."""

    def __init__(self, history: list[Observation], rng: random.Random, faults: Faults) -> None:
        super().__init__()
        self._history, self._rng, self._faults = history, rng, faults

    def request_received(self, connection: Any, request_line: bytes, body: bytes) -> None:
        """Record the call and schedule its reply."""
        outcome = self._rng.random()
        never_ran = outcome < self._faults.never_ran_share
        self._history.append(CallReceived(time.monotonic(), body.split()[0].decode(), body, never_ran))
        if never_ran:
            head, content = b"HTTP/1.1 503 X\r\nNever-Started: 1\r\n", b""
        elif outcome < self._faults.never_ran_share + self._faults.error_share:
            head, content = b"HTTP/1.1 500 X\r\n", b""
        else:
            head, content = b"HTTP/1.1 200 X\r\n", b"re:" + body
        reply = head + b"Content-Length: %d\r\n\r\n" % len(content) + content
        if not never_ran and self._rng.random() < self._faults.malformed_reply_share:
            reply = self._corrupt(reply)
        self.reactor.callLater(0.005 + 0.03 * self._rng.random(), connection.transport.write, reply)

    def _corrupt(self, reply: bytes) -> bytes:
        """Return the reply with noise before or after it, the reply twice, or an invalid HTTP header."""
        noise = bytes(self._rng.randrange(256) for _ in range(20))
        return self._rng.choice((noise + reply, reply + noise, reply + reply, b"HTTP/1.1 ok\r\n\r\n"))


class Client:
    """A front end's connection that records its requests and their answers.

    Attributes:
        runner: Name of the runner, with the number of its restarts.
        open_requests: Request ids of the unanswered requests, by JSON-RPC id.
        leaving: Whether the runner has sent `leaving` or closed the connection.
        is_compliant: Whether the client sends no request after it has received `leaving`.
    """

    def __init__(self, day: Day, index: int, port: int) -> None:
        self.day, self.index, self.port = day, index, port
        self.runner = f"n{index}.{day.restart_counts[index]}"
        self.open_requests: dict[int, str] = {}
        self._sent_at: dict[str, float] = {}
        # Monotonic time by which the runner accepts this connection, if an injected fault made `accept` fail when the
        # client connected. Otherwise 0.
        self._accept_deadline = 0.0
        self.leaving = False
        self.is_compliant = day.rng.random() < day.faults.compliant_client_share
        self._last_id = 0
        self._writer: Any = None
        self._task: Any = None

    def close(self) -> None:
        """Abort the connection."""
        if self._task is not None:
            self._task.cancel()
        if self._writer is not None:
            self._writer.transport.abort()

    def disconnect(self) -> None:
        """Abort the connection without notice, and record that its open requests need no answer."""
        now = time.monotonic()
        for rid in self.open_requests.values():
            self.day.history.append(ConnectionEnded(now, rid, is_excused=True))
        self.open_requests.clear()
        self.close()

    async def connect(self) -> bool:
        """Connect, and return whether the connection was established."""
        try:
            reader, self._writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        self._accept_deadline = self.day.accept_deadline(self.index)
        self._task = asyncio.create_task(self._read(reader))
        return True

    @property
    def is_usable(self) -> bool:
        """Whether the client can send a request."""
        return (
            self._writer is not None
            and not (self.leaving and self.is_compliant)
            and not self._writer.is_closing()
        )

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with suppress(OSError):
            async for line in reader:
                self._message_received(json.loads(line))
        self.leaving, self.is_compliant = True, True
        self._writer.close()
        now = time.monotonic()
        ran = {s.rid for s in self.day.history if isinstance(s, RunStarted)}
        for rid in self.open_requests.values():
            # A front end sends a request again if the runner closed the idle connection before it read the request.
            raced_close = (
                len(self.open_requests) == 1 and now - self._sent_at[rid] < CLOSE_RACE_S and rid not in ran
            )
            excused = raced_close or now - self.day.killed.get(self.index, -KILL_GRACE_S) < KILL_GRACE_S
            self.day.history.append(ConnectionEnded(now, rid, is_excused=excused))
        self.open_requests.clear()

    def _message_received(self, m: dict[str, Any]) -> None:
        if m.get("method") == "leaving":
            self.leaving = True
        if (rid := self.open_requests.pop(m.get("id", 0), None)) is None:
            return
        if "result" in m:
            verdict, content = Verdict.SERVED, base64.b64decode(m["result"]["content"])
        else:
            verdict, content = Verdict.FAILED, b""
            if m["error"]["code"] == REFUSED:
                verdict = Verdict.REFUSED
        self.day.history.append(AnswerReceived(time.monotonic(), rid, verdict, content))

    def send_request(self, effect: str, body: bytes, token: str, budget_s: float) -> None:
        """Send a request and record it.

        :param token: Idempotency key, or "".
        """
        self._last_id += 1
        now, rid = time.monotonic(), f"{self.day.rng.getrandbits(64):016x}"
        params: dict[str, Any] = {
            "rid": rid,
            "t0": round((time.time() + self.day.client_clock_offset_s) * 1000),
            "peer": 1,
            "acct": "acme",
            "budget": budget_s * 1000,
            "mem": 20.0,
            "prio": 0.5,
            "content": base64.b64encode(body).decode(),
        }
        if token:
            params["token"] = token
        message = {"jsonrpc": "2.0", "id": self._last_id, "method": effect, "params": params}
        self._writer.write(json.dumps(message).encode() + b"\n")
        self.open_requests[self._last_id] = rid
        self._sent_at[rid] = now
        due = max(now + min(budget_s, DEADLINE_S), self._accept_deadline)
        self.day.history.append(
            RequestSent(now, rid, effect, self.runner, body, due, token, WINDOW_S if token else 0.0)
        )


def settings() -> dict[str, Any]:
    """Return settings with one request class for each effect."""
    base: dict[str, Any] = {"aimMs": 2000, "deadlineMs": DEADLINE_S * 1000, "worth": 1}
    classes = [
        base | {"name": e, "effect": e, "windowMs": WINDOW_S * 1000 if e == "guarded" else 0} for e in EFFECTS
    ]
    extra = SETTINGS["extra"] | {"classCalls": [True] * 3, "worthWithout": [0.5, 0, 0]}
    return SETTINGS | {"classes": classes, "extra": extra}


@dataclass(frozen=True, slots=True)
class Faults:
    """The faults of a simulated day. By default most of them don't occur.

    Attributes:
        kernel_link_lifetime_s: Mean time after which each kernel link is reset.
        kernel_cut_after_bytes: Bytes in both directions after which a kernel link is cut within a message.
        db_link_lifetime_s: Mean time after which the links to the database and the announce service are reset.
        db_cut_after_bytes: Bytes in both directions after which a database link is cut within a message.
        link_delay_s: Delay of all links.
        injected: Plan of the failing system calls and clock steps, see inject/sitecustomize.py.
        reloads: Whether valid and invalid configurations are loaded in quick succession.
        pause_s: Length of the pauses (SIGSTOP) of runners.
        restarts: Whether runners are ended, by SIGKILL if SIGTERM doesn't end them in time, and started again.
        replacements: Whether a second process takes over from the first, which then receives SIGTERM.
        idle_connections: Connections of other clients that send nothing or half a line.
        max_descriptors: Limit on file descriptors of a runner; 0 sets none.
        failed_replacement_share: Share of new processes that are killed during the takeover.
        paused_replacement_share: Share of new processes that are paused for seconds during the takeover.
        early_sigterm_share: Share of old processes that receive SIGTERM before the new one is healthy.
        drains: Whether runners are drained by the console and resumed.
        compliant_client_share: Share of clients that send no request after the runner's `leaving`.
        never_ran_share: Share of calls with the reply that the call was not executed.
        error_share: Share of calls with the reply 500.
        malformed_reply_share: Share of replies of the database that are invalid or contain noise.
        repeated_notice_share: Share of the kernel's notices that are sent twice.
        disconnect_share: Share of requests whose client disconnects soon after.
        idle_start_s: Time without requests at the start of the day.
    """

    name: str
    kernel_link_lifetime_s: float = 0.0
    kernel_cut_after_bytes: int = 0
    db_link_lifetime_s: float = 0.0
    db_cut_after_bytes: int = 0
    link_delay_s: float = 0.0
    injected: tuple[tuple[str, Any, float, float, float], ...] = ()
    reloads: bool = False
    pause_s: float = 0.0
    restarts: bool = False
    replacements: bool = False
    idle_connections: int = 0
    max_descriptors: int = 0
    failed_replacement_share: float = 0.0
    paused_replacement_share: float = 0.0
    early_sigterm_share: float = 0.0
    drains: bool = False
    compliant_client_share: float = 1.0
    never_ran_share: float = 0.1
    error_share: float = 0.1
    malformed_reply_share: float = 0.0
    repeated_notice_share: float = 0.0
    disconnect_share: float = 0.02
    idle_start_s: float = 0.0


async def _measure_lag(day: Day) -> None:
    """Record the longest delay of the test's own event loop."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.02)
        day.lag_s = max(day.lag_s, time.monotonic() - before - 0.02)


FaultTask = Callable[[Any], Coroutine[Any, Any, None]]


@dataclass
class Day:
    """One simulated day with one kind of fault.

    Attributes:
        seed: Seed of all random numbers.
        duration_s: Time in which requests are sent.
        requests_per_s: Rate of requests over all runners.
        client_clock_offset_s: Offset of the clients' clocks.
        history: Observations in order of time.
        nodes: The runners.
        killed: Time at which a process of a runner was last killed, by the runner's index.
        takeovers_before: Completed takeovers of each runner when the current one began, by the runner's name.
        pauses: Start and end of the pauses of the process that served, by the runner's name.
        restart_counts: Restarts of each runner, by index. A restarted runner has no idempotency keys.
        lag_s: Longest delay of the test's own event loop, which shows how busy the machine is.
    """

    seed: int
    faults: Faults
    runner_count: int = 3
    duration_s: float = 6.0
    requests_per_s: float = 30.0
    client_clock_offset_s: float = 0.0
    history: list[Observation] = field(default_factory=list)
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._resources: list[Any] = []
        self.nodes: list[Runner] = []
        # Requests that a killed process had read are lost with it, so that no answer to them is due.
        self.killed: dict[int, float] = {}
        self.takeovers_before: Counter[str] = Counter()
        self.pauses: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.restart_counts: Counter[int] = Counter()
        self.announce: Announce
        self._clients: dict[int, list[Client]] = defaultdict(list)
        self._recent_tokens: list[tuple[float, int, str, bytes]] = []
        self.relays: list[Relay] = []
        self.lag_s = 0.0

    def _relay(self, to: int, lifetime_s: float, cut_after_bytes: int) -> Relay:
        relay = Relay(reactor(), to)
        relay.delay_s, relay.cut_after_bytes = self.faults.link_delay_s, cut_after_bytes
        relay.bytes_since_cut = self.rng.randrange(cut_after_bytes) if cut_after_bytes else 0
        self.relays.append(relay)
        if lifetime_s:
            self._schedule_cut(relay, lifetime_s)
        return relay

    def _schedule_cut(self, relay: Relay, lifetime_s: float) -> None:
        def cut() -> None:
            relay.cut()
            self._schedule_cut(relay, lifetime_s)

        call = relay.reactor.callLater(lifetime_s * (0.5 + self.rng.random()), cut)
        self._resources.append(call)

    def completed_takeovers(self, node: Runner) -> int:
        """Return how many hot restarts of this runner have completed, according to its log."""
        return node.read_log().count("hot restart: finishes, and the other one serves")

    def _extend_due_time(self, request: RequestSent) -> RequestSent:
        """Return the request with a later due time if its runner was paused between its sending and its due time.

        The new due time is the end of that pause: the time at which the paused process continues or another process
        serves in its place.
        """
        pauses = self.pauses[request.runner.split(".")[0]]
        ends = [end for start, end in pauses if start <= request.due and request.at <= end]
        return replace(request, due=max([request.due, *ends]))

    def accept_deadline(self, index: int) -> float:
        """Return the monotonic time by which a connection that is opened now is accepted.

        :returns: 0 if no injected fault makes `accept` fail now.
        """
        faults = [(since, until) for call, _, since, until, _ in self.faults.injected if call == "accept"]
        began = self.nodes[index].began
        now = time.monotonic()
        ends = [began + until for since, until in faults if began + since - 0.2 <= now < began + until + 0.2]
        return max(ends, default=0.0)

    def kernel_port(self) -> int:
        """Start a kernel for a new process and return the port of its relay."""
        kernel = RecordingKernel(self.history, self.rng, self.faults.repeated_notice_share, cores=2)
        kernel.listen()
        self._resources.append(kernel)
        return self._relay(
            kernel.port, self.faults.kernel_link_lifetime_s, self.faults.kernel_cut_after_bytes
        ).port

    def _start(self, index: int) -> None:
        f = self.faults
        database = RecordingDatabase(self.history, self.rng, f)
        database.listen()
        self._resources.append(database)
        environment = {}
        if f.injected:
            environment = {
                "PYTHONPATH": str(INJECT),
                "FAULT_PLAN": json.dumps(f.injected),
                "FAULT_SEED": str(self.seed + index),
            }
        self.nodes.append(
            Runner(
                self.kernel_port(),
                self._relay(database.port, f.db_link_lifetime_s, f.db_cut_after_bytes).port,
                None,
                self._relay(self.announce.port, f.db_link_lifetime_s, 0).port,
                None,
                settings(),
                name=f"n{index}",
                descriptors=f.max_descriptors,
                environment=environment,
            )
        )

    async def play(self) -> list[Finding]:
        """Simulate the day and return the violations."""
        self.announce = Announce()
        for index in range(self.runner_count):
            self._start(index)
        try:
            for node in self.nodes:
                await node.ready()
            tasks = [asyncio.create_task(t(self)) for t in [_measure_lag, *self._fault_tasks()]]
            await asyncio.sleep(self.faults.idle_start_s)
            end = time.monotonic() + self.duration_s
            while time.monotonic() < end:
                await asyncio.sleep(self.rng.expovariate(self.requests_per_s))
                await self._send_request()
            for task in tasks:
                assert not task.done(), task.exception()
                task.cancel()
            await asyncio.sleep(DEADLINE_S + 2 * SLACK_S)
            observed_until = time.monotonic()
        finally:
            self._close()
        grace = SETTINGS["invariants"]["graceToAnswerMs"] / 1000
        history = [self._extend_due_time(s) if isinstance(s, RequestSent) else s for s in self.history]
        return audit(history, grace + SLACK_S + self.faults.pause_s + 3 * self.lag_s, observed_until)

    def _fault_tasks(self) -> list[FaultTask]:
        from .troubles import (
            drain_runners,
            open_idle_connections,
            pause_processes,
            reload_configurations,
            replace_processes,
            restart_runners,
        )

        chosen: list[FaultTask] = []
        if self.faults.reloads:
            chosen.append(reload_configurations)
        if self.faults.pause_s:
            chosen.append(pause_processes)
        if self.faults.restarts:
            chosen.append(restart_runners)
        if self.faults.idle_connections:
            chosen.append(open_idle_connections)
        if self.faults.replacements:
            chosen.append(replace_processes)
        if self.faults.drains:
            chosen.append(drain_runners)
        return chosen

    async def _send_request(self) -> None:
        index = self.rng.randrange(self.runner_count)
        effect = EFFECTS[self.rng.randrange(3)]
        pieces_ms = [self.rng.choice(WORK_PIECES_MS) for _ in range(self.rng.randint(1, 3))]
        body = b"work " + b" ".join(b"%d" % ms for ms in pieces_ms)
        token = f"{self.rng.getrandbits(64):016x}" if effect == "guarded" else ""
        budget_s = self.rng.choice(BUDGETS_S)
        now = time.monotonic()
        if token and self.rng.random() < 0.4:
            reusable = [t for t in self._recent_tokens if t[0] > now - WINDOW_S]
            if reusable:
                _, index, token, body = self.rng.choice(reusable)
        elif token:
            self._recent_tokens.append((now, index, token, body))
        client = await self._client(index)
        if client is None:
            return
        client.send_request(effect, body, token, budget_s)
        if self.rng.random() < self.faults.disconnect_share:
            asyncio.get_running_loop().call_later(0.1 * self.rng.random(), client.disconnect)

    async def _client(self, index: int) -> Client | None:
        pool = [c for c in self._clients[index] if c.is_usable]
        if len(pool) < 3:
            client = Client(self, index, self.nodes[index].port)
            self._resources.append(client)
            if not await client.connect():
                return None
            pool.append(client)
            pool = [c for c in pool if c.is_usable]  # A client may have disconnected meanwhile.
        self._clients[index] = pool
        return self.rng.choice(pool) if pool else None

    def _close(self) -> None:
        for resource in self._resources:
            if hasattr(resource, "close"):
                resource.close()
            elif resource.active():
                resource.cancel()
        self.announce.close()
        for relay in self.relays:
            relay.close()
        for node in self.nodes:
            node.close()

    def served(self) -> int:
        """Return the number of served requests."""
        return sum(isinstance(s, AnswerReceived) and s.verdict is Verdict.SERVED for s in self.history)

    def timeline(self, rid: str) -> str:
        """Return the observations of a request, one per line."""
        return "\n".join(repr(s) for s in self.history if s.rid == rid)
