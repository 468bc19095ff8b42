"""Demand as it is counted: first tries asked for, refused ones too, by five minutes of UTC.

Each runner keeps counts that only grow, by (seat, incarnation, five minutes). What was told twice, late or out of order
is merged by the larger of each figure, so it neither doubles nor loses, whoever owns the forecast by then. Each part
says from when until when it has counted: what a lost runner did not tell is a gap, and never a zero.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

BUCKET_MS = 300_000
HOUR_BUCKETS = 12
MOST_BUCKETS = 600  # that a runner keeps until they are acknowledged: two days
MOST_PARTS = 24  # in one report
STOPPED_MS = 60_000


class Key(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Whose demand: `born` is the incarnation of the customer's namespace, so that one made anew has no past."""

    customer: str
    born: int
    route: str
    zone: str


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Since the part began; each figure only grows."""

    asked: int = 0
    refused: int = 0  # of them
    runs: int = 0
    core_us: int = 0  # of runs that ended
    worth: float = 0.0  # of what was asked

    def more(
        self, asked: int = 0, refused: int = 0, runs: int = 0, core_us: int = 0, worth: float = 0.0
    ) -> Count:
        return Count(
            self.asked + asked,
            self.refused + refused,
            self.runs + runs,
            self.core_us + core_us,
            self.worth + worth,
        )

    def merged(self, other: Count) -> Count:
        return Count(
            max(self.asked, other.asked),
            max(self.refused, other.refused),
            max(self.runs, other.runs),
            max(self.core_us, other.core_us),
            max(self.worth, other.worth),
        )


class Part(msgspec.Struct, frozen=True, array_like=True):
    """What one process of one seat has counted of one bucket. Unix ms."""

    seat: str
    inc: int
    zone: str
    bucket: int  # the number of the five minutes since 1970
    since_ms: int
    until_ms: int
    rows: dict[str, Count]  # by `pack_key`

    def merged(self, other: Part) -> Part:
        rows = dict(self.rows)
        for name, count in other.rows.items():
            rows[name] = rows[name].merged(count) if name in rows else count
        return Part(
            self.seat,
            self.inc,
            self.zone,
            self.bucket,
            min(self.since_ms, other.since_ms),
            max(self.until_ms, other.until_ms),
            rows,
        )

    @property
    def covered_ms(self) -> int:
        return max(0, self.until_ms - self.since_ms)


_encode = msgspec.json.Encoder().encode
_decoder = msgspec.json.Decoder(Key)


def pack_key(key: Key) -> str:
    """A key as text, for stored counts."""
    return _encode(key).decode()


def unpack_key(text: str) -> Key:
    """The key of such a text. Raises ValueError."""
    return _decoder.decode(text)


class Tally:
    """One process's own counts. `most`: keys of one bucket; what is beyond is counted under no route."""

    def __init__(self, seat: str, inc: int, zone: str, now_ms: int, most: int = 1_000) -> None:
        self.seat, self.inc, self.zone, self._most = seat, inc, zone, most
        bucket = now_ms // BUCKET_MS
        self._rows: dict[int, dict[str, Count]] = {bucket: {}}
        self._since, self._until = {bucket: now_ms}, {bucket: now_ms}
        self._told: dict[int, int] = {}  # by bucket: until when what was acknowledged had counted
        self.dropped = 0  # buckets that nobody acknowledged in time
        self._last_ms = now_ms

    def tick(self, now_ms: int) -> dict[str, Count]:
        """Called often: where it was not for a while, this process was stopped, and has counted nothing meanwhile. A
        clock that is set back counts on in the bucket that it had reached."""
        before = self._last_ms
        now_ms = self._last_ms = max(before, now_ms)
        last, bucket = before // BUCKET_MS, now_ms // BUCKET_MS
        if bucket != last:
            stopped = now_ms - before > STOPPED_MS
            if not stopped and last in self._until:
                self._until[last] = (last + 1) * BUCKET_MS
            self._rows[bucket], self._since[bucket] = {}, now_ms if stopped else bucket * BUCKET_MS
            while len(self._rows) > MOST_BUCKETS:
                self._forget(min(self._rows))
                self.dropped += 1
        self._until[bucket] = now_ms
        return self._rows[bucket]

    def _forget(self, bucket: int) -> None:
        for table in (self._rows, self._since, self._until, self._told):
            table.pop(bucket, None)

    def count(self, now_ms: int, key: Key, **more: float) -> None:
        rows = self.tick(now_ms)
        name = pack_key(key)
        if name not in rows and len(rows) >= self._most:
            name = pack_key(Key(key.customer, key.born, "", key.zone))
        rows[name] = rows.get(name, Count()).more(**more)  # type: ignore[arg-type]

    def parts(self, now_ms: int) -> list[Part]:
        """What is to be told: the oldest that is not acknowledged as far as it has counted."""
        self.tick(now_ms)
        made = []
        for bucket in sorted(self._rows):
            if self._told.get(bucket, -1) < self._until[bucket]:
                made.append(
                    Part(
                        self.seat,
                        self.inc,
                        self.zone,
                        bucket,
                        self._since[bucket],
                        self._until[bucket],
                        dict(self._rows[bucket]),
                    )
                )
            if len(made) >= MOST_PARTS:
                break
        return made

    def acknowledged(self, told: Iterable[tuple[int, int]]) -> None:
        """By (bucket, until when it had counted): a majority has it, as it was told then."""
        for bucket, until in told:
            if bucket in self._rows:
                self._told[bucket] = max(self._told.get(bucket, -1), until)
                if until >= self._until[bucket] and bucket < self._last_ms // BUCKET_MS:
                    self._forget(bucket)

    def __len__(self) -> int:
        return len(self._rows)
