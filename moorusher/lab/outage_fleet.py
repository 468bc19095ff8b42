"""The fleet of the experiment "outage": eight runners whose machines can be rebooted, killed and partitioned."""

from __future__ import annotations

import json
import signal
import tempfile
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .admin_client import request_admin
from .arrivals import RequestClass
from .cores import MachineSpec
from .ports import HOST, free_port
from .relays import Relay
from .runners import GAUGES, Runner, runner_settings
from .stand_ins.kernel import Kernel

RUNNERS = 8
CORES = 2
ZONES = 2
SERVICE_TIME_MS = 60.0
CLASSES = [
    RequestClass("check", 0.7, SERVICE_TIME_MS, False, 1500, 4000),
    RequestClass("submit", 0.3, SERVICE_TIME_MS, False, 3000, 8000, keyed=True),
]
TENANTS = ["north", "south"]
REBOOT_S = 3.0
"""Time from the exit of a machine's runner until the machine starts again."""
WARM_UP_S = 2.0
INITIAL_SPEED = 0.5
STOP_TIMEOUT_S = 4.2
"""Time after SIGTERM until a runner that is still running is killed."""
FAILURE_DURATION_S = 6.0  # How long a killed runner is down.
HEALTH_TOML = "probe_ms = 500.0\nreaction_ms = 250.0\nclimb_s = 2.0"


class OutageFleet:
    """Runners with a kernel each, and a relay for each link between them.

    :param coordinated: Whether the runners coordinate the order of maintenance.

    Attributes:
        down: Indexes of machines that are being rebooted.
        max_down: Largest number of machines that were being rebooted at the same time.
        reboots: Number of completed reboots.
    """

    def __init__(self, reactor: Any, coordinated: bool) -> None:
        self.reactor = reactor
        self._coordinated = coordinated
        self._temporary = tempfile.TemporaryDirectory(prefix="moorusher-lab-")
        self._folder = Path(self._temporary.name)
        self.kernels = [self._create_kernel(caches_empty=False) for _ in range(RUNNERS)]
        self._ports = [free_port() for _ in range(RUNNERS)]
        self._relays = {
            (source, target): Relay(reactor, self._ports[target])
            for source in range(RUNNERS)
            for target in range(RUNNERS)
            if source != target
        }
        self.runners = self._start_runners()
        self.down: set[int] = set()
        self.max_down = 0
        self.reboots = 0

    def _create_kernel(self, caches_empty: bool) -> Kernel:
        kernel = Kernel(
            self.reactor,
            machine=MachineSpec(CORES, initial_speed=INITIAL_SPEED, warm_up_us=round(WARM_UP_S * 1e6)),
            gauges=GAUGES,
            state="EMPTY" if caches_empty else "LOADED",
            age_ms=0 if caches_empty else 5000,
        )
        kernel.listen()
        return kernel

    def _start_runners(self) -> list[Runner]:
        settings = runner_settings(
            CLASSES, TENANTS, CORES, below="off", classCalls=[False, False], worthWithout=[0, 0]
        )
        settings["invariants"] |= {"coldShare": INITIAL_SPEED, "warmAfterMs": WARM_UP_S * 1000}
        runners = []
        for index in range(RUNNERS):
            self._write_machine_id(index, 1)
            runner = Runner(
                self.reactor,
                self.kernels[index],
                settings,
                name=f"r{index}",
                extra_toml=self._fleet_toml(index),
                health_toml=HEALTH_TOML,
            )
            runner.keeps_files = True
            runners.append(runner)
        return runners

    def _write_machine_id(self, index: int, start: int) -> None:
        # The content changes with each start of the machine, as a boot id does.
        (self._folder / f"m{index}").write_text(f"start {start}")

    def _fleet_toml(self, index: int) -> str:
        ports = [
            self._relays[index, other].port if other != index else self._ports[index]
            for other in range(RUNNERS)
        ]
        seats = "".join(
            f'[[fleet.seat]]\nname = "r{other}"\nzone = "z{other % ZONES}"\naddress = "{HOST}:{port}"\n'
            for other, port in enumerate(ports)
        )
        # The journal is on the machine's disk, which a reboot preserves.
        fleet = (
            f'[fleet]\nlisten = "{HOST}:{self._ports[index]}"\nname = "lab"\n'
            f'journal = "{self._folder}/j{index}"\n{seats}'
        )
        if not self._coordinated:
            return fleet
        return fleet + (
            f"[outage]\non = true\nsettle_s = 0.3\nfill = 1.0\npeak_s = 5.0\n"
            f'machine_id = "{self._folder}/m{index}"\n'
        )

    async def pause(self, seconds: float) -> None:
        """Wait for some seconds."""
        await deferLater(self.reactor, max(0.0, seconds), lambda: None)

    async def request_admin(
        self, index: int, path: str, sent: Any = None, method: str = "POST", timeout_s: float = 6
    ) -> Any:
        """Send an administration request and return the decoded reply, or {} if it fails."""
        body = None if sent is None else json.dumps(sent).encode()
        reply = await request_admin(self.runners[index].admin, path, method, body, timeout_s)
        return reply.decode() if reply.succeeded else {}

    async def form_fleet(self) -> None:
        """Wait until every runner is in service, and form the fleet."""
        for index in range(RUNNERS):
            while not await self.is_routable(index):
                await self.pause(0.1)
        while not await self.request_admin(0, "fleet/begin"):
            await self.pause(0.2)
        await self.pause(1.0)

    async def _health_report(self, index: int) -> Any:
        return await self.request_admin(index, "standing", method="GET")

    async def is_routable(self, index: int) -> bool:
        """Return whether a runner reports that balancers may send it requests."""
        return bool((await self._health_report(index)).get("routable"))

    async def _is_serving(self, index: int) -> bool:
        return (await self._health_report(index)).get("standing") in ("serving", "crowded")

    # ---- reboots ----

    async def reboot(self, index: int) -> None:
        """Reboot a machine and wait until its runner serves requests; the kernel starts cold.

        The runner is killed if it doesn't shut down within `STOP_TIMEOUT_S`.
        """
        self.down.add(index)
        self.max_down = max(self.max_down, len(self.down))
        await self._stop_runner(index)
        self.kernels[index].close()
        await self.pause(REBOOT_S)
        self._start_machine(index, 2)
        while not await self._is_serving(index):
            await self.pause(0.1)
        self.down.discard(index)
        self.reboots += 1

    async def _stop_runner(self, index: int) -> None:
        runner = self.runners[index]
        if runner.exit_code is not None:
            return
        ended = Deferred[int]()
        runner.on_exit = lambda code: ended.callback(code) if not ended.called else None
        runner.signal("TERM")
        kill_timer = self.reactor.callLater(STOP_TIMEOUT_S, runner.signal, "KILL")
        await ended
        if kill_timer.active():
            kill_timer.cancel()

    def _start_machine(self, index: int, start: int) -> None:
        """Start a cold kernel on the port of the previous one, and the runner."""
        previous = self.kernels[index]
        kernel = self._create_kernel(caches_empty=True)
        kernel.close()
        kernel.runs.extend(previous.runs)
        kernel.listen(previous.port)
        self.kernels[index] = kernel
        self._write_machine_id(index, start)
        self.runners[index].start_process()

    # ---- faults ----

    async def fail_runner(self) -> None:
        """Kill the runner with the highest index that is up, close its kernel, and start both again later."""
        index = next(
            index
            for index in reversed(range(RUNNERS))
            if index not in self.down and self.runners[index].exit_code is None
        )
        self.runners[index].signal("KILL")
        self.kernels[index].close()
        await self.pause(FAILURE_DURATION_S)
        self._start_machine(index, 1)

    def set_partition(self, silent: bool) -> None:
        """Begin or end a partition between the runners of even and of odd index."""
        for (source, target), relay in self._relays.items():
            if source % 2 != target % 2:
                relay.silence(silent)

    def close(self) -> None:
        """Kill all runners, close kernels and relays, and remove their files."""
        for runner in self.runners:
            runner.keeps_files = False
            runner.signal(signal.SIGCONT)
            runner.signal("KILL")
        components: list[Any] = [*self.kernels, *self._relays.values()]
        for component in components:
            component.close()
        self._temporary.cleanup()
