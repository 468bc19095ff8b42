"""Gossip: which updates about members go with the next message, and how often each is told.

As many steps in a large cluster as in a small one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from itertools import islice
from math import ceil, log2

from .member import Member
from .messages import MemberUpdate

UPDATES_PER_MESSAGE = 8  # at most, and the sender's own beside them
RETRANSMIT_FACTOR = 3  # each update is told so many times the logarithm of the cluster's size


class Dissemination:
    """The updates that one member has to pass on."""

    def __init__(self, me: str, members: Mapping[str, Member]) -> None:
        self._me = me
        self._members = members
        # By seat, how often its update was told; the least told are first. A seat is in one of the two.
        self._losses: OrderedDict[str, int] = OrderedDict()
        self._others: OrderedDict[str, int] = OrderedDict()
        self._max_transmissions = ceil(RETRANSMIT_FACTOR * log2(max(2, len(members))))

    def enqueue(self, member: Member) -> None:
        """Something about that member is new."""
        self._losses.pop(member.seat, None)
        self._others.pop(member.seat, None)
        queue = self._others if member.is_alive else self._losses
        queue[member.seat] = 0
        queue.move_to_end(member.seat, last=False)

    def updates_for(self, receiver: str) -> list[MemberUpdate]:
        """The updates of the next message to `receiver`.

        Losses come before all else, and of each kind what was told least; but first what is said of the receiver
        itself, so that it can refute it.
        """
        chosen = [receiver] if receiver in self._losses or receiver in self._others else []
        for queue in (self._losses, self._others):
            chosen += [seat for seat in islice(queue, UPDATES_PER_MESSAGE) if seat != receiver]
        chosen = chosen[:UPDATES_PER_MESSAGE]
        for seat in chosen:
            self._count_transmission(seat)
        if self._me not in chosen:
            chosen.append(self._me)
        return [self._update(self._members[seat]) for seat in chosen]

    def _count_transmission(self, seat: str) -> None:
        queue = self._losses if seat in self._losses else self._others
        queue[seat] += 1
        if queue[seat] >= self._max_transmissions:
            del queue[seat]
        else:
            queue.move_to_end(seat)

    @staticmethod
    def _update(member: Member) -> MemberUpdate:
        return MemberUpdate(
            member.seat, member.incarnation, member.version, member.state.value, member.status
        )
