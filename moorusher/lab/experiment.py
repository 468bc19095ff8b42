"""Common types of all experiments: criteria with bounds, figures, plots."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

Log = Callable[[str], None]
"""Called with each line of an experiment's progress."""
Points = list[tuple[float, float]]
"""Points of one line of a plot, as x and y."""
Play = Callable[[Any, bool, int, Log], Coroutine[Any, Any, "Result"]]
"""Runs an experiment. Arguments: the reactor, whether to run the quick version, the seed, the progress log."""


@dataclass(frozen=True, slots=True)
class Criterion:
    """A measured figure and the bound that it has to meet.

    Attributes:
        name: Name of the figure.
        measured: Measured value, as text.
        bound: Bound, as text.
        holds: Whether the figure meets the bound.
    """

    name: str
    measured: str
    bound: str
    holds: bool

    def describe(self) -> str:
        """Return one line for the terminal."""
        verdict = "holds" if self.holds else "falls short"
        return f"{verdict:<12} {self.name}: {self.measured} (bound: {self.bound})"


@dataclass(slots=True)
class Plot:
    """One plot of a report.

    Attributes:
        title: Title above the plot.
        x_label: Label of the x axis.
        y_label: Label of the y axis.
        lines: Points of each line, by label.
        limit: Value at which a dashed horizontal line is drawn, None for no line.
    """

    title: str
    x_label: str
    y_label: str
    lines: dict[str, Points]
    limit: float | None = None


@dataclass(slots=True)
class Result:
    """The result of an experiment.

    Attributes:
        criteria: Criteria in the order of the report.
        figures: Other measured values, as they are written to the report.
        plots: Plots in the order of the report.
    """

    criteria: list[Criterion] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    plots: list[Plot] = field(default_factory=list)

    def add_criterion(self, name: str, measured: str, bound: str, holds: bool) -> None:
        """Add a criterion: a measured value, the bound for it, and whether the value meets the bound."""
        self.criteria.append(Criterion(name, measured, bound, bool(holds)))

    @property
    def holds(self) -> bool:
        """Whether there is at least one criterion and all criteria hold."""
        return bool(self.criteria) and all(criterion.holds for criterion in self.criteria)


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment of the command line.

    Attributes:
        name: Name on the command line.
        about: One sentence about the experiment, for the report.
        play: Coroutine function that runs it.
    """

    name: str
    about: str
    play: Play
