"""One play of the experiment "takeover": six runners under load, their callers, and the loss of some."""

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
LOST_AT_S = 3.0
STOPPED_S = 3.0
"""For how long a stopped runner stands still."""
CALLER_TIMEOUT_S = 2.0
"""After which a caller tries the next runner."""
RETRY_AFTER_LOSS_S = 0.2
RETRY_AFTER_REJECTION_S = 0.4
BURST_SIZE = 10
BURST_SERVICE_TIME_MS = 4 * SERVICE_TIME_MS
LOSABLE_RUNNERS = (1, 4)
"""One or both are lost; all of them get a burst before, so that there is something to be lost."""
_BURST_LEAD_S = 0.1
_WATCH_INTERVAL_S = 0.02
_SETTLING_S = 5.0
_ADMIN_TIMEOUT_S = 2


class Loss(enum.Enum):
    """What befalls some of the runners."""

    ONE_KILLED = "one"
    TWO_KILLED = "two"
    STOPPED = "stopped"
    """It stands still for a while, and goes on."""
    CUT = "cut"
    """Its links to the others are silent."""


class TakeoverArm:
    """One play.

    :param load: share of the fleet's capacity.
    :param in_fleet: whether the runners are a fleet, which takes over the work of lost ones.
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
        self._request_of: dict[str, CallerRequest] = {}
        self._lost: list[int] = []
        self._open_at_loss: list[CallerRequest] = []
        self._begun_at_lost: set[str] = set()
        self._taken_over_at: float | None = None
        self._began_us = 0

    def _create_relays(self) -> dict[tuple[int, int], Relay]:
        """From each runner to each other."""
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
        """Play it, end all processes."""
        for index in range(RUNNERS):
            while b'"kernel_up": true' not in (await self._request_admin(index, "status")).body:
                await self._pause(0.1)
        while self.in_fleet and not (await self._request_admin(0, "fleet/begin", "POST")).succeeded:
            await self._pause(0.2)
        await self._pause(0.5)
        self._began_us = now_us()
        self.reactor.callLater(LOST_AT_S - _BURST_LEAD_S, self._send_burst)
        self.reactor.callLater(LOST_AT_S, self._lose_runners)
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
        self._try(request, runner)

    def _send_burst(self) -> None:
        """Keyed work beyond what a runner's cores take at once, so that there is something to be lost."""
        body = f"work {BURST_SERVICE_TIME_MS:.1f}".encode()
        for runner in LOSABLE_RUNNERS:
            for _ in range(BURST_SIZE):
                token = f"{self._rng.getrandbits(64):016x}"
                self._send(Arrival(self.now, KEYED_CLASS, TENANTS[0], body, token), runner)

    def _try(self, request: CallerRequest, runner: int) -> None:
        """Send it, with the same key as before."""
        if request.outcome or self.now - request.sent_at > request.deadline_s:
            return
        request.runners.append(runner)
        tries = len(request.runners)
        request_id = f"{len(self._requests):06x}.{tries}.{self._rng.getrandbits(32):08x}"
        self._request_of[request_id] = request
        timer = self.reactor.callLater(CALLER_TIMEOUT_S, lambda: self._try_next(request, runner))

        def on_outcome(outcome: str) -> None:
            if timer.active():
                timer.cancel()
            if not request.outcome:
                self._outcome_received(request, runner, outcome)

        self._clients[runner].send(request.arrival, request_id, on_outcome)

    def _outcome_received(self, request: CallerRequest, runner: int, outcome: str) -> None:
        if outcome in ("lost", "unreached") and runner in self._lost:
            self.reactor.callLater(RETRY_AFTER_LOSS_S, lambda: self._try_next(request, runner))
        elif outcome == "refused" and request.token and self.now > LOST_AT_S:
            self.reactor.callLater(RETRY_AFTER_REJECTION_S, lambda: self._try_next(request, runner))
        else:
            request.outcome = outcome
            request.ended_at = self.now

    def _try_next(self, request: CallerRequest, runner: int) -> None:
        """At the next runner that is not lost."""
        if request.outcome:
            return
        following = [*range(runner + 1, RUNNERS), *range(RUNNERS)]
        self._try(request, next(index for index in following if index not in self._lost))

    # ---- the loss ----

    def _lose_runners(self) -> None:
        losses = len(LOSABLE_RUNNERS) if self.loss is Loss.TWO_KILLED else 1
        self._lost = list(LOSABLE_RUNNERS[:losses])
        self._open_at_loss = [
            request
            for request in self._requests
            if request.token and not request.outcome and request.runners and request.runners[-1] in self._lost
        ]
        self._begun_at_lost = {
            self._request_of[run.request_id].token
            for index in self._lost
            for run in self._kernels[index].runs
            if run.request_id in self._request_of
        }
        for index in self._lost:
            self._lose_runner(index)
        if self.loss is Loss.STOPPED:
            self.reactor.callLater(STOPPED_S, self._lost.clear)
        self._watch_for_takeover()

    def _lose_runner(self, index: int) -> None:
        runner = self._runners[index]
        if self.loss is Loss.STOPPED:
            runner.signal("STOP")
            self.reactor.callLater(STOPPED_S, runner.signal, signal.SIGCONT)
        elif self.loss is Loss.CUT:
            for link, relay in self._relays.items():
                if index in link:
                    relay.silence()
        else:
            runner.signal("KILL")
            self._kernels[index].close()

    def _watch_for_takeover(self) -> None:
        held = {request.token for request in self._open_at_loss} - self._begun_at_lost
        for index, kernel in enumerate(self._kernels):
            if index in self._lost or self._taken_over_at is not None:
                continue
            if any(self._token_of(run.request_id) in held for run in kernel.runs):
                self._taken_over_at = self.now
        if self._taken_over_at is None and self.now < LOAD_S + 4:
            self.reactor.callLater(_WATCH_INTERVAL_S, self._watch_for_takeover)

    def _token_of(self, request_id: str) -> str:
        request = self._request_of.get(request_id)
        return "" if request is None else request.token

    # ---- the result ----

    def _result(self) -> TakeoverResult:
        executions = Counter(
            self._token_of(run.request_id) for kernel in self._kernels for run in kernel.runs
        )
        del executions[""]
        keyed = [request for request in self._requests if request.token]
        held = [request for request in self._open_at_loss if request.token not in self._begun_at_lost]
        others = [
            request
            for request in self._requests
            if request.sent_at > LOST_AT_S and not request.token and request.runners[0] not in LOSABLE_RUNNERS
        ]
        takeover_s = -1.0 if self._taken_over_at is None else self._taken_over_at - LOST_AT_S
        return TakeoverResult(
            tokens=len(keyed),
            executed_twice=sum(count > 1 for count in executions.values()),
            open_at_loss=len(self._open_at_loss),
            held_at_loss=len(held),
            held_served=share_served(held),
            without_outcome=sum(not request.outcome for request in self._open_at_loss),
            executions_per_served=sum(executions.values()) / max(1, count_served(keyed)),
            served=share_served(keyed),
            others_served=share_served(others),
            takeover_s=takeover_s,
        )

    def close(self) -> None:
        """Kill all runners, close what they speak with."""
        for runner in self._runners:
            runner.signal(signal.SIGCONT)
            runner.signal("KILL")
        closed: list[Any] = [*self._clients, *self._kernels, *self._relays.values()]
        for each in closed:
            each.close()
