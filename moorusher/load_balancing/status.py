"""JSON form of a load balancer for `GET /servers`. The keys are part of the API and are defined only here."""

from __future__ import annotations

from .endpoint import Endpoint, EndpointState
from .load_balancer import LoadBalancer


def servers_json(balancer: LoadBalancer, now: int) -> list[dict[str, object]]:
    """Return the endpoints in this runner's order; `now` is in microseconds, times in the result in milliseconds."""
    endpoints = balancer.endpoints
    return [
        _endpoint_json(endpoint, now, endpoints.is_in_service(endpoint)) for endpoint in endpoints.in_order()
    ]


def _endpoint_json(endpoint: Endpoint, now: int, in_service: bool) -> dict[str, object]:
    config = endpoint.config
    outliers = endpoint.outliers
    is_ejected = endpoint.state is EndpointState.EJECTED
    return {
        "name": config.name,
        "address": f"{config.address[0]}:{config.address[1]}",
        "zone": config.zone,
        "weight": config.weight,
        "state": endpoint.state.value,
        "why": outliers.reason.value if outliers.reason else None,
        "back_in_ms": max(0, outliers.ejected_until - now) / 1000 if is_ejected else None,
        "in_flight": len(endpoint.in_flight),
        "limit": int(endpoint.limit.value),
        "calls": endpoint.calls,
        "failures": endpoint.failures,
        "answered_share": outliers.success_rate(),
        "ejections": outliers.ejections,
        "ramp": endpoint.ramp(now),
        "short_ms": endpoint.latency.short / 1000,
        "long_ms": endpoint.latency.long / 1000,
        "usable": in_service,
    }


def counts_json(balancer: LoadBalancer) -> dict[str, int]:
    """Return the load balancer's totals since its start."""
    counts = balancer.counts
    ejection = balancer.endpoints.ejection
    return {
        "calls": counts.calls,
        "attempts": counts.attempts,
        "repeats": counts.retries,
        "hedges": counts.hedges,
        "hedges_won": counts.hedges_won,
        "queued": counts.queued,
        "queue_full": counts.queue_full,
        "denied": counts.denied_by_budget,
        "ejections": ejection.ejections,
        "panics": ejection.panics,
    }
