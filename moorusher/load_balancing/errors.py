"""Errors of load balancing."""

from __future__ import annotations


class TooManyEndpointsError(ValueError):
    """There are as many endpoints as one set may have; remove one, or split the tier."""

    def __init__(self, limit: int) -> None:
        """`limit`: endpoints that a set may have."""
        super().__init__(f"more than {limit} servers")
        self.limit = limit
