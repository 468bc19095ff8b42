"""JSON and lines that a runner's pages, health checks, agent check and second address answer with.

Guards against a key, a word or a status that follows the name of a field, an Enum's member or an exception in the
program: an operator's script, a balancer or `moorusher` of another build would read a missing key, or take a machine
for what it is not. A whole runner is taken through a course of calls, and each answer is compared.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest

from moorusher.admin.api import later
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
READ = (
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
HOUR = {"customer": "acme", "route": "main", "zone": "zone-of-n1", "first_hour": 472000, "asked": [12, 40]}
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
    ("POST", "forecast", [HOUR | {"core_ms": 80, "worth": 1.5, "born": 0}]),
    ("POST", "forecast", [HOUR | {"odd": 1}, HOUR]),
    ("POST", "fleet/begin"),
    ("POST", "fleet/odd"),
    ("GET", "servers/nobody"),
    ("GET", "tenants/nobody"),
    ("GET", "namespaces/nobody"),
    ("GET", "duties/nothing"),
)


LAST_HOUR = 1_700_000_000 // 3600 - 1


class Course:
    """Calls and their answers, in order."""

    def __init__(self, runner: Runner) -> None:
        self._runner = runner
        self.said: list[list[Any]] = []

    def call(self, method: str, path: str, body: Any = None) -> None:
        self.said.append([f"{method} {path}", *self._runner.page(method, path, body)])

    def read_all(self) -> list[list[Any]]:
        """Every page, and what was said before."""
        for path in READ:
            self.call("GET", path)
        said, self.said = self.said, []
        for one in said:
            if one[0] == "GET status":
                assert one[2].pop("version")
        return said


def begun(runner: Runner) -> None:
    """It has the fleet's work in hand."""
    runner.kernel_up()
    runner.wait(1)
    assert runner.page("POST", "fleet/begin") == [200, {"begun": True}]
    runner.wait(12)


def test_pages_before_the_kernel_is_up(runner: Runner) -> None:
    runner.wait(1)
    assert_golden("pages_start", {"listeners": runner.labels(), "pages": Course(runner).read_all()})


def test_pages_of_a_runner_in_service_and_changes_over_them(runner: Runner) -> None:
    begun(runner)
    course = Course(runner)
    assert_golden("pages_service", course.read_all())
    for change in CHANGES:
        course.call(*change)
    assert_golden("pages_changes", course.said)
    course.said.clear()
    runner.gauges(0.25)
    runner.take("a", "submit", "token")
    runner.take("b", "check")
    runner.wait(0.1)
    assert_golden("pages_work", course.read_all())
    runner.ends_run("a")
    course.call("DELETE", "namespaces/acme?wait=1")
    course.call("PUT", "maintenance", {"reason": "work"})
    course.call("POST", "drain")
    runner.wait(0.1)
    course.call("PUT", "maintenance", {"reason": "late"})
    assert_golden("pages_end", course.read_all())


def test_a_forecast_and_its_hints_are_told_alike(runner: Runner) -> None:
    """Of eight weeks with as many requests in each hour, whose figures are the same everywhere."""
    begun(runner)
    runner.wait(12)
    weeks = HOUR | {"first_hour": LAST_HOUR - 8 * 168, "asked": [40] * 8 * 168, "core_ms": 200_000}
    course = Course(runner)
    course.call("POST", "forecast", [weeks])
    runner.wait(6)
    for path in ("forecast", "forecast/acme", "forecast/nobody"):
        course.call("GET", path)
        for route in course.said[-1][2]["routes"]:
            route["hours"] = [len(route["hours"]), *set(route["hours"])]
    assert_golden("pages_forecast", {"pages": course.said, "hints": first_words(runner.calls_to(9300))})


def first_words(calls: list[Any]) -> list[str]:
    """Of the first connection to such an address."""
    return Connection(calls[0]).written()


def test_changes_without_the_token_are_turned_away_alike(runner: Runner) -> None:
    told = [
        [path, *runner.page(method, path, None, token="")] for method, path, *_ in CHANGES if method != "GET"
    ]
    assert {(status, body["error"]) for _, status, body in told} <= {
        (401, "a bearer token is needed"),
        (404, "expected /fleet/begin or /fleet/begin/lost"),
    }


MATCH = {"key": ["k*"], "class": ["submit"], "caller": [[0, 9]], "subject": [[1, 8]], "rank": [[0, 0.5]]}
ROUTES = {"main": {"servers": {"s1": 1}}, "side": {"servers": {"s2": 2}, "limit": 3, "tries": 2}}
WHOLE = {
    "default": "main",
    "routes": ROUTES,
    "rules": {"all": {"match": MATCH, "split": {"main": 9, "side": 1}}},
    "teams": {
        "lab": {"match": {"key": ["z*"]}, "rules": {"in": {"match": {"class": ["check"]}, "to": "side"}}}
    },
}
ODD: tuple[dict[str, Any], ...] = (
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


def test_customers_drafts_have_the_same_keys_and_faults(runner: Runner) -> None:
    begun(runner)
    course = Course(runner)
    for i, odd in enumerate(ODD):
        course.call("PUT", f"namespaces/acme?by=me&id=odd{i}", json.dumps(WHOLE | odd).encode())
    course.call("PUT", "namespaces/acme?by=me&id=good", json.dumps(WHOLE).encode())
    runner.wait(1)
    for query in (
        "class=submit&key=k1&caller=5&subject=5&rank=0.25",
        "class=submit&key=k1&caller=5&subject=5&rank=0.75",
        "class=check&key=z1",
        "class=check&key=a1",
    ):
        course.call("GET", f"namespaces/acme/explain?{query}")
    assert_golden("pages_drafts", course.said)


# ---- words for what others have written ----


def test_duties_are_told_in_the_same_words(runner: Runner) -> None:
    owner, version, intents = ["n1", 5], [7, 100, []], [[8, 2, "h:1", b"w", settle] for settle in range(3)]
    told = [
        runner.duty_told(["d", "report", 3, 2, 9, life, owner, 1, "n1", 4, [version], intents, "why", 6])
        for life in range(6)
    ]
    assert_golden("pages_duties", told)


def test_outages_are_told_in_the_same_words(runner: Runner) -> None:
    asks = [
        ["a", "patch", "me", 60.0, 1.0, 2.0, 3.0, 4, True, ends, ["n1"], [["n1", "why"]], 5, "mark"]
        for ends in range(2)
    ]
    turns = [
        [seat, "a", 6, stage, 7, 1.7e9, "mark", "digest", 600.0, 0, 1, 2, "note"]
        for seat in ("n1", "nobody")
        for stage in range(4)
    ]
    ended = [["a", "n1", how, 1.7e9, "note"] for how in range(3)]
    assert_golden("pages_outages", runner.outages_told([9, "held", asks, turns, ended, [["a", "n1", 2]]]))


def test_members_are_told_in_the_same_words(runner: Runner) -> None:
    assert_golden("pages_members", {str(state): runner.member_told(state) for state in range(4)})


# ---- errors ----


def errors(kind: type[OperatorError] = OperatorError) -> Iterator[type[OperatorError]]:
    """Those that are told: none of the bases."""
    for one in kind.__subclasses__():
        yield from errors(one)
        if not one.__subclasses__():
            yield one


class Asked:
    """A request of the web server, as far as an answer that comes later needs one."""

    def __init__(self) -> None:
        self.status, self.written = 0, b""

    def __getattr__(self, name: str) -> Any:
        return lambda *given: self

    def setResponseCode(self, status: int) -> None:
        self.status = status

    def write(self, data: bytes) -> None:
        self.written += data


def answer_of(kind: type[OperatorError]) -> list[Any]:
    request, error = Asked(), kind.__new__(kind)
    Exception.__init__(error, "what")
    later(request, lambda told: told(error))
    return [request.status, request.written.decode()]


def test_errors_are_told_with_the_same_kind_status_and_remedy(runner: Runner) -> None:
    told = sorted(answer_of(kind) for kind in errors() if kind.__module__.startswith("moorusher."))
    assert_golden("pages_errors", told)


# ---- health checks ----


def get(path: str, accept: str = "*/*", method: str = "GET") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: a\r\nAccept: {accept}\r\nContent-Length: 0\r\n\r\n".encode()


def fronts(runner: Runner) -> dict[str, list[str]]:
    asked = {
        path: runner.front("health", get(path))
        for path in ("/health", "/ready", "/startup", "/alive", "/odd")
    }
    return asked | {
        "/health as JSON": runner.front("health", get("/health", "application/json")),
        "agent": runner.front("agent"),
        "console": runner.front("console", get("/admin/health")),
    }


def test_probes_and_the_second_address_are_answered_alike(
    runner: Runner, monkeypatch: pytest.MonkeyPatch
) -> None:
    told = {"starting": fronts(runner)}
    runner.kernel_up()
    runner.wait(15)
    told["serving"] = fronts(runner)
    runner.gauges(0.5)
    runner.take("a", "check")
    told["at work"] = fronts(runner)
    told["quiesced"] = {"call": runner.front("console", get("/admin/quiesce", method="POST"))} | fronts(
        runner
    )
    told["resumed"] = {"call": runner.front("console", get("/admin/resume", method="POST"))} | fronts(runner)
    told["odd"] = {"console": runner.front("console", get("/odd"))}
    runner.kernel_lost()
    runner.wait(3)
    told["without its kernel"] = fronts(runner)
    runner.leaves()
    told["leaving"] = {"call": runner.front("console", get("/admin/resume", method="POST"))} | fronts(runner)
    assert_golden("fronts", told)
