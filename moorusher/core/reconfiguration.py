"""Compares the settings in force with new ones: what holds from now on, and where each class and tenant was before.

The plan is carried out by `RequestEngine.reconfigure`, between two turns.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from moorusher.scheduling import interface as api

# Facts about the machine and its kernel, or what the scheduler has sized itself by: they hold until the next start.
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
NEW = -1  # in place of a former index: there was no such class or tenant


@dataclass(frozen=True, slots=True)
class Plan:
    """What new settings change, and what of them has to wait.

    Attributes:
        settings: hold from now on.
        classes: for each of their classes, the index that it had before, or `NEW`.
        tenants: the same of tenants.
        added, dropped, redefined: names of classes.
        deferred: settings that differ, and wait for the next start.
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
        """Something holds from now on that did not before."""
        return (
            bool(self.added or self.dropped or self.redefined)
            or _is_reordered(self.classes)
            or _is_reordered(self.tenants)
        )

    def summary(self) -> str:
        """The changes of classes, for the log; "" where there are none."""
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
    """Compare the settings in force with new ones."""
    old_classes = {cls.name: cls for cls in reversed(old.classes)}  # of one name twice, the first counts
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
    """The seed and the kernel's state at the start mean nothing to a runner that has started."""
    if name not in FIXED_UNTIL_RESTART or name in ("seed", "warming_up"):
        return False
    return bool(getattr(old, name) != getattr(new, name))


def _former_indexes(old: list[str], new: list[str]) -> tuple[int, ...]:
    """For each new name its index among the old ones, or `NEW`. Each old one is given once."""
    index_of = {name: index for index, name in reversed(list(enumerate(old)))}
    return tuple(index_of.pop(name, NEW) for name in new)
