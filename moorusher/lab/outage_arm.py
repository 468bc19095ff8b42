"""One arm of the experiment "outage": a fleet under load whose machines are rebooted in some order, or not at all."""

from __future__ import annotations

import enum
import random
import sys
from collections import Counter
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, DeferredList, gatherResults
from twisted.internet.task import deferLater

from .arrivals import Arrival, draw_arrivals
from .balancer import Server, ServerPicker
from .clock import now_us
from .experiment import Points
from .health_prober import HealthProber, ProbeKind
from .load_generator import LoadGenerator, Route
from .outage_fleet import (
    CLASSES,
    CORES,
    REBOOT_S,
    RUNNERS,
    SERVICE_TIME_MS,
    TENANTS,
    OutageFleet,
)
from .runner_client import RunnerClient
from .runners import reap_children

LOAD = 0.7
"""Load as a share of the fleet's capacity."""
KEYED_CLASS = "submit"
FIXED_INTERVAL_S = 7.0
"""Interval between two reboots in the fixed order."""
MAX_PLAY_S = 150.0
IDLE_PLAY_S = 45.0
"""Duration of an arm in which no machine is rebooted."""
LOSS_AT_S = 20.0
PARTITION_AT_S = 15.0
PARTITION_UNTIL_S = 20.0
MAINTENANCE_ID = "all"
PROBE_INTERVAL_S = 0.5
_LEAD_S = 5.0
"""Time under load before the first reboot."""
_SETTLING_S = 4.0
"""Time after the end of the load for outstanding answers."""
_TRACE_INTERVAL_S = 0.5


class RebootOrder(enum.Enum):
    """How the machines are rebooted, and which fault happens meanwhile."""

    NONE = "nobody"
    COORDINATED = "settled"
    """In the order that the runners coordinate."""
    SIMULTANEOUS = "at once"
    BY_HEALTH = "health"
    """One after the other, by a script that checks only their health."""
    FIXED = "fixed"
    """In a fixed order at fixed intervals."""
    NONE_WITH_LOSS = "nobody lost"
    COORDINATED_WITH_LOSS = "lost"
    NONE_WITH_PARTITION = "nobody cut"
    COORDINATED_WITH_PARTITION = "cut"

    @property
    def is_coordinated(self) -> bool:
        """Whether the runners coordinate the order."""
        return self in (
            RebootOrder.COORDINATED,
            RebootOrder.COORDINATED_WITH_LOSS,
            RebootOrder.COORDINATED_WITH_PARTITION,
        )

    @property
    def reboots_nothing(self) -> bool:
        """Whether no machine is rebooted."""
        return self.value.startswith(RebootOrder.NONE.value)

    @property
    def has_loss(self) -> bool:
        """Whether a runner fails unexpectedly."""
        return self in (RebootOrder.NONE_WITH_LOSS, RebootOrder.COORDINATED_WITH_LOSS)

    @property
    def has_partition(self) -> bool:
        """Whether the network is partitioned for a while."""
        return self in (RebootOrder.NONE_WITH_PARTITION, RebootOrder.COORDINATED_WITH_PARTITION)


class OutageResult(msgspec.Struct):
    """Result of one arm, serialized under the names of the experiment's figures.

    Attributes:
        served_share: Share of the requested value served in time.
        requests: Number of requests.
        counts: Requests by outcome.
        failed: Requests that were lost, failed or reached no runner.
        executed_twice: Keyed requests that were executed more than once.
        max_machines_down: Largest number of machines that were rebooting at the same time.
        reboots: Completed reboots.
        duration_s: Time from the end of the lead time until all reboots were complete.
        slot_times_s: How long each runner held its slot.
        lines: Number of rebooting machines, and requests in flight per core, over time.
    """

    served_share: float = msgspec.field(name="served")
    requests: int = msgspec.field(name="asked")
    counts: dict[str, int]
    failed: int = msgspec.field(name="lost")
    executed_twice: int = msgspec.field(name="twice")
    max_machines_down: int = msgspec.field(name="most")
    reboots: int = msgspec.field(name="went")
    duration_s: float = msgspec.field(name="seconds")
    slot_times_s: list[float] = msgspec.field(name="cycles")
    lines: dict[str, Points]

    @property
    def requests_not_served(self) -> float:
        """Number of requests not served in time, estimated from the share of the value."""
        return (1 - self.served_share) * self.requests


class OutageArm:
    """Runs one arm of the experiment: a fleet under load with one `RebootOrder`.

    The experiment starts a separate process for each arm.

    Attributes:
        order: How the machines are rebooted.
    """

    def __init__(self, reactor: Any, seed: int, order: RebootOrder) -> None:
        self.reactor = reactor
        self.order = order
        self._rng = random.Random(seed)
        self._fleet = OutageFleet(reactor, order.is_coordinated)
        runners = self._fleet.runners
        self._clients = [RunnerClient(reactor, runner.port, index) for index, runner in enumerate(runners)]
        self._servers = [Server(runner.name) for runner in runners]
        self._probers = [
            HealthProber(reactor, server, runner.agent, ProbeKind.AGENT, PROBE_INTERVAL_S, index / RUNNERS)
            for index, (server, runner) in enumerate(zip(self._servers, runners, strict=True))
        ]
        self._picker = ServerPicker(self._servers)
        self._slot_times_s: list[float] = []
        self._lines: dict[str, Points] = {"out": [], "in flight": []}
        self._done_at: float | None = None
        self._began_us = 0
        self._trace_timer: Any = None

    @property
    def now(self) -> float:
        """Seconds since the load began."""
        return (now_us() - self._began_us) / 1e6

    # ---- orders of reboots ----

    async def _reboot_all(self) -> None:
        if self.order.is_coordinated:
            slots = Deferred.fromCoroutine(self._watch_slots())
            await self._reboot_coordinated()
            self._done_at = self.now
            await slots
        elif self.order is RebootOrder.SIMULTANEOUS:
            await _gather(self._fleet.reboot(index) for index in range(RUNNERS))
        elif self.order is RebootOrder.BY_HEALTH:
            await self._reboot_by_health()
        elif self.order is RebootOrder.FIXED:
            await _gather(self._reboot_after(index, index * FIXED_INTERVAL_S) for index in range(RUNNERS))
        if self._done_at is None:
            self._done_at = self.now

    async def _reboot_coordinated(self) -> None:
        request = {"id": MAINTENANCE_ID, "all": True, "reason": "patch", "lasts_s": REBOOT_S}
        while not await self._fleet.request_admin(0, "outage/ask", request):
            await self._fleet.pause(0.2)
        await _gather(self._reboot_when_granted(index) for index in range(RUNNERS))

    async def _reboot_when_granted(self, index: int) -> None:
        """Wait for the machine's slot, then reboot it."""
        request = {"id": MAINTENANCE_ID, "for_s": 5}
        granted = False
        while not granted:
            reply = await self._fleet.request_admin(index, "outage/wait", request, timeout_s=12)
            granted = reply.get("word", "") == "granted"
            if not granted:
                await self._fleet.pause(0.1)
        await self._fleet.reboot(index)

    async def _reboot_by_health(self) -> None:
        for index in range(RUNNERS):
            Deferred.fromCoroutine(self._fleet.reboot(index))
            await self._fleet.pause(1.0)
            while not await self._fleet.is_routable(index):
                await self._fleet.pause(0.2)

    async def _reboot_after(self, index: int, seconds: float) -> None:
        await self._fleet.pause(seconds)
        await self._fleet.reboot(index)

    async def _watch_slots(self) -> None:
        """Record how long each runner holds its slot, starting at the grant."""
        granted_at: dict[str, float] = {}
        while len(self._slot_times_s) < RUNNERS:
            for index in range(RUNNERS):
                schedule = await self._fleet.request_admin(index, "outage", method="GET", timeout_s=1)
                if schedule.get("current"):
                    self._record_slots(granted_at, {slot["seat"] for slot in schedule["turns"]})
                    break
            await self._fleet.pause(0.1)

    def _record_slots(self, granted_at: dict[str, float], seats: set[str]) -> None:
        for seat in seats - granted_at.keys():
            granted_at[seat] = self.now
        for seat in [seat for seat in granted_at if seat not in seats]:
            self._slot_times_s.append(self.now - granted_at.pop(seat))

    def _schedule_faults(self) -> None:
        fleet = self._fleet
        if self.order.has_loss:
            self.reactor.callLater(LOSS_AT_S, lambda: Deferred.fromCoroutine(fleet.fail_runner()))
        elif self.order.has_partition:
            self.reactor.callLater(PARTITION_AT_S, fleet.set_partition, True)
            self.reactor.callLater(PARTITION_UNTIL_S, fleet.set_partition, False)

    # ---- the run of the arm ----

    async def play(self) -> OutageResult:
        """Run the arm and return its result; the fleet's processes run until `close`."""
        await self._fleet.form_fleet()
        seconds = IDLE_PLAY_S if self.order.reboots_nothing else MAX_PLAY_S
        rate = LOAD * RUNNERS * CORES / (SERVICE_TIME_MS / 1000)
        arrivals = draw_arrivals(self._rng.randrange(1 << 30), CLASSES, TENANTS, rate, seconds)
        load = LoadGenerator(self.reactor, arrivals, self._pick, "o")
        self._began_us = now_us()
        load.start()
        self._trace(load)
        await self._fleet.pause(_LEAD_S)
        self._schedule_faults()
        if self.order.reboots_nothing:
            await self._fleet.pause(seconds - _LEAD_S - 1.0)
            self._done_at = self.now
        else:
            timeout = deferLater(self.reactor, MAX_PLAY_S, lambda: None)
            reboots = Deferred.fromCoroutine(self._reboot_all())
            await DeferredList([reboots, timeout], fireOnOneCallback=True)
        load.stop()
        await self._fleet.pause(_SETTLING_S)
        return self._result(load)

    def _pick(self, arrival: Arrival) -> Route | None:
        server = self._picker.pick(now_us(), self._rng)
        if server is None:
            return None
        return Route(server, self._clients[self._servers.index(server)])

    def _trace(self, load: LoadGenerator) -> None:
        self._lines["out"].append((self.now, len(self._fleet.down)))
        self._lines["in flight"].append((self.now, load.in_flight / RUNNERS / CORES))
        self._trace_timer = self.reactor.callLater(_TRACE_INTERVAL_S, self._trace, load)

    def _result(self, load: LoadGenerator) -> OutageResult:
        executions = Counter(
            run.request_id
            for kernel in self._fleet.kernels
            for run in kernel.runs
            if run.class_name == KEYED_CLASS
        )
        counts = load.counts
        return OutageResult(
            served_share=load.served_value / load.offered_value,
            requests=sum(counts.values()),
            counts=dict(counts),
            failed=counts["lost"] + counts["failed"] + counts["unreached"],
            executed_twice=sum(count > 1 for count in executions.values()),
            max_machines_down=self._fleet.max_down,
            reboots=self._fleet.reboots,
            duration_s=(self._done_at or 0.0) - _LEAD_S,
            slot_times_s=self._slot_times_s,
            lines=self._lines,
        )

    def close(self) -> None:
        """Stop probes and requests, and end the fleet."""
        if self._trace_timer is not None:
            self._trace_timer.cancel()
        for prober in self._probers:
            prober.stop()
        for client in self._clients:
            client.close()
        self._fleet.close()


def _gather(coroutines: Iterable[Coroutine[Any, Any, None]]) -> Deferred[Any]:
    return gatherResults([Deferred.fromCoroutine(coroutine) for coroutine in coroutines])


def main(seed: int, order: RebootOrder, path: Path) -> None:
    """Run one arm in this process and write its result to `path`."""
    from ..server import reactor as loop

    reactor = loop.install()
    reap_children(reactor)
    arm = OutageArm(reactor, seed, order)

    def finished(outcome: Any) -> None:
        if isinstance(outcome, OutageResult):
            path.write_bytes(msgspec.json.encode(outcome))
        else:
            print(outcome.getTraceback(), file=sys.stderr)
        arm.close()
        reactor.callLater(0.3, reactor.stop)

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(arm.play()).addBoth(finished))
    reactor.run(installSignalHandlers=False)


# Each arm runs in its own process, so that the kernels and callers of its eight runners have their own event loop.
if __name__ == "__main__":
    main(int(sys.argv[1]), RebootOrder(sys.argv[2]), Path(sys.argv[3]))
