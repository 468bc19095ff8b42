"""Frames of the simulator's wire format: the documented examples, and invalid input."""

from __future__ import annotations

import io
import json
import re
import struct

import pytest

from moorusher.config.scheduler_settings import SettingsError, parse_settings
from moorusher.scheduling import interface as api
from moorusher.simulator import host as simhost
from moorusher.simulator import wire

EXAMPLE = bytes.fromhex(
    "78000000 00000000206ec040 05000000 0c000000"
    "0901 03000000"
    "0101 c4913a5d 0000000000006e40 1100 00000000 9a9999999999fd3f 0100 00 192b6f0e 0000203f 640ad2557c3bf091"
    "0000000000002840 0000c441"
    "0701 4d000000 04 52b81e3f0000404085ebd13e0000f042"
    "0901 05000000"
    "0601 192b6f0e"
)
SETUP = {
    "classes": [{"aimMs": 1000, "deadlineMs": 4000, "effect": "guarded", "windowMs": 5000, "worth": 2}],
    "extra": {"cpus": 2, "memoryKb": 10000, "halt": "discard", "say": "floor", "news": 1},
}


def frame(records: bytes, count: int, now: float = 5.0, sequence: int = 1) -> bytes:
    return struct.pack("<IdII", 20 + len(records), now, count, sequence) + records


def start_record(setup: object = SETUP) -> bytes:
    encoded = json.dumps(setup).encode()
    return struct.pack("<HI", 265, 0) + struct.pack("<HQI", 256, 7, len(encoded)) + encoded


def test_the_documented_batch_is_decoded() -> None:
    batch = wire.decode_batch(EXAMPLE)
    assert batch.now == 8412.25
    assert batch.sequence == 12
    (first, events), (second, abandoned) = batch.groups
    assert (first, second) == (3, 5)
    request = events[0]
    assert isinstance(request, api.Request)
    assert (request.id, request.ttl_ms, request.cost_hint_ms, request.repeat_of) == (
        0x5D3A91C4,
        240.0,
        12.0,
        0x0E6F2B19,
    )
    assert isinstance(events[1], api.Timer)
    assert events[1].token == 77 and len(events[1].gauges) == 4
    assert abandoned == [api.RequestAbandoned(0x0E6F2B19)]


def test_the_documented_reply_is_encoded() -> None:
    expected = bytes.fromhex(
        "41000000 05000000 0c000000 0d01 03000000 0c01 c4913a5d 0901 0000000000407f40 4d000000"
        "0d01 05000000 0101 1100 74776f2073657276657273206b6e6f776e"
    )
    reply = wire.encode_reply(
        12, [(3, [api.Start(0x5D3A91C4), api.SetTimer(500.0, 77)]), (5, [api.Log("two servers known")])]
    )
    assert reply == expected


@pytest.mark.parametrize(
    "action, size",
    [
        (api.Reject(1, 250.0, True), 15),
        (api.Fail(1), 6),
        (api.Stop(1), 6),
        (api.SkipCall(1), 6),
        (api.DropKey(1), 6),
        (api.ShareResult(1), 6),
        (api.StartCall(1, 5.0), 14),
        (api.StoreKey(1, 5.0), 14),
        (api.SetHealth(True, True), 4),
        (api.Signal(0.5), 6),
        (api.CloseIdleConnections(100.0), 10),
    ],
)
def test_an_encoded_action_has_the_specified_size(action: api.Action, size: int) -> None:
    assert len(wire.encode_action(action)) == size


@pytest.mark.parametrize(
    "malformed",
    [
        EXAMPLE[:-1],
        frame(b"", 1),
        frame(struct.pack("<HI", 265, 1), 2),
        frame(struct.pack("<HIH", 265, 1, 999), 2),
        frame(struct.pack("<HI", 259, 1), 1),
        frame(struct.pack("<HI", 265, 1) + b"x", 1),
        frame(struct.pack("<HI", 265, 1) + struct.pack("<HQI", 256, 1, 3) + b"{x}", 2),
        frame(struct.pack("<HI", 265, 1) + struct.pack("<HQI", 256, 1, 900) + b"{}", 2),
        frame(struct.pack("<HI", 265, 1) + struct.pack("<HIdB", 258, 1, 1.0, 17), 2),
    ],
)
def test_malformed_frames_are_rejected(malformed: bytes) -> None:
    with pytest.raises(ValueError):
        wire.decode_batch(malformed)


def test_settings_are_parsed_and_unknown_keys_are_ignored() -> None:
    settings = parse_settings(json.dumps(SETUP).encode(), 7)
    assert (
        settings.classes[0].effect is api.Effect.IDEMPOTENT_WITH_KEY
        and settings.preemption is api.Preemption.DISCARD
    )
    assert (
        settings.signal is api.SignalKind.FLOOR
        and settings.downstream is api.Downstream.OFF
        and settings.tenants == ()
    )


@pytest.mark.parametrize(
    "key, value, expected_name",
    [
        ("cpus", None, "cpus"),
        ("cpus", "six", "cpus"),
        ("memoryKb", 0, "memory_kb"),
        ("halt", "maybe", "halt"),
        ("memoryKb", True, "memoryKb"),
    ],
)
def test_an_error_names_the_invalid_setting(key: str, value: object, expected_name: str) -> None:
    setup = {**SETUP, "extra": {**SETUP["extra"], key: value}}  # type: ignore[dict-item]
    with pytest.raises(ValueError, match=expected_name):
        parse_settings(json.dumps(setup).encode())


def test_an_error_names_the_key_in_the_file_instead_of_the_internal_field() -> None:
    invalid_class = {**SETUP["classes"][0], "aimMs": -1}  # type: ignore[index]
    with pytest.raises(SettingsError, match=re.escape("setting classes[0].aimMs: expected a number")):
        parse_settings(json.dumps(SETUP | {"classes": [invalid_class]}).encode())
    with pytest.raises(SettingsError, match=re.escape("setting tipMultiple: expected at least 1, got 0.5")):
        parse_settings(json.dumps(SETUP | {"invariants": {"tipMultiple": 0.5}}).encode())


def test_invalid_settings_objects_raise_a_value_error_that_names_the_field() -> None:
    with pytest.raises(ValueError, match="deadline_ms"):
        api.RequestClass(latency_objective_ms=10, deadline_ms=5)
    with pytest.raises(ValueError, match="classes"):
        api.Settings(cores=1, memory_kb=1, classes=())
    with pytest.raises(ValueError, match="cores"):
        api.Settings(cores=True, memory_kb=1, classes=(api.RequestClass(1, 1),))


def run_host(data: bytes) -> tuple[int, bytes]:
    sink = io.BytesIO()
    return simhost.serve(io.BytesIO(data), sink), sink.getvalue()


def test_the_host_answers_until_its_input_ends() -> None:
    exit_code, output = run_host(frame(start_record(), 2) + frame(b"", 0, sequence=2))
    assert exit_code == 0
    assert output.endswith(wire.encode_reply(2, []))


@pytest.mark.parametrize("malformed", [b"\x01", struct.pack("<I", 3), frame(b"", 1), frame(b"", 0)[:-2]])
def test_malformed_input_ends_the_host_with_a_fatal_reply(
    malformed: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    exit_code, output = run_host(malformed)
    assert exit_code != 0
    assert struct.unpack_from("<H", output, 12)[0] == 259
    assert capsys.readouterr().err.count("\n") == 1


def test_an_exception_in_the_scheduler_is_reported_in_a_fatal_reply() -> None:
    request_with_unknown_class = (
        struct.pack("<HI", 265, 0)
        + b"\x01\x01"
        + struct.pack("<IdHIdHBIfQdf", 1, 0, 1, 0, 0, 0, 9, 0, 0, 0, 0, 8)
    )
    exit_code, output = run_host(frame(start_record(), 2) + frame(request_with_unknown_class, 2, sequence=2))
    assert exit_code != 0
    assert b"class_index 9" in output


def test_instances_act_alike_in_one_host_and_in_separate_hosts() -> None:
    def run(hosts: dict[int, simhost.Host]) -> list[tuple[int, list[api.Action]]]:
        replies: list[tuple[int, list[api.Action]]] = []
        for step in range(60):
            for server in (0, 1):
                events: list[wire.HostEvent] = []
                if step == 0:
                    events.append(wire.InstanceStarted(parse_settings(json.dumps(SETUP).encode(), 7)))
                events += [api.Request(step * 10 + server * 3 + i, 0, 10.0, caller=i) for i in range(3)]
                events.append(api.Timer(0, (0.9,)))
                replies += hosts[server].handle(wire.Batch(step * 25.0, step, [(server, events)]))
        return replies

    shared_host = simhost.Host()
    replies = run({0: shared_host, 1: shared_host})
    assert replies == run({0: simhost.Host(), 1: simhost.Host()})
    assert sum(len(actions) for _, actions in replies) > 200


def test_stated_waits_reach_the_scheduler_if_deadlines_are_propagated() -> None:
    """Regression: a stated wait of 0 was treated as not stated, so that the full deadline of the class applied."""
    setup = {**SETUP, "extra": {**SETUP["extra"], "passesDeadline": True}}  # type: ignore[dict-item]
    assert parse_settings(json.dumps(setup).encode()).propagates_deadline
    record = struct.pack("<HIdHIdHBIfQdf", 257, 9, 0.0, 1, 0, 40.0, 0, 0, 0, 0.5, 0, 0.0, 20.0)
    ((_, events),) = wire.decode_batch(frame(struct.pack("<HI", 265, 0) + record, 2)).groups
    assert isinstance(events[0], api.Request)
    assert (events[0].ttl_ms, events[0].waited_ms) == (0.0, 40.0)


@pytest.mark.parametrize(
    "key, values, item",
    [
        ("classCalls", [True, "yes"], "classCalls.1"),
        ("worthWithout", ["half"], "worthWithout.0"),
        ("gauges", ["cpu_busy", 3], "gauges.1"),
        ("classCalls", [1], "classCalls.0"),
    ],
)
def test_each_item_of_a_list_setting_is_validated(key: str, values: list[object], item: str) -> None:
    setup = {**SETUP, "extra": {**SETUP["extra"], key: values}}  # type: ignore[dict-item]
    with pytest.raises(SettingsError, match=f"extra.{item}: expected"):
        parse_settings(json.dumps(setup).encode())
