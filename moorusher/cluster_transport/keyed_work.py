"""Keyed work between the core and the fleet: what the core asks before a key is used and a run begins, what the fleet
has settled of them, and work of other runners that this one goes on with.
"""

from __future__ import annotations

import logging
from typing import Any

from ..core.answer import Answer
from ..core.idempotency_keys import Entry
from ..core.idempotency_keys import Key as CoreKey
from ..core.request_engine import Decider
from ..core.requests import Arrival, Request
from ..replication.node import Node
from ..replication.work_record import Key, WorkRequest, key_of

log = logging.getLogger("moorusher")


class NoReply:
    """The way back of work that another runner has read: who asks for it again is told through its key."""

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None:
        return None


class KeyedWorkCoordinator:
    """The part of `fleet.tenure.Host` about work, and the core's `KeyCoordinator`. `alone`: what no majority answers
    for is run all the same."""

    node: Node
    namespaces: Any  # customers' namespaces, where there are some

    def __init__(self, core: Decider, alone: bool) -> None:
        self.core, self._alone = core, alone
        self._core_keys: dict[Key, CoreKey] = {}
        self._awaiting_rules: set[Key] = set()  # taken up, and its rules are being looked for
        self._sink = NoReply()

    def count(self, name: str) -> None:
        self.core.counters.add(name)

    # ---- for the core: `KeyCoordinator` and `keys.Told` ----

    def hold_back(self, request: Request) -> bool:
        entry = None if request.key is None else self.core.keys.of_try(request.number)
        if entry is None or entry.number != request.number or entry.theirs:
            return False  # not keyed, or a repeat of what is known here
        a, key = request.arrival, key_of(*entry.key)
        self._core_keys[key] = entry.key
        self.node.claim(
            key,
            entry.body,
            WorkRequest(
                a.rid,
                request.cls.name,
                request.tenant,
                entry.key[1],
                request.body,
                self.core.clock.to_unix_ms(request.came),
                a.budget_ms,
                a.caller,
                a.memory_kb,
                a.rank,
                a.subject,
                None if request.ruling is None else request.ruling.at,
            ),
            entry.until,
        )
        return True

    def begins(self, request: Request) -> bool:
        return request.key is not None and self.node.start_work(key_of(*request.key))

    def freed(self, entry: Entry) -> None:
        self.node.release_work(key_of(*entry.key))

    def settled(self, entry: Entry) -> None:
        self.node.finish_work(key_of(*entry.key), entry.result)

    # ---- what the fleet has settled ----

    def _request(self, key: Key) -> Request | None:
        name = self._core_keys.get(key)
        entry = None if name is None else self.core.keys.find(name, self.core.clock.now)
        return None if entry is None else self.core.table.by_number.get(entry.number)

    def mine(self, key: Key) -> None:
        if (request := self._request(key)) is not None:
            tenure = self.node.tenures.get(key)
            if tenure is not None and tenure.attempt > 1:
                request.first = False  # an earlier try was turned away, here or elsewhere
            self.core.others.granted(request)

    def theirs(self, key: Key) -> None:
        if (request := self._request(key)) is not None:
            self.core.others.joined(request)

    def differs(self, key: Key) -> None:
        if (request := self._request(key)) is not None:
            self.core.others.uncovered(request, "this token came before with another body")

    def uncovered(self, key: Key, why: str, proven: bool) -> None:
        request = self._request(key)
        if request is None:
            return
        if self._alone:
            self.core.others.granted(request)
        else:
            self.core.others.uncovered(request, why, proven)

    def over(self, key: Key, result: bytes | None) -> None:
        if (request := self._request(key)) is not None:  # found while it was being claimed
            self.core.others.joined(request)
        name = self._core_keys.get(key)
        if name is not None:
            self.core.others.result_of_another(name, result)

    def none_ran(self, key: Key) -> None:
        if (name := self._core_keys.get(key)) is not None:
            self.core.others.none_ran(name)

    def begun(self, key: Key) -> None:
        if (request := self._request(key)) is not None:
            self.core.others.begun(request)

    def lost(self, key: Key) -> None:
        self.given(key)

    def not_begun(self, key: Key, why: str) -> None:
        if (request := self._request(key)) is not None:
            self.core.others.not_begun(request, why)

    def given(self, key: Key) -> None:
        if (request := self._request(key)) is not None:
            self.core.others.given(request)

    def take_up(self, key: Key, body: int, order: WorkRequest, until: int) -> bool:
        self._core_keys[key] = (order.tenant, order.token)
        rid = (
            order.request_id
            if order.request_id not in self.core.table.by_rid
            else f"{order.request_id[:56]}.{len(self.core.table)}"
        )
        arrival = Arrival(
            rid,
            order.request_class,
            order.content,
            order.arrived_unix_ms,
            None,
            order.budget_ms,
            order.tenant,
            order.caller,
            order.memory_kb,
            order.rank,
            order.token,
            order.subject,
        )
        if order.rules_revision is None:
            return self._take_up(arrival, None)
        if self.namespaces is None:
            log.warning("fleet: %s of another runner was read under rules that are not set here", order.token)
            return False
        self._awaiting_rules.add(key)
        self.namespaces.ruling(arrival, order.rules_revision, lambda got: self._with_rules(key, arrival, got))
        return True

    def _with_rules(self, key: Key, arrival: Arrival, got: Any) -> None:
        """The revision that it was read under is here, or can't be had: then another may have it."""
        self._awaiting_rules.discard(key)
        tenure = self.node.tenures.get(key)
        if tenure is None or not tenure.is_held:
            return  # it went to another meanwhile
        if isinstance(got, Exception):
            self.count("fleet: not taken up without its rules")
            log.warning("fleet: %s of another runner can't be taken up: %s", arrival.token, got)
            self.node.release_work(key, turned=True)
        elif not self._take_up(arrival, got):
            self.node.release_work(key, turned=True)

    def _take_up(self, arrival: Arrival, ruling: Any) -> bool:
        taken = self.core.others.take_up(arrival, self._sink, 0, ruling)
        if not isinstance(taken, Request):
            log.warning("fleet: %s of another runner can't be taken up: %s", arrival.token, taken.value)
            return False
        return True

    def has(self, key: Key) -> tuple[bool, bool, bytes | None]:
        if key in self._awaiting_rules:
            return True, False, None
        name = self._core_keys.get(key)
        entry = None if name is None else self.core.keys.find(name, self.core.clock.now)
        if entry is None and self.core.claims.peer is not None:  # of the other process of this runner?
            entry = next((e for e in self.core.keys.entries() if e.theirs and key_of(*e.key) == key), None)
        if entry is None:
            return False, False, None
        ours = not entry.theirs or self.core.claims.peer is not None
        return ours and not entry.over, entry.over, entry.result

    def forgot(self, key: Key) -> None:
        self._core_keys.pop(key, None)
