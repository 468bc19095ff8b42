"""Interface between the engine and the other runners of a cluster, for the coordination of idempotency keys.

The engine calls the coordinator before a request is reported to the scheduler, and again before its run is commanded.
The cluster's answers arrive through `remote_claims.RemoteClaims`. The end of an attempt is reported by the key table
(`idempotency_keys.KeyObserver`).
"""

from __future__ import annotations

from typing import Protocol

from .requests import Request


class KeyCoordinator(Protocol):
    """Acquires idempotency keys from the cluster and announces runs to it."""

    def acquire_key(self, request: Request) -> bool:
        """Begin to acquire the request's key, if the cluster has to grant it.

        :returns: whether to wait for `RemoteClaims.granted`, `joined` or `unavailable`.
        """

    def announce_start(self, request: Request) -> bool:
        """Announce the start of a run to the cluster, a majority of which may have to acknowledge it.

        :returns: whether to wait for `RemoteClaims.start_confirmed`, `moved_away` or `start_unconfirmed`.
        """

    def must_confirm_rejection(self, request: Request) -> bool:
        """Return whether another runner may run the request until the release of its key is confirmed.

        `Completion.key_released` follows the release of the key.
        """


class NoCoordinator:
    """Coordinator of a runner that is in no cluster: no request has to wait."""

    def acquire_key(self, request: Request) -> bool:
        """Return False: the request need not wait, as no other runner has to grant its key."""
        return False

    def announce_start(self, request: Request) -> bool:
        """Return False: the run need not wait for an acknowledgement."""
        return False

    def must_confirm_rejection(self, request: Request) -> bool:
        """Return False: no other runner can run the request."""
        return False
