"""Customers' rules: decisions against a plain reference, look-ups beside other customers, publishing to everywhere, and
what a customer at three times its share with ten thousand rules costs the others.
"""

from __future__ import annotations

import json
import random
import statistics
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThread

from ..namespaces.customers import CurrentRevisions
from ..namespaces.document import parse_draft
from ..namespaces.errors import NamespaceError
from ..namespaces.policy import UNBOUNDED, Granted
from ..namespaces.rules import RequestAttributes, Rule
from ..namespaces.table import RuleTable
from .balancer import Server
from .cores import Machine
from .experiment import Experiment, Plot, Result
from .load import Kind, Load, Target, draw
from .ports import HOST
from .runners import GAUGES, settings_of
from .stand_ins.database import Database
from .together import Together

RUNNERS, CORES, WORK_MS = 6, 2, 150.0
TENANTS = ["large", "north", "south", "west"]
GRANTED = Granted(frozenset({"s"}), {}, UNBOUNDED)
KEYS = [f"{a}{b}" for a in "abc" for b in ("", "x", "y-", "y-1")]
KIND = Kind("check", 1.0, WORK_MS, True, 2_000, 6_000)
SLOW_S = 0.005  # of a server below


def plain(rules: list[Rule], asked: RequestAttributes) -> str | None:
    """A team's first; of those that match, the one whose parts are the smallest, looked at one after the other."""
    best: Rule | None = None
    for rule in rules:
        if not all(
            getattr(asked, name) in getattr(rule.match, name)
            for name in ("key", "subject", "caller", "class_name", "rank")
        ):
            continue
        if best is None or bool(rule.team) > bool(best.team):
            best = rule
        elif bool(rule.team) == bool(best.team):
            for a, b in zip(rule.match.parts(), best.match.parts(), strict=True):
                if a.size() != b.size():
                    best = rule if a.size() < b.size() else best
                    break
    return None if best is None else best.label


def drawn(rng: random.Random) -> bytes:
    """A draft of some rules that meet and hold each other, as they come."""

    def match() -> dict[str, Any]:
        made: dict[str, Any] = {}
        if rng.random() < 0.7:
            made["key"] = [rng.choice(KEYS) + rng.choice(("", "*")) for _ in range(rng.randint(1, 2))]
        if rng.random() < 0.4:
            made["class"] = [rng.choice(("check", "submit", "s*"))]
        for name in ("caller", "subject"):
            if rng.random() < 0.4:
                low = rng.randint(0, 6)
                made[name] = [[low, low + rng.randint(1, 5)]]
        if rng.random() < 0.2:
            made["rank"] = [[0.0, rng.choice((0.25, 0.5))]]
        return made

    def rules(n: int) -> dict[str, Any]:
        return {f"r{i}": {"match": match(), "to": "main"} for i in range(n)}

    draft = {"default": "main", "routes": {"main": {"servers": {"s": 1}}}, "rules": rules(rng.randint(1, 6))}
    if rng.random() < 0.4:
        draft["teams"] = {"t": {"match": match(), "rules": rules(rng.randint(1, 3))}}
    return json.dumps(draft).encode()


def decisions(seed: int, wanted: int) -> tuple[int, int, int]:
    """Wrong ones, all, and drafts that were refused."""
    rng, wrong, done, refused = random.Random(seed), 0, 0, 0
    while done < wanted:
        try:
            table: RuleTable = parse_draft(drawn(rng), GRANTED).table
        except NamespaceError:
            refused += 1
            continue
        for _ in range(200):
            asked = RequestAttributes(
                rng.choice(("check", "submit", "seek")),
                rng.randint(-1, 10),
                rng.randint(-1, 10),
                rng.choice((0.0, 0.25, 0.3, 0.9)),
                rng.choice(KEYS) + rng.choice(("", "z", "-1")),
            )
            found = table.find(asked)
            wrong += (None if found is None else found.label) != plain(table.rules, asked)
            done += 1
    return wrong, done, refused


def ruled(count: int, to: str = "main", server: str = "s") -> bytes:
    """A draft with so many rules."""
    rules = {
        f"{i:x}": {"match": {"key": [f"{i:05x}*"], "caller": [[i % 50, 60]]}, "to": to} for i in range(count)
    }
    return json.dumps(
        {"default": to, "routes": {to: {"servers": {server: 1}}}, "rules": rules}, separators=(",", ":")
    ).encode()


def look_up_us(customers: CurrentRevisions, name: str, rules: int) -> float:
    """The median of several goes, as a request's way through the core has it: by name, then by its rules."""
    asked = [RequestAttributes("submit", i % 60, -1, 0.1, f"{i % rules:05x}-abc") for i in range(5_000)]
    goes = []
    for _ in range(7):
        began = time.perf_counter()
        for one in asked:
            found = customers.of(name)
            assert found is not None
            found.namespace.table.find(one)
        goes.append((time.perf_counter() - began) / len(asked) * 1e6)
    return statistics.median(goes)


def look_ups(others: int, rules_of_others: int) -> dict[str, float]:
    """How long a look-up takes, alone and beside others."""
    customers = CurrentRevisions(others + 1)
    customers.take("acme", (1, 1), ruled(1_000), GRANTED)
    alone = look_up_us(customers, "acme", 1_000)
    shared = ruled(rules_of_others)
    for i in range(others):
        customers.take(f"c{i}", (1, 1), shared, None)
    return {"alone us": alone, "beside others us": look_up_us(customers, "acme", 1_000)}


class Routed(Together):
    """A fleet whose customers have rules."""

    played = 0

    def __init__(self, reactor: Any) -> None:
        self.below = {name: Database(reactor, 200, delay=SLOW_S) for name in ("free", *TENANTS)}
        for server in self.below.values():
            server.listen()
        tier = "".join(
            f'[[tier.server]]\nname = "{n}"\naddress = "{HOST}:{s.port}"\n' for n, s in self.below.items()
        )
        own = "".join(f'[[namespaces.customer]]\nname = "{n}"\nservers = ["{n}"]\n' for n in TENANTS)
        budget = "bytes = 780000\nrules = 20000\nwords = 200000\nsteps = 50000000\ntable_bytes = 67108864\n"
        settings = settings_of([KIND], TENANTS, CORES) | {"overShareWorth": 0.1}
        super().__init__(
            reactor,
            RUNNERS,
            settings,
            lambda i: (
                f"{tier}[duties]\non = true\nsteady_ms = 500\nstate_bytes = 2097152\n"
                f"[namespaces]\non = true\nan_hour = 1000\nmemory_mb = 512\n{budget}{own}"
            ),
            machine=Machine(CORES),
            gauges=GAUGES,
        )

    async def publish(self, i: int, customer: str, draft: bytes) -> dict[str, Any]:
        got: dict[str, Any] = await self.asked(i, f"namespaces/{customer}?wait=1", "PUT", draft)
        return got

    async def load(self, seed: int, rates: dict[str, float], seconds: float) -> dict[str, float]:
        """Each tenant's share of worth served in time."""
        self.played += 1
        loads: dict[str, Load] = {}
        targets = [Target(self.reactor, r.port, i) for i, r in enumerate(self.runners)]
        servers = [Server(f"r{i}") for i in range(RUNNERS)]
        for n, (tenant, rate) in enumerate(rates.items()):
            rng = random.Random(seed * 100 + n)

            def pick(arrival: Any, rng: random.Random = rng) -> Any:
                i = rng.randrange(RUNNERS)
                return servers[i], targets[i]

            drawn = draw(seed * 10 + n, [KIND], [tenant], rate, seconds)
            loads[tenant] = Load(self.reactor, drawn, pick, f"{self.played}.{n}-")
            loads[tenant].start()
        await self.pause(seconds + 3.0)
        for target in targets:
            target.close()
        return {tenant: one.served / max(1e-9, one.asked) for tenant, one in loads.items()}


async def play(reactor: Any, quick: bool, seed: int, say: Callable[[str], None]) -> Result:
    """The experiment on namespaces."""
    result = Result()
    wrong, done, refused = await deferToThread(decisions, seed, 100_000 if quick else 1_000_000)
    say(f"{wrong} of {done} decisions wrong; {refused} drafts refused")
    result.hold("wrong decisions against the reference", f"{wrong} of {done}", "none", not wrong)
    others, each = (1_000, 10) if quick else (5_000, 20)
    took = await deferToThread(look_ups, others, each)
    result.figures["look-ups"] = took | {"others": others, "rules of each": each}
    say(f"look-up {took['alone us']:.1f} us alone, {took['beside others us']:.1f} us beside {others} others")
    result.hold(
        "look-up among 1,000 rules",
        f"{took['beside others us']:.1f} us",
        "under 15 us",
        took["beside others us"] < 15,
    )
    result.hold(
        f"the same beside {others} other customers of {each} rules, over alone",
        f"{took['beside others us'] / took['alone us']:.2f}",
        "at most 1.3",
        took["beside others us"] <= 1.3 * took["alone us"],
    )
    real = Routed(reactor)
    try:
        await real.begin()
        await publishing(real, 20 if quick else 100, result, say)
        await beside(real, seed, range(2 if quick else 10), result, say)
    finally:
        real.close()
        for server in real.below.values():
            server.close()
    return result


async def publishing(real: Routed, times: int, result: Result, say: Callable[[str], None]) -> None:
    """From the answer that it is published, and from the submission, to the last runner."""
    after, whole, lacking = list[float](), list[float](), 0
    for n in range(times):
        began = time.perf_counter()
        told = await real.publish(n % RUNNERS, "north", ruled(1 + n % 40, "main", "north"))
        whole.append((time.perf_counter() - began) * 1000)
        after.append(told.get("took_ms", 1e9))
        lacking += not told.get("complete", False)
    after.sort()
    result.figures["published to everywhere, ms"] = after
    result.figures["submitted to everywhere, ms"] = sorted(whole)
    say(f"published to everywhere: {statistics.median(after):.0f} ms in the median, {after[-1]:.0f} at most")
    result.hold("revisions that did not come to all runners", f"{lacking} of {times}", "none", not lacking)
    result.hold(
        "published to everywhere at 6 runners, median",
        f"{statistics.median(after):.0f} ms",
        "under 100 ms",
        statistics.median(after) < 100,
    )


async def beside(real: Routed, seed: int, seeds: range, result: Result, say: Callable[[str], None]) -> None:
    """The quiet ones with the large one at its share (twice: the noise), at three times that, and at three times that
    with 10,000 rules of its own and a new revision of them every two seconds."""
    capacity = RUNNERS * CORES / (WORK_MS / 1000)
    share, seconds = 0.85 * capacity / len(TENANTS), 8.0
    quiet = dict.fromkeys(TENANTS[1:], share)
    arms: dict[str, list[float]] = {"alone": [], "again": [], "flood": [], "beside": []}
    for tenant in TENANTS:
        await real.publish(0, tenant, ruled(10, "main", tenant))
    lines: dict[str, list[tuple[float, float]]] = {name: [] for name in arms}
    for one in seeds:
        for arm in (*list(arms)[one % 4 :], *list(arms)[: one % 4]):  # each follows each of the others
            rates = quiet | {"large": (3 if arm in ("beside", "flood") else 1) * share}
            stop = [False]
            await real.publish(0, "large", ruled(10, "main", "large"))
            if arm == "beside":
                many = ruled(10_000, "main", "large")
                await real.publish(0, "large", many)

                async def again(many: bytes = many, stop: list[bool] = stop) -> None:
                    while not stop[0]:
                        await real.publish(1, "large", many)
                        await real.pause(2.0)

                from twisted.internet.defer import ensureDeferred

                ensureDeferred(again()).addErrback(lambda failure: say(failure.getErrorMessage()))
            served = await real.load(seed * 50 + one, rates, seconds)
            stop[0] = True
            await real.pause(2.0)
            arms[arm].append(statistics.fmean(served[t] for t in quiet))
            lines[arm].append((one, arms[arm][-1]))
            say(f"seed {one}, {arm}: " + "  ".join(f"{t} {s:.3f}" for t, s in served.items()))
    means = {arm: statistics.fmean(found) for arm, found in arms.items()}
    noise = statistics.fmean(abs(a - b) for a, b in zip(arms["alone"], arms["again"], strict=True))
    result.figures["quiet customers' worth in time"] = means | {"noise": noise}
    result.hold(
        "quiet customers beside one at three times its share with 10,000 rules, less than beside it without",
        f"{100 * (means['flood'] - means['beside']):.2f} points (noise {100 * noise:.2f})",
        "at most 1 point, or the noise",
        means["flood"] - means["beside"] <= max(0.01, noise),
    )
    result.hold(
        "and less than beside it at its share",
        f"{100 * (means['alone'] - means['beside']):.2f} points",
        "at most 1 point",
        means["alone"] - means["beside"] <= 0.01,
    )
    result.plots.append(Plot("Worth in time of the quiet customers", "seed", "share", lines))


NAMESPACES = Experiment(
    "namespaces", "Customers' rules: right, quick, everywhere soon, and nobody's burden.", play
)
