"""What every experiment has: arms on the same seeds, criteria with bounds, a report with plots."""

from __future__ import annotations

import html
import json
import logging
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Criterion:
    """`figure` was measured; `bound` is what it is held to, in words; `holds` the verdict."""

    name: str
    figure: str
    bound: str
    holds: bool

    def line(self) -> str:
        return (
            f"{'holds' if self.holds else 'falls short':<12} {self.name}: {self.figure} (bound: {self.bound})"
        )


@dataclass(slots=True)
class Plot:
    """One figure of a report."""

    title: str
    across: str
    up: str
    lines: dict[str, list[tuple[float, float]]]
    limit: float | None = None


@dataclass(slots=True)
class Result:
    """What an experiment has measured, against its criteria."""

    criteria: list[Criterion] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    plots: list[Plot] = field(default_factory=list)

    def hold(self, name: str, figure: str, bound: str, holds: bool) -> None:
        self.criteria.append(Criterion(name, figure, bound, bool(holds)))

    @property
    def holds(self) -> bool:
        return bool(self.criteria) and all(c.holds for c in self.criteria)


@dataclass(frozen=True, slots=True)
class Experiment:
    """`play` gets the reactor, whether to be quick, the seed, and whom to tell of its progress."""

    name: str
    about: str
    play: Callable[[Any, bool, int, Callable[[str], None]], Coroutine[Any, Any, Result]]


def write(result: Result, experiment: Experiment, seed: int, quick: bool, folder: Path) -> None:
    """report.json and report.html, with a plot each as a file of its own beside them."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    told = {
        "experiment": experiment.name,
        "seed": seed,
        "quick": quick,
        "holds": result.holds,
        "criteria": [asdict(c) for c in result.criteria],
        "figures": result.figures,
    }
    (folder / "report.json").write_text(json.dumps(told, indent=2, sort_keys=True) + "\n")
    images = []
    for number, plot in enumerate(result.plots):
        figure, axes = pyplot.subplots(figsize=(9, 3.4))
        for label, points in plot.lines.items():
            axes.plot([x for x, _ in points], [y for _, y in points], label=label, linewidth=1.2)
        if plot.limit is not None:
            axes.axhline(plot.limit, color="black", linestyle="--", linewidth=0.8)
        axes.set(title=plot.title, xlabel=plot.across, ylabel=plot.up)
        axes.legend(fontsize=7)
        figure.tight_layout()
        figure.savefig(folder / f"plot{number}.png", dpi=100)
        pyplot.close(figure)
        images.append(f'<p><img src="plot{number}.png" alt="{html.escape(plot.title)}"></p>')
    rows = "".join(
        f"<tr><td>{'holds' if c.holds else '<b>falls short</b>'}</td><td>{html.escape(c.name)}</td>"
        f"<td>{html.escape(c.figure)}</td><td>{html.escape(c.bound)}</td></tr>"
        for c in result.criteria
    )
    (folder / "report.html").write_text(
        f"<!doctype html><meta charset=utf-8><title>{experiment.name}</title><h1>{experiment.name}</h1>"
        f"<p>{html.escape(experiment.about)} Seed {seed}{', quick' if quick else ''}.</p>"
        f"<table border=1 cellpadding=4><tr><th>verdict<th>criterion<th>figure<th>bound</tr>{rows}</table>"
        + "".join(images)
        + f"<pre>{html.escape(json.dumps(result.figures, indent=2, sort_keys=True))}</pre>\n"
    )


def known() -> dict[str, Experiment]:
    """All experiments, by name."""
    from .duties import DUTIES
    from .forecast import FORECAST
    from .namespaces import NAMESPACES
    from .outage import OUTAGE
    from .shed import SHED
    from .takeover import TAKEOVER
    from .tier import TIER
    from .warm import WARM

    return {e.name: e for e in (DUTIES, FORECAST, NAMESPACES, OUTAGE, SHED, TAKEOVER, TIER, WARM)}


def run(name: str, quick: bool, seed: int, folder: Path, say: Callable[[str], None]) -> bool:
    """Play it on a reactor of its own, write its report, say its verdicts; True where all criteria hold."""
    from ..server import reactor as loop

    reactor = loop.install()
    from twisted.internet.defer import Deferred
    from twisted.python.log import PythonLoggingObserver

    logging.basicConfig(level=logging.ERROR, format="%(message)s")
    PythonLoggingObserver("lab").start()  # type: ignore[no-untyped-call]  # a stand-in's own fault must be seen

    experiment = known()[name]
    got: list[Result] = []

    def over(result: Any) -> None:
        if isinstance(result, Result):
            got.append(result)
        else:
            say(result.getTraceback())
        reactor.stop()

    def begin() -> None:
        Deferred.fromCoroutine(experiment.play(reactor, quick, seed, say)).addBoth(over)

    reactor.callWhenRunning(begin)
    reactor.run()
    if not got:
        return False
    write(got[0], experiment, seed, quick, folder)
    for criterion in got[0].criteria:
        say(criterion.line())
    return got[0].holds
