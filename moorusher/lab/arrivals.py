"""A Poisson arrival process over request classes and tenants, generated in advance from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class of a load.

    Attributes:
        name: Name of the class in the settings.
        share: Share of all requests, 0 to 1.
        service_time_ms: Mean work of a run; drawn uniformly between 0.5 and 1.5 times this value.
        makes_call: Whether each run makes a downstream call.
        latency_objective_ms: Latency above which an answer counts as late.
        deadline_ms: Time limit from the arrival.
        keyed: Whether requests have an idempotency key.
        priority_weight: Value of a served request.
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
    """One request of a load.

    Attributes:
        at_s: Seconds from the start of the load.
        request_class: Class of the request.
        tenant: Name of the tenant.
        body: Work of the run, in the form that the stand-in kernel reads.
        token: Idempotency key, None for a request without one.
    """

    at_s: float
    request_class: RequestClass
    tenant: str
    body: bytes
    token: str | None


def draw_arrivals(
    seed: int, classes: list[RequestClass], tenants: list[str], rate: float, seconds: float
) -> list[Arrival]:
    """Return Poisson arrivals; the same seed gives the same arrivals.

    :param rate: requests per second.
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
    """Draw one arrival. A different order of the draws would change the arrivals of every seed."""
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
