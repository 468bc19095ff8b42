"""Request classes that had idempotency keys under earlier settings.

A key is valid for the whole window of its class, and retries may arrive after new settings have changed the effect of
the class or replaced the class by another one. Until the last key of the former class has expired, a request with an
idempotency token is therefore treated as a request of a class with keys.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from moorusher.scheduling import interface as api

from .idempotency_keys import window_end

MAX_FORMER_CLASSES = 256


@dataclass(slots=True, frozen=True)
class _FormerClass:
    """The idempotency window of a former request class, and the time until which it is stored."""

    expires_us: int
    window_ms: float


def _keyed_classes(settings: api.Settings) -> dict[str, api.RequestClass]:
    return {cls.name: cls for cls in settings.classes if cls.effect is api.Effect.IDEMPOTENT_WITH_KEY}


def _former_class(cls: api.RequestClass, now: int) -> _FormerClass:
    # A request that is queued now may start as late as its deadline, and the window of its key begins at the start.
    return _FormerClass(
        window_end(now, cls.deadline_ms + cls.idempotency_window_ms), cls.idempotency_window_ms
    )


class FormerKeyClasses:
    """Former classes with keys, by name: the expiry of the last key, and the class definition used until then."""

    def __init__(self) -> None:
        self._former: dict[str, _FormerClass] = {}
        self._effective: dict[str, api.RequestClass] = {}

    def settings_changed(self, now: int, before: api.Settings, after: api.Settings) -> None:
        """Record which classes lose their keys by new settings at the time `now` (us)."""
        keyed_before = _keyed_classes(before)
        keyed_after = _keyed_classes(after)
        ended = {
            name: _former_class(cls, now) for name, cls in keyed_before.items() if name not in keyed_after
        }
        current = {name: former for name, former in self._former.items() if former.expires_us > now}
        current |= ended
        self._former = dict(list(current.items())[-MAX_FORMER_CLASSES:])
        self._add_successors(before, after, ended)
        self._effective = {
            cls.name: replace(
                cls,
                effect=api.Effect.IDEMPOTENT_WITH_KEY,
                idempotency_window_ms=self._former[cls.name].window_ms,
            )
            for cls in after.classes
            if cls.name in self._former and cls.name not in keyed_after
        }

    def _add_successors(
        self, before: api.Settings, after: api.Settings, ended: dict[str, _FormerClass]
    ) -> None:
        # Retries of requests of a dropped class may arrive under any class that is new in the settings.
        names_after = {cls.name for cls in after.classes}
        dropped = [former for name, former in ended.items() if name not in names_after]
        if not dropped:
            return
        longest = max(dropped, key=lambda former: former.expires_us)
        names_before = {cls.name for cls in before.classes}
        for cls in after.classes:
            if cls.name not in names_before:
                self._former.setdefault(cls.name, longest)

    def effective_class(self, cls: api.RequestClass, now: int) -> api.RequestClass:
        """Return `cls`, changed to a class with keys until the last key of its former class has expired."""
        former = self._effective.get(cls.name)
        if former is None or now >= self._former[cls.name].expires_us:
            return cls
        return former
