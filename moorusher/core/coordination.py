"""The seam between the engine and the other runners of a cluster, where they have a say in idempotency keys.

The engine asks before the scheduler hears of a request, and before a run is commanded. What became of an attempt is
notified by the key table (`idempotency_keys.KeyObserver`). The cluster's answers come back through
`remote_claims.RemoteClaims`.
"""

from __future__ import annotations

from typing import Protocol

from .requests import Request


class KeyCoordinator(Protocol):
    """What the engine asks of the cluster about requests with an idempotency key."""

    def acquire_key(self, request: Request) -> bool:
        """True where the cluster is asked for the key first: `RemoteClaims.granted`, `joined` or `unavailable`
        follows."""

    def announce_start(self, request: Request) -> bool:
        """True where a majority must know of the run first: `RemoteClaims.start_confirmed`, `moved_away` or
        `start_unconfirmed` follows."""


class NoCoordinator:
    """One runner by itself: nothing waits."""

    def acquire_key(self, request: Request) -> bool:
        """The key is this runner's."""
        return False

    def announce_start(self, request: Request) -> bool:
        """The run may start."""
        return False
