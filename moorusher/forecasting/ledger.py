"""All runners' counts as the state of the duty: buckets that are open, and the hours of each route that are not.

A bucket is closed once all seats that should have told of it have, or its time for that is over; from then on what
comes of it changes nothing. So the hours are the same whoever has taken the duty over in between.
"""

from __future__ import annotations

import zlib
from array import array
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import floor, nan

import msgspec

from .demand import BUCKET_MS, HOUR_BUCKETS, Count, Key, Part, pack_key, unpack_key

HOURS = 8 * 168  # that are kept of a route
PATIENCE_MS = 900_000  # after its end, a bucket waits so long for who has not told
EXPECTED = 288  # buckets, for which a seat that told once is expected to tell again
SLOW = 0.98  # weight that an hour leaves to what is known of a request's core time and worth
WHOLE = 200  # a share of 1, as it is kept


@dataclass(slots=True)
class Series:
    """By hours since 1970 from `first` on. `counted`: share of each that was counted, in 200ths."""

    first: int
    asked: array[int] = field(default_factory=lambda: array("I"))
    counted: array[int] = field(default_factory=lambda: array("B"))
    core_us: float = 0.0  # a request's, as a running mean,
    worth: float = 0.0
    refused: float = 0.0  # share

    def add(self, hour: int, count: Count, share: float) -> None:
        """The next hour; hours between are not known."""
        gap = hour - self.first - len(self.asked)
        if gap < 0:
            return
        for _ in range(min(gap, HOURS)):
            self.asked.append(0)
            self.counted.append(0)
        self.asked.append(min(count.asked, 0xFFFF_FFFF))
        # Downwards: an hour that lacks a second is not whole.
        self.counted.append(floor(WHOLE * min(1.0, max(0.0, share)) + 1e-9))
        if gap > HOURS:
            self.first = hour - HOURS
        if (over := len(self.asked) - HOURS) > 0:
            del self.asked[:over], self.counted[:over]
            self.first += over
        if count.runs:
            self.core_us = self._mean(self.core_us, count.core_us / count.runs)
        if count.asked:
            self.worth = self._mean(self.worth, count.worth / count.asked)
            self.refused = SLOW * self.refused + (1 - SLOW) * count.refused / count.asked

    def since(self, hour: int) -> list[float]:
        """What each hour from that one on would have had, had all of it been counted; nan where under half was."""
        at = max(0, hour - self.first)
        return [
            n * WHOLE / counted if 2 * counted >= WHOLE else nan
            for n, counted in zip(self.asked[at:], self.counted[at:], strict=True)
        ]

    @staticmethod
    def _mean(old: float, new: float) -> float:
        return SLOW * old + (1 - SLOW) * new if old else new


class _Kept(msgspec.Struct, array_like=True):
    first: int
    data: bytes
    core_us: float
    worth: float
    refused: float


class _State(msgspec.Struct, array_like=True):
    """What changes seldom comes first: the pieces that it is kept in stay the same."""

    series: dict[str, _Kept]
    closed: int
    began: int
    seen: dict[str, int]
    hour: dict[str, Count]
    hour_shares: dict[str, float]
    parts: list[Part]
    late: int
    odd: int


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(_State)


class Ledger:
    """`most`: routes that are followed; those that were asked for last stay."""

    def __init__(self, seats: Mapping[str, str], most: int = 1_000) -> None:
        """`seats`: of the fleet, with their zones."""
        self.seats, self.most = seats, most
        self.closed = self.began = 0  # buckets before it are; the first that there was
        self.seen: dict[str, int] = {}  # by seat: the last bucket that it told of
        self.series: dict[str, Series] = {}
        self._hour: dict[str, Count] = {}  # of the hour that is not whole yet
        self._hour_shares: dict[str, float] = {}  # by zone: sum over its closed buckets
        self.open: dict[int, dict[tuple[str, int], Part]] = {}
        self.late = self.odd = 0
        self._kept: dict[str, _Kept] = {}  # series as they are kept, but for
        self._changed: set[str] = set()

    def take(self, part: Part) -> bool:
        """False where its bucket is closed: it changes nothing any more."""
        start = part.bucket * BUCKET_MS
        if not start <= part.since_ms <= part.until_ms <= start + BUCKET_MS:
            self.odd += 1
            return False
        if part.bucket < self.closed:
            self.late += 1
            return False
        if not self.closed:
            self.began = self.closed = part.bucket - part.bucket % HOUR_BUCKETS
        there = self.open.setdefault(part.bucket, {})
        name = part.seat, part.inc
        there[name] = self.merge(there[name], part) if name in there else part
        self.seen[part.seat] = max(self.seen.get(part.seat, 0), part.bucket)
        return True

    def lately(self) -> dict[str, int]:
        """What was asked for in the hour that is not whole yet, as far as it was told."""
        made = {name: count.asked for name, count in self._hour.items()}
        for parts in self.open.values():
            for part in parts.values():
                for name, count in part.rows.items():
                    made[name] = made.get(name, 0) + count.asked
        return made

    merge = staticmethod(Part.merged)

    def takes(self, name: str, first: int, asked: Sequence[int]) -> bool:
        """Whether such hours can be brought: they must not reach into what is counted here."""
        there = self.series.get(name)
        known = there.first if there is not None else self.closed // HOUR_BUCKETS
        return first + len(asked) <= known

    def load(self, name: str, first: int, asked: Sequence[int], core_us: float, worth: float) -> None:
        """Hours that were counted elsewhere, before those that are known here; `takes` has said that they can be."""
        there = self.series.get(name)
        made = Series(first, core_us=core_us, worth=worth)
        for i, n in enumerate(asked):
            made.add(first + i, Count(n), 1.0)
        made.worth = worth
        if there is not None:
            for i, (n, counted) in enumerate(zip(there.asked, there.counted, strict=True)):
                made.add(there.first + i, Count(n), counted / WHOLE)
            made.core_us, made.worth, made.refused = (
                there.core_us or core_us,
                there.worth or worth,
                there.refused,
            )
        self.series[name] = made
        self._changed.add(name)

    # ---- closing ----

    def close(self, now_ms: int) -> int:
        """Buckets that can be closed by now; how many. Only the newest known hour can wait for others."""
        done = 0
        while (
            self.closed and (self.closed + 1) * BUCKET_MS <= now_ms and self._may_close(self.closed, now_ms)
        ):
            self._close(self.closed)
            done += 1
        return done

    def _expected(self, bucket: int) -> dict[str, str]:
        """Seats that should tell of it, with their zones: all that there are, but for those that have not for a day."""
        return {
            seat: zone
            for seat, zone in self.seats.items()
            if bucket - self.seen.get(seat, self.began) < EXPECTED
        }

    def _shares(self, bucket: int) -> dict[str, float]:
        """By seat: how much of the bucket it has counted, over all its processes."""
        made: dict[str, int] = {}
        for part in self.open.get(bucket, {}).values():
            made[part.seat] = made.get(part.seat, 0) + part.covered_ms
        return {seat: min(1.0, ms / BUCKET_MS) for seat, ms in made.items()}

    def _may_close(self, bucket: int, now_ms: int) -> bool:
        if now_ms >= (bucket + 1) * BUCKET_MS + PATIENCE_MS:
            return True
        parts = self.open.get(bucket, {}).values()
        ended = {p.seat for p in parts if p.until_ms >= (bucket + 1) * BUCKET_MS}
        return ended >= self._expected(bucket).keys()

    def _close(self, bucket: int) -> None:
        shares = self._shares(bucket)
        by_zone: dict[str, list[float]] = {}
        for seat, zone in self._expected(bucket).items():
            by_zone.setdefault(zone, []).append(shares.get(seat, 0.0))
        for zone, found in by_zone.items():
            self._hour_shares[zone] = self._hour_shares.get(zone, 0.0) + sum(found) / len(found)
        for part in self.open.pop(bucket, {}).values():
            for name, count in part.rows.items():
                have = self._hour.get(name, Count())
                self._hour[name] = have.more(
                    count.asked, count.refused, count.runs, count.core_us, count.worth
                )
        self.closed = bucket + 1
        if self.closed % HOUR_BUCKETS == 0:
            self._close_hour(bucket // HOUR_BUCKETS)

    def _close_hour(self, hour: int) -> None:
        for name in sorted(self._hour.keys() - self.series.keys()):  # the same ones at each owner
            if len(self.series) < self.most:
                self.series[name] = Series(hour)
        for name, series in list(self.series.items()):
            share = self._hour_shares.get(unpack_key(name).zone, 0.0) / HOUR_BUCKETS
            series.add(hour, self._hour.get(name, Count()), share)
            self._changed.add(name)
            if not any(series.asked):
                del self.series[name]  # eight weeks without a request
        self._hour, self._hour_shares = {}, {}

    # ---- as a state ----

    def prepare(self, most: int) -> bool:
        """Makes up to so many changed series ready; True where none is left."""
        for name in list(self._changed)[:most]:
            self._changed.discard(name)
            s = self.series.get(name)
            if s is None:
                self._kept.pop(name, None)
            else:
                data = zlib.compress(s.asked.tobytes() + s.counted.tobytes(), 6)
                self._kept[name] = _Kept(s.first, data, s.core_us, s.worth, s.refused)
        return not self._changed

    def pack(self) -> bytes:
        self.prepare(len(self.series))
        parts = [part for bucket in sorted(self.open) for _, part in sorted(self.open[bucket].items())]
        kept, hour = dict(sorted(self._kept.items())), dict(sorted(self._hour.items()))
        shares = dict(sorted(self._hour_shares.items()))
        return _encode(
            _State(
                kept,
                self.closed,
                self.began,
                dict(sorted(self.seen.items())),
                hour,
                shares,
                parts,
                self.late,
                self.odd,
            )
        )

    @classmethod
    def unpack(cls, state: bytes, seats: Mapping[str, str], most: int = 1_000) -> Ledger:
        """Raises ValueError where it is none."""
        made = cls(seats, most)
        if not state:
            return made
        try:
            kept = _decoder.decode(state)
            for name, one in kept.series.items():
                unpack_key(name)
                data = zlib.decompress(one.data)
                series = Series(one.first, core_us=one.core_us, worth=one.worth, refused=one.refused)
                n, odd = divmod(len(data), 5)
                if odd:
                    raise ValueError("hours and shares differ in number")
                series.asked.frombytes(data[: 4 * n])
                series.counted.frombytes(data[4 * n :])
                made.series[name] = series
                made._kept[name] = one
        except (msgspec.MsgspecError, zlib.error) as exc:
            raise ValueError(str(exc)) from exc
        made.closed, made.began, made.seen = kept.closed, kept.began, kept.seen
        made.late, made.odd = kept.late, kept.odd
        made._hour, made._hour_shares = kept.hour, kept.hour_shares
        for part in kept.parts:
            made.open.setdefault(part.bucket, {})[part.seat, part.inc] = part
        return made


__all__ = ["HOURS", "Key", "Ledger", "Series", "pack_key"]
