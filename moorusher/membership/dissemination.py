"""Gossip: selects the updates about members for each message, and limits how often each is sent.

The work per message does not depend on the size of the cluster.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from itertools import islice
from math import ceil, log2

from .member import Member
from .messages import MemberUpdate

UPDATES_PER_MESSAGE = 8  # The sender's own update is sent in addition.
RETRANSMIT_FACTOR = 3  # Multiplied by log2 of the cluster's size, this is how many times each update is sent.


class Dissemination:
    """The updates that one member has to send."""

    def __init__(self, me: str, members: Mapping[str, Member]) -> None:
        self._me = me
        self._members = members
        # Number of transmissions of each seat's update, the least sent first. A seat is in at most one of the queues:
        # the first is for members that are not alive, the second for all others.
        self._loss_updates: OrderedDict[str, int] = OrderedDict()
        self._other_updates: OrderedDict[str, int] = OrderedDict()
        self._max_transmissions = ceil(RETRANSMIT_FACTOR * log2(max(2, len(members))))

    def enqueue(self, member: Member) -> None:
        """Queue an update about a member that has changed."""
        self._loss_updates.pop(member.seat, None)
        self._other_updates.pop(member.seat, None)
        queue = self._other_updates if member.is_alive else self._loss_updates
        queue[member.seat] = 0
        queue.move_to_end(member.seat, last=False)

    def updates_for(self, receiver: str) -> list[MemberUpdate]:
        """Return the updates for the next message to `receiver`.

        An update about the receiver comes first, so that the receiver can refute a suspicion. Next come updates about
        members that are not alive, then all others. In each group, the updates sent least often come first.
        """
        chosen = [receiver] if receiver in self._loss_updates or receiver in self._other_updates else []
        for queue in (self._loss_updates, self._other_updates):
            chosen += [seat for seat in islice(queue, UPDATES_PER_MESSAGE) if seat != receiver]
        chosen = chosen[:UPDATES_PER_MESSAGE]
        for seat in chosen:
            self._count_transmission(seat)
        if self._me not in chosen:
            chosen.append(self._me)
        return [self._update(self._members[seat]) for seat in chosen]

    def _count_transmission(self, seat: str) -> None:
        queue = self._loss_updates if seat in self._loss_updates else self._other_updates
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
