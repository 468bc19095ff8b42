"""The HTTP health endpoint that common balancers ask."""

from __future__ import annotations

from typing import Any

from twisted.web import resource, server

from ..core.decide import Decider
from .agent import agent_word

# Twisted's web classes carry no types; named once here, so that the rest is checked.
Resource: Any = resource.Resource
Site: Any = server.Site


class _Health(Resource):  # type: ignore[misc]
    """200 while this runner serves, 503 where it drains or can't."""

    isLeaf = True

    def __init__(self, core: Decider) -> None:
        super().__init__()
        self.core = core

    def render_GET(self, request: Any) -> bytes:
        self.core.counters.add("health checks")
        word = agent_word(self.core)
        request.setResponseCode(200 if word.startswith(b"ready") else 503)
        request.setHeader(b"content-type", b"text/plain")
        request.setHeader(b"cache-control", b"no-store")
        return word + b"\n"


class _Alive(_Health):
    """200 as long as the process answers: for what restarts dead processes, not for routing."""

    def render_GET(self, request: Any) -> bytes:
        request.setHeader(b"content-type", b"text/plain")
        return b"alive\n"


def health_site(core: Decider) -> Any:
    root = Resource()
    root.putChild(b"health", _Health(core))
    root.putChild(b"alive", _Alive(core))
    return quiet_site(root)


def quiet_site(root: Any) -> Any:
    """Without an access log: a balancer asks every second or two."""
    site = Site(root, timeout=10)
    site.noisy = False
    site.log = lambda request: None
    return site
