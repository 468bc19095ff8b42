"""Health checks of load balancers, without and with sockets: answers, limits, and immediate changes of the report."""

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


class ProbedRunner:
    """A request engine with the factories of both health check listeners, and connections without sockets."""

    def __init__(self, kernel: bool = True, **policy: Any) -> None:
        self.world = EngineHarness()
        self.reporter = Reporter(self.world.core, HealthPolicy(**policy), "n1")
        self.agent = AgentCheckFactory(self.world.core, self.reporter)
        self.health = HealthCheckFactory(
            self.world.core, self.reporter, StatusCodes(), LoadReport(self.world.core, self.reporter)
        )

    def connect(self, factory: Any, *sent: bytes, address: Any = None) -> tuple[Any, Transport]:
        connection, transport = factory.buildProtocol(address), Transport()
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

    def agent_line(self) -> str:
        return str(self.connect(self.agent)[1].value().decode())


# ---- HTTP ----


def test_each_path_answers_its_own_health_check() -> None:
    probed = ProbedRunner()
    assert [probed.get(path)[0] for path in ("/health", "/ready", "/startup", "/alive", "/other")] == [
        200
    ] * 4 + [404]
    probed.world.core.drain(4000)
    probed.world.turn()
    assert [probed.get(path)[0] for path in ("/health", "/ready", "/startup", "/alive")] == [
        503,
        503,
        200,
        200,
    ]
    assert "x-envoy-immediate-health-check-fail: true" in probed.get("/health")[1]


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
def test_the_body_is_json_if_the_accept_header_prefers_it(accept: str, is_json: bool) -> None:
    assert wants_json(accept) is is_json


def test_head_returns_only_headers_and_connections_are_reused() -> None:
    probed = ProbedRunner()
    code, headers, body = probed.get("/health", "Accept: application/json")
    assert code == 200 and json.loads(body)["standing"] == "serving"
    assert any(h.startswith("endpoint-load-metrics: TEXT application_utilization=") for h in headers)
    assert probed.get("/health", "Accept: application/json", method="HEAD")[1:] == (headers, b"")
    assert probed.get("/health", method="POST")[0] == 405
    _, transport = probed.connect(probed.health, b"GET /alive HTTP/1.1\r\n\r\nGET /alive HTTP/1.1\n\n")
    assert transport.value().count(b"HTTP/1.1 200 OK") == 2 and not transport.disconnecting
    _, transport = probed.connect(probed.health, b"GET /alive HTTP/1.0\r\n\r\n")
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
def test_an_invalid_request_gets_one_error_and_the_connection_is_half_closed_then_aborted(
    sent: bytes, code: int
) -> None:
    probed = ProbedRunner()
    connection, transport = probed.connect(probed.health, sent)
    connection.dataReceived(b"x" * 1_000_000)  # ignored
    assert transport.value().startswith(b"HTTP/1.1 %d " % code) and transport.value().count(b"HTTP/1.1 ") == 1
    assert transport.half_closed
    probed.world.wait(3000)
    assert transport.aborted


def test_connections_that_send_or_read_nothing_are_closed_after_a_timeout() -> None:
    probed = ProbedRunner()
    silent = [probed.connect(probed.health, partial)[1] for partial in (b"", b"GET /hea")]
    not_reading_connection, not_reading = probed.connect(probed.health, b"GET /alive HTTP/1.1\r\n\r\n")
    not_reading_connection.pauseProducing()  # the transport signals that its buffer is full
    agent = probed.connect(probed.agent)[1]  # the client has its line but does not close the connection
    probed.world.wait(3000)
    assert all(t.disconnecting for t in silent) and not_reading.aborted and agent.aborted


def test_connections_are_limited_and_the_oldest_idle_one_is_closed_for_a_new_one() -> None:
    probed = ProbedRunner()
    for factory in (probed.agent, probed.health):
        connections = [
            probed.connect(factory, address=IPv4Address("TCP", f"127.0.0.{i}", 1))
            for i in range(MAX_CONNECTIONS)
        ]
        # An agent check's line may still be in transmission, so its connection is not closed yet. An HTTP connection
        # without a request is closed at once to make room for a new one.
        assert (factory.buildProtocol(None) is None) is (factory is probed.agent)
        probed.world.wait(1000)
        assert factory.buildProtocol(None) is not None
        assert connections[0][1].aborted or connections[0][1].disconnecting


def test_a_connection_flood_from_one_address_leaves_connections_to_other_addresses() -> None:
    probed = ProbedRunner()
    flood, other = IPv4Address("TCP", "127.0.0.9", 1), IPv4Address("TCP", "127.0.0.2", 1)
    for factory in (probed.agent, probed.health):
        connections = [probed.connect(factory, address=flood) for _ in range(MAX_CONNECTIONS_OF_HOST)]
        assert factory.buildProtocol(flood) is None and factory.buildProtocol(other) is not None
        connections[0][0].connectionLost()
        assert factory.buildProtocol(flood) is not None
        for connection, _ in connections[1:]:
            connection.connectionLost()
        assert factory._connections_of_host == {"127.0.0.2": 1, "127.0.0.9": 1}


# ---- agent check ----


def test_agent_send_identifies_load_balancers_and_its_length_is_limited() -> None:
    probed = ProbedRunner()
    for _ in range(3):
        for name in (b"lb1\n", b"lb2\n"):
            connection, transport = probed.connect(probed.agent, name)
            assert transport.value().startswith(b"ready up") and transport.half_closed
            connection.connectionLost()
        probed.world.wait(1000)
    intervals = probed.reporter.tracker.probes
    assert {s.rpartition(" ")[2] for s in intervals._sources} >= {"lb1", "lb2"}
    connection, transport = probed.connect(probed.agent, b"x" * (MAX_SENT_BYTES + 1))
    assert transport.aborted


def test_uwsgi_answers_contain_the_load_report_if_it_is_enabled() -> None:
    probed = ProbedRunner()
    factory = UwsgiFactory(probed.world.core, 10, 2048, 60.0, lambda: True)
    for load in (None, LoadReport(probed.world.core, probed.reporter).text):
        factory.load = load
        connection, transport = probed.connect(factory)
        connection.answer(0, Answer(Verdict.SERVED, b"ok"), None)
        assert (b"endpoint-load-metrics: TEXT " in transport.value()) is (load is not None)


# ---- changes that appear in the next report ----


def test_draining_maintenance_and_a_lost_kernel_link_appear_in_the_next_report() -> None:
    probed = ProbedRunner(link_down_grace_ms=500)
    core = probed.world.core
    assert probed.agent_line().startswith("ready up")
    assert probed.reporter.set_maintenance("disk\nready up 100%")
    assert probed.agent_line() == "maint #maintenance: disk?ready up 100%\n"
    assert probed.reporter.end_maintenance() and not probed.reporter.end_maintenance()
    assert probed.agent_line().startswith("ready up 5%")
    core.kernel_status.link_lost()
    probed.world.wait(1000)
    assert probed.agent_line().startswith("ready fail #failed: kernel link gone for 1.0 s")
    core.kernel_status.link_up()
    probed.world.wait(1000)
    assert probed.agent_line().startswith("ready up")
    core.drain(4000)
    assert probed.agent_line().startswith("drain #draining: leaving, 4.0 s left")
    assert not probed.reporter.set_maintenance("late")
    probed.reporter.stop_accepting()
    assert probed.agent_line().startswith("drain stopped")


def test_contradictory_observations_are_reported_as_failed() -> None:
    """An exception in the calculation of a report must not leave a health check without an answer."""
    probed = ProbedRunner()
    probed.agent_line()
    probed.world.core.drain_state.stop_at_us = probed.world.core.clock.now
    probed.reporter.state_changed()
    probed.agent_line()
    # No code cancels a shutdown. The transition table must detect it if a change of the program ever does so.
    probed.world.core.drain_state.stop_at_us = None
    probed.reporter.state_changed()
    assert probed.agent_line() == "ready fail #failed: standing unknown: from draining to serving\n"
    assert probed.get("/health")[0] == 503


@pytest.mark.processes
@asynchronous_test
async def test_agent_checks_over_sockets_report_maintenance_and_a_lost_kernel_link() -> None:
    async with running(kernel := Kernel(work=0.05)) as runner:

        async def wait_for_agent_line(start: bytes) -> None:
            async def has_line() -> bool:
                return (await exchange(runner.agent)).startswith(start)

            await until(has_line)

        front_end = await FrontEnd.connect(runner.port)
        put = b"PUT /maintenance HTTP/1.0\r\nAuthorization: Bearer t0p\r\nContent-Length: %d\r\n\r\n%s"
        body = b'{"reason": "disk", "for_s": 60}'
        assert status(await exchange(runner.admin, b"PUT /maintenance HTTP/1.0\r\n\r\n")) == 401
        assert status(await exchange(runner.admin, put % (9, b'{"for": 1}'))) == 400
        assert status(await exchange(runner.admin, put % (len(body), body))) == 200
        assert (await exchange(runner.agent)).startswith(b"maint #maintenance: disk")
        # The platform's heartbeat reports maintenance, too.
        assert not (await front_end.ask("heartbeat"))["result"]["fit"]
        assert "result" in await front_end.ask("check")  # requests that still arrive are served
        delete = b"DELETE /maintenance HTTP/1.0\r\nAuthorization: Bearer t0p\r\n\r\n"
        assert [status(await exchange(runner.admin, delete)) for _ in range(2)] == [200, 409]
        assert (await exchange(runner.agent)).startswith(b"ready up")
        inputs = json.loads(body_of(await exchange(runner.admin, b"GET /standing HTTP/1.0\r\n\r\n")))
        assert inputs["crowd"]["survives_per_core"] == 5 and inputs["maintenance"] is None
        port = kernel.port  # the kernel disconnects and reconnects
        kernel.stop_listening()
        kernel.cut()
        await wait_for_agent_line(b"ready fail #failed: kernel link")
        kernel.listen(port)
        await wait_for_agent_line(b"ready up")


@pytest.mark.processes
@asynchronous_test
async def test_a_reload_changes_the_answers_to_health_checks() -> None:
    async with running(Kernel()) as runner:
        fronts = runner.fronts
        fronts.write_text(
            fronts.read_text().replace("[health]", "[health]\ndraining_status = 429\nload_report = true")
            + "[standing]\nprobe_ms = 700\n"
        )
        runner.reload()
        await wait_until(lambda: "configuration read again" in runner.read_log())
        inputs = json.loads(body_of(await exchange(runner.admin, b"GET /standing HTTP/1.0\r\n\r\n")))
        assert inputs["crowd"]["horizon_ms"] >= 1200
        assert b"endpoint-load-metrics: TEXT " in await exchange(
            runner.health, b"GET /health HTTP/1.0\r\n\r\n"
        )
        fronts.write_text(fronts.read_text().replace("probe_ms = 700", "probe_ms = 1"))
        runner.reload()
        await wait_until(lambda: "configuration not changed: standing.probe_ms" in runner.read_log())
