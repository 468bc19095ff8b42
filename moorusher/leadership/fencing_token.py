"""The fencing token of an effect, and the rule by which a receiver compares tokens.

A receiver persists the highest token of each duty in the same transaction as the effect. A lower token comes from a
former leader; an equal token comes from a repeated request.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class FencingToken(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a change that a majority has chosen. Compared and encoded in the order of its fields.

    Attributes:
        generation: Generation of the duty.
        term: Term of the leader.
        revision: Revision of the lease record.
    """

    generation: int
    term: int
    revision: int


class TokenVerdict(Enum):
    """A receiver's decision on a token. The values are sent over the wire."""

    # The effect is executed.
    CURRENT = "new"
    # The effect was executed before; the first answer is repeated.
    DUPLICATE = "again"
    # The request is rejected; the rejection contains the highest known token.
    STALE = "behind"


def check_token(highest: FencingToken | None, token: FencingToken) -> TokenVerdict:
    """Compare a token with the highest token that a receiver has accepted for the duty."""
    if highest is None or token > highest:
        return TokenVerdict.CURRENT
    if token == highest:
        return TokenVerdict.DUPLICATE
    return TokenVerdict.STALE
