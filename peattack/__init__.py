"""peattack: overload decisions for the servers of a fleet, by two-dimensional fair queueing."""

from peattack.balance import Balancer

__all__ = ["Balancer"]
