"""Classes whose requests had keys under earlier settings: a key counts for its whole window, whatever is set meanwhile.

Further tries of a request may come after new settings have given its class another effect, or put another class in its
place. Until the last key of that class is over, a request with a token is taken as one of a keyed class.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from moorusher.scheduling import interface as api

from .idempotency_keys import window_end

MOST = 256  # classes that are remembered


@dataclass(slots=True, frozen=True)
class _Former:
    until: int  # us
    window_ms: float


def _keyed(settings: api.Settings) -> dict[str, api.RequestClass]:
    return {c.name: c for c in settings.classes if c.effect is api.Effect.IDEMPOTENT_WITH_KEY}


def _former(cls: api.RequestClass, now: int) -> _Former:
    """What is held now may begin as late as its deadline, and its key counts from then."""
    return _Former(window_end(now, cls.deadline_ms + cls.idempotency_window_ms), cls.idempotency_window_ms)


class FormerKeys:
    """By class, until when a token still names a key, and the class as it is taken until then."""

    def __init__(self) -> None:
        self._former: dict[str, _Former] = {}
        self._taken_as: dict[str, api.RequestClass] = {}

    def follow(self, now: int, before: api.Settings, after: api.Settings) -> None:
        """New settings hold from now on."""
        had, has = _keyed(before), _keyed(after)
        ended = {name: _former(cls, now) for name, cls in had.items() if name not in has}
        current = {name: former for name, former in self._former.items() if former.until > now}
        current |= ended
        self._former = dict(list(current.items())[-MOST:])
        self._adopt_successors(before, after, ended)
        self._taken_as = {
            c.name: replace(
                c, effect=api.Effect.IDEMPOTENT_WITH_KEY, idempotency_window_ms=self._former[c.name].window_ms
            )
            for c in after.classes
            if c.name in self._former and c.name not in has
        }

    def _adopt_successors(self, before: api.Settings, after: api.Settings, ended: dict[str, _Former]) -> None:
        """Where keyed classes are dropped, each new class may be the one that further tries come under."""
        names = {c.name for c in after.classes}
        dropped = [former for name, former in ended.items() if name not in names]
        if not dropped:
            return
        longest = max(dropped, key=lambda former: former.until)
        known = {c.name for c in before.classes}
        for cls in after.classes:
            if cls.name not in known:
                self._former.setdefault(cls.name, longest)

    def taken_as(self, cls: api.RequestClass, now: int) -> api.RequestClass:
        """The class that a request with a token is taken under."""
        former = self._taken_as.get(cls.name)
        if former is None or now >= self._former[cls.name].until:
            return cls
        return former
