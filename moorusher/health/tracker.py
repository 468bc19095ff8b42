"""From observations to what balancers are told: the standing, its weight and its reason in words."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .balancers import Balancers
from .congestion import Counts, History, highest_mean, survived
from .observation import Gauge, Maintenance, Observation
from .policy import Policy
from .staleness import LinkWatch, trust
from .states import Standing, step
from .throughput import Pace
from .weight import Governor, Zone, step_down

LEAST_ASKED = 8  # requests in a window under which the refused share says nothing
SURE = 0.8  # the most that anything but a forecast crossing weighs, under every `full_at`: a crossing alone takes
# all traffic away
LATELY = 1_500_000  # us over which it is counted how many runs end: a slowdown must show soon
SLOW = 0.7  # of the best pace, under which it is said
IDLE, CROWD_SEEN = 0.2, 2.0  # a gauge that says idle while so many run a core contradicts what is known


@dataclass(frozen=True, slots=True)
class Facts:
    """What the runner was told when it started. Times in us."""

    cores: int
    tip_per_core: float  # runs a core that a warm runner does not survive in the mean of the window
    window_us: int
    shortest_aim_us: int
    guard_share: float = (
        1.0  # of what the settings say is survived: up to there the decision module starts runs
    )
    phase: float = 0.5  # 0 to 1, apart from the neighbours': from the runner's name


@dataclass(frozen=True, slots=True)
class Report:
    """What balancers are told, in no wire's words yet."""

    standing: Standing
    weight: int  # 0 to 100
    reason: str
    routable: bool
    changed: str  # why the standing is no longer what it was at the report before; "" where it is
    pressure: float  # 1 and more: the runner would fall over before balancers can act
    crowd: float  # runs a core in the mean of the window
    forecast: float  # the highest such mean until balancers have acted
    survives: float  # and what is survived
    horizon_us: int  # how far ahead the forecast looks
    room: int  # requests that each balancer may have out here at a time, so that no crowd can be too much
    unknown: tuple[str, ...] = ()  # what is too old to be counted
    parts: dict[str, float] = field(default_factory=dict)  # pressure by what it comes from


class Tracker:
    """One runner's. `crowd_is`, `came` and `refused` are told as they happen; `report` is asked by probes."""

    def __init__(self, facts: Facts, policy: Policy, now: int) -> None:
        self.facts, self.policy = facts, policy
        self.standing, self.since = Standing.STARTING, now
        self.link, self.balancers = LinkWatch(), Balancers()
        self.maintenance: Maintenance | None = None
        self.crowd = History(facts.window_us, now)
        self._ended = Counts(LATELY, now)  # runs that are over; one that goes to a call comes back
        self.pace = Pace(facts.cores, facts.window_us, now)
        self._came, self._refused = Counts(facts.window_us, now), Counts(facts.window_us, now)
        self._governor = Governor(round(policy.climb_s * 1e6), facts.phase)

    def set_policy(self, policy: Policy) -> None:
        """A new configuration: what was measured stays."""
        self.policy = policy
        self._governor.pace(round(policy.climb_s * 1e6))

    # ---- what is told as it happens ----

    def crowd_is(self, now: int, on_cores: int) -> None:
        self.pace.crowd_is(now, self.crowd.value, on_cores)
        self.crowd.set(now, on_cores)

    def came(self, now: int) -> None:
        self._came.add(now)

    def ended(self, now: int, by: int = 1) -> None:
        self._ended.add(now, by)

    def refused(self, now: int) -> None:
        self._refused.add(now)

    def maintain(self, maintenance: Maintenance | None) -> bool:
        """False where it is too late for it: a runner that leaves does not come back."""
        if self.standing is Standing.DRAINING:
            return False
        self.maintenance = maintenance
        return True

    # ---- what probes ask ----

    def horizon(self, now: int) -> int:
        """How long what is said now must hold: until the slowest balancer has asked again, and acted."""
        slowest = max(round(self.policy.probe_ms * 1000), self.balancers.slowest(now))
        return slowest + round(self.policy.reaction_ms * 1000)

    def report(self, seen: Observation, source: str = "") -> Report:
        """Raises states.Impossible where what is seen can't follow what was."""
        now, policy = seen.now, self.policy
        if source:
            self.balancers.asked(now, source)
        link = self.link.state(now, round(policy.link_trust_ms * 1000), round(policy.settle_ms * 1000))
        believed, unknown = self._believed(seen)
        cores = self.facts.cores
        survives = survived(cores, policy.tip_per_core or self.facts.tip_per_core, seen.speed)
        guard = self.facts.guard_share * survived(cores, self.facts.tip_per_core, seen.speed)
        horizon = self.horizon(now)
        forecast = highest_mean(
            self.crowd,
            now,
            horizon,
            believed,
            seen.held + seen.at_calls,
            self._per_s(self._came, now),
            self._leaves(now),
            guard,
        )
        parts = self._pressure(seen, forecast / survives)
        pressure = max(parts.values())
        after, why = self._where(seen, link.failed, link.words, pressure)
        changed = step(self.standing, after)
        if self.standing is Standing.STARTING and after is Standing.SERVING:
            self._governor.begin(now)  # a warm machine with a new program: nothing to start slowly for
        if after is not self.standing:
            self.standing, self.since = after, now
        cap = step_down(100 * link.trust * min(1.0, seen.speed)) if after.routable else 0
        # A crowd that others have as well is shed down to what this runner is still worth, not further.
        floor = step_down(min(cap, max(policy.crowded_weight, 100 * self.pace.look(now))))
        weight = self._governor.follow(now, cap, self._zone(pressure), floor, horizon)
        if not why:
            why = self._why(seen, parts, forecast, survives, link.words)
        # All that is out here may come onto the cores at one time; each balancer counts only what it sent itself.
        # Runs whose answer was given still take the cores, and are in nobody's count.
        unowed = max(0, seen.on_cores + seen.at_calls + seen.held - seen.owed)
        room = max(1, int((survives * policy.full_at - unowed) / max(1, self.balancers.live(now))))
        return Report(
            after,
            weight,
            why,
            after.routable and weight > 0,
            changed,
            pressure,
            self.crowd.mean(now) / cores,
            forecast / cores,
            survives / cores,
            horizon,
            room,
            unknown,
            parts,
        )

    # ---- the parts ----

    @staticmethod
    def _per_s(counts: Counts, now: int) -> float:
        return counts.count(now) / (counts.window / 1e6)

    def _leaves(self, now: int) -> float:
        """Runs a second that end, less a deviation: chance must not promise a quick end of a crowd."""
        count = float(self._ended.count(now))
        return (count - math.sqrt(count)) / (LATELY / 1e6)

    def _believed(self, seen: Observation) -> tuple[float, tuple[str, ...]]:
        """What runs on the cores by the kernel's word, as far as that can be believed; the own count is the least.
        The gauge can only add: one that is stuck at idle must not hide the forty that were started."""
        gauge, policy = seen.gauge, self.policy
        if gauge is None:
            return 0.0, ("gauges: never told",) if seen.kernel_up and seen.on_cores else ()
        age = seen.now - gauge.at
        part = trust(age, round(policy.gauge_fresh_ms * 1000), round(policy.gauge_unknown_ms * 1000))
        if part == 0.0 and seen.on_cores:
            return 0.0, (f"gauges: {age / 1e6:.1f} s old",)
        if gauge.busy is not None and gauge.busy < IDLE and seen.on_cores > CROWD_SEEN * self.facts.cores:
            return 0.0, (f"gauges: say {gauge.busy:.0%} busy while {seen.on_cores} run",)
        if gauge.runnable is None:
            return 0.0, ()
        # Reading and new connections want cores too: what goes beyond the own count is not all runs.
        return part * min(gauge.runnable, seen.on_cores + seen.at_calls + seen.held), ()

    def _pressure(self, seen: Observation, crossing: float) -> dict[str, float]:
        """Each part is 1 where it alone would mean too much; only a forecast crossing gets beyond SURE."""
        policy, now = self.policy, seen.now
        held = seen.oldest_held_us / max(1.0, policy.hold_share * self.facts.shortest_aim_us)
        came, turned = self._came.count(now), self._refused.count(now)
        refused = turned / came / policy.refused_share if came >= LEAST_ASKED else 0.0
        return {"crowd": crossing, "held": min(SURE, held), "refused": min(SURE, refused)}

    def _where(
        self, seen: Observation, link_failed: bool, link: str, pressure: float
    ) -> tuple[Standing, str]:
        """The standing, and the reason where it is no matter of pressure."""
        now, policy = seen.now, self.policy
        if self.maintenance is not None and self.maintenance.over(now):
            self.maintenance = None
        if seen.draining:
            return Standing.DRAINING, f"leaving, {max(0, seen.left_us) / 1e6:.1f} s left, {seen.owed} open"
        if self.maintenance is not None:
            left = (
                ""
                if self.maintenance.until is None
                else f", {(self.maintenance.until - now) / 1e6:.0f} s left"
            )
            return Standing.MAINTENANCE, self.maintenance.reason + left
        if not seen.kernel_up:
            return Standing.STARTING, "no word from the kernel yet"
        if link_failed:
            return Standing.FAILED, link
        if not seen.healthy:
            return Standing.FAILED, "the decision module says unfit"
        edge = policy.calm_at if self.standing is Standing.CROWDED else policy.crowded_at
        if pressure >= edge:
            return Standing.CROWDED, ""
        return (Standing.WARMING if seen.speed < 1.0 else Standing.SERVING), ""

    def _zone(self, pressure: float) -> Zone:
        policy = self.policy
        if pressure >= policy.full_at:
            return Zone.FULL
        if pressure >= policy.crowded_at:
            return Zone.CROWDED
        return Zone.BETWEEN if pressure >= policy.calm_at else Zone.CALM

    def _why(
        self, seen: Observation, parts: dict[str, float], forecast: float, survives: float, link: str
    ) -> str:
        cores = self.facts.cores
        words = [f"{forecast / cores:.1f} of {survives / cores:.1f} a core ahead"]
        if self.standing is Standing.CROWDED:
            most = max(parts, key=lambda name: parts[name])
            if most == "held":
                words.insert(0, f"{seen.held} held, the oldest {seen.oldest_held_us / 1e6:.1f} s")
            elif most == "refused":
                words.insert(0, f"{parts[most] * self.policy.refused_share:.0%} turned away")
        if self.standing is Standing.CROWDED and self.pace.ratio < SLOW:
            words.append(f"runs take {1 / max(0.01, self.pace.ratio):.1f} times as long as they did")
        if seen.speed < 1.0:
            words.append(f"{'' if seen.speed_known else 'at least '}{seen.speed:.0%} of full speed")
        if link:
            words.append(link)
        return ", ".join(words)


def gauge_of(names: tuple[str, ...], values: tuple[float, ...], at: int) -> Gauge:
    """The gauges by the names of the settings, as far as they are told."""
    told = dict(zip(names, values, strict=False))
    return Gauge(at, told.get("cpu_busy"), told.get("runnable"), told.get("mem_used"))
