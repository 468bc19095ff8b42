"""Figures of `[forecast]` in the operator's file. Imports nothing: it is read where there is none, too."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Days:
    """A customer's calendar: its zone, and kinds of days by ISO date."""

    zone: str = "UTC"
    days: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds of hints. `cores`: of one runner; `fill`: the share of them that is to be used; `cold_min`: how long
    before its work one must be started; `down_h`: how long less must be enough before one is taken away."""

    to: tuple[str, int] | None = None  # who adds and removes runners
    cores: float = 1.0
    fill: float = 0.7
    least: int = 1  # runners of a zone
    most: int = 1_000
    cold_min: float = 10.0
    down_h: float = 2.0
    valid_min: float = 120.0
    worthy: float = 1.0  # worth of a request from which hints go by 99 of 100; below it, by 90


@dataclass(frozen=True, slots=True)
class Policy:
    """What the operator sets of the forecast; `config/forecast.py` reads and bounds it."""

    on: bool = False
    report_ms: float = 20_000.0  # how often counts are told
    save_ms: float = 5_000.0  # how often the owner keeps what it was told
    routes: int = 1_000  # that are followed
    calendars: Mapping[str, Days] = field(default_factory=dict)  # by customer
    scaling: Scaling = field(default_factory=Scaling)
