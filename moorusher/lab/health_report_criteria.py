"""The criteria and plots of the experiment on health reports, from the arms of all its rounds."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from .balancer import AgentReport, BalancingMode
from .experiment import Plot, Points, Result
from .health_report_arm import (
    COLLAPSE_MULTIPLE,
    PROBE_INTERVALS_S,
    SLOW_AT_S,
    SLOW_FOR_S,
    WARM_UP_S,
    HealthReportArm,
)
from .probe_flood import FLOOD_S, PROBES_PER_S, FloodResult

REACTION_S = 0.5
"""Time that a balancer may take to shift its traffic after it has read a report."""
NEVER_S = float("inf")


@dataclass(slots=True)
class Round:
    """One round of the experiment.

    Attributes:
        mode: Balancing algorithm of all arms.
        seed: Seed of the loads.
        arms: Arms that get the same load, by name.
        calm: Arm without any fault.
        flooded: Arm without any fault except a flood of probes.
        flood: Result of the flood.
    """

    mode: BalancingMode
    seed: int
    arms: dict[str, HealthReportArm]
    calm: HealthReportArm
    flooded: HealthReportArm
    flood: FloodResult

    @property
    def all_arms(self) -> dict[str, HealthReportArm]:
        """All arms by name, including the calm and the flooded one."""
        return self.arms | {"calm": self.calm, "flooded": self.flooded}


def judge_rounds(result: Result, rounds: list[Round]) -> None:
    """Add figures, criteria and plots of all rounds."""
    for each in rounds:
        result.figures[f"{each.mode.value}, seed {each.seed}"] = _figures_of_round(each)
    _judge_default_arms(result, rounds)
    _judge_without_guard(result, rounds)
    _judge_shift(result, rounds)
    _judge_cold_start(result, rounds)
    _judge_flood(result, rounds)
    _add_plots(result, rounds[0].arms)


def _figures_of_round(one_round: Round) -> dict[str, Any]:
    figures: dict[str, Any] = {
        name: {
            "outcomes": dict(arm.load.counts),
            "served_worth": arm.served_value_share(),
            "served_slow": arm.served_share_since(SLOW_AT_S),
            "worst_crowd": arm.worst_runs_per_core(),
            "fell": arm.collapses,
            "p50_ms": arm.load.latency.get_value_at_percentile(50),
            "p99_ms": arm.load.latency.get_value_at_percentile(99),
        }
        for name, arm in one_round.all_arms.items()
    }
    figures["probes"] = {"sent": one_round.flood.sent, "answered": one_round.flood.answered}
    return figures


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / len(listed)


def _mean_of(rounds: list[Round], name: str, figure: Callable[[HealthReportArm], float]) -> float:
    return _mean(figure(each.arms[name]) for each in rounds)


def _collapses(rounds: list[Round], name: str) -> int:
    return sum(len(each.arms[name].collapses) for each in rounds)


def _worst_runs(rounds: list[Round], name: str) -> float:
    return max(each.arms[name].worst_runs_per_core() for each in rounds)


def _judge_default_arms(result: Result, rounds: list[Round]) -> None:
    with_report = _worst_runs(rounds, "report")
    without = _worst_runs(rounds, "none")
    collapses = _collapses(rounds, "report") + _collapses(rounds, "none")
    result.add_criterion(
        "the program as shipped: worst crowd a core in a mean of 3 s",
        f"{with_report:.2f} with the report, {without:.2f} without; {collapses} collapsed",
        f"under {COLLAPSE_MULTIPLE:g}, no collapse",
        max(with_report, without) < COLLAPSE_MULTIPLE and not collapses,
    )
    noise = max(
        abs(each.arms["none"].served_value_share() - each.arms["again"].served_value_share())
        for each in rounds
    )
    served = _mean_of(rounds, "report", HealthReportArm.served_value_share)
    served_without = _mean_of(rounds, "none", HealthReportArm.served_value_share)
    served_slow = _mean_of(rounds, "report", lambda arm: arm.served_share_since(SLOW_AT_S))
    served_slow_without = _mean_of(rounds, "none", lambda arm: arm.served_share_since(SLOW_AT_S))
    result.add_criterion(
        "served worth with and without the report",
        f"{served:.3f} and {served_without:.3f}; of the "
        f"requests since the slowdown {served_slow:.3f} and {served_slow_without:.3f}; noise {noise:.3f}",
        "higher by at least 0.02 and twice the noise",
        served - served_without >= max(0.02, 2 * noise),
    )


def _judge_without_guard(result: Result, rounds: list[Round]) -> None:
    worst = _worst_runs(rounds, "loose-report")
    collapses = _collapses(rounds, "loose-report")
    served = _mean_of(rounds, "loose-report", HealthReportArm.served_value_share)
    result.add_criterion(
        "its guard out of the way: worst crowd with the report",
        f"{worst:.2f}; {collapses} collapsed; served worth {served:.3f}",
        f"under {COLLAPSE_MULTIPLE:g}, no collapse",
        worst < COLLAPSE_MULTIPLE and not collapses,
    )
    worst = _worst_runs(rounds, "loose-none")
    collapses = _collapses(rounds, "loose-none")
    served = _mean_of(rounds, "loose-none", HealthReportArm.served_value_share)
    result.add_criterion(
        "the same without the report",
        f"{worst:.2f}; {collapses} collapsed; served worth {served:.3f}",
        f"at least {COLLAPSE_MULTIPLE:g}; otherwise the comparison proves nothing",
        worst >= COLLAPSE_MULTIPLE,
    )


def _judge_shift(result: Result, rounds: list[Round]) -> None:
    """Judge how soon the traffic follows the report, and whether the balancers read it early enough.

    Early enough is before the first runner reaches the collapse threshold in the arm without reports.
    """
    shift_s = max(_seconds_until_shifted(each.arms["loose-report"]) for each in rounds)
    longest_s = PROBE_INTERVALS_S[-1] + REACTION_S
    result.add_criterion(
        "from the first balancer's reading of the forecast until the traffic has shifted",
        f"{shift_s:.1f} s",
        f"{longest_s:g} s: the slower balancer's probe interval plus its reaction time",
        shift_s <= longest_s,
    )
    lead_s = min(_lead_of_report(each) for each in rounds)
    result.add_criterion(
        "both balancers have read it before the crossing without a report",
        f"by {lead_s:.1f} s",
        "by 0 s",
        lead_s > 0,
    )


def _seconds_until_shifted(arm: HealthReportArm) -> float:
    lowered_s = arm.weight_lowered_at()
    shifted_s = arm.traffic_shifted_at()
    return shifted_s - min(lowered_s) if lowered_s and shifted_s is not None else NEVER_S


def _lead_of_report(one_round: Round) -> float:
    """Return the time from the last balancer's first low weight until the arm without reports reaches the threshold.

    :returns: seconds; negative if the weight was read too late.
    """
    without = one_round.arms["loose-none"]
    runs = without.runs_per_core[without.runners[0].name]
    crossing_s = min((at_s for at_s, mean in runs if mean >= COLLAPSE_MULTIPLE), default=NEVER_S)
    return crossing_s - max(one_round.arms["loose-report"].weight_lowered_at(), default=NEVER_S)


def _judge_cold_start(result: Result, rounds: list[Round]) -> None:
    cold = _mean_of(rounds, "report", lambda arm: _traffic_of_cold_runner(arm, 0.5, WARM_UP_S / 3))
    warm = _mean_of(rounds, "report", lambda arm: _traffic_of_cold_runner(arm, WARM_UP_S, SLOW_AT_S))
    result.add_criterion(
        "a cold runner's share of the traffic in the first third of its warming",
        f"{cold:.2f}, then {warm:.2f}",
        "at most 0.20 of all, then at least 0.25",
        cold <= 0.20 and warm >= 0.25,
    )


def _traffic_of_cold_runner(arm: HealthReportArm, since_s: float, until_s: float) -> float:
    return arm.traffic_share(arm.runners[-1].name, since_s, until_s)


def _judge_flood(result: Result, rounds: list[Round]) -> None:
    lost_share = max(each.calm.served_value_share() - each.flooded.served_value_share() for each in rounds)
    answered_per_s = _mean(each.flood.answered for each in rounds) / FLOOD_S
    result.add_criterion(
        f"served worth lost to a flood of {PROBES_PER_S} probes a second",
        f"{lost_share:.3f}, with {answered_per_s:.0f} answered probes per second",
        "0.01",
        lost_share <= 0.01 and answered_per_s > 0.9 * PROBES_PER_S,
    )
    probers = [prober for each in rounds for prober in each.flooded.probers]
    unanswered = sum(prober.unanswered for prober in probers)
    slowest_ms = max(latency_us for prober in probers for latency_us in prober.latencies_us) / 1000
    result.add_criterion(
        "real probes during the flood",
        f"{unanswered} unanswered, slowest reply after {slowest_ms:.0f} ms",
        "none unanswered, slowest under 500 ms",
        unanswered == 0 and slowest_ms < 500,
    )


# ---- plots ----


def _add_plots(result: Result, arms: dict[str, HealthReportArm]) -> None:
    runs_label = "runs per core, mean of 3 s"
    slowed = {name: arm.runs_per_core[arm.runners[0].name] for name, arm in arms.items() if name != "again"}
    result.plots.append(Plot("load of the slowed runner", "s", runs_label, slowed, COLLAPSE_MULTIPLE))
    for name in ("report", "loose-report"):
        title = f"{name}: weights read by the first balancer"
        result.plots.append(Plot(title, "s", "weight", _weights_read(arms[name])))
    every_runner = dict(arms["loose-report"].runs_per_core)
    result.plots.append(
        Plot("loose-report: load by runner", "s", runs_label, every_runner, COLLAPSE_MULTIPLE)
    )
    shares = _traffic_shares(arms["report"])
    result.plots.append(Plot("share of the traffic with the report", "s", "share", shares))


def _weights_read(arm: HealthReportArm) -> dict[str, Points]:
    def point(report: AgentReport) -> tuple[float, float]:
        return arm.seconds_of(report.at_us), float(report.weight)

    return {
        server.name: [point(report) for report in server.agent_reports]
        for server in arm.first_balancers_servers
    }


def _traffic_shares(arm: HealthReportArm) -> dict[str, Points]:
    times_s = [step / 2 for step in range(round((SLOW_AT_S + SLOW_FOR_S - 1) * 2))]
    labels = ("slowed", "steady", "cold start")
    return {
        label: [(at_s, arm.traffic_share(runner.name, at_s, at_s + 1)) for at_s in times_s]
        for label, runner in zip(labels, arm.runners, strict=True)
    }
