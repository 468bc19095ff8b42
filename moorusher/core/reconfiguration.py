"""Comparison of the current settings with new ones.

The resulting plan contains the settings to apply, and the former index of each class and tenant. It is carried out by
`RequestEngine.reconfigure` between two turns.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from moorusher.scheduling import interface as api

# Settings that describe the machine and its kernel, or that determine sizes in the scheduler. They change at a restart
# only.
FIXED_UNTIL_RESTART = (
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
NEW = -1  # former index of a new class or tenant


@dataclass(frozen=True, slots=True)
class Plan:
    """Changes made by new settings.

    Attributes:
        settings: Settings to apply.
        classes: Former index of each class, or `NEW`.
        tenants: Former index of each tenant, or `NEW`.
        added, dropped, redefined: Names of classes.
        deferred: Names of settings that differ but only change at a restart.
    """

    settings: api.Settings
    classes: tuple[int, ...]
    tenants: tuple[int, ...]
    added: tuple[str, ...]
    dropped: tuple[str, ...]
    redefined: tuple[str, ...]
    deferred: tuple[str, ...]

    @property
    def has_changes(self) -> bool:
        """Whether any class has changed, or the order of classes or tenants."""
        return (
            bool(self.added or self.dropped or self.redefined)
            or _is_reordered(self.classes)
            or _is_reordered(self.tenants)
        )

    def summary(self) -> str:
        """Return the changes of classes for the log; "" if there are none."""
        parts = [
            f"{change} {', '.join(names)}"
            for change, names in (
                ("added", self.added),
                ("dropped", self.dropped),
                ("changed", self.redefined),
            )
            if names
        ]
        return "; classes: " + "; ".join(parts) if parts else ""


def _is_reordered(indexes: tuple[int, ...]) -> bool:
    return indexes != tuple(range(len(indexes)))


def plan(old: api.Settings, new: api.Settings) -> Plan:
    """Compare the current settings with new ones."""
    old_classes = {cls.name: cls for cls in reversed(old.classes)}  # for a repeated name, its first class
    new_names = {cls.name for cls in new.classes}
    return Plan(
        settings=replace(new, **{name: getattr(old, name) for name in FIXED_UNTIL_RESTART}),
        classes=_former_indexes([cls.name for cls in old.classes], [cls.name for cls in new.classes]),
        tenants=_former_indexes([tenant.name for tenant in old.tenants], [t.name for t in new.tenants]),
        added=tuple(cls.name for cls in new.classes if cls.name not in old_classes),
        dropped=tuple(cls.name for cls in old.classes if cls.name not in new_names),
        redefined=tuple(
            cls.name for cls in new.classes if cls.name in old_classes and old_classes[cls.name] != cls
        ),
        deferred=tuple(name for name in _SETTING_NAMES if _is_deferred(name, old, new)),
    )


_SETTING_NAMES = tuple(field.name for field in fields(api.Settings))


def _is_deferred(name: str, old: api.Settings, new: api.Settings) -> bool:
    # The seed and the kernel's state at the start have no meaning for a runner that has started.
    if name not in FIXED_UNTIL_RESTART or name in ("seed", "warming_up"):
        return False
    return bool(getattr(old, name) != getattr(new, name))


def _former_indexes(old: list[str], new: list[str]) -> tuple[int, ...]:
    """Return the old index of each new name, or `NEW`. Each old index is returned at most once."""
    index_of = {name: index for index, name in reversed(list(enumerate(old)))}
    return tuple(index_of.pop(name, NEW) for name in new)
