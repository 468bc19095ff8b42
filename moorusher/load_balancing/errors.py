"""Errors of load balancing."""

from __future__ import annotations


class TooManyEndpointsError(ValueError):
    """Raised when a set would exceed its maximum number of endpoints; remove one, or split the tier."""

    def __init__(self, limit: int) -> None:
        """Describe the error; `limit` is the maximum number of endpoints in a set."""
        super().__init__(f"more than {limit} servers")
        self.limit = limit
