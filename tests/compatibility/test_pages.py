"""Responses of a runner's administration pages, health checks, agent check and console.

Guards against a key, a text or a status that changes with the name of a field, an Enum's member or an exception in the
program: an operator's script, a load balancer or `moorusher` of another build would miss a key or misjudge the state of
a machine. The tests send a sequence of requests to a complete runner and compare each response.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest

from moorusher.admin.api import reply_later
from moorusher.errors import OperatorError

from .golden import assert_golden
from .whole_runner import Connection, Runner, runner

__all__ = ["runner"]

DRAFT = (
    b'{"default":"main","routes":{"main":{"servers":{"s1":1,"s2":3},"limit":50,"tries":2,"fall_back":"spare"},'
    b'"spare":{"pool":"shared"}},"rules":{"some":{"match":{"class":["submit"]},"to":"main"},'
    b'"none":{"match":{"class":["check"]},"refuse":"not from here"}}}'
)
SHORT_DRAFT = b'{"default":"main","routes":{"main":{"servers":{"s1":1}}}}'
READ_PAGES = (
    "status",
    "counters",
    "standing",
    "maintenance",
    "servers",
    "servers/s4",
    "knowledge",
    "fleet",
    "fleet/work",
    "duties",
    "duties/alive",
    "namespaces",
    "namespaces/acme",
    "namespaces/acme/explain?class=submit&caller=1&subject=2&rank=0.5&key=k",
    "namespaces/acme/explain?class=check",
    "forecast",
    "forecast/acme",
    "forecast/+here",
    "outage",
    "tenants",
    "tenants/acme",
)
HISTORY = {
    "customer": "acme",
    "route": "main",
    "zone": "zone-of-n1",
    "first_hour": 472000,
    "asked": [12, 40],
}
CHANGES: tuple[tuple[Any, ...], ...] = (
    ("PUT", "maintenance", {"reason": "work", "for_s": 60}),
    ("DELETE", "maintenance"),
    ("DELETE", "maintenance"),
    ("PUT", "maintenance", {"reason": ""}),
    ("PUT", "maintenance", {"odd": 1}),
    ("PUT", "servers/s9", {"address": "127.0.0.1:4009", "weight": 2, "zone": "z", "protocol": "uwsgi"}),
    ("PUT", "servers/s9", {"odd": 1}),
    ("POST", "servers/s9/drain"),
    ("DELETE", "servers/s9"),
    ("DELETE", "servers/s8"),
    ("PUT", "namespaces/acme?expects=0&by=me&id=first&wait=1", DRAFT),
    ("PUT", "namespaces/acme?expects=1&by=me&id=second", SHORT_DRAFT),
    ("PUT", "namespaces/acme?expects=0&by=me&id=third", DRAFT),
    ("PUT", "namespaces/acme?by=me&id=fourth", b'{"odd":1}'),
    ("PUT", "namespaces/nobody?by=me&id=fifth", DRAFT),
    ("POST", "namespaces/acme/back/1?by=me&id=sixth"),
    ("POST", "namespaces/acme/back/9?by=me&id=seventh"),
    (
        "POST",
        "outage/ask",
        {"id": "first", "reason": "patch", "by": "me", "lasts_s": 60, "due_s": 5, "priority": 3},
    ),
    ("POST", "outage/ask", {"id": "second", "ends": "done", "together": True, "not_before_s": 7}),
    ("POST", "outage/ask", {"id": "third", "zone": "nowhere"}),
    ("POST", "outage/ask", {"odd": 1}),
    ("POST", "outage/wait", {"id": "first", "for_s": 0.5}),
    ("POST", "outage/hold", {"why": "a storm"}),
    ("POST", "outage/resume"),
    ("POST", "outage/done", {"seat": "n1", "by": "me"}),
    ("POST", "outage/cancel", {"id": "first", "by": "me"}),
    ("POST", "outage/cancel", {"id": "nothing"}),
    ("POST", "duties/alive/resume"),
    ("POST", "duties/alive/settle/4/done"),
    ("POST", "duties/nothing/resume"),
    ("POST", "forecast", [HISTORY | {"core_ms": 80, "worth": 1.5, "born": 0}]),
    ("POST", "forecast", [HISTORY | {"odd": 1}, HISTORY]),
    ("POST", "fleet/begin"),
    ("POST", "fleet/odd"),
    ("GET", "servers/nobody"),
    ("GET", "tenants/nobody"),
    ("GET", "namespaces/nobody"),
    ("GET", "duties/nothing"),
)


LAST_HOUR = 1_700_000_000 // 3600 - 1


class ApiSession:
    """Sends requests to a runner's pages, and records the responses in order."""

    def __init__(self, runner: Runner) -> None:
        self._runner = runner
        self.responses: list[list[Any]] = []

    def request(self, method: str, path: str, body: Any = None) -> None:
        self.responses.append([f"{method} {path}", *self._runner.page(method, path, body)])

    def read_all(self) -> list[list[Any]]:
        """Read every page; return and clear all responses so far, without the version."""
        for path in READ_PAGES:
            self.request("GET", path)
        responses, self.responses = self.responses, []
        for response in responses:
            if response[0] == "GET status":
                assert response[2].pop("version")
        return responses


def bootstrap(runner: Runner) -> None:
    """Connect the kernel and bootstrap the fleet, so that the runner accepts requests with keys."""
    runner.connect_kernel()
    runner.wait(1)
    assert runner.page("POST", "fleet/begin") == [200, {"begun": True}]
    runner.wait(12)


def test_pages_before_the_kernel_is_connected(runner: Runner) -> None:
    runner.wait(1)
    assert_golden(
        "pages_start", {"listeners": runner.listener_labels(), "pages": ApiSession(runner).read_all()}
    )


def test_pages_of_a_runner_in_service_and_changes_over_them(runner: Runner) -> None:
    bootstrap(runner)
    session = ApiSession(runner)
    assert_golden("pages_service", session.read_all())
    for change in CHANGES:
        session.request(*change)
    assert_golden("pages_changes", session.responses)
    session.responses.clear()
    runner.report_gauges(0.25)
    runner.submit("a", "submit", "token")
    runner.submit("b", "check")
    runner.wait(0.1)
    assert_golden("pages_work", session.read_all())
    runner.end_run("a")
    session.request("DELETE", "namespaces/acme?wait=1")
    session.request("PUT", "maintenance", {"reason": "work"})
    session.request("POST", "drain")
    runner.wait(0.1)
    session.request("PUT", "maintenance", {"reason": "late"})
    assert_golden("pages_end", session.read_all())


def test_a_forecast_and_its_hints_are_unchanged(runner: Runner) -> None:
    """The history is constant over eight weeks, so that the forecast's numbers are the same on all machines."""
    bootstrap(runner)
    runner.wait(12)
    weeks = HISTORY | {"first_hour": LAST_HOUR - 8 * 168, "asked": [40] * 8 * 168, "core_ms": 200_000}
    session = ApiSession(runner)
    session.request("POST", "forecast", [weeks])
    runner.wait(6)
    for path in ("forecast", "forecast/acme", "forecast/nobody"):
        session.request("GET", path)
        for route in session.responses[-1][2]["routes"]:
            route["hours"] = [len(route["hours"]), *set(route["hours"])]
    assert_golden(
        "pages_forecast",
        {"pages": session.responses, "hints": sent_on_first_connection(runner.connections_to(9300))},
    )


def sent_on_first_connection(factories: list[Any]) -> list[str]:
    return Connection(factories[0]).written()


def test_changes_without_the_token_are_refused(runner: Runner) -> None:
    responses = [
        [path, *runner.page(method, path, None, token="")] for method, path, *_ in CHANGES if method != "GET"
    ]
    assert {(status, body["error"]) for _, status, body in responses} <= {
        (401, "a bearer token is needed"),
        (404, "expected /fleet/begin or /fleet/begin/lost"),
    }


MATCH = {"key": ["k*"], "class": ["submit"], "caller": [[0, 9]], "subject": [[1, 8]], "rank": [[0, 0.5]]}
ROUTES = {"main": {"servers": {"s1": 1}}, "side": {"servers": {"s2": 2}, "limit": 3, "tries": 2}}
FULL_DRAFT = {
    "default": "main",
    "routes": ROUTES,
    "rules": {"all": {"match": MATCH, "split": {"main": 9, "side": 1}}},
    "teams": {
        "lab": {"match": {"key": ["z*"]}, "rules": {"in": {"match": {"class": ["check"]}, "to": "side"}}}
    },
}
INVALID_DRAFT_CHANGES: tuple[dict[str, Any], ...] = (
    {"odd": 1},
    {"routes": {"main": {"odd": 1}}},
    {"rules": {"r": {"odd": 1}}},
    {"rules": {"r": {"match": {"odd": 1}, "to": "main"}}},
    {"rules": {"r": {"match": MATCH, "to": "nowhere"}}},
    {"teams": {"t": {"odd": 1}}},
    {"rules": {"a": {"match": MATCH, "to": "main"}, "b": {"match": MATCH, "to": "side"}}},
    {
        "rules": {
            "a": {"match": {"class": ["submit"]}, "to": "main"},
            "b": {"match": {"key": ["k"]}, "to": "side"},
        }
    },
    {
        "rules": {
            "a": {"match": {"caller": [[0, 5]]}, "to": "main"},
            "b": {"match": {"subject": [[0, 5]]}, "to": "side"},
        }
    },
    {
        "rules": {
            "a": {"match": {"rank": [[0, 0.5]]}, "to": "main"},
            "b": {"match": {"key": ["k"]}, "to": "side"},
        }
    },
    {"routes": ROUTES | {"main": {"pool": "nowhere"}}},
    {"routes": ROUTES | {"main": {"servers": {"s1": 1}, "fall_back": "main"}}},
)


def test_the_keys_and_errors_of_customers_drafts_are_unchanged(runner: Runner) -> None:
    bootstrap(runner)
    session = ApiSession(runner)
    for i, change in enumerate(INVALID_DRAFT_CHANGES):
        session.request("PUT", f"namespaces/acme?by=me&id=odd{i}", json.dumps(FULL_DRAFT | change).encode())
    session.request("PUT", "namespaces/acme?by=me&id=good", json.dumps(FULL_DRAFT).encode())
    runner.wait(1)
    for query in (
        "class=submit&key=k1&caller=5&subject=5&rank=0.25",
        "class=submit&key=k1&caller=5&subject=5&rank=0.75",
        "class=check&key=z1",
        "class=check&key=a1",
    ):
        session.request("GET", f"namespaces/acme/explain?{query}")
    assert_golden("pages_drafts", session.responses)


# ---- documents of given records ----


def test_the_documents_of_duties_are_unchanged(runner: Runner) -> None:
    holder, version, intents = (
        ["n1", 5],
        [7, 100, []],
        [[8, 2, "h:1", b"w", resolution] for resolution in range(3)],
    )
    documents = [
        runner.duty_document(
            ["d", "report", 3, 2, 9, status, holder, 1, "n1", 4, [version], intents, "why", 6]
        )
        for status in range(6)
    ]
    assert_golden("pages_duties", documents)


def test_the_document_of_the_maintenance_schedule_is_unchanged(runner: Runner) -> None:
    requests = [
        ["a", "patch", "me", 60.0, 1.0, 2.0, 3.0, 4, True, completion, ["n1"], [["n1", "why"]], 5, "mark"]
        for completion in range(2)
    ]
    slots = [
        [seat, "a", 6, stage, 7, 1.7e9, "mark", "digest", 600.0, 0, 1, 2, "note"]
        for seat in ("n1", "nobody")
        for stage in range(4)
    ]
    history = [["a", "n1", outcome, 1.7e9, "note"] for outcome in range(3)]
    assert_golden(
        "pages_outages",
        runner.schedule_document([9, "held", requests, slots, history, [["a", "n1", 2]]]),
    )


def test_the_texts_of_members_states_are_unchanged(runner: Runner) -> None:
    assert_golden("pages_members", {str(state): runner.member_state_text(state) for state in range(4)})


# ---- errors ----


def concrete_errors(base: type[OperatorError] = OperatorError) -> Iterator[type[OperatorError]]:
    """Yield the error classes without subclasses, since base classes are not raised."""
    for error_class in base.__subclasses__():
        yield from concrete_errors(error_class)
        if not error_class.__subclasses__():
            yield error_class


class FakeWebRequest:
    """The part of a web request that `reply_later` needs."""

    def __init__(self) -> None:
        self.status, self.written = 0, b""

    def __getattr__(self, name: str) -> Any:
        return lambda *given: self

    def setResponseCode(self, status: int) -> None:
        self.status = status

    def write(self, data: bytes) -> None:
        self.written += data


def response_to(error_class: type[OperatorError]) -> list[Any]:
    request, error = FakeWebRequest(), error_class.__new__(error_class)
    Exception.__init__(error, "what")
    reply_later(request, lambda callback: callback(error))
    return [request.status, request.written.decode()]


def test_the_kinds_statuses_and_remedies_of_errors_are_unchanged(runner: Runner) -> None:
    responses = sorted(
        response_to(error_class)
        for error_class in concrete_errors()
        if error_class.__module__.startswith("moorusher.")
    )
    assert_golden("pages_errors", responses)


# ---- health checks ----


def http_request(path: str, accept: str = "*/*", method: str = "GET") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: a\r\nAccept: {accept}\r\nContent-Length: 0\r\n\r\n".encode()


def probe(runner: Runner) -> dict[str, list[str]]:
    """Return the responses of the health checks, the agent check and the console."""
    responses = {
        path: runner.listener_response("health", http_request(path))
        for path in ("/health", "/ready", "/startup", "/alive", "/odd")
    }
    return responses | {
        "/health as JSON": runner.listener_response("health", http_request("/health", "application/json")),
        "agent": runner.listener_response("agent"),
        "console": runner.listener_response("console", http_request("/admin/health")),
    }


def test_the_responses_of_probes_and_the_console_are_unchanged(
    runner: Runner, monkeypatch: pytest.MonkeyPatch
) -> None:
    responses = {"starting": probe(runner)}
    runner.connect_kernel()
    runner.wait(15)
    responses["serving"] = probe(runner)
    runner.report_gauges(0.5)
    runner.submit("a", "check")
    responses["at work"] = probe(runner)
    responses["quiesced"] = {
        "call": runner.listener_response("console", http_request("/admin/quiesce", method="POST"))
    } | probe(runner)
    responses["resumed"] = {
        "call": runner.listener_response("console", http_request("/admin/resume", method="POST"))
    } | probe(runner)
    responses["odd"] = {"console": runner.listener_response("console", http_request("/odd"))}
    runner.disconnect_kernel()
    runner.wait(3)
    responses["without its kernel"] = probe(runner)
    runner.shut_down()
    responses["leaving"] = {
        "call": runner.listener_response("console", http_request("/admin/resume", method="POST"))
    } | probe(runner)
    assert_golden("fronts", responses)
