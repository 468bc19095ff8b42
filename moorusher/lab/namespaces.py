"""The experiment "namespaces": customers' rules.

It compares decisions with a simple reference. It measures the time of look-ups among many customers, the time until
all runners have a published revision, and how much service other customers lose to one that sends three times its share
and has ten thousand rules.
"""

from __future__ import annotations

import random
import statistics
import time
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from .arrivals import Arrival, RequestClass, draw_arrivals
from .balancer import Server
from .cores import MachineSpec
from .experiment import Experiment, Log, Plot, Points, Result
from .load_generator import LoadGenerator, Route
from .namespace_rules import count_wrong_decisions, draft_of_size, measure_lookups
from .ports import HOST
from .runner_client import RunnerClient
from .runner_fleet import RunnerFleet
from .runners import GAUGES, runner_settings
from .stand_ins.database import Database

RUNNERS = 6
CORES = 2
SERVICE_TIME_MS = 150.0
LARGE_TENANT = "large"
TENANTS = [LARGE_TENANT, "north", "south", "west"]
REQUEST_CLASS = RequestClass("check", 1.0, SERVICE_TIME_MS, True, 2_000, 6_000)
DATABASE_DELAY_S = 0.005
LOAD = 0.85
"""Load as a share of the fleet's capacity when each tenant sends its share."""
LOAD_S = 8.0
OVERLOAD_FACTOR = 3
SMALL_DRAFT_RULES = 10
LARGE_DRAFT_RULES = 10_000
REPUBLISH_INTERVAL_S = 2.0
_SETTLING_S = 3.0
"""Time after the last arrival for outstanding answers."""
_NEVER_MS = 1e9

_BUDGET_TOML = "bytes = 780000\nrules = 20000\nwords = 200000\nsteps = 50000000\ntable_bytes = 67108864\n"


class RoutedFleet(RunnerFleet):
    """A fleet whose customers have rules and a separate server each."""

    def __init__(self, reactor: Any) -> None:
        self.databases = {name: Database(reactor, 200, delay=DATABASE_DELAY_S) for name in ("free", *TENANTS)}
        for database in self.databases.values():
            database.listen()
        self._loads_played = 0
        toml = self._toml()
        super().__init__(
            reactor,
            RUNNERS,
            runner_settings([REQUEST_CLASS], TENANTS, CORES) | {"overShareWorth": 0.1},
            lambda index: toml,
            machine=MachineSpec(CORES),
            gauges=GAUGES,
        )

    def _toml(self) -> str:
        servers = "".join(
            f'[[tier.server]]\nname = "{name}"\naddress = "{HOST}:{database.port}"\n'
            for name, database in self.databases.items()
        )
        customers = "".join(
            f'[[namespaces.customer]]\nname = "{name}"\nservers = ["{name}"]\n' for name in TENANTS
        )
        return (
            f"{servers}[duties]\non = true\nsteady_ms = 500\nstate_bytes = 2097152\n"
            f"[namespaces]\non = true\nan_hour = 1000\nmemory_mb = 512\n{_BUDGET_TOML}{customers}"
        )

    async def publish(self, index: int, customer: str, draft: bytes) -> dict[str, Any]:
        """Publish a draft through one runner, wait until all runners have it, and return the reply."""
        reply = await self.request_admin(index, f"namespaces/{customer}?wait=1", "PUT", draft)
        decoded: dict[str, Any] = reply.decode()
        return decoded

    async def play_load(self, seed: int, rates: dict[str, float], seconds: float) -> dict[str, float]:
        """Send requests of each tenant, and return the share of each tenant's offered value that was served in time.

        :param rates: Requests per second, by tenant.
        """
        self._loads_played += 1
        clients = [
            RunnerClient(self.reactor, runner.port, index) for index, runner in enumerate(self.runners)
        ]
        routes = [Route(Server(f"r{index}"), client) for index, client in enumerate(clients)]
        loads: dict[str, LoadGenerator] = {}
        for number, (tenant, rate) in enumerate(rates.items()):
            rng = random.Random(seed * 100 + number)

            def pick(arrival: Arrival, rng: random.Random = rng) -> Route:
                return routes[rng.randrange(RUNNERS)]

            arrivals = draw_arrivals(seed * 10 + number, [REQUEST_CLASS], [tenant], rate, seconds)
            name = f"{self._loads_played}.{number}-"
            loads[tenant] = LoadGenerator(self.reactor, arrivals, pick, name)
            loads[tenant].start()
        await self.pause(seconds + _SETTLING_S)
        for client in clients:
            client.close()
        return {tenant: load.served_value / max(1e-9, load.offered_value) for tenant, load in loads.items()}

    def close(self) -> None:
        """Kill all runners, close kernels and databases."""
        super().close()
        for database in self.databases.values():
            database.close()


class Republisher:
    """Publishes a large draft of the large tenant repeatedly."""

    def __init__(self, fleet: RoutedFleet, log: Log) -> None:
        self._fleet = fleet
        self._draft = draft_of_size(LARGE_DRAFT_RULES, "main", LARGE_TENANT)
        self._log = log
        self._stopped = False

    async def start(self) -> None:
        """Publish the draft once, then continue in the background."""
        await self._fleet.publish(0, LARGE_TENANT, self._draft)
        republishing = Deferred.fromCoroutine(self._republish())
        republishing.addErrback(lambda failure: self._log(failure.getErrorMessage()))

    async def _republish(self) -> None:
        while not self._stopped:
            await self._fleet.publish(1, LARGE_TENANT, self._draft)
            await self._fleet.pause(REPUBLISH_INTERVAL_S)

    def stop(self) -> None:
        """Stop after the current publication."""
        self._stopped = True


# ---- the experiment ----


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    result = Result()
    await _measure_decisions(result, seed, 100_000 if quick else 1_000_000, log)
    if quick:
        await _measure_lookups(result, 1_000, 10, log)
    else:
        await _measure_lookups(result, 5_000, 20, log)
    fleet = RoutedFleet(reactor)
    try:
        await fleet.form_fleet()
        await _measure_publishing(result, fleet, 20 if quick else 100, log)
        await _measure_isolation(result, fleet, seed, range(2 if quick else 10), log)
    finally:
        fleet.close()
    return result


async def _measure_decisions(result: Result, seed: int, decisions: int, log: Log) -> None:
    counts = await deferToThread(count_wrong_decisions, seed, decisions)
    wrong = f"{counts.wrong} of {counts.total}"
    log(f"{wrong} decisions wrong; {counts.rejected_drafts} drafts rejected")
    result.add_criterion("wrong decisions against the reference", wrong, "none", not counts.wrong)


async def _measure_lookups(result: Result, other_customers: int, rules_per_customer: int, log: Log) -> None:
    times = await deferToThread(measure_lookups, other_customers, rules_per_customer)
    alone_us = times.alone_us
    many_customers_us = times.many_customers_us
    result.figures["look-ups"] = {
        "alone us": alone_us,
        "beside others us": many_customers_us,
        "others": other_customers,
        "rules of each": rules_per_customer,
    }
    log(f"look-up {alone_us:.1f} us alone, {many_customers_us:.1f} us beside {other_customers} others")
    result.add_criterion(
        "look-up among 1,000 rules", f"{many_customers_us:.1f} us", "under 15 us", many_customers_us < 15
    )
    result.add_criterion(
        f"the same beside {other_customers} other customers of {rules_per_customer} rules, over alone",
        f"{many_customers_us / alone_us:.2f}",
        "at most 1.3",
        many_customers_us <= 1.3 * alone_us,
    )


async def _measure_publishing(result: Result, fleet: RoutedFleet, revisions: int, log: Log) -> None:
    """Measure the time until all runners have a revision, both from its submission and from its publication."""
    since_published_ms = []
    since_submitted_ms = []
    incomplete = 0
    for number in range(revisions):
        began = time.perf_counter()
        draft = draft_of_size(1 + number % 40, "main", "north")
        reply = await fleet.publish(number % RUNNERS, "north", draft)
        since_submitted_ms.append((time.perf_counter() - began) * 1000)
        since_published_ms.append(reply.get("took_ms", _NEVER_MS))
        incomplete += not reply.get("complete", False)
    since_published_ms.sort()
    median_ms = statistics.median(since_published_ms)
    result.figures["published to everywhere, ms"] = since_published_ms
    result.figures["submitted to everywhere, ms"] = sorted(since_submitted_ms)
    log(f"publication until all have it: median {median_ms:.0f} ms, maximum {since_published_ms[-1]:.0f} ms")
    result.add_criterion(
        "revisions that did not come to all runners", f"{incomplete} of {revisions}", "none", not incomplete
    )
    result.add_criterion(
        "published to everywhere at 6 runners, median",
        f"{median_ms:.0f} ms",
        "under 100 ms",
        median_ms < 100,
    )


# ---- isolation of customers from a large one ----


class IsolationArm(NamedTuple):
    """Load of the large tenant, relative to its share, and whether it publishes many rules repeatedly."""

    load_factor: int
    republishes: bool


ISOLATION_ARMS = {
    "alone": IsolationArm(1, False),
    "again": IsolationArm(1, False),  # The same as "alone". Their difference is the noise.
    "flood": IsolationArm(OVERLOAD_FACTOR, False),
    "beside": IsolationArm(OVERLOAD_FACTOR, True),
}


async def _measure_isolation(result: Result, fleet: RoutedFleet, seed: int, rounds: range, log: Log) -> None:
    shares: dict[str, list[float]] = {name: [] for name in ISOLATION_ARMS}
    lines: dict[str, Points] = {name: [] for name in ISOLATION_ARMS}
    for tenant in TENANTS:
        await fleet.publish(0, tenant, draft_of_size(SMALL_DRAFT_RULES, "main", tenant))
    names = list(ISOLATION_ARMS)
    for number in rounds:
        first = number % len(names)
        # Rotates the arms, so that their position in a round has no systematic effect.
        for name in names[first:] + names[:first]:
            served = await _play_isolation_arm(fleet, ISOLATION_ARMS[name], seed * 50 + number, log)
            shares[name].append(statistics.fmean(served[tenant] for tenant in TENANTS[1:]))
            lines[name].append((number, shares[name][-1]))
            log(
                f"seed {number}, {name}: "
                + "  ".join(f"{tenant} {share:.3f}" for tenant, share in served.items())
            )
    _judge_isolation(result, shares)
    result.plots.append(Plot("Worth in time of the quiet customers", "seed", "share", lines))


async def _play_isolation_arm(fleet: RoutedFleet, arm: IsolationArm, seed: int, log: Log) -> dict[str, float]:
    capacity = RUNNERS * CORES / (SERVICE_TIME_MS / 1000)
    rate = LOAD * capacity / len(TENANTS)
    rates = dict.fromkeys(TENANTS[1:], rate) | {LARGE_TENANT: arm.load_factor * rate}
    republisher = Republisher(fleet, log)
    await fleet.publish(0, LARGE_TENANT, draft_of_size(SMALL_DRAFT_RULES, "main", LARGE_TENANT))
    if arm.republishes:
        await republisher.start()
    served = await fleet.play_load(seed, rates, LOAD_S)
    republisher.stop()
    await fleet.pause(REPUBLISH_INTERVAL_S)
    return served


def _judge_isolation(result: Result, shares: dict[str, list[float]]) -> None:
    means = {name: statistics.fmean(values) for name, values in shares.items()}
    noise = statistics.fmean(abs(a - b) for a, b in zip(shares["alone"], shares["again"], strict=True))
    result.figures["quiet customers' worth in time"] = means | {"noise": noise}
    less_than_flood = means["flood"] - means["beside"]
    result.add_criterion(
        "quiet customers beside one at three times its share with 10,000 rules, less than beside it without",
        f"{100 * less_than_flood:.2f} points (noise {100 * noise:.2f})",
        "at most 1 point, or the noise",
        less_than_flood <= max(0.01, noise),
    )
    less_than_alone = means["alone"] - means["beside"]
    result.add_criterion(
        "and less than beside it at its share",
        f"{100 * less_than_alone:.2f} points",
        "at most 1 point",
        less_than_alone <= 0.01,
    )


NAMESPACES = Experiment(
    "namespaces", "Customers' rules: right, quick, everywhere soon, and nobody's burden.", _play
)
