"""Scheduling decisions of one runner: fair queueing (2DFQ^E) and the rules that protect it in overload."""

from moorusher.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
