"""Scheduling decisions of one runner: fair queueing (2DFQ^E) and overload protection."""

from moorusher.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
