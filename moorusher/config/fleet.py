"""Reads and validates `[fleet]` and `[duties]` of the operator's file."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..core.requests import is_identifier
from ..leadership.policy import HeartbeatDuty, LeadershipPolicy
from ..membership.policy import MAX_SEATS, Seat
from ..replication.policy import ReplicationPolicy
from .section import Address, ConfigError, NumericSetting, Section, require_private

MAX_NAME_LENGTH = 64  # characters
MAX_REPORT_INTERVAL_MS = 3_600_000


# Numeric settings of `[duties]` by key. The registers of `most` duties take about 300 bytes each, and the state of each
# takes at most `state_bytes` in addition.
DUTY_SETTINGS = {
    "most": NumericSetting("max_duties", 1, 100_000),
    "state_bytes": NumericSetting("max_state_bytes", 1 << 10, 4 << 20),
    "versions": NumericSetting("max_versions", 1, 8),
    "intents": NumericSetting("max_open_intents", 1, 256),
    "most_lost": NumericSetting("max_lost_leaders", 2, 100),
    "steady_ms": NumericSetting("probation_ms", 100, 600_000),
    "moves_a_minute": NumericSetting("max_handovers_per_minute", 0.1, 600),
    "patience_ms": NumericSetting("unfit_timeout_ms", 100, 60_000),
}
# Whether keyed work runs without a majority, by value of the key `uncovered`.
RUNS_UNCOVERED = {"refuse": False, "alone": True}


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The cluster that this runner belongs to; without `listen` there is none.

    Attributes:
        listen: Address at which this runner listens for the others.
        name: Name of the fleet; "" without one.
        seats: Seats of all runners, including this one.
        policy: Settings of the replication of keyed work.
        journal: Folder on a persistent disk; "" for none.
        duties: Settings of `[duties]`.
    """

    listen: Address | None = None
    name: str = ""
    seats: tuple[Seat, ...] = ()
    policy: ReplicationPolicy = field(default_factory=ReplicationPolicy)
    journal: str = ""
    duties: LeadershipPolicy = field(default_factory=LeadershipPolicy)

    def without_addresses(self) -> FleetConfig:
        """Return the part that can't change while the runner serves: all but the seats' addresses."""
        # This part determines the replicas of each key.
        return replace(self, seats=tuple(replace(seat, address=("", 0)) for seat in self.seats))


def read_duties(section: Section) -> LeadershipPolicy:
    """Read and validate `[duties]`.

    :raises ConfigError: a key or value is invalid.
    """
    section.reject_unknown_keys({"on", "report", *DUTY_SETTINGS})
    numbers = section.numbers(DUTY_SETTINGS, LeadershipPolicy())
    heartbeats: list[HeartbeatDuty] = []
    for entry in _entries(section, "report"):
        heartbeats.append(_read_heartbeat(entry, heartbeats))
    return LeadershipPolicy(enabled=section.get("on", False), heartbeats=tuple(heartbeats), **numbers)


def read_fleet(section: Section, duties: Section) -> FleetConfig:
    """Read and validate `[fleet]` and `[duties]`.

    :raises ConfigError: a key or value is invalid.
    """
    section.reject_unknown_keys({"listen", "name", "uncovered", "claim_ms", "copies", "seat", "journal"})
    listen = require_private(section.address("listen"), section.key("listen"))
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
    if uncovered not in RUNS_UNCOVERED:
        raise ConfigError(
            f"{section.key('uncovered')}: expected one of {', '.join(RUNS_UNCOVERED)}, got {uncovered!r}"
        )
    policy = ReplicationPolicy(
        section.between("claim_ms", defaults.claim_timeout_ms, 10, 10_000),
        section.between("copies", defaults.replicas, 1, 7),
        RUNS_UNCOVERED[uncovered],
    )
    if policy.replicas % 2 == 0:
        raise ConfigError(f"{section.key('copies')}: expected an odd number, got {policy.replicas}")
    return policy


def _read_seats(section: Section) -> tuple[Seat, ...]:
    listed: list[Any] = section.get("seat", [])
    if not 1 <= len(listed) <= MAX_SEATS:
        raise ConfigError(f"{section.key('seat')}: expected 1 to {MAX_SEATS} of them, got {len(listed)}")
    seats: list[Seat] = []
    for entry in _entries(section, "seat"):
        seats.append(_read_seat(entry, seats))
    return tuple(seats)


def _read_seat(entry: Section, previous: Iterable[Seat]) -> Seat:
    entry.reject_unknown_keys({"name", "address", "zone", "group"})
    name = entry.get("name", "")
    address = require_private(entry.address("address"), entry.key("address"))
    _check_unique_name(entry, name, (seat.name for seat in previous))
    if address is None:
        raise ConfigError(f"{entry.key('address')}: required, as HOST:PORT")
    return Seat(name, address, entry.get("zone", ""), entry.get("group", ""))


def _read_heartbeat(entry: Section, previous: Iterable[HeartbeatDuty]) -> HeartbeatDuty:
    entry.reject_unknown_keys({"name", "to", "every_ms"})
    name = entry.get("name", "")
    receiver = require_private(entry.address("to"), entry.key("to"))
    _check_unique_name(entry, name, (heartbeat.name for heartbeat in previous))
    if receiver is None:
        raise ConfigError(f"{entry.key('to')}: required, as HOST:PORT")
    return HeartbeatDuty(name, receiver, entry.between("every_ms", 5_000.0, 10, MAX_REPORT_INTERVAL_MS))


def _check_unique_name(entry: Section, name: str, previous_names: Iterable[str]) -> None:
    if not is_identifier(name, MAX_NAME_LENGTH) or name in previous_names:
        raise ConfigError(
            f"{entry.key('name')}: expected letters, digits and -_.: that no other has, got {name!r}"
        )


def _entries(section: Section, name: str) -> Iterator[Section]:
    listed: list[Any] = section.get(name, [])
    for index, raw in enumerate(listed):
        yield Section(raw, f"{section.key(name)}[{index}]")
