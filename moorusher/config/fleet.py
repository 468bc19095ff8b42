"""`[fleet]` and `[duties]` of the operator's file, read and checked."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..core.requests import is_identifier
from ..leadership.policy import Policy as Duties
from ..leadership.policy import Report
from ..membership.policy import MAX_SEATS, Seat
from ..replication.policy import Policy as FleetPolicy
from .section import Address, ConfigError, Section, inside

# What each figure may be: `most` slots of some 300 bytes, `most` times `state_bytes` of memory at the very most.
BOUNDS: dict[str, tuple[float, float]] = {
    "most": (1, 100_000),
    "state_bytes": (1 << 10, 4 << 20),
    "versions": (1, 8),
    "intents": (1, 256),
    "most_lost": (2, 100),
    "steady_ms": (100, 600_000),
    "moves_a_minute": (0.1, 600),
    "patience_ms": (100, 60_000),
}


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Runners that talk with each other; none where `listen` is not set."""

    listen: Address | None = None
    name: str = ""
    seats: tuple[Seat, ...] = ()
    policy: FleetPolicy = field(default_factory=FleetPolicy)
    journal: str = ""  # a folder on a disk that lasts
    duties: Duties = field(default_factory=Duties)

    def but_for_addresses(self) -> FleetConfig:
        """What can't change while the runner serves: who keeps which key follows from it."""
        return replace(self, seats=tuple(replace(seat, address=("", 0)) for seat in self.seats))


def read_duties(section: Section) -> Duties:
    """`[duties]`, read and checked. Raises ConfigError."""
    section.unknown({"on", "report", *BOUNDS})
    d = Duties()
    figures: dict[str, Any] = {
        name: section.between(name, getattr(d, name), *bounds) for name, bounds in BOUNDS.items()
    }
    reports: list[Report] = []
    listed: list[Any] = section.get("report", [])
    for i, raw in enumerate(listed):
        one = Section(raw, f"{section.key('report')}[{i}]")
        one.unknown({"name", "to", "every_ms"})
        name, to = one.get("name", ""), inside(one.address("to"), one.key("to"))
        if not is_identifier(name, 64) or any(name == r.name for r in reports):
            raise ConfigError(
                f"{one.key('name')}: expected letters, digits and -_.: that no other has, got {name!r}"
            )
        if to is None:
            raise ConfigError(f"{one.key('to')}: required, as HOST:PORT")
        reports.append(Report(name, to, one.between("every_ms", 5_000.0, 10, 3_600_000)))
    return Duties(on=section.get("on", False), reports=tuple(reports), **figures)


def read_fleet(section: Section, duties: Section) -> FleetConfig:
    """`[fleet]` with its duties, read and checked. Raises ConfigError."""
    section.unknown({"listen", "name", "uncovered", "claim_ms", "copies", "seat", "journal"})
    listen = inside(section.address("listen"), section.key("listen"))
    d = FleetPolicy()
    uncovered = section.get("uncovered", "refuse")
    if uncovered not in ("refuse", "alone"):
        raise ConfigError(f"{section.key('uncovered')}: expected one of refuse, alone, got {uncovered!r}")
    policy = FleetPolicy(
        section.between("claim_ms", d.claim_ms, 10, 10_000),
        section.between("copies", d.copies, 1, 7),
        uncovered == "alone",
    )
    if policy.copies % 2 == 0:
        raise ConfigError(f"{section.key('copies')}: expected an odd number, got {policy.copies}")
    work = read_duties(duties)
    if listen is None:
        if work.on:
            raise ConfigError(f"{duties.key('on')}: duties need a fleet: set {section.key('listen')}")
        return FleetConfig(policy=policy)
    name = section.get("name", "")
    if not is_identifier(name, 64):
        raise ConfigError(f"{section.key('name')}: expected letters, digits and -_.:, got {name!r}")
    journal = section.get("journal", "")
    if journal and not Path(journal).is_absolute():
        raise ConfigError(f"{section.key('journal')}: expected an absolute path, got {journal!r}")
    listed: list[Any] = section.get("seat", [])
    if not 1 <= len(listed) <= MAX_SEATS:
        raise ConfigError(f"{section.key('seat')}: expected 1 to {MAX_SEATS} of them, got {len(listed)}")
    seats: list[Seat] = []
    for i, raw in enumerate(listed):
        one = Section(raw, f"{section.key('seat')}[{i}]")
        one.unknown({"name", "address", "zone", "group"})
        seat, address = one.get("name", ""), inside(one.address("address"), one.key("address"))
        if not is_identifier(seat, 64) or any(seat == s.name for s in seats):
            raise ConfigError(
                f"{one.key('name')}: expected letters, digits and -_.: that no other has, got {seat!r}"
            )
        if address is None:
            raise ConfigError(f"{one.key('address')}: required, as HOST:PORT")
        seats.append(Seat(seat, address, one.get("zone", ""), one.get("group", "")))
    return FleetConfig(listen, name, tuple(seats), policy, journal, work)
