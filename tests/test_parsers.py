"""Tests of the parsers of requests, replies and configuration files, as tables of cases."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from moorusher.backends import database
from moorusher.backends.http_client import HttpClientProtocol, HttpResponse
from moorusher.config import fleet as settings
from moorusher.config import loader, section
from moorusher.config.health import HEALTH_SETTINGS
from moorusher.config.load_balancing import TIER_SETTINGS, TierConfig
from moorusher.config.model import AdminConfig, Config, HealthCheckConfig, OperatorConfig, UwsgiConfig
from moorusher.config.namespaces import NamespacesConfig
from moorusher.config.operator_file import DEFAULT_OPERATOR_FILE, read_operator_file
from moorusher.core.outcomes import SCHEDULER_OUTCOMES, EndReason
from moorusher.forecasting.policy import ForecastPolicy
from moorusher.frontends import jsonrpc_messages
from moorusher.maintenance.policy import MaintenancePolicy
from moorusher.protocols import uwsgi_packets
from moorusher.routing.grants import Grants

VALID_PARAMS = {
    "rid": "9b1f03aa5c7e2d41",
    "t0": 1764576000123,
    "peer": 4,
    "acct": "acme",
    "budget": 480,
    "mem": 24.5,
    "prio": 0.625,
    "content": "AAE=",
}


def test_a_valid_request_is_parsed() -> None:
    arrival = jsonrpc_messages.read_arrival("check", VALID_PARAMS | {"obj": "7f3a9c21e0b4d655"})
    assert (arrival.rid, arrival.budget_ms, arrival.tenant, arrival.body, arrival.subject) == (
        VALID_PARAMS["rid"],
        480,
        "acme",
        b"\0\1",
        0x7F3A9C21E0B4D655,
    )


@pytest.mark.parametrize(
    "change, named",
    [
        ({"rid": None}, "rid"),
        ({"rid": 7}, "rid"),
        ({"rid": ""}, "rid"),
        ({"rid": "a" * 65}, "rid"),
        ({"rid": "a\r\nNever-Started: 1"}, "rid"),
        ({"rid": "\u0661"}, "rid"),
        ({"token": "t t"}, "token"),
        ({"t0": "now"}, "t0"),
        ({"t0": -1}, "t0"),
        ({"t0": True}, "t0"),
        ({"t0": 1e300}, "t0"),
        ({"budget": -1}, "budget"),
        ({"budget": float("nan")}, "budget"),
        ({"budget": float("inf")}, "budget"),
        ({"budget": 1e9}, "budget"),
        ({"mem": []}, "mem"),
        ({"mem": 0}, "mem"),
        ({"mem": -1}, "mem"),
        ({"mem": 2000}, "mem"),
        ({"mem": None}, "mem"),
        ({"prio": 1}, "prio"),
        ({"prio": -0.1}, "prio"),
        ({"prio": None}, "prio"),
        ({"t0": None}, "t0"),
        ({"peer": 1.5}, "peer"),
        ({"peer": -1}, "peer"),
        ({"peer": None}, "peer"),
        ({"prio": 1.5}, "prio"),
        ({"peer": "x"}, "peer"),
        ({"acct": 5}, "acct"),
        ({"token": {}}, "token"),
        ({"obj": "xyz"}, "obj"),
        ({"content": 5}, "content"),
        ({"content": "A"}, "content"),
        ({"content": "A?=="}, "content"),
        ({"content": "é"}, "content"),
        ({"content": "A" * 2736}, "content"),
    ],
)
def test_errors_name_the_invalid_param(change: dict[str, Any], named: str) -> None:
    with pytest.raises(jsonrpc_messages.InvalidParamsError, match=named):
        jsonrpc_messages.read_arrival("check", VALID_PARAMS | change)


VARS = {uwsgi_packets.VARS["class"]: "check"}


@pytest.mark.parametrize(
    "block",
    [
        b"\1",
        b"\5\0ab",
        b"\1\0a",
        b"\1\0a\5\0b",
        b"\0\0\1\0b",
        b"".join(b"\4\0%04d\0\0" % i for i in range(200)),
    ],
)
def test_invalid_blocks_of_variables_are_rejected(block: bytes) -> None:
    with pytest.raises(uwsgi_packets.InvalidPacketError) as caught:
        uwsgi_packets.parse_vars(block)
    assert caught.value.status == 400


def test_a_built_packet_is_parsed_to_the_same_variables() -> None:
    raw = uwsgi_packets.build_packet(VARS | {"EMPTY": "", "HIGH": "\xff"})
    assert uwsgi_packets.HEAD.unpack_from(raw) == (0, len(raw) - 4, 0)
    assert uwsgi_packets.parse_vars(raw[4:]) == VARS | {"EMPTY": "", "HIGH": "\xff"}


@pytest.mark.parametrize(
    "text, status",
    [
        ("-1", 400),
        ("+1", 400),
        ("1e3", 400),
        (" 1", 400),
        ("1_0", 400),
        ("\u0661", 400),
        ("2049", 413),
        ("9" * 5000, 413),
        ("0x10", 400),
    ],
)
def test_invalid_content_lengths_are_rejected(text: str, status: int) -> None:
    with pytest.raises(uwsgi_packets.InvalidPacketError) as caught:
        uwsgi_packets.content_length({"CONTENT_LENGTH": text}, 2048)
    assert caught.value.status == status


@pytest.mark.parametrize("text, length", [("", 0), ("0", 0), ("2048", 2048), ("007", 7)])
def test_valid_content_lengths_are_parsed(text: str, length: int) -> None:
    assert uwsgi_packets.content_length({"CONTENT_LENGTH": text}, 2048) == length


@pytest.mark.parametrize(
    "name, text",
    [
        ("budget", "-1"),
        ("budget", "nan"),
        ("budget", "inf"),
        ("t0", "soon"),
        ("prio", "1"),
        ("mem", "0"),
        ("mem", "2000"),
        ("obj", "xyz"),
        ("token", "t" * 129),
        ("rid", "a\r\nX: 1"),
        ("token", "a\n"),
        ("class", ""),
    ],
)
def test_errors_name_the_invalid_uwsgi_variable(name: str, text: str) -> None:
    with pytest.raises(uwsgi_packets.InvalidPacketError, match=uwsgi_packets.VARS[name]):
        uwsgi_packets.read_arrival(VARS | {uwsgi_packets.VARS[name]: text}, b"")


class RecordingClient(HttpClientProtocol):
    """A client that has sent one request, and records the responses and errors."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[object] = []
        self.request_sent()

    def unexpected_data(self) -> None:
        self.events.append("unexpected data")

    def response_received(self, response: HttpResponse) -> None:
        self.events.append((response.status, response.body, response.keep_alive))

    def response_malformed(self, reason: str) -> None:
        self.events.append(reason)


@pytest.mark.parametrize(
    "raw, events",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", [(200, b"ab", True)]),
        (
            b"HTTP/1.1 204 No\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            [(204, b"", True), "unexpected data"],
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab" * 2, [(200, b"ab", True), "unexpected data"]),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabcd", [(200, b"ab", True), "unexpected data"]),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
            ["conflicting Content-Length headers"],
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", [(200, b"ab", True)]),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + b"x" * 99,
            ["missing or invalid Content-Length"],
        ),
        (b"HTTP/1.1 103 Early\r\n\r\n" * 9, ["too many interim responses"]),
        (b"HTTP/1.1 200 OK\r\n" + b"X-A: 0123456789\r\n" * 2000, ["response head is too long"]),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 17_000, ["header line is too long"]),
        (b"HTTP/1.1 999 OK\r\n", ["invalid status line"]),
        (b"HTTP/1.1 200 OK\r\nBad Name : 5\r\n", ["invalid header"]),
        (b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 500 X\r\ncontent-length:1\r\n\r\nx", [(500, b"x", True)]),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", [(200, b"x", False)]),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", [(200, b"x", False)]),
        (b"HTTP/1.1 200 OK\r\n\r\n", ["missing or invalid Content-Length"]),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ["Transfer-Encoding is not supported"]),
        (b"hello\r\n", ["invalid status line"]),
        (b"HTTP/1.1 200 OK\r\nnonsense\r\n", ["invalid header"]),
    ],
)
def test_http_responses_are_parsed_in_segments_of_any_size(raw: bytes, events: list[object]) -> None:
    for step in (1, 7, len(raw)):
        client = RecordingClient()
        client.transport = type("T", (), {"disconnecting": False})()
        for at in range(0, len(raw), step):
            client.dataReceived(raw[at : at + step])
        assert client.events == events


@pytest.mark.parametrize(
    "status, never_started, reason",
    [
        (200, False, EndReason.CALL_ANSWERED),
        (503, True, EndReason.CALL_REJECTED),
        (503, False, EndReason.CALL_FAILED),
        (409, True, EndReason.CALL_NOT_AWAITED),
        (409, False, EndReason.CALL_FAILED),
        (500, False, EndReason.CALL_FAILED),
        (504, False, EndReason.CALL_DEADLINE_EXCEEDED),
        (404, False, EndReason.CALL_FAILED),
    ],
)
def test_end_reasons_of_database_calls(status: int, never_started: bool, reason: EndReason) -> None:
    assert database.end_reason_of(status, {b"never-started": b"1"} if never_started else {}) is reason


def test_only_end_reasons_that_prove_it_count_as_never_run() -> None:
    never_run = {reason for reason, outcome in SCHEDULER_OUTCOMES.items() if outcome.never_ran}
    assert never_run == {
        EndReason.RUN_NEVER_STARTED,
        EndReason.CALL_REJECTED,
        EndReason.CALL_NOT_AWAITED,
        EndReason.CALL_NOT_CONNECTED,
    }


CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:8443",
    "kernel": "127.0.0.1:7300",
    "settings": {
        "classes": [{"name": "c", "aimMs": 5, "deadlineMs": 9}],
        "extra": {"cpus": 2, "memoryKb": 1000},
        "news": 1,
    },
}


def load(tmp_path: Path, data: object, fronts: str = "") -> Config:
    """Load a configuration from the platform's file with this content and an operator file."""
    (tmp_path / "c.json").write_text(data if isinstance(data, str) else json.dumps(data))
    (tmp_path / "fronts.toml").write_text(fronts)
    return loader.load({"GW_CONFIG": str(tmp_path / "c.json")}, tmp_path / "fronts.toml")


@pytest.mark.parametrize(
    "change, named",
    [
        ({"listen": "8443"}, "listen"),
        ({"listen": None}, "listen"),
        ({"kernel": "h:99999"}, "kernel"),
        ({"kernel": 5}, "kernel"),
        ({"db": "x"}, "db"),
        ({"name": "a/b"}, "name"),
        ({"seed": "xyz"}, "seed"),
        ({"stop_ms": 0}, "stop_ms"),
        ({"stop_ms": "soon"}, "stop_ms"),
        ({"limits": []}, "limits"),
        ({"limits": {"sockets": -1}}, "limits.sockets"),
        ({"limits": {"memory_mb": True}}, "limits.memory_mb"),
        ({"stop_ms": 10**400}, "stop_ms"),
        ({"stop_ms": float("inf")}, "stop_ms"),
        ({"stop_ms": float("nan")}, "stop_ms"),
        ({"settings": {}}, "settings"),
        ({"settings": {"extra": {"cpus": 0}}}, "cpus|memoryKb"),
    ],
)
def test_config_errors_name_the_key(tmp_path: Path, change: dict[str, Any], named: str) -> None:
    with pytest.raises(section.ConfigError, match=named):
        load(tmp_path, CONFIG | change)


@pytest.mark.parametrize(
    "text, named",
    [
        ("[uwsgi]\nlisten = 'x'", "uwsgi.listen"),
        ("[uwsgi]\nlistn = 'x'", "uwsgi.listn"),
        ("[wsgi]", "wsgi"),
        ("[admin]\nlisten = '10.0.0.1:1'", "admin.listen"),
        ("[admin]\ntoken_file = 'none'", "admin.token_file"),
        ("[standing]\nprobe_ms = 1", "standing.probe_ms"),
        ("[standing]\nprobe = 1", "standing.probe"),
        ("[standing]\ncalm_at = 0.9", "standing.calm_at"),
        ("[health]\nfull_status = 99", "health.full_status"),
        ("[standing]\ngauge_fresh_ms = 6000", "standing.gauge_fresh_ms"),
        ("[agent]\nmaxconn = 3", "agent.maxconn"),
        ("[tier]\nqueue = -1", "tier.queue"),
        ("[tier]\nleast_limit = 300", "tier.least_limit"),
        ("[tier]\nknowledge_file = 'no/such/folder/x'", "tier.knowledge_file"),
        ("[[tier.server]]\nname = 'a'", r"tier.server\[0\].address"),
        ("[[tier.server]]\nname = 'a b'", r"\[0\].name"),
        ("[tier]\nserver = [{name = 'a', address = 'h:1'}, {name = 'a', address = 'h:2'}]", "name a is used"),
        ("[[tier.server]]\nname = 'a'\naddress = 'h:1'\nprotocol = 'ftp'", r"tier.server\[0\].protocol"),
        ("[uwsgi]\nbody_bytes = 0", "uwsgi.body_bytes"),
        ("x", "fronts.toml"),
        ("agent = 5", "agent"),
    ],
)
def test_errors_in_the_operator_file_name_the_key(tmp_path: Path, text: str, named: str) -> None:
    with pytest.raises(section.ConfigError, match=named):
        load(tmp_path, CONFIG, text)


def test_a_configuration_is_loaded_with_its_defaults(tmp_path: Path) -> None:
    config = load(tmp_path, CONFIG)
    assert (config.listen, config.stop_ms, config.limits.sockets, config.uwsgi.listen) == (
        ("127.0.0.1", 8443),
        3000.0,
        1024,
        None,
    )
    with pytest.raises(section.ConfigError, match="GW_CONFIG"):
        load(tmp_path, "{")
    with pytest.raises(section.ConfigError, match="GW_CONFIG"):
        loader.load({})


def test_the_default_operator_file_enables_nothing() -> None:
    config = read_operator_file(DEFAULT_OPERATOR_FILE)
    assert config == OperatorConfig(
        UwsgiConfig(),
        HealthCheckConfig(),
        AdminConfig(),
        TierConfig(),
        settings.FleetConfig(),
        NamespacesConfig(),
        ForecastPolicy(),
        MaintenancePolicy(),
    )


def test_the_number_of_runners_of_the_tier_defaults_to_the_number_of_fleet_seats(
    tmp_path: Path,
) -> None:
    seats = "".join(f'[[fleet.seat]]\nname = "n{i}"\naddress = "127.0.0.1:{3040 + i}"\n' for i in range(3))
    file = tmp_path / "fronts.toml"
    for tier, runners in (("", 3), ("[tier]\nrunners = 7\n", 7)):
        file.write_text(f'[fleet]\nlisten = "127.0.0.1:3040"\nname = "f"\n{seats}{tier}')
        assert read_operator_file(file).tier.policy.runners == runners
    file.write_text("")
    assert read_operator_file(file).tier.policy.runners == 1


SERVER_KEYS = {"name", "address", "weight", "zone", "group", "protocol"}  # keys of the sample server and seat


def test_the_default_operator_file_documents_every_key_with_its_default(tmp_path: Path) -> None:
    default_text = DEFAULT_OPERATOR_FILE.read_text()
    keys_without_default = {
        *SERVER_KEYS,
        "listen",
        "below",
        "token_file",
        "knowledge_file",
        "to",
        "every_ms",
        "servers",
        "pools",
        "limit",
        "customer",
        "days",
    }
    uncommented = "\n".join(
        line.removeprefix("# ")
        if " = " in line and line[2:].split(" ")[0] not in keys_without_default
        else line
        for line in default_text.splitlines()
    )
    (tmp_path / "fronts.toml").write_text(uncommented)
    config = read_operator_file(tmp_path / "fronts.toml")
    assert config.forecast == ForecastPolicy() and config.outage == MaintenancePolicy()
    assert (
        config.uwsgi,
        config.probes,
        config.tier,
        config.fleet,
        replace(config.namespaces, grants=Grants()),
    ) == (
        UwsgiConfig(),
        HealthCheckConfig(),
        TierConfig(),
        settings.FleetConfig(),
        NamespacesConfig(),
    )
    assert all(
        f"# {name} = " in default_text
        for name in {**HEALTH_SETTINGS, **TIER_SETTINGS, **settings.DUTY_SETTINGS}
    )
