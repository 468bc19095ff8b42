"""What a runner says first to whoever it calls: the kernel, the platform's list of runners, receivers of duties.

Guards against a path, a key or an order that changes with a name in the program: a receiver that compares fences would
refuse a report, or do it twice, and a kernel would not open. Bytes on connections are compared, and what is made of a
receiver's answers.
"""

from __future__ import annotations

from dataclasses import astuple
from typing import Any

import msgspec
import pytest
from twisted.internet.testing import MemoryReactorClock

from moorusher.cluster_transport.effect_receivers import HttpEffectReceivers
from moorusher.leadership.fencing_token import FencingToken
from moorusher.leadership.lease_record import Intent, IntentResolution

from ..test_core import EngineHarness
from .golden import assert_golden
from .test_pages import begun
from .whole_runner import Connection, Runner, runner

__all__ = ["runner"]

ANSWERS = {
    "new": (200, '{"verdict":"new"}'),
    "again": (200, '{"verdict":"again"}'),
    "behind": (409, '{"highest":[3,4,6]}'),
    "done": (200, '{"done":true}'),
    "undone": (200, '{"done":false}'),
    "odd": (200, "[]"),
    "failed": (500, "{}"),
}


def test_first_words_of_a_runner_are_the_same(runner: Runner) -> None:
    begun(runner)
    told: dict[str, list[str]] = {}
    for host, port, factory, *_ in runner.reactor.tcpClients:
        if f"{host}:{port}" not in told:
            told[f"{host}:{port}"] = Connection(factory).written()
    assert_golden("outgoing", told)


# ---- receivers ----


class Exchanges:
    """The names of the program, once."""

    def __init__(self) -> None:
        self._reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self._receivers = HttpEffectReceivers(self._reactor, EngineHarness().core)
        self.heard: list[Any] = []

    def made(self, how: str) -> Connection:
        intent = Intent(7, 2, "127.0.0.1:1", b"what", IntentResolution.REPEAT)
        if how == "fenced":
            self._receivers.send_fenced(
                "127.0.0.1:1", "duty", FencingToken(3, 4, 5), b"body", self.heard.append
            )
        elif how == "intent":
            self._receivers.send_intent("127.0.0.1:1", "duty", intent, self.heard.append)
        else:
            self._receivers.query_intent("127.0.0.1:1", "duty", intent, self.heard.append)
        return Connection(self._reactor.tcpClients[-1][2])


@pytest.mark.parametrize("how", ["fenced", "intent", "asked"])
def test_what_receivers_are_told_and_answer_is_the_same(how: str) -> None:
    told: dict[str, Any] = {"sent": Exchanges().made(how).written()}
    for name, (status, body) in ANSWERS.items():
        exchanges = Exchanges()
        exchanges.made(how).answer(status, body)
        told[name] = msgspec.to_builtins(astuple(exchanges.heard[0]))
    assert_golden(f"outgoing_{how}", told)
