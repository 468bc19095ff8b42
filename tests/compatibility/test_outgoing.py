"""The first bytes that a runner sends on outgoing connections: to the kernel, the platform's list of runners, and the
receivers of duties' effects.

Guards against a rename in the program that changes a path, a key or the order of fields: a receiver that compares
fencing tokens would refuse an effect or apply it twice, and a kernel would not accept the link. The tests compare the
bytes on the connections and the results that a receiver's answers lead to.
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
from .test_pages import bootstrap
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


def test_the_first_bytes_on_each_connection_are_unchanged(runner: Runner) -> None:
    bootstrap(runner)
    sent: dict[str, list[str]] = {}
    for host, port, factory, *_ in runner.reactor.tcpClients:
        if f"{host}:{port}" not in sent:
            sent[f"{host}:{port}"] = Connection(factory).written()
    assert_golden("outgoing", sent)


# ---- receivers of effects ----


class EffectExchange:
    """One request to a receiver of effects, and the results that its answer leads to."""

    def __init__(self) -> None:
        self._reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self._receivers = HttpEffectReceivers(self._reactor, EngineHarness().core)
        self.results: list[Any] = []

    def send(self, method: str) -> Connection:
        intent = Intent(7, 2, "127.0.0.1:1", b"what", IntentResolution.REPEAT)
        if method == "fenced":
            self._receivers.send_fenced(
                "127.0.0.1:1", "duty", FencingToken(3, 4, 5), b"body", self.results.append
            )
        elif method == "intent":
            self._receivers.send_intent("127.0.0.1:1", "duty", intent, self.results.append)
        else:
            self._receivers.query_intent("127.0.0.1:1", "duty", intent, self.results.append)
        return Connection(self._reactor.tcpClients[-1][2])


@pytest.mark.parametrize("method", ["fenced", "intent", "asked"])
def test_the_exchange_with_a_receiver_is_unchanged(method: str) -> None:
    exchange_data: dict[str, Any] = {"sent": EffectExchange().send(method).written()}
    for name, (status, body) in ANSWERS.items():
        exchange = EffectExchange()
        exchange.send(method).answer(status, body)
        exchange_data[name] = msgspec.to_builtins(astuple(exchange.results[0]))
    assert_golden(f"outgoing_{method}", exchange_data)
