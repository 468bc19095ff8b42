"""Requests drawn ahead from a seed: a Poisson arrival process over classes of requests and tenants."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests of a load.

    Attributes:
        name: as the settings have it.
        share: of all requests.
        service_time_ms: mean work; drawn evenly from half of it to one and a half.
        makes_call: whether each run makes a downstream call.
        latency_objective_ms: answered later, a request counts as late.
        deadline_ms: from the arrival.
        keyed: whether requests have an idempotency key.
        priority_weight: what a served request counts.
    """

    name: str
    share: float
    service_time_ms: float
    makes_call: bool
    latency_objective_ms: float
    deadline_ms: float
    keyed: bool = False
    priority_weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request, drawn ahead.

    Attributes:
        at_s: from the start of the load.
        request_class: what it asks for.
        tenant: who asks.
        body: says how much work the run is.
        token: its idempotency key, if it has one.
    """

    at_s: float
    request_class: RequestClass
    tenant: str
    body: bytes
    token: str | None


def draw_arrivals(
    seed: int, classes: list[RequestClass], tenants: list[str], rate: float, seconds: float
) -> list[Arrival]:
    """Poisson arrivals; the same seed draws the same.

    :param rate: requests a second.
    """
    rng = random.Random(seed)
    at_s = 0.0
    arrivals = []
    while (at_s := at_s + rng.expovariate(rate)) < seconds:
        arrivals.append(_draw_arrival(rng, at_s, classes, tenants))
    return arrivals


def _draw_arrival(
    rng: random.Random, at_s: float, classes: list[RequestClass], tenants: list[str]
) -> Arrival:
    """The order of these draws is part of a seed's meaning."""
    request_class = rng.choices(classes, [each.share for each in classes])[0]
    work_ms = request_class.service_time_ms * rng.uniform(0.5, 1.5)
    share_before_call = rng.uniform(0.3, 0.7)
    pieces_ms = [work_ms]
    if request_class.makes_call:
        pieces_ms = [work_ms * share_before_call, work_ms * (1 - share_before_call)]
    body = "work " + " ".join(f"{piece_ms:.1f}" for piece_ms in pieces_ms)
    tenant = rng.choice(tenants)
    token = f"{rng.getrandbits(64):016x}" if request_class.keyed else None
    return Arrival(at_s, request_class, tenant, body.encode(), token)
