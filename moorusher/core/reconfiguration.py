"""From the settings that hold and new ones to a plan: what holds from now on, and where each class and tenant was.

Pure. It is taken between two turns of the loop by `Decider.retune`.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from moorusher.scheduling import interface as api

# Facts about the machine and its kernel, or what the module has sized itself by: they hold until the next start.
FIXED = (
    "seed",
    "cores",
    "memory_kb",
    "run_memory_factor",
    "key_entry_kb",
    "overload_window_ms",
    "warming_up",
    "warm_up_initial_speed",
    "warm_up_ms",
    "preemption",
    "signal",
    "downstream",
    "call_quota",
    "call_quota_window_ms",
    "gauges",
)
NEW = -1


@dataclass(frozen=True, slots=True)
class Plan:
    """What new settings change, and what of them has to wait."""

    settings: api.Settings  # these hold from now on
    classes: tuple[int, ...]  # for each of their classes, which of the old ones it was; NEW
    tenants: tuple[int, ...]
    added: tuple[str, ...]  # classes
    dropped: tuple[str, ...]
    redefined: tuple[str, ...]
    later: tuple[str, ...]  # settings that differ, and wait for the next start

    @property
    def changes(self) -> bool:
        return (
            bool(self.added or self.dropped or self.redefined)
            or self._moved(self.classes)
            or self._moved(self.tenants)
        )

    @staticmethod
    def _moved(places: tuple[int, ...]) -> bool:
        return places != tuple(range(len(places)))

    def words(self) -> str:
        """For the log."""
        told = [
            f"{what} {', '.join(names)}"
            for what, names in (("added", self.added), ("dropped", self.dropped), ("changed", self.redefined))
            if names
        ]
        return "; classes: " + "; ".join(told) if told else ""


def plan(old: api.Settings, new: api.Settings) -> Plan:
    """Compare the settings that hold with new ones."""
    was = {c.name: i for i, c in reversed(list(enumerate(old.classes)))}
    tenant_was = {t.name: i for i, t in reversed(list(enumerate(old.tenants)))}
    names = {c.name for c in new.classes}
    changed = tuple(c.name for c in new.classes if c.name in was and old.classes[was[c.name]] != c)
    return Plan(
        replace(new, **{name: getattr(old, name) for name in FIXED}),
        tuple(was.pop(c.name, NEW) for c in new.classes),  # one name is one class, and once
        tuple(tenant_was.pop(t.name, NEW) for t in new.tenants),
        tuple(c.name for c in new.classes if all(c.name != o.name for o in old.classes)),
        tuple(c.name for c in old.classes if c.name not in names),
        changed,
        tuple(
            f.name
            for f in fields(api.Settings)
            if f.name in FIXED
            and f.name not in ("seed", "warming_up")
            and getattr(old, f.name) != getattr(new, f.name)
        ),
    )
