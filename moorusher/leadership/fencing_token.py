"""The fencing token that goes with every effect of a duty, and the rule of a receiver that compares it.

A receiver keeps the highest token of each duty on a disk, in the transaction of the effect itself: a lower token comes
from a former leader, an equal one from a repeated request.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class FencingToken(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies one change that a majority has chosen. Compared, and sent as an array, in the order of its fields.

    generation: int, of the duty.
    term: int, of the leader.
    revision: int, of the lease record.
    """

    generation: int
    term: int
    revision: int


class TokenVerdict(Enum):
    """What a receiver makes of a token. The values go over the wire."""

    CURRENT = "new"  # the effect is to be made
    DUPLICATE = "again"  # it was made: the first answer is repeated
    STALE = "behind"  # rejected, with the highest token


def check_token(highest: FencingToken | None, token: FencingToken) -> TokenVerdict:
    """Compare a token with the highest that a receiver has accepted for the duty."""
    if highest is None or token > highest:
        return TokenVerdict.CURRENT
    if token == highest:
        return TokenVerdict.DUPLICATE
    return TokenVerdict.STALE
