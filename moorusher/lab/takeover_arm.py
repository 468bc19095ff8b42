"""One arm of the experiment "takeover": six runners under load, their callers, and the failure of some runners."""

from __future__ import annotations

import enum
import random
import signal
from collections import Counter
from typing import Any

from twisted.internet.task import deferLater

from .admin_client import AdminReply, request_admin
from .arrivals import Arrival, RequestClass, draw_arrivals
from .clock import now_us
from .cores import MachineSpec
from .ports import HOST, free_port
from .relays import Relay
from .runner_client import RunnerClient
from .runners import GAUGES, Runner, runner_settings
from .stand_ins.kernel import Kernel
from .takeover_result import CallerRequest, TakeoverResult, count_served, share_served

RUNNERS = 6
CORES = 2
ZONES = 3
SERVICE_TIME_MS = 60.0
CLASSES = [
    RequestClass("check", 0.7, SERVICE_TIME_MS, False, 1500, 4000),
    RequestClass("submit", 0.3, SERVICE_TIME_MS, False, 3000, 8000, keyed=True),
]
KEYED_CLASS = CLASSES[1]
TENANTS = ["north", "south"]
LOAD_S = 9.0
FAILURE_AT_S = 3.0
SUSPENSION_S = 3.0
"""How long a runner is suspended by SIGSTOP."""
CALLER_TIMEOUT_S = 2.0
"""Time after which a caller sends its request to the next runner."""
RETRY_AFTER_LOSS_S = 0.2
RETRY_AFTER_REJECTION_S = 0.4
BURST_SIZE = 10
BURST_SERVICE_TIME_MS = 4 * SERVICE_TIME_MS
FAILING_RUNNERS = (1, 4)
"""Indexes of the runners that fail: the first one, or both. A burst shortly before leaves both with queued requests."""
_BURST_LEAD_S = 0.1
_WATCH_INTERVAL_S = 0.02
_SETTLING_S = 5.0
_ADMIN_TIMEOUT_S = 2


class Loss(enum.Enum):
    """Failure injected into one or two runners."""

    ONE_KILLED = "one"
    TWO_KILLED = "two"
    STOPPED = "stopped"
    """One runner's process is suspended for `SUSPENSION_S`, then continues."""
    CUT = "cut"
    """The links between one runner and all others deliver nothing."""


class TakeoverArm:
    """Runs one arm of the experiment once.

    :param load: Load as a share of the fleet's capacity.
    :param in_fleet: Whether the runners form a fleet, which takes over the work of failed runners.
    """

    def __init__(self, reactor: Any, seed: int, load: float, in_fleet: bool, loss: Loss) -> None:
        self.reactor = reactor
        self.in_fleet = in_fleet
        self.loss = loss
        self._rng = random.Random(seed)
        self._kernels = [Kernel(reactor, machine=MachineSpec(CORES), gauges=GAUGES) for _ in range(RUNNERS)]
        for kernel in self._kernels:
            kernel.listen()
        self._fleet_ports = [free_port() for _ in range(RUNNERS)]
        self._relays = self._create_relays() if in_fleet else {}
        settings = runner_settings(
            CLASSES, TENANTS, CORES, below="off", classCalls=[False, False], worthWithout=[0, 0]
        )
        self._runners = [
            Runner(
                reactor,
                self._kernels[index],
                settings,
                name=f"r{index}",
                extra_toml=self._fleet_toml(index) if in_fleet else "",
            )
            for index in range(RUNNERS)
        ]
        self._clients = [
            RunnerClient(reactor, runner.port, index) for index, runner in enumerate(self._runners)
        ]
        rate = load * RUNNERS * CORES / (SERVICE_TIME_MS / 1000)
        self._arrivals = draw_arrivals(seed, CLASSES, TENANTS, rate, LOAD_S)
        self._requests: list[CallerRequest] = []
        self._request_by_id: dict[str, CallerRequest] = {}
        self._failed_runners: list[int] = []
        self._open_at_loss: list[CallerRequest] = []
        # Idempotency keys of the requests that the failed runners had started before they failed.
        self._started_at_failed: set[str] = set()
        self._takeover_at: float | None = None
        self._began_us = 0

    def _create_relays(self) -> dict[tuple[int, int], Relay]:
        return {
            (source, target): Relay(self.reactor, self._fleet_ports[target])
            for source in range(RUNNERS)
            for target in range(RUNNERS)
            if source != target
        }

    def _fleet_toml(self, index: int) -> str:
        ports = [
            self._relays[index, other].port if other != index else self._fleet_ports[index]
            for other in range(RUNNERS)
        ]
        seats = "".join(
            f'[[fleet.seat]]\nname = "r{other}"\nzone = "z{other % ZONES}"\naddress = "{HOST}:{port}"\n'
            for other, port in enumerate(ports)
        )
        return f'[fleet]\nlisten = "{HOST}:{self._fleet_ports[index]}"\nname = "lab"\n{seats}'

    @property
    def now(self) -> float:
        """Seconds since the load began."""
        return (now_us() - self._began_us) / 1e6

    async def _pause(self, seconds: float) -> None:
        await deferLater(self.reactor, max(0.0, seconds), lambda: None)

    async def _request_admin(self, index: int, path: str, method: str = "GET") -> AdminReply:
        port = self._runners[index].admin
        return await request_admin(port, path, method, timeout_s=_ADMIN_TIMEOUT_S)

    async def play(self) -> TakeoverResult:
        """Run the arm and end all its processes."""
        for index in range(RUNNERS):
            while b'"kernel_up": true' not in (await self._request_admin(index, "status")).body:
                await self._pause(0.1)
        while self.in_fleet and not (await self._request_admin(0, "fleet/begin", "POST")).succeeded:
            await self._pause(0.2)
        await self._pause(0.5)
        self._began_us = now_us()
        self.reactor.callLater(FAILURE_AT_S - _BURST_LEAD_S, self._send_burst)
        self.reactor.callLater(FAILURE_AT_S, self._fail_runners)
        for arrival in self._arrivals:
            if arrival.at_s > self.now:
                await self._pause(arrival.at_s - self.now)
            self._send(arrival, self._rng.randrange(RUNNERS))
        await self._pause(_SETTLING_S)
        self.close()
        return self._result()

    # ---- callers ----

    def _send(self, arrival: Arrival, runner: int) -> None:
        request = CallerRequest(arrival, arrival.token or "", self.now)
        self._requests.append(request)
        self._attempt(request, runner)

    def _send_burst(self) -> None:
        """Send more keyed requests than a runner's cores execute at once, so that some are queued at the failure."""
        body = f"work {BURST_SERVICE_TIME_MS:.1f}".encode()
        for runner in FAILING_RUNNERS:
            for _ in range(BURST_SIZE):
                token = f"{self._rng.getrandbits(64):016x}"
                self._send(Arrival(self.now, KEYED_CLASS, TENANTS[0], body, token), runner)

    def _attempt(self, request: CallerRequest, runner: int) -> None:
        """Send the request to a runner, unless it has an outcome or its deadline has passed.

        All attempts have the same idempotency key.
        """
        if request.outcome or self.now - request.sent_at > request.deadline_s:
            return
        request.runners.append(runner)
        attempts = len(request.runners)
        request_id = f"{len(self._requests):06x}.{attempts}.{self._rng.getrandbits(32):08x}"
        self._request_by_id[request_id] = request
        timer = self.reactor.callLater(CALLER_TIMEOUT_S, lambda: self._try_next(request, runner))

        def on_outcome(outcome: str) -> None:
            if timer.active():
                timer.cancel()
            if not request.outcome:
                self._outcome_received(request, runner, outcome)

        self._clients[runner].send(request.arrival, request_id, on_outcome)

    def _outcome_received(self, request: CallerRequest, runner: int, outcome: str) -> None:
        if outcome in ("lost", "unreached") and runner in self._failed_runners:
            self.reactor.callLater(RETRY_AFTER_LOSS_S, lambda: self._try_next(request, runner))
        elif outcome == "refused" and request.token and self.now > FAILURE_AT_S:
            self.reactor.callLater(RETRY_AFTER_REJECTION_S, lambda: self._try_next(request, runner))
        else:
            request.outcome = outcome
            request.ended_at = self.now

    def _try_next(self, request: CallerRequest, runner: int) -> None:
        """Send the request to the next runner that has not failed."""
        if request.outcome:
            return
        following = [*range(runner + 1, RUNNERS), *range(RUNNERS)]
        self._attempt(request, next(index for index in following if index not in self._failed_runners))

    # ---- the loss ----

    def _fail_runners(self) -> None:
        losses = len(FAILING_RUNNERS) if self.loss is Loss.TWO_KILLED else 1
        self._failed_runners = list(FAILING_RUNNERS[:losses])
        self._open_at_loss = [
            request
            for request in self._requests
            if request.token
            and not request.outcome
            and request.runners
            and request.runners[-1] in self._failed_runners
        ]
        self._started_at_failed = {
            self._request_by_id[run.request_id].token
            for index in self._failed_runners
            for run in self._kernels[index].runs
            if run.request_id in self._request_by_id
        }
        for index in self._failed_runners:
            self._fail_runner(index)
        if self.loss is Loss.STOPPED:
            self.reactor.callLater(SUSPENSION_S, self._failed_runners.clear)
        self._watch_for_takeover()

    def _fail_runner(self, index: int) -> None:
        runner = self._runners[index]
        if self.loss is Loss.STOPPED:
            runner.signal("STOP")
            self.reactor.callLater(SUSPENSION_S, runner.signal, signal.SIGCONT)
        elif self.loss is Loss.CUT:
            for link, relay in self._relays.items():
                if index in link:
                    relay.silence()
        else:
            runner.signal("KILL")
            self._kernels[index].close()

    def _watch_for_takeover(self) -> None:
        queued = {request.token for request in self._open_at_loss} - self._started_at_failed
        for index, kernel in enumerate(self._kernels):
            if index in self._failed_runners or self._takeover_at is not None:
                continue
            if any(self._token_of(run.request_id) in queued for run in kernel.runs):
                self._takeover_at = self.now
        if self._takeover_at is None and self.now < LOAD_S + 4:
            self.reactor.callLater(_WATCH_INTERVAL_S, self._watch_for_takeover)

    def _token_of(self, request_id: str) -> str:
        request = self._request_by_id.get(request_id)
        return "" if request is None else request.token

    # ---- the result ----

    def _result(self) -> TakeoverResult:
        executions = Counter(
            self._token_of(run.request_id) for kernel in self._kernels for run in kernel.runs
        )
        del executions[""]
        keyed = [request for request in self._requests if request.token]
        queued = [request for request in self._open_at_loss if request.token not in self._started_at_failed]
        unkeyed_requests = [
            request
            for request in self._requests
            if request.sent_at > FAILURE_AT_S
            and not request.token
            and request.runners[0] not in FAILING_RUNNERS
        ]
        takeover_s = -1.0 if self._takeover_at is None else self._takeover_at - FAILURE_AT_S
        return TakeoverResult(
            tokens=len(keyed),
            executed_twice=sum(count > 1 for count in executions.values()),
            open_at_loss=len(self._open_at_loss),
            queued_at_loss=len(queued),
            queued_served=share_served(queued),
            without_outcome=sum(not request.outcome for request in self._open_at_loss),
            executions_per_served=sum(executions.values()) / max(1, count_served(keyed)),
            served=share_served(keyed),
            unkeyed_served=share_served(unkeyed_requests),
            takeover_s=takeover_s,
        )

    def close(self) -> None:
        """Kill all runners, and close clients, kernels and relays."""
        for runner in self._runners:
            runner.signal(signal.SIGCONT)
            runner.signal("KILL")
        components: list[Any] = [*self._clients, *self._kernels, *self._relays.values()]
        for component in components:
            component.close()
