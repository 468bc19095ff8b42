"""A keeper's part: duties whose register it keeps, and that want an owner, are offered to whose turn it is.

Who offers, to whom and when is a matter of speed alone: the register tells two that accept at once apart.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..membership.failure_detector import MS, FailureDetector
from ..replication.work_record import Key, Owner
from .candidates import Seen, Steady, mean, order
from .lease_record import Life, Post
from .messages import Offer

RANKS = 250 * MS  # between the keepers of a register, in their order, until the next one sees to it
LOOK_AGAIN = 400 * MS
MOST_AGAIN = 2_000 * MS
PACE, AT_ONCE = 10 * MS, 16  # what a lost owner had comes as a stream, not as a blow


class Host(Protocol):
    """What tending needs of the member that does it."""

    @property
    def owner(self) -> Owner: ...
    def say(self, seat: str, message: Any) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def clock(self) -> int: ...
    def count(self, name: str) -> None: ...
    def keepers(self, key: Key) -> tuple[str, ...]: ...
    def fit(self) -> bool: ...
    def has(self) -> int: ...


@dataclass(slots=True)
class Tending:
    """A keeper's care for the duties that it keeps: each has an owner, or is offered to somebody."""

    host: Host
    members: FailureDetector
    copies: int
    steady: Steady
    patience: int  # us, after which one that is not fit and gives nothing up is not waited for
    posts: dict[Key, Post] = field(default_factory=dict)
    declined: dict[Key, int] = field(default_factory=dict)
    _by_owner: dict[Owner, set[Key]] = field(default_factory=dict)
    _tries: dict[Key, int] = field(default_factory=dict)
    _due: deque[Key] = field(default_factory=deque)
    _pacing: bool = False
    _unfit: dict[Owner, int] = field(default_factory=dict)  # since when

    def kept(self, key: Key, post: Post | None) -> None:
        """The register has this value here, which need not be chosen."""
        before = self.posts.get(key)
        if before is not None and before.owner is not None:
            keys = self._by_owner.get(before.owner, set())
            keys.discard(key)
            if not keys:
                self._by_owner.pop(before.owner, None)
        if post is None:
            self.posts.pop(key, None)
            return
        self.posts[key] = post
        if before is None or (before.born, before.term, before.life) != (post.born, post.term, post.life):
            self._tries.pop(key, None)
        if post.owner is not None:
            self._by_owner.setdefault(post.owner, set()).add(key)
            if self.past(post.owner):
                self._tend(key)
        elif post.wants_an_owner:
            self._tend(key)

    def past(self, owner: Owner) -> bool:
        """It is lost, as far as is known here."""
        if owner.seat == self.host.owner.seat:
            return (
                owner.incarnation < self.host.owner.incarnation
                and owner.incarnation != self.members.own.status.predecessor
            )
        member = self.members.by_seat.get(owner.seat)
        return member is None or member.is_lost(owner.incarnation)

    def died(self, seat: str, inc: int) -> None:
        self.steady.fell(self.host.clock(), seat)
        for key in sorted(self._by_owner.get(Owner(seat, inc), ())):
            self._tend(key)

    def owned_by(self, owner: Owner) -> list[Key]:
        return sorted(self._by_owner.get(owner, ()))

    def look(self) -> None:
        """Now and then: owners that are there and unfit should have given up what they have."""
        now = self.host.clock()
        for owner in list(self._by_owner):
            member = self.members.by_seat.get(owner.seat)
            # Who has not been heard of yet has not said that it is unfit, either.
            if (
                owner == self.host.owner
                or member is None
                or not member.is_alive
                or member.status.accepts_work
                or self.past(owner)
            ):
                self._unfit.pop(owner, None)
                if owner != self.host.owner and self.past(owner):
                    for key in self.owned_by(owner):
                        self._tend(key)
            elif now - self._unfit.setdefault(owner, now) >= self.patience:
                for key in self.owned_by(owner):
                    self._tend(key)
        for owner in self._unfit.keys() - self._by_owner.keys():
            del self._unfit[owner]

    def _wants(self, post: Post) -> bool:
        if post.wants_an_owner:
            return True
        if not post.is_owned or post.owner is None:
            return False
        since = self._unfit.get(post.owner)
        return self.past(post.owner) or (since is not None and self.host.clock() - since >= self.patience)

    # ---- offers ----

    def _tend(self, key: Key) -> None:
        if key in self._tries:
            return
        self._tries[key] = 0
        keepers = self.host.keepers(key)
        up = [s for s in keepers if s == self.host.owner.seat or self.members.by_seat[s].is_alive]
        rank = up.index(self.host.owner.seat) if self.host.owner.seat in up else len(keepers)
        if rank == 0:
            self._soon(key)
        else:
            self._later(key, rank * RANKS)

    def _later(self, key: Key, us: int) -> None:
        self.host.at(self.host.clock() + us, lambda: self._soon(key))

    def _soon(self, key: Key) -> None:
        self._due.append(key)
        if not self._pacing:
            self._pacing = True
            self._some()

    def _some(self) -> None:
        for _ in range(min(AT_ONCE, len(self._due))):
            self._see_to(self._due.popleft())
        if self._due:
            self.host.at(self.host.clock() + PACE, self._some)
        else:
            self._pacing = False

    def _see_to(self, key: Key) -> None:
        """Again and again, until somebody has it."""
        post = self.posts.get(key)
        if key not in self._tries:
            return
        if post is None or not self._wants(post):
            del self._tries[key]
            return
        tries = self._tries[key] = self._tries[key] + 1
        self.declined.pop(key, None)
        self._later(key, min(LOOK_AGAIN * tries, MOST_AGAIN))
        self._offer(key, post, tries - 1)

    def _offer(self, key: Key, post: Post, tries: int) -> None:
        able = self.able(key)
        if post.life == Life.OFFERED.value and post.to in able:
            able.remove(post.to)
            able.insert(0, post.to)
        if not able:
            self.host.count("duties: nobody is fit to have one")
            return
        counts = post.owner is not None and self.past(post.owner)
        self.host.say(able[tries % len(able)], Offer(key, post.born, post.term, counts, tries >= 3))

    def was_declined(self, key: Key, term: int) -> None:
        """By one that has enough: to the next one, at once; not round and round."""
        post, tries = self.posts.get(key), self._tries.get(key)
        if post is None or tries is None or post.term != term or not self._wants(post):
            return
        n = self.declined[key] = self.declined.get(key, 0) + 1
        if n < 8:
            self._offer(key, post, tries - 1 + n)

    def able(self, key: Key) -> list[str]:
        seen = self.seen()
        return order(key, seen, mean(seen, self.copies))

    def seen(self) -> list[Seen]:
        now, me = self.host.clock(), self.host.owner.seat
        return [
            Seen(
                m.seat,
                self.host.fit() if m.seat == me else m.accepts_work,
                self.host.has() if m.seat == me else m.status.duties,
                len(self.posts) if m.seat == me else m.status.duty_replicas,
                self.steady.is_steady(now, m.seat),
            )
            for m in self.members.by_seat.values()
        ]
