"""Snapshot file of learned endpoint state: read at the start, written periodically and at shutdown."""

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

# A crash loses at most this much learning time; a write takes some milliseconds.
SAVE_PERIOD_US = 30 * SECOND


def save_snapshot(path: Path, raw: bytes) -> None:
    """Replace the file atomically, so that after a crash at any step it has either the old or the new content.

    :raises OSError: the file can't be written.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with open(temporary, "wb") as file:
            file.write(raw)
            file.flush()
            # Without a sync before the rename, the new name could refer to data that is not on the disk.
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # Syncs the rename, which a crash could otherwise undo.
    finally:
        os.close(folder)


def load_snapshot(path: Path, unix_s: float | None = None) -> LearnedState | None:
    """Return the state in a file, aged by the time since the file was modified.

    :param unix_s: the current time, for tests; None for the system clock.
    :returns: None if the file is missing or unusable; an unusable file is logged.
    """
    try:
        with open(path, "rb") as file:
            now_s = time.time() if unix_s is None else unix_s
            age_s = now_s - os.fstat(file.fileno()).st_mtime
            raw = file.read(MAX_SNAPSHOT_BYTES + 1)
        if age_s < 0:  # The age of the state is unknown.
            log.warning(
                "warm start without snapshot: file=%s reason=modification time is in the future", path.name
            )
            return None
        return decode_snapshot(raw).aged(age_s)
    except FileNotFoundError:
        return None
    except (OSError, InvalidSnapshotError) as exc:
        log.warning("warm start without snapshot: file=%s reason=%s", path.name, exc)
        return None


class WarmStartFile:
    """Loads the snapshot into the server pool, and saves the pool's learned state.

    Attributes:
        verification: Verification of the loaded priors; None if no snapshot was loaded.
    """

    def __init__(
        self, core: RequestEngine, pool: ServerPool, path: Path, condition: Callable[[], DonorCondition]
    ) -> None:
        """Create the store; `condition` returns the condition under which this runner's latencies are measured."""
        self._core = core
        self._pool = pool
        self._path = path
        self._condition = condition
        self._alarm: Alarm | None = None
        self.verification: PriorVerification | None = None

    def start(self) -> None:
        """Load the snapshot, and start to save it periodically."""
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
        """Write the snapshot. A failure is counted and logged, and does not affect the service."""
        state = self._pool.learned_state(self._condition())
        if not state.endpoints:
            return  # Keeps the state in the file, since nothing has been learned yet.
        try:
            save_snapshot(self._path, encode_snapshot(state))
            self._core.counters.add("knowledge kept")
        except (OSError, InvalidSnapshotError) as exc:
            self._core.counters.add("knowledge not kept")
            log.warning("warm start snapshot not written: file=%s reason=%s", self._path.name, exc)

    def stop(self) -> None:
        """Stop the periodic saving and write the snapshot once more."""
        if self._alarm is not None:
            self._alarm.cancel()
        self.save()
