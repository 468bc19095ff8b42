"""What was learnt of the tier, on a disk that lasts: read at the start, written now and then and at the end."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

from ..backends.server_pool import ServerPool
from ..core.clock import SECOND, Alarm
from ..core.request_engine import Decider
from ..warm_start.learned_state import Condition, Knowledge
from ..warm_start.merge import merge
from ..warm_start.snapshot import MOST, Refused, read, write
from ..warm_start.verification import Trial

log = logging.getLogger("moorusher")

EVERY = 30 * SECOND  # a crash loses no more; one write takes some ms


def save(path: Path, raw: bytes) -> None:
    """The old bytes or the new ones stay, whatever the machine does meanwhile. Raises OSError."""
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with open(beside, "wb") as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())  # the name must not point to what is not on the disk yet
        os.replace(beside, path)
    except OSError:
        beside.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # nor be the old one after a crash
    finally:
        os.close(folder)


def load(path: Path, unix_s: float | None = None) -> Knowledge | None:
    """None, with the reason in the log, where there is nothing to be trusted: the start is cold then. The age is that
    of the file, by this machine's clock; one from the future is of no known age."""
    try:
        with open(path, "rb") as file:
            age = (time.time() if unix_s is None else unix_s) - os.fstat(file.fileno()).st_mtime
            raw = file.read(MOST + 1)
        if age < 0:
            log.warning("knowledge of %s not used: it is from the future", path.name)
            return None
        return read(raw).older(age)
    except FileNotFoundError:
        return None
    except (OSError, Refused) as exc:
        log.warning("knowledge of %s not used: %s", path.name, exc)
        return None


class Keeper:
    """Has the tier learn from the file, and writes what it knows. `condition`: how this runner is."""

    def __init__(
        self, core: Decider, tier: ServerPool, path: Path, condition: Callable[[], Condition]
    ) -> None:
        self.core, self.tier, self.path = core, tier, path
        self._condition = condition
        self._alarm: Alarm | None = None
        self.trial: Trial | None = None

    def start(self) -> None:
        told = load(self.path)
        if told is not None:
            router = self.tier.balancer
            priors = merge([told], router.endpoints.by_name)
            self.trial = Trial(priors, router.endpoints.unlearn)
            router.endpoints.learn(priors, self.trial)
            self.core.counters.add("servers known from before", by=len(priors))
        self._alarm = self.core.alarms.at(self.core.clock.now + EVERY, self._again)

    def _again(self) -> None:
        self._alarm = self.core.alarms.at(self.core.clock.now + EVERY, self._again)
        self.keep()

    def keep(self) -> None:
        """A disk that is full or gone costs the knowledge, not the service."""
        known = self.tier.knowledge(self._condition())
        if not known.servers:
            return  # nothing was learnt: what is there from before is worth more
        try:
            save(self.path, write(known))
            self.core.counters.add("knowledge kept")
        except (OSError, Refused) as exc:
            self.core.counters.add("knowledge not kept")
            log.warning("knowledge not kept in %s: %s", self.path.name, exc)

    def stop(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self.keep()
