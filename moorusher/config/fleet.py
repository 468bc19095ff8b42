"""`[fleet]` and `[duties]` of the operator's file, read and checked."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..core.requests import is_identifier
from ..leadership.policy import HeartbeatDuty, LeadershipPolicy
from ..membership.policy import MAX_SEATS, Seat
from ..replication.policy import ReplicationPolicy
from .section import Address, ConfigError, Figure, Section, inside

MAX_NAME_LENGTH = 64  # characters
MAX_REPORT_INTERVAL_MS = 3_600_000


# Figures of `[duties]`: `most` slots of some 300 bytes, `most` times `state_bytes` of memory at the very most.
DUTY_FIGURES = {
    "most": Figure("max_duties", 1, 100_000),
    "state_bytes": Figure("max_state_bytes", 1 << 10, 4 << 20),
    "versions": Figure("max_versions", 1, 8),
    "intents": Figure("max_open_intents", 1, 256),
    "most_lost": Figure("max_lost_leaders", 2, 100),
    "steady_ms": Figure("probation_ms", 100, 600_000),
    "moves_a_minute": Figure("max_handovers_per_minute", 0.1, 600),
    "patience_ms": Figure("unfit_timeout_ms", 100, 60_000),
}
UNCOVERED_ALONE = {
    "refuse": False,
    "alone": True,
}  # `uncovered`: what becomes of keyed work without a majority


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Runners that talk with each other; none where `listen` is not set.

    listen: where this runner's process listens for the others.
    name: of the fleet; "" where there is none.
    seats: of all runners, this one's with them.
    policy: how keyed work is replicated.
    journal: a folder on a disk that lasts; "" for none.
    duties: the settings of `[duties]`.
    """

    listen: Address | None = None
    name: str = ""
    seats: tuple[Seat, ...] = ()
    policy: ReplicationPolicy = field(default_factory=ReplicationPolicy)
    journal: str = ""
    duties: LeadershipPolicy = field(default_factory=LeadershipPolicy)

    def but_for_addresses(self) -> FleetConfig:
        """Return what can't change while the runner serves: who keeps which key follows from it."""
        return replace(self, seats=tuple(replace(seat, address=("", 0)) for seat in self.seats))


def read_duties(section: Section) -> LeadershipPolicy:
    """Read and check `[duties]`.

    :raises ConfigError: with the key that is wrong.
    """
    section.unknown({"on", "report", *DUTY_FIGURES})
    figures = section.figures(DUTY_FIGURES, LeadershipPolicy())
    reports: list[HeartbeatDuty] = []
    for entry in _listed(section, "report"):
        reports.append(_read_report(entry, reports))
    return LeadershipPolicy(enabled=section.get("on", False), heartbeats=tuple(reports), **figures)


def read_fleet(section: Section, duties: Section) -> FleetConfig:
    """Read and check `[fleet]` with its duties.

    :raises ConfigError: with the key that is wrong.
    """
    section.unknown({"listen", "name", "uncovered", "claim_ms", "copies", "seat", "journal"})
    listen = inside(section.address("listen"), section.key("listen"))
    policy = _read_policy(section)
    duty_policy = read_duties(duties)
    if listen is None:
        if duty_policy.enabled:
            raise ConfigError(f"{duties.key('on')}: duties need a fleet: set {section.key('listen')}")
        return FleetConfig(policy=policy)
    name = section.get("name", "")
    if not is_identifier(name, MAX_NAME_LENGTH):
        raise ConfigError(f"{section.key('name')}: expected letters, digits and -_.:, got {name!r}")
    journal = section.get("journal", "")
    if journal and not Path(journal).is_absolute():
        raise ConfigError(f"{section.key('journal')}: expected an absolute path, got {journal!r}")
    return FleetConfig(listen, name, _read_seats(section), policy, journal, duty_policy)


def _read_policy(section: Section) -> ReplicationPolicy:
    defaults = ReplicationPolicy()
    uncovered = section.get("uncovered", "refuse")
    if uncovered not in UNCOVERED_ALONE:
        raise ConfigError(
            f"{section.key('uncovered')}: expected one of {', '.join(UNCOVERED_ALONE)}, got {uncovered!r}"
        )
    policy = ReplicationPolicy(
        section.between("claim_ms", defaults.claim_timeout_ms, 10, 10_000),
        section.between("copies", defaults.replicas, 1, 7),
        UNCOVERED_ALONE[uncovered],
    )
    if policy.replicas % 2 == 0:
        raise ConfigError(f"{section.key('copies')}: expected an odd number, got {policy.replicas}")
    return policy


def _read_seats(section: Section) -> tuple[Seat, ...]:
    listed: list[Any] = section.get("seat", [])
    if not 1 <= len(listed) <= MAX_SEATS:
        raise ConfigError(f"{section.key('seat')}: expected 1 to {MAX_SEATS} of them, got {len(listed)}")
    seats: list[Seat] = []
    for entry in _listed(section, "seat"):
        seats.append(_read_seat(entry, seats))
    return tuple(seats)


def _read_seat(entry: Section, others: Iterable[Seat]) -> Seat:
    entry.unknown({"name", "address", "zone", "group"})
    name = entry.get("name", "")
    address = inside(entry.address("address"), entry.key("address"))
    _check_unique_name(entry, name, (other.name for other in others))
    if address is None:
        raise ConfigError(f"{entry.key('address')}: required, as HOST:PORT")
    return Seat(name, address, entry.get("zone", ""), entry.get("group", ""))


def _read_report(entry: Section, others: Iterable[HeartbeatDuty]) -> HeartbeatDuty:
    entry.unknown({"name", "to", "every_ms"})
    name = entry.get("name", "")
    receiver = inside(entry.address("to"), entry.key("to"))
    _check_unique_name(entry, name, (other.name for other in others))
    if receiver is None:
        raise ConfigError(f"{entry.key('to')}: required, as HOST:PORT")
    return HeartbeatDuty(name, receiver, entry.between("every_ms", 5_000.0, 10, MAX_REPORT_INTERVAL_MS))


def _check_unique_name(entry: Section, name: str, others: Iterable[str]) -> None:
    if not is_identifier(name, MAX_NAME_LENGTH) or name in others:
        raise ConfigError(
            f"{entry.key('name')}: expected letters, digits and -_.: that no other has, got {name!r}"
        )


def _listed(section: Section, name: str) -> Iterator[Section]:
    listed: list[Any] = section.get(name, [])
    for index, raw in enumerate(listed):
        yield Section(raw, f"{section.key(name)}[{index}]")
