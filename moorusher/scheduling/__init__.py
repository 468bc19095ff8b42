"""Scheduling decisions of one runner: two-dimensional fair queueing with estimates (2DFQ^E) and its overload guards."""

from moorusher.scheduling.balancer import Balancer

__all__ = ["Balancer"]
