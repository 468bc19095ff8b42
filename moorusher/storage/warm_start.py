"""The snapshot of what was learnt, on a disk that lasts: read at the start, written now and then and at the end."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

from ..backends.server_pool import ServerPool
from ..core.clock import Alarm
from ..core.request_engine import RequestEngine
from ..time_units import SECOND
from ..warm_start.errors import InvalidSnapshotError
from ..warm_start.learned_state import DonorCondition, LearnedState
from ..warm_start.merge import merge_priors
from ..warm_start.snapshot import MAX_SNAPSHOT_BYTES, decode_snapshot, encode_snapshot
from ..warm_start.verification import PriorVerification

log = logging.getLogger("moorusher")

SAVE_PERIOD_US = 30 * SECOND  # a crash loses no more; a write takes some milliseconds


def save_snapshot(path: Path, raw: bytes) -> None:
    """Replace the file atomically: after a crash at any step it has the old bytes or the new ones. Raises OSError."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with open(temporary, "wb") as file:
            file.write(raw)
            file.flush()
            os.fsync(
                file.fileno()
            )  # before the rename: else the name could point to bytes that are not on the disk
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # the rename itself: else a crash could bring the old file back
    finally:
        os.close(folder)


def load_snapshot(path: Path, unix_s: float | None = None) -> LearnedState | None:
    """Return the state in a file, aged by the file's modification time; `unix_s`: the time now, for tests.

    None where there is no file, or, with a line in the log, none that can be used. A file from the future is of unknown
    age, and is not used.
    """
    try:
        with open(path, "rb") as file:
            now_s = time.time() if unix_s is None else unix_s
            age_s = now_s - os.fstat(file.fileno()).st_mtime
            raw = file.read(MAX_SNAPSHOT_BYTES + 1)
        if age_s < 0:
            log.warning("warm start without snapshot: file=%s reason=its time is in the future", path.name)
            return None
        return decode_snapshot(raw).aged(age_s)
    except FileNotFoundError:
        return None
    except (OSError, InvalidSnapshotError) as exc:
        log.warning("warm start without snapshot: file=%s reason=%s", path.name, exc)
        return None


class WarmStartFile:
    """Lets the server pool learn from the snapshot, and writes what it has learnt.

    verification: of the priors that were read (PriorVerification), None where none were.
    """

    def __init__(
        self, core: RequestEngine, pool: ServerPool, path: Path, condition: Callable[[], DonorCondition]
    ) -> None:
        """`condition` returns how this runner is."""
        self._core = core
        self._pool = pool
        self._path = path
        self._condition = condition
        self._alarm: Alarm | None = None
        self.verification: PriorVerification | None = None

    def start(self) -> None:
        """Read the snapshot, and begin to write it periodically."""
        state = load_snapshot(self._path)
        if state is not None:
            endpoints = self._pool.balancer.endpoints
            priors = merge_priors([state], endpoints.by_name)
            self.verification = PriorVerification(priors, endpoints.discard_prior)
            endpoints.apply_priors(priors, self.verification)
            self._core.counters.add("servers known from before", by=len(priors))
        self._schedule()

    def _schedule(self) -> None:
        self._alarm = self._core.alarms.at(self._core.clock.now + SAVE_PERIOD_US, self._save_periodically)

    def _save_periodically(self) -> None:
        self._schedule()
        self.save()

    def save(self) -> None:
        """Write the snapshot. A disk that is full or gone costs the snapshot, not the service."""
        state = self._pool.learned_state(self._condition())
        if not state.endpoints:
            return  # nothing was learnt: what the file has is worth more
        try:
            save_snapshot(self._path, encode_snapshot(state))
            self._core.counters.add("knowledge kept")
        except (OSError, InvalidSnapshotError) as exc:
            self._core.counters.add("knowledge not kept")
            log.warning("snapshot for the warm start not written: file=%s reason=%s", self._path.name, exc)

    def stop(self) -> None:
        """Write the snapshot for the last time."""
        if self._alarm is not None:
            self._alarm.cancel()
        self.save()
