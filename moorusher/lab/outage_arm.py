"""One play of the experiment "outage": eight runners under load, whose machines are all rebooted in some order."""

from __future__ import annotations

import enum
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, DeferredList, gatherResults
from twisted.internet.task import deferLater

from .admin_client import request_admin
from .arrivals import Arrival, RequestClass, draw_arrivals
from .balancer import Server, ServerPicker
from .clock import now_us
from .cores import Machine
from .experiment import Points
from .health_prober import HealthProber, ProbeKind
from .load_generator import LoadGenerator, Route
from .ports import HOST, free_port
from .relays import Relay
from .runner_client import RunnerClient
from .runners import GAUGES, Runner, reap_children, runner_settings
from .stand_ins.kernel import Kernel

RUNNERS = 8
CORES = 2
ZONES = 2
SERVICE_TIME_MS = 60.0
LOAD = 0.7
"""Of the fleet's capacity."""
CLASSES = [
    RequestClass("check", 0.7, SERVICE_TIME_MS, False, 1500, 4000),
    RequestClass("submit", 0.3, SERVICE_TIME_MS, False, 3000, 8000, keyed=True),
]
KEYED_CLASS = "submit"
TENANTS = ["north", "south"]
REBOOT_S = 3.0
"""For how long a machine is down."""
WARM_UP_S = 2.0
COLD_SPEED = 0.5
FIXED_INTERVAL_S = 7.0
"""Between two reboots in a fixed order."""
STOP_TIMEOUT_S = 4.2
"""After which a runner that was told to leave is killed."""
MAX_PLAY_S = 150.0
IDLE_PLAY_S = 45.0
"""Of a play in which no machine is rebooted."""
LOSS_AT_S = 20.0
LOST_FOR_S = 6.0
PARTITION_AT_S = 15.0
PARTITION_UNTIL_S = 20.0
MAINTENANCE_ID = "all"
PROBE_INTERVAL_S = 0.5
HEALTH_TOML = "probe_ms = 500.0\nreaction_ms = 250.0\nclimb_s = 2.0"
_LEAD_S = 5.0
"""Of load before the first reboot."""
_SETTLING_S = 4.0
"""After the load's end, for answers still to come."""
_TRACE_INTERVAL_S = 0.5


class RebootOrder(enum.Enum):
    """How machines are rebooted, and what befalls the fleet meanwhile."""

    NONE = "nobody"
    COORDINATED = "settled"
    """By the order that the runners settle among themselves."""
    AT_ONCE = "at once"
    BY_HEALTH = "health"
    """One after the other by a script that asks only for health."""
    FIXED = "fixed"
    """In a fixed order with a fixed wait."""
    NONE_WITH_LOSS = "nobody lost"
    COORDINATED_WITH_LOSS = "lost"
    NONE_WITH_PARTITION = "nobody cut"
    COORDINATED_WITH_PARTITION = "cut"

    @property
    def is_coordinated(self) -> bool:
        """Whether the runners settle the order."""
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
        """Whether a runner is lost unasked."""
        return self in (RebootOrder.NONE_WITH_LOSS, RebootOrder.COORDINATED_WITH_LOSS)

    @property
    def has_partition(self) -> bool:
        """Whether the network is cut in two for a while."""
        return self in (RebootOrder.NONE_WITH_PARTITION, RebootOrder.COORDINATED_WITH_PARTITION)


class OutageResult(msgspec.Struct):
    """What came of one play; the serialized names are those of the experiment's figures.

    Attributes:
        served_share: of the value asked for.
        requests: all.
        counts: requests by outcome.
        failed: requests that were lost, failed or reached nobody.
        executed_twice: keyed requests that were begun more than once.
        max_machines_down: at a time.
        reboots: machines that came back.
        duration_s: until all were back.
        slot_times_s: how long each runner held its slot.
        lines: machines down, and requests in flight a core, over time.
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
        """Those that were not served in time."""
        return (1 - self.served_share) * self.requests


class OutageArm:
    """One play, in a process of its own."""

    def __init__(self, reactor: Any, seed: int, order: RebootOrder) -> None:
        self.reactor = reactor
        self.order = order
        self._rng = random.Random(seed)
        self._temporary = tempfile.TemporaryDirectory(prefix="moorusher-lab-")
        self._folder = Path(self._temporary.name)
        self._kernels = [self._create_kernel(cold=False) for _ in range(RUNNERS)]
        self._fleet_ports = [free_port() for _ in range(RUNNERS)]
        self._relays = {
            (source, target): Relay(reactor, self._fleet_ports[target])
            for source in range(RUNNERS)
            for target in range(RUNNERS)
            if source != target
        }
        self._runners = self._start_runners()
        self._clients = [
            RunnerClient(reactor, runner.port, index) for index, runner in enumerate(self._runners)
        ]
        self._servers = [Server(runner.name) for runner in self._runners]
        self._probers = [
            HealthProber(reactor, server, runner.agent, ProbeKind.AGENT, PROBE_INTERVAL_S, index / RUNNERS)
            for index, (server, runner) in enumerate(zip(self._servers, self._runners, strict=True))
        ]
        self._picker = ServerPicker(self._servers)
        self._down: set[int] = set()
        """Machines that may be rebooted, or are not yet back."""
        self._max_down = 0
        self._reboots = 0
        self._slot_times_s: list[float] = []
        self._lines: dict[str, Points] = {"out": [], "in flight": []}
        self._done_at: float | None = None
        self._began_us = 0
        self._trace_timer: Any = None

    # ---- set up ----

    def _create_kernel(self, cold: bool) -> Kernel:
        kernel = Kernel(
            self.reactor,
            machine=Machine(CORES, cold_speed=COLD_SPEED, warm_up_us=round(WARM_UP_S * 1e6)),
            gauges=GAUGES,
            state="EMPTY" if cold else "LOADED",
            age_ms=0 if cold else 5000,
        )
        kernel.listen()
        return kernel

    def _start_runners(self) -> list[Runner]:
        settings = runner_settings(
            CLASSES, TENANTS, CORES, below="off", classCalls=[False, False], worthWithout=[0, 0]
        )
        settings["invariants"] |= {"coldShare": COLD_SPEED, "warmAfterMs": WARM_UP_S * 1000}
        runners = []
        for index in range(RUNNERS):
            self._write_machine_id(index, 1)
            runner = Runner(
                self.reactor,
                self._kernels[index],
                settings,
                name=f"r{index}",
                extra_toml=self._fleet_toml(index),
                health_toml=HEALTH_TOML,
            )
            runner.comes_back = True
            runners.append(runner)
        return runners

    def _write_machine_id(self, index: int, start: int) -> None:
        """It changes with each start of the machine."""
        (self._folder / f"m{index}").write_text(f"start {start}")

    def _fleet_toml(self, index: int) -> str:
        ports = [
            self._relays[index, other].port if other != index else self._fleet_ports[index]
            for other in range(RUNNERS)
        ]
        seats = "".join(
            f'[[fleet.seat]]\nname = "r{other}"\nzone = "z{other % ZONES}"\naddress = "{HOST}:{port}"\n'
            for other, port in enumerate(ports)
        )
        # A machine that starts anew has its disk.
        fleet = (
            f'[fleet]\nlisten = "{HOST}:{self._fleet_ports[index]}"\nname = "lab"\n'
            f'journal = "{self._folder}/j{index}"\n{seats}'
        )
        if not self.order.is_coordinated:
            return fleet
        return fleet + (
            f"[outage]\non = true\nsettle_s = 0.3\nfill = 1.0\npeak_s = 5.0\n"
            f'machine_id = "{self._folder}/m{index}"\n'
        )

    @property
    def now(self) -> float:
        """Seconds since the load began."""
        return (now_us() - self._began_us) / 1e6

    async def _pause(self, seconds: float) -> None:
        await deferLater(self.reactor, max(0.0, seconds), lambda: None)

    async def _request_admin(
        self, index: int, path: str, sent: Any = None, method: str = "POST", timeout_s: float = 6
    ) -> Any:
        """The JSON of a reply, {} where none came or it is an error."""
        body = None if sent is None else json.dumps(sent).encode()
        reply = await request_admin(self._runners[index].admin, path, method, body, timeout_s)
        return reply.decode() if reply.succeeded else {}

    # ---- machines ----

    async def _reboot(self, index: int) -> None:
        """Stop the runner, in order as far as it ends in time; then the machine is down, and starts cold."""
        self._down.add(index)
        self._max_down = max(self._max_down, len(self._down))
        await self._stop_runner(index)
        self._kernels[index].close()
        await self._pause(REBOOT_S)
        self._start_machine(index, 2)
        while not await self._is_serving(index):
            await self._pause(0.1)
        self._down.discard(index)
        self._reboots += 1

    async def _stop_runner(self, index: int) -> None:
        runner = self._runners[index]
        if runner.exit is not None:
            return
        ended = Deferred[int]()
        runner.ended = lambda code: ended.callback(code) if not ended.called else None
        runner.signal("TERM")
        kill_timer = self.reactor.callLater(STOP_TIMEOUT_S, runner.signal, "KILL")
        await ended
        if kill_timer.active():
            kill_timer.cancel()

    def _start_machine(self, index: int, start: int) -> None:
        """A cold kernel on the port of the former one, and a runner."""
        former = self._kernels[index]
        kernel = self._create_kernel(cold=True)
        kernel.close()
        kernel.runs.extend(former.runs)
        kernel.listen(former.port)
        self._kernels[index] = kernel
        self._write_machine_id(index, start)
        self._runners[index].start_process()

    async def _is_serving(self, index: int) -> bool:
        reply = await self._request_admin(index, "standing", method="GET")
        return reply.get("standing") in ("serving", "crowded")

    async def _is_routable(self, index: int) -> bool:
        reply = await self._request_admin(index, "standing", method="GET")
        return bool(reply.get("routable"))

    # ---- orders of reboots ----

    async def _reboot_all(self) -> None:
        if self.order.is_coordinated:
            slots = Deferred.fromCoroutine(self._watch_slots())
            await self._reboot_coordinated()
            self._done_at = self.now
            await slots
        elif self.order is RebootOrder.AT_ONCE:
            await _gather(self._reboot(index) for index in range(RUNNERS))
        elif self.order is RebootOrder.BY_HEALTH:
            await self._reboot_by_health()
        elif self.order is RebootOrder.FIXED:
            await _gather(self._reboot_after(index, index * FIXED_INTERVAL_S) for index in range(RUNNERS))
        if self._done_at is None:
            self._done_at = self.now

    async def _reboot_coordinated(self) -> None:
        request = {"id": MAINTENANCE_ID, "all": True, "reason": "patch", "lasts_s": REBOOT_S}
        while not await self._request_admin(0, "outage/ask", request):
            await self._pause(0.2)
        await _gather(self._reboot_when_granted(index) for index in range(RUNNERS))

    async def _reboot_when_granted(self, index: int) -> None:
        """As a script on the machine that waits for its slot."""
        word = ""
        while word != "granted":
            sent = {"id": MAINTENANCE_ID, "for_s": 5}
            reply = await self._request_admin(index, "outage/wait", sent, timeout_s=12)
            word = reply.get("word", "")
            if word != "granted":
                await self._pause(0.1)
        await self._reboot(index)

    async def _reboot_by_health(self) -> None:
        for index in range(RUNNERS):
            Deferred.fromCoroutine(self._reboot(index))
            await self._pause(1.0)
            while not await self._is_routable(index):
                await self._pause(0.2)

    async def _reboot_after(self, index: int, seconds: float) -> None:
        await self._pause(seconds)
        await self._reboot(index)

    async def _watch_slots(self) -> None:
        """Note how long each runner holds its slot, from its grant on."""
        granted_at: dict[str, float] = {}
        while len(self._slot_times_s) < RUNNERS:
            for index in range(RUNNERS):
                schedule = await self._request_admin(index, "outage", method="GET", timeout_s=1)
                if schedule.get("current"):
                    self._note_slots(granted_at, {slot["seat"] for slot in schedule["turns"]})
                    break
            await self._pause(0.1)

    def _note_slots(self, granted_at: dict[str, float], seats: set[str]) -> None:
        for seat in seats - granted_at.keys():
            granted_at[seat] = self.now
        for seat in [seat for seat in granted_at if seat not in seats]:
            self._slot_times_s.append(self.now - granted_at.pop(seat))

    # ---- faults ----

    def _schedule_faults(self) -> None:
        if self.order.has_loss:
            self.reactor.callLater(LOSS_AT_S, lambda: Deferred.fromCoroutine(self._lose_runner()))
        elif self.order.has_partition:
            self.reactor.callLater(PARTITION_AT_S, self._set_partition, True)
            self.reactor.callLater(PARTITION_UNTIL_S, self._set_partition, False)

    async def _lose_runner(self) -> None:
        """Kill the last one that is up; it comes back after a while."""
        index = next(
            index
            for index in reversed(range(RUNNERS))
            if index not in self._down and self._runners[index].exit is None
        )
        self._runners[index].signal("KILL")
        self._kernels[index].close()
        await self._pause(LOST_FOR_S)
        self._start_machine(index, 1)

    def _set_partition(self, silent: bool) -> None:
        """Between runners of even and of odd number."""
        for (source, target), relay in self._relays.items():
            if source % 2 != target % 2:
                relay.silence(silent)

    # ---- the play ----

    async def play(self) -> OutageResult:
        """Play it; the processes go on until `close`."""
        await self._begin_fleet()
        seconds = IDLE_PLAY_S if self.order.reboots_nothing else MAX_PLAY_S
        rate = LOAD * RUNNERS * CORES / (SERVICE_TIME_MS / 1000)
        arrivals = draw_arrivals(self._rng.randrange(1 << 30), CLASSES, TENANTS, rate, seconds)
        load = LoadGenerator(self.reactor, arrivals, self._pick, "o")
        self._began_us = now_us()
        load.start()
        self._trace(load)
        await self._pause(_LEAD_S)
        self._schedule_faults()
        if self.order.reboots_nothing:
            await self._pause(seconds - _LEAD_S - 1.0)
            self._done_at = self.now
        else:
            timeout = deferLater(self.reactor, MAX_PLAY_S, lambda: None)
            reboots = Deferred.fromCoroutine(self._reboot_all())
            await DeferredList([reboots, timeout], fireOnOneCallback=True)
        load.stop()
        await self._pause(_SETTLING_S)
        return self._result(load)

    async def _begin_fleet(self) -> None:
        for index in range(RUNNERS):
            while not await self._is_routable(index):
                await self._pause(0.1)
        while not await self._request_admin(0, "fleet/begin"):
            await self._pause(0.2)
        await self._pause(1.0)

    def _pick(self, arrival: Arrival) -> Route | None:
        server = self._picker.pick(now_us(), self._rng)
        if server is None:
            return None
        return Route(server, self._clients[self._servers.index(server)])

    def _trace(self, load: LoadGenerator) -> None:
        self._lines["out"].append((self.now, len(self._down)))
        self._lines["in flight"].append((self.now, load.in_flight / RUNNERS / CORES))
        self._trace_timer = self.reactor.callLater(_TRACE_INTERVAL_S, self._trace, load)

    def _result(self, load: LoadGenerator) -> OutageResult:
        executions = Counter(
            run.request_id for kernel in self._kernels for run in kernel.runs if run.class_name == KEYED_CLASS
        )
        counts = load.counts
        return OutageResult(
            served_share=load.served_value / load.offered_value,
            requests=sum(counts.values()),
            counts=dict(counts),
            failed=counts["lost"] + counts["failed"] + counts["unreached"],
            executed_twice=sum(count > 1 for count in executions.values()),
            max_machines_down=self._max_down,
            reboots=self._reboots,
            duration_s=(self._done_at or 0.0) - _LEAD_S,
            slot_times_s=self._slot_times_s,
            lines=self._lines,
        )

    def close(self) -> None:
        """Kill all runners, close what they speak with, remove their files."""
        if self._trace_timer is not None:
            self._trace_timer.cancel()
        for prober in self._probers:
            prober.stop()
        for runner in self._runners:
            runner.comes_back = False
            runner.signal(signal.SIGCONT)
            runner.signal("KILL")
        closed: list[Any] = [*self._clients, *self._kernels, *self._relays.values()]
        for each in closed:
            each.close()
        self._temporary.cleanup()


def _gather(coroutines: Iterable[Coroutine[Any, Any, None]]) -> Deferred[Any]:
    """All of them side by side."""
    return gatherResults([Deferred.fromCoroutine(coroutine) for coroutine in coroutines])


def main(seed: int, order: RebootOrder, path: Path) -> None:
    """Play one arm in this process, and write its result."""
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


if __name__ == "__main__":  # an arm: eight runners and their kernels take a loop of their own
    main(int(sys.argv[1]), RebootOrder(sys.argv[2]), Path(sys.argv[3]))
