"""The report of an experiment: report.json, report.html, and one image file for each plot."""

from __future__ import annotations

import html
import json
from pathlib import Path
from typing import Any

from .experiment import Criterion, Experiment, Plot, Result

_PLOT_SIZE_INCHES = (9, 3.4)
_DOTS_PER_INCH = 100


def write_report(result: Result, experiment: Experiment, seed: int, quick: bool, folder: Path) -> None:
    """Write all files of the report into `folder`, which is created if it doesn't exist.

    :raises OSError: the folder can't be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    report = {
        "experiment": experiment.name,
        "seed": seed,
        "quick": quick,
        "holds": result.holds,
        "criteria": [_criterion_as_json(criterion) for criterion in result.criteria],
        "figures": result.figures,
    }
    (folder / "report.json").write_text(json.dumps(report, indent=2, sort_keys=True) + "\n")
    for number, plot in enumerate(result.plots):
        _draw(plot, folder / _plot_file(number))
    (folder / "report.html").write_text(_page(result, experiment, seed, quick))


def _criterion_as_json(criterion: Criterion) -> dict[str, Any]:
    return {
        "name": criterion.name,
        "figure": criterion.measured,
        "bound": criterion.bound,
        "holds": criterion.holds,
    }


def _plot_file(number: int) -> str:
    return f"plot{number}.png"


def _draw(plot: Plot, path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=_PLOT_SIZE_INCHES)
    for label, points in plot.lines.items():
        axes.plot([x for x, _ in points], [y for _, y in points], label=label, linewidth=1.2)
    if plot.limit is not None:
        axes.axhline(plot.limit, color="black", linestyle="--", linewidth=0.8)
    axes.set(title=plot.title, xlabel=plot.x_label, ylabel=plot.y_label)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=_DOTS_PER_INCH)
    pyplot.close(figure)


def _page(result: Result, experiment: Experiment, seed: int, quick: bool) -> str:
    rows = "".join(_row(criterion) for criterion in result.criteria)
    images = "".join(
        f'<p><img src="{_plot_file(number)}" alt="{html.escape(plot.title)}"></p>'
        for number, plot in enumerate(result.plots)
    )
    figures = html.escape(json.dumps(result.figures, indent=2, sort_keys=True))
    return (
        f"<!doctype html><meta charset=utf-8><title>{experiment.name}</title><h1>{experiment.name}</h1>"
        f"<p>{html.escape(experiment.about)} Seed {seed}{', quick' if quick else ''}.</p>"
        f"<table border=1 cellpadding=4><tr><th>verdict<th>criterion<th>figure<th>bound</tr>{rows}</table>"
        f"{images}<pre>{figures}</pre>\n"
    )


def _row(criterion: Criterion) -> str:
    verdict = "holds" if criterion.holds else "<b>falls short</b>"
    return (
        f"<tr><td>{verdict}</td><td>{html.escape(criterion.name)}</td>"
        f"<td>{html.escape(criterion.measured)}</td><td>{html.escape(criterion.bound)}</td></tr>"
    )
