"""What balancers ask, without sockets and over them: bounds, hard cases, and that each is in the first report."""

from __future__ import annotations

import json
from typing import Any

import pytest
from twisted.internet.address import IPv4Address

from moorusher.core.answer import Answer, Verdict
from moorusher.frontends.agent import MAX_SENT_BYTES, AgentCheckFactory
from moorusher.frontends.health import HealthCheckFactory, wants_json
from moorusher.frontends.probes import MAX_CONNECTIONS, MAX_CONNECTIONS_OF_HOST, LoadReport
from moorusher.frontends.uwsgi import UwsgiFactory
from moorusher.health.formatting import StatusCodes
from moorusher.health.policy import HealthPolicy
from moorusher.health_reporting.reporter import Reporter

from .stand_ins import FrontEnd, Kernel, body_of, exchange, running, status, until
from .test_core import EngineHarness
from .test_fronts import Transport
from .test_sockets import asynchronous_test, wait_until


class Probes:
    """A core with both listeners' factories, and connections made by hand."""

    def __init__(self, kernel: bool = True, **policy: Any) -> None:
        self.world = EngineHarness()
        self.reporter = Reporter(self.world.core, HealthPolicy(**policy), "n1")
        self.agent = AgentCheckFactory(self.world.core, self.reporter)
        self.health = HealthCheckFactory(
            self.world.core, self.reporter, StatusCodes(), LoadReport(self.world.core, self.reporter)
        )

    def connect(self, front: Any, *sent: bytes, address: Any = None) -> tuple[Any, Transport]:
        connection, transport = front.buildProtocol(address), Transport()
        assert connection is not None
        connection.makeConnection(transport)
        for part in sent:
            connection.dataReceived(part)
        return connection, transport

    def get(self, path: str, *headers: str, method: str = "GET") -> tuple[int, list[str], bytes]:
        lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers]
        _, transport = self.connect(self.health, ("\r\n".join(lines) + "\r\n\r\n").encode())
        head, _, body = transport.value().partition(b"\r\n\r\n")
        first, *rest = head.decode().split("\r\n")
        return int(first.split()[1]), rest, body

    def line(self) -> str:
        return str(self.connect(self.agent)[1].value().decode())


# ---- HTTP ----


def test_each_endpoint_has_its_own_question() -> None:
    p = Probes()
    assert [p.get(path)[0] for path in ("/health", "/ready", "/startup", "/alive", "/other")] == [200] * 4 + [
        404
    ]
    p.world.core.drain(4000)
    p.world.turn()
    assert [p.get(path)[0] for path in ("/health", "/ready", "/startup", "/alive")] == [503, 503, 200, 200]
    assert "x-envoy-immediate-health-check-fail: true" in p.get("/health")[1]


@pytest.mark.parametrize(
    "accept, is_json",
    [
        ("", False),
        ("*/*", False),
        ("application/json", True),
        ("text/plain, application/json", True),
        ("text/plain, application/json;q=0.5", False),
        ("application/json;q=0", False),
        ("application/*", True),
        ("application/json;q=x", False),
        (",;,q=1", False),
    ],
)
def test_the_body_is_json_where_that_is_asked_for(accept: str, is_json: bool) -> None:
    assert wants_json(accept) is is_json


def test_head_has_the_head_alone_and_a_second_probe_the_same_connection() -> None:
    p = Probes()
    code, headers, body = p.get("/health", "Accept: application/json")
    assert code == 200 and json.loads(body)["standing"] == "serving"
    assert any(h.startswith("endpoint-load-metrics: TEXT application_utilization=") for h in headers)
    assert p.get("/health", "Accept: application/json", method="HEAD")[1:] == (headers, b"")
    assert p.get("/health", method="POST")[0] == 405
    _, transport = p.connect(p.health, b"GET /alive HTTP/1.1\r\n\r\nGET /alive HTTP/1.1\n\n")
    assert transport.value().count(b"HTTP/1.1 200 OK") == 2 and not transport.disconnecting
    _, transport = p.connect(p.health, b"GET /alive HTTP/1.0\r\n\r\n")
    assert transport.disconnecting


@pytest.mark.parametrize(
    "sent, code",
    [
        (b"x" * 5000, 431),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 2000, 431),
        (b"GET /\r\n\r\n", 400),
        (b"GET / SPDY/3\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nnocolon\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 413),
        (b"\x16\x03\x01\x02\n\xff\n\n", 400),
    ],
)
def test_what_is_no_probe_gets_its_error_once_and_a_close_by_halves(sent: bytes, code: int) -> None:
    p = Probes()
    connection, transport = p.connect(p.health, sent)
    connection.dataReceived(b"x" * 1_000_000)  # thrown away
    assert transport.value().startswith(b"HTTP/1.1 %d " % code) and transport.value().count(b"HTTP/1.1 ") == 1
    assert transport.half_closed
    p.world.wait(3000)
    assert transport.aborted


def test_probes_that_say_nothing_or_never_read_lose_their_places() -> None:
    p = Probes()
    silent = [p.connect(p.health, half)[1] for half in (b"", b"GET /hea")]
    deaf_connection, deaf = p.connect(p.health, b"GET /alive HTTP/1.1\r\n\r\n")
    deaf_connection.pauseProducing()  # the transport says that its buffer is full
    agent = p.connect(p.agent)[1]  # it has its line, and doesn't close
    p.world.wait(3000)
    assert all(t.disconnecting for t in silent) and deaf.aborted and agent.aborted


def test_places_are_bounded_and_the_longest_useless_one_makes_room() -> None:
    p = Probes()
    for front in (p.agent, p.health):
        held = [
            p.connect(front, address=IPv4Address("TCP", f"127.0.0.{i}", 1)) for i in range(MAX_CONNECTIONS)
        ]
        # An agent's line may still be on its way; who has said nothing yet over HTTP goes where there is no other.
        assert (front.buildProtocol(None) is None) is (front is p.agent)
        p.world.wait(1000)
        assert front.buildProtocol(None) is not None
        assert held[0][1].aborted or held[0][1].disconnecting


def test_a_flood_from_one_address_leaves_places_to_the_others() -> None:
    p = Probes()
    flood, other = IPv4Address("TCP", "127.0.0.9", 1), IPv4Address("TCP", "127.0.0.2", 1)
    for front in (p.agent, p.health):
        held = [p.connect(front, address=flood) for _ in range(MAX_CONNECTIONS_OF_HOST)]
        assert front.buildProtocol(flood) is None and front.buildProtocol(other) is not None
        held[0][0].connectionLost()
        assert front.buildProtocol(flood) is not None
        for connection, _ in held[1:]:
            connection.connectionLost()
        assert front._connections_of_host == {"127.0.0.2": 1, "127.0.0.9": 1}


# ---- agent check ----


def test_agent_send_is_read_with_a_bound_and_tells_balancers_apart() -> None:
    p = Probes()
    for _ in range(3):
        for name in (b"lb1\n", b"lb2\n"):
            connection, transport = p.connect(p.agent, name)
            assert transport.value().startswith(b"ready up") and transport.half_closed
            connection.connectionLost()
        p.world.wait(1000)
    known = p.reporter.tracker.probes
    assert {s.rpartition(" ")[2] for s in known._sources} >= {"lb1", "lb2"}
    connection, transport = p.connect(p.agent, b"x" * (MAX_SENT_BYTES + 1))
    assert transport.aborted


def test_uwsgi_answers_carry_the_load_report_where_it_is_switched_on() -> None:
    p = Probes()
    front = UwsgiFactory(p.world.core, 10, 2048, 60.0, lambda: True)
    for load in (None, LoadReport(p.world.core, p.reporter).text):
        front.load = load
        connection, transport = p.connect(front)
        connection.answer(0, Answer(Verdict.SERVED, b"ok"), None)
        assert (b"endpoint-load-metrics: TEXT " in transport.value()) is (load is not None)


# ---- in the first report ----


def test_a_notice_a_maintenance_and_a_lost_link_are_in_the_very_next_report() -> None:
    p = Probes(link_down_grace_ms=500)
    core = p.world.core
    assert p.line().startswith("ready up")
    assert p.reporter.set_maintenance("disk\nready up 100%")
    assert p.line() == "maint #maintenance: disk?ready up 100%\n"
    assert p.reporter.end_maintenance() and not p.reporter.end_maintenance()
    assert p.line().startswith("ready up 5%")
    core.kernel_status.link_lost()
    p.world.wait(1000)
    assert p.line().startswith("ready fail #failed: kernel link gone for 1.0 s")
    core.kernel_status.link_up()
    p.world.wait(1000)
    assert p.line().startswith("ready up")
    core.drain(4000)
    assert p.line().startswith("drain #draining: leaving, 4.0 s left")
    assert not p.reporter.set_maintenance("late")
    p.reporter.stop_accepting()
    assert p.line().startswith("drain stopped")


def test_what_contradicts_itself_is_said_as_failed_and_ends_nothing() -> None:
    p = Probes()
    p.line()
    p.world.core.drain_state.stop_at_us = p.world.core.clock.now
    p.reporter.state_changed()
    p.line()
    p.world.core.drain_state.stop_at_us = (
        None  # no code does this: the table must hold against code that will
    )
    p.reporter.state_changed()
    assert p.line() == "ready fail #failed: standing unknown: from draining to serving\n"
    assert p.get("/health")[0] == 503


@pytest.mark.processes
@asynchronous_test
async def test_over_sockets_a_kernel_that_is_cut_off_and_an_operator_are_heard() -> None:
    async with running(kernel := Kernel(work=0.05)) as r:

        async def says(start: bytes) -> None:
            async def look() -> bool:
                return (await exchange(r.agent)).startswith(start)

            await until(look)

        f = await FrontEnd.connect(r.port)
        put = b"PUT /maintenance HTTP/1.0\r\nAuthorization: Bearer t0p\r\nContent-Length: %d\r\n\r\n%s"
        body = b'{"reason": "disk", "for_s": 60}'
        assert status(await exchange(r.admin, b"PUT /maintenance HTTP/1.0\r\n\r\n")) == 401
        assert status(await exchange(r.admin, put % (9, b'{"for": 1}'))) == 400
        assert status(await exchange(r.admin, put % (len(body), body))) == 200
        assert (await exchange(r.agent)).startswith(b"maint #maintenance: disk")
        assert not (await f.ask("heartbeat"))["result"][
            "fit"
        ]  # the platform's checks follow an operator, too
        assert "result" in await f.ask("check")  # what comes all the same is served
        delete = b"DELETE /maintenance HTTP/1.0\r\nAuthorization: Bearer t0p\r\n\r\n"
        assert [status(await exchange(r.admin, delete)) for _ in range(2)] == [200, 409]
        assert (await exchange(r.agent)).startswith(b"ready up")
        inputs = json.loads(body_of(await exchange(r.admin, b"GET /standing HTTP/1.0\r\n\r\n")))
        assert inputs["crowd"]["survives_per_core"] == 5 and inputs["maintenance"] is None
        port = kernel.port  # the kernel goes, and comes back
        kernel.deafen()
        kernel.cut()
        await says(b"ready fail #failed: kernel link")
        kernel.listen(port)
        await says(b"ready up")


@pytest.mark.processes
@asynchronous_test
async def test_a_reload_changes_what_probes_are_told() -> None:
    async with running(Kernel()) as r:
        fronts = r.fronts
        fronts.write_text(
            fronts.read_text().replace("[health]", "[health]\ndraining_status = 429\nload_report = true")
            + "[standing]\nprobe_ms = 700\n"
        )
        r.reload()
        await wait_until(lambda: "configuration read again" in r.text())
        inputs = json.loads(body_of(await exchange(r.admin, b"GET /standing HTTP/1.0\r\n\r\n")))
        assert inputs["crowd"]["horizon_ms"] >= 1200
        assert b"endpoint-load-metrics: TEXT " in await exchange(r.health, b"GET /health HTTP/1.0\r\n\r\n")
        fronts.write_text(fronts.read_text().replace("probe_ms = 700", "probe_ms = 1"))
        r.reload()
        await wait_until(lambda: "configuration not changed: standing.probe_ms" in r.text())
