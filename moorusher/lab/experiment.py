"""What every experiment has: criteria with bounds, figures, plots."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

Log = Callable[[str], None]
"""Told of an experiment's progress, a line at a time."""
Points = list[tuple[float, float]]
"""Of one line of a plot: x and y."""
Play = Callable[[Any, bool, int, Log], Coroutine[Any, Any, "Result"]]
"""Plays an experiment: the reactor, whether to be quick, the seed, the log of its progress."""


@dataclass(frozen=True, slots=True)
class Criterion:
    """What an experiment is held to.

    Attributes:
        name: of what was measured.
        measured: the figure.
        bound: what the figure is held to, in words.
        holds: the verdict.
    """

    name: str
    measured: str
    bound: str
    holds: bool

    def describe(self) -> str:
        """One line for the terminal."""
        verdict = "holds" if self.holds else "falls short"
        return f"{verdict:<12} {self.name}: {self.measured} (bound: {self.bound})"


@dataclass(slots=True)
class Plot:
    """One plot of a report; `limit` is drawn as a dashed horizontal line."""

    title: str
    x_label: str
    y_label: str
    lines: dict[str, Points]
    limit: float | None = None


@dataclass(slots=True)
class Result:
    """What an experiment has measured, against its criteria.

    Attributes:
        criteria: in the order of the report.
        figures: all else that was measured, as it stands in the report.
        plots: in the order of the report.
    """

    criteria: list[Criterion] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    plots: list[Plot] = field(default_factory=list)

    def add_criterion(self, name: str, measured: str, bound: str, holds: bool) -> None:
        """Hold a figure to a bound."""
        self.criteria.append(Criterion(name, measured, bound, bool(holds)))

    @property
    def holds(self) -> bool:
        """Whether all criteria hold, and there is one."""
        return bool(self.criteria) and all(criterion.holds for criterion in self.criteria)


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment by its name on the command line."""

    name: str
    about: str
    play: Play
