"""`moorusher lab up --runners N`: a fleet of runners, each with its kernel, under a light load with keyed requests.

The terminal shows the outcomes of requests each second. It accepts `kill NAME`, which kills a runner and closes its
kernel, `stop NAME`, which suspends the runner's process, and `go NAME`, which resumes the suspended process.
"""

from __future__ import annotations

import json
import random
import signal
import sys
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from twisted.internet.stdio import StandardIO
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import LineOnlyReceiver

from .admin_client import ADMIN_TOKEN, AdminReply, request_admin
from .arrivals import Arrival, RequestClass, draw_arrivals
from .cores import MachineSpec
from .demo_fleet_files import SHARED_POOL, TENANTS, backends_toml, fleet_toml
from .experiment import Log
from .fenced_receiver import FencedReceiver, TokenStore
from .ports import HOST, free_port
from .runner_client import RunnerClient
from .runners import GAUGES, Runner, reap_children, runner_settings
from .stand_ins.database import Database
from .stand_ins.kernel import Kernel

CORES = 2
SERVICE_TIME_MS = 150.0
LOAD_S = 3600.0
"""Time for which arrivals are generated in advance."""
ARRIVAL_LOAD = 0.6
"""Load at which requests are sent, as a share of the fleet's capacity."""
CLASSES = [
    RequestClass("check", 0.6, SERVICE_TIME_MS, True, 2000, 6000),
    RequestClass("submit", 0.4, SERVICE_TIME_MS, True, 4000, 10000, keyed=True),
]
CALLER_TIMEOUT_S = 2.0
MAX_ATTEMPTS = 4
DATABASE_DELAY_S = 0.02
MAINTENANCE_S = 5.0
"""Time from SIGTERM to a machine's runner until the machine starts again."""
_KERNEL_DOWN_S = 0.5
"""Time from the kernel's shutdown until the machine starts again."""
WARM_UP_US = 2_000_000
_COMMANDS: dict[str, str | int] = {"kill": "KILL", "stop": "STOP", "go": signal.SIGCONT}
_FLEET_COUNTERS = ("covered", "joined", "taken over", "buried", "uncovered")
_ADMIN_TIMEOUT_S = 1
EXAMPLE_RULES = {
    "default": "main",
    "routes": {"main": {"servers": {"north": 1}, "fall_back": "spare"}, "spare": {"pool": SHARED_POOL}},
    "rules": {
        "closed": {"match": {"class": ["submit"], "rank": [[0.9, 1]]}, "refuse": "closed for the week"}
    },
}
"""A draft of namespace rules that the user can publish."""


class _Terminal(LineOnlyReceiver):
    """Reads commands from the terminal: a verb and a runner's name."""

    delimiter = b"\n"

    def __init__(self, execute: Callable[[list[str]], None]) -> None:
        self._execute = execute

    def lineReceived(self, line: bytes) -> None:
        """Execute the command of one line."""
        self._execute(line.decode("utf-8", "replace").split())


class DemoFleet:
    """A fleet of runners with their stand-ins and a load.

    :param count: number of runners.
    :param load: share of the fleet's capacity that determines how many requests are generated in advance. They are
        sent at `ARRIVAL_LOAD`, whatever their generated times.
    """

    def __init__(self, reactor: Any, count: int, load: float, log: Log) -> None:
        self.reactor = reactor
        self._log = log
        self._rng = random.Random(1)
        self._temporary = TemporaryDirectory(prefix="moorusher-lab-")
        self._folder = Path(self._temporary.name)
        self._ports = {f"n{index + 1}": free_port() for index in range(count)}
        self._kernels = {
            name: Kernel(reactor, machine=MachineSpec(CORES), gauges=GAUGES) for name in self._ports
        }
        for kernel in self._kernels.values():
            kernel.listen()
        self._receiver = FencedReceiver(reactor, TokenStore(self._folder / "book"))
        self._databases = {
            name: Database(reactor, 200, delay=DATABASE_DELAY_S) for name in (*TENANTS, SHARED_POOL, "free")
        }
        for database in self._databases.values():
            database.listen()
        self._machine_starts: Counter[str] = Counter()
        self._runners = {name: self._start_runner(name) for name in self._ports}
        self._clients = {
            name: RunnerClient(reactor, runner.port, index)
            for index, (name, runner) in enumerate(self._runners.items())
        }
        self._in_maintenance: set[str] = set()
        self._stopped: set[str] = set()
        self._outcomes: Counter[str] = Counter()
        self._fleet_counters: dict[str, Counter[str]] = {}
        self._shutting_down = False
        rate = load * count * CORES / (SERVICE_TIME_MS / 1000)
        self._arrivals = iter(draw_arrivals(1, CLASSES, list(TENANTS), rate, LOAD_S))
        self._sent = 0
        self._log_addresses()
        reactor.callLater(1.0, self._form_fleet)

    def _start_runner(self, name: str) -> Runner:
        self._write_machine_id(name)
        backends = backends_toml(
            {database: each.port for database, each in self._databases.items()}, self._receiver.port
        )
        fleet = fleet_toml(name, self._ports, self._receiver.port, self._machine_id_file(name))
        runner = Runner(
            self.reactor,
            self._kernels[name],
            runner_settings(CLASSES, list(TENANTS), CORES),
            name=name,
            health_toml="probe_ms = 500.0",
            extra_toml=fleet + backends,
        )
        runner.on_exit = lambda code: self._runner_exited(name)
        runner.keeps_files = True
        return runner

    def _log_addresses(self) -> None:
        rules = self._folder / "rules.json"
        rules.write_text(json.dumps(EXAMPLE_RULES, indent=2))
        for name, runner in self._runners.items():
            self._log(f"{name}  requests {HOST}:{runner.port}  admin {HOST}:{runner.admin}")
        names = list(self._runners)
        first = f"{HOST}:{self._runners[names[0]].admin}"
        last = f"{HOST}:{self._runners[names[-1]].admin}"
        token = f"--token {ADMIN_TOKEN}"
        self._log(
            f"try       moorusher fleet show --address {first}\n"
            f"          moorusher duty show alive --address {first}\n"
            f"          moorusher namespace publish north {rules} --wait {token} --address {last}\n"
            f"          moorusher namespace explain north --class check --address {last}\n"
            f"          moorusher forecast show --address {first}\n"
            f"          moorusher outage ask --all --lasts 3s {token} --address {first}\n"
            f"          moorusher outage show --watch --address {first}\n"
            "type      kill NAME, stop NAME, go NAME"
        )

    def _request_admin(
        self, name: str, path: str, on_reply: Callable[[Any], None], method: str = "GET"
    ) -> None:
        """Send a request to a runner's administration API.

        :param on_reply: called with the JSON of the reply, {} after an error or without a reply.
        """

        def reply_received(reply: AdminReply) -> None:
            on_reply(reply.decode() if reply.succeeded else {})

        port = self._runners[name].admin
        request_admin(port, path, method, timeout_s=_ADMIN_TIMEOUT_S).addCallback(reply_received)

    def _form_fleet(self) -> None:
        def fleet_formed(reply: Any) -> None:
            if self._shutting_down:
                return
            if not reply:
                self.reactor.callLater(0.3, self._form_fleet)
                return
            self._send_next()
            LoopingCall(self._log_counts).start(1.0, now=False)

        self._request_admin("n1", "fleet/begin", fleet_formed, "POST")

    # ---- maintenance of machines ----

    def _machine_id_file(self, name: str) -> Path:
        return self._folder / f"machine-{name}"

    def _write_machine_id(self, name: str) -> None:
        """Write an id that differs for each start of the machine."""
        self._machine_starts[name] += 1
        self._machine_id_file(name).write_text(f"start {self._machine_starts[name]}")

    def _schedule_received(self, name: str, schedule: Any) -> None:
        """Start a machine's maintenance when the schedule permits it, as a script on the machine would do."""
        slots = [slot for slot in schedule.get("turns", []) if slot["seat"] == name]
        if not slots or slots[0]["stage"] != "may go" or name in self._in_maintenance or self._shutting_down:
            return
        self._log(f"{name}: maintenance starts; {slots[0]['reason']}")
        self._in_maintenance.add(name)
        self._runners[name].signal("TERM")
        self.reactor.callLater(MAINTENANCE_S - _KERNEL_DOWN_S, self._kernels[name].close)
        self.reactor.callLater(MAINTENANCE_S, self._restart_machine, name)

    def _restart_machine(self, name: str) -> None:
        if self._shutting_down:
            return
        port = self._kernels[name].port
        machine = MachineSpec(CORES, initial_speed=0.5, warm_up_us=WARM_UP_US)
        kernel = Kernel(self.reactor, machine=machine, gauges=GAUGES, state="EMPTY", age_ms=0)
        kernel.listen(port)
        self._kernels[name] = kernel
        self._write_machine_id(name)
        self._runners[name].start_process()
        self._stopped.discard(name)
        self._in_maintenance.discard(name)
        self._log(f"{name}: machine restarted")

    # ---- callers ----

    def _send_next(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is None or self._shutting_down:
            return
        self._send_attempt(arrival, self._rng.choice(list(self._runners)), 1)
        capacity = len(self._runners) * CORES * ARRIVAL_LOAD
        interval_s = self._rng.expovariate(1.0) * SERVICE_TIME_MS / 1000 / capacity
        self.reactor.callLater(interval_s, self._send_next)

    def _send_attempt(self, arrival: Arrival, name: str, attempts: int) -> None:
        """Send a request to a runner.

        :param attempts: number of attempts of the request, including this one.
        """
        self._sent += 1

        def on_outcome(outcome: str) -> None:
            if not timer.active():
                return
            timer.cancel()
            if outcome in ("lost", "unreached") and attempts < MAX_ATTEMPTS:
                self._retry(arrival, attempts)
            else:
                self._outcomes[outcome] += 1

        timer = self.reactor.callLater(CALLER_TIMEOUT_S, lambda: self._retry(arrival, attempts))
        self._clients[name].send(arrival, f"m{self._sent:08x}", on_outcome)

    def _retry(self, arrival: Arrival, attempts: int) -> None:
        names = [name for name in self._runners if name not in self._stopped]
        if attempts < MAX_ATTEMPTS and names and not self._shutting_down:
            self._send_attempt(arrival, self._rng.choice(names), attempts + 1)
        else:
            self._outcomes["no answer"] += 1

    # ---- the terminal ----

    def execute(self, arguments: list[str]) -> None:
        """Execute a command of the terminal: kill, stop or go, and a runner's name."""
        if len(arguments) != 2 or arguments[0] not in _COMMANDS or arguments[1] not in self._runners:
            self._log(f"unknown command: expected kill, stop or go, and one of {', '.join(self._runners)}")
            return
        command, name = arguments
        self._runners[name].signal(_COMMANDS[command])
        if command == "kill":
            self._stopped.add(name)
            self._kernels[name].close()
        self._log(f"{name}: {command}")

    def _log_counts(self) -> None:
        """Log new requests by outcome, the fleet's counters and the duty's last report; request the runners' status.

        Called each second. The line shows the counters of the previous replies.
        """
        for name in self._runners:
            if name not in self._stopped:
                self._request_admin(name, "outage", partial(self._schedule_received, name))
                self._request_admin(name, "fleet", partial(self._counters_received, name))
        outcomes = self._outcomes
        self._outcomes = Counter()
        counters = sum(self._fleet_counters.values(), Counter[str]())
        names = ("served", "refused", "failed", "no answer")
        requests = "  ".join(f"{name} {outcomes[name]:>3}" for name in names)
        fleet = "  ".join(f"{name} {counters['fleet: ' + name]}" for name in _FLEET_COUNTERS)
        self._log(f"{requests}  |  {fleet}  |  {self._describe_report()}")

    def _describe_report(self) -> str:
        reports = [effect for effect in self._receiver.accepted if effect.duty == "alive"]
        if not reports:
            return "no report yet"
        last = reports[-1]
        return f"report {last.body['reports']} by {last.body['by']}, term {last.token.term}"

    def _counters_received(self, name: str, reply: Any) -> None:
        if reply:
            self._fleet_counters[name] = Counter(reply["counters"])

    # ---- shutdown ----

    def shut_down(self) -> None:
        """Shut all runners down gracefully."""
        if self._shutting_down:
            return
        self._shutting_down = True
        for name, runner in self._runners.items():
            if name not in self._stopped:
                runner.signal(signal.SIGCONT)
                runner.signal("TERM")
        self._stop_if_all_exited()

    def _runner_exited(self, name: str) -> None:
        self._stopped.add(name)
        if self._shutting_down:
            self._stop_if_all_exited()

    def _stop_if_all_exited(self) -> None:
        if len(self._stopped) == len(self._runners):
            self.reactor.stop()


def run_demo_fleet(count: int, seconds: float, load: float, log: Log) -> int:
    """Run the demo.

    :param count: number of runners.
    :param seconds: length of the demo; 0 to run until interrupted.
    :param load: share of the fleet's capacity that determines how many requests are generated in advance.
    :returns: exit code, always 0.
    """
    from ..server import reactor as loop

    reactor = loop.install()
    demo = DemoFleet(reactor, count, load, log)
    if sys.stdin.isatty():
        StandardIO(_Terminal(demo.execute))  # type: ignore[no-untyped-call]
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: reactor.callFromThread(demo.shut_down))
    reap_children(reactor)
    if seconds:
        reactor.callLater(seconds, demo.shut_down)
    reactor.run(installSignalHandlers=False)
    return 0
