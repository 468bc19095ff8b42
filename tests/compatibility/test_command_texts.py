"""Help texts of the command line, and its output for answers that a runner in a test seldom gives.

Guards against a changed command, option, help text, layout or exit code. Maintenance scripts depend on the exit code of
`moorusher outage ask --wait`: only 0 permits them to take the machine out of service.
"""

from __future__ import annotations

import getpass
import io
import json
import os
import signal
import time
import urllib.request
from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path
from typing import Any
from urllib.error import HTTPError, URLError

import click
import pytest

from moorusher import cli

from .golden import assert_golden

SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class ErrorResponse:
    """A response with an error status."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status, self.body = status, body


def error_response(status: int, error: str, remedy: str = "") -> ErrorResponse:
    return ErrorResponse(status, json.dumps({"error": error, "remedy": remedy}).encode())


def unreachable() -> Any:
    raise URLError(ConnectionRefusedError(111, "Connection refused"))


def raise_sigterm() -> Any:
    signal.raise_signal(signal.SIGTERM)


class FakeApi:
    """Replaces connections and the clock: returns the answers in order, and records each request and each sleep."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.answers: list[Any] = []
        self.requests: list[Any] = []
        self.now_s = 1_000.0
        random_numbers = count(1)
        patch.setattr(urllib.request.OpenerDirector, "open", lambda opener, *given: self._open(*given))
        patch.setattr(time, "sleep", self._sleep)
        patch.setattr(time, "monotonic", lambda: self.now_s)
        patch.setattr(getpass, "getuser", lambda: "somebody")
        patch.setattr(os, "urandom", lambda size: next(random_numbers).to_bytes(size, "big"))

    def _sleep(self, seconds: float) -> None:
        self.now_s += seconds
        self.requests.append(f"pause of {seconds} s")

    def _open(self, request: Any, data: Any = None, timeout: Any = None) -> Any:
        body = None if request.data is None else request.data.decode()
        self.requests.append([request.method, request.selector, body, timeout, dict(request.header_items())])
        answer = self.answers.pop(0)
        if callable(answer):
            answer = answer()
        if isinstance(answer, ErrorResponse):
            raise HTTPError(request.full_url, answer.status, "odd", None, io.BytesIO(answer.body))  # type: ignore[arg-type]
        if "wait" in request.selector:
            self.now_s += 20.0
        return io.BytesIO(answer if isinstance(answer, bytes) else json.dumps(answer).encode())


@pytest.fixture
def fake_api() -> Iterator[FakeApi]:
    previous_handlers = [signal.getsignal(number) for number in SIGNALS]
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("COLUMNS", "100")
        patch.setenv("TZ", "UTC")
        time.tzset()
        for name in ("GW_CONSOLE", "GW_LISTEN", "GW_NAME"):
            patch.delenv(name, raising=False)
        yield FakeApi(patch)
    time.tzset()
    for number, handler in zip(SIGNALS, previous_handlers, strict=True):
        signal.signal(number, handler)


@pytest.fixture
def run_command(fake_api: FakeApi, capsys: Any) -> Callable[..., list[Any]]:
    def run(line: str, *answers: Any) -> list[Any]:
        """Run a command with these answers, and return its exit code, requests and output."""
        fake_api.answers, fake_api.requests = list(answers), []
        code = cli.main([*line.split(), "--address", "127.0.0.1:1", "--token", "secret"])
        output = capsys.readouterr()
        assert not fake_api.answers
        return [line, code, fake_api.requests, output.out.splitlines(), output.err.splitlines()]

    return run


# ---- help and usage errors ----


def command_paths(group: click.Group, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    yield path
    for name, command in sorted(group.commands.items()):
        if isinstance(command, click.Group):
            yield from command_paths(command, (*path, name))
        else:
            yield (*path, name)


def test_the_help_of_each_command_is_unchanged(fake_api: FakeApi, capsys: Any) -> None:
    assert cli.main(["version"]) == 0  # Ensures that all commands are registered.
    capsys.readouterr()
    help_texts = {}
    for path in command_paths(cli.cli):
        assert cli.main([*path, "--help"]) == 0
        help_texts[" ".join(path)] = capsys.readouterr().out.splitlines()
    assert_golden("commands_help", help_texts)


INVALID_COMMANDS = (
    "odd",
    "--odd",
    "stats odd",
    "stats --address 1",
    "stats --address",
    "standing --fronts /nowhere/fronts.toml --address 127.0.0.1:1",
    "maintenance",
    "maintenance set --for x --address 127.0.0.1:1",
    "servers put",
    "servers put a b --protocol odd --address 127.0.0.1:1",
    "namespace publish acme /nowhere --address 127.0.0.1:1",
    "namespace back acme 0 --address 127.0.0.1:1",
    "namespace explain acme --address 127.0.0.1:1",
    "duty settle alive 4 odd --address 127.0.0.1:1",
    "outage ask --lasts soon --address 127.0.0.1:1",
    "outage ask --not-before later --address 127.0.0.1:1",
    "outage ask --due +x --address 127.0.0.1:1",
    "outage ask --priority 10 --address 127.0.0.1:1",
    "outage ask a b --wait --address 127.0.0.1:1",
    "outage ask --zone z --wait --address 127.0.0.1:1",
    "outage cancel --address 127.0.0.1:1",
    "forecast load /nowhere --address 127.0.0.1:1",
    "console odd",
    "console health --address 1",
    "check-config --fronts /nowhere/fronts.toml",
)


def test_the_error_messages_of_invalid_commands_are_unchanged(
    fake_api: FakeApi, capsys: Any, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    (tmp_path / "empty.toml").write_text("")
    (tmp_path / "platform.json").write_text("{}")
    monkeypatch.setenv("GW_CONFIG", str(tmp_path / "platform.json"))
    results = []
    for line in (*INVALID_COMMANDS, "stats --fronts EMPTY", "console health"):
        words = [str(tmp_path / "empty.toml") if word == "EMPTY" else word for word in line.split()]
        fake_api.answers = [unreachable]
        code = cli.main(words)
        output = capsys.readouterr()
        results.append([line, code, output.out.splitlines(), output.err.splitlines()])
    assert_golden("commands_faulty", results)


# ---- output ----

GAUGE = {"age_ms": 1500}
HEALTH = {
    "standing": "crowded",
    "weight": 40,
    "reason": "too many",
    "since_ms": 2500,
    "crowd": {"mean_per_core": 1.5, "forecast_per_core": 2.25, "horizon_ms": 900, "survives_per_core": 3.0},
    "held": 7,
    "oldest_held_ms": 320,
    "at_calls": 3,
    "gauge": GAUGE,
    "link": {"losses_in_30_s": 2},
    "balancers": {"known": 3, "slowest_ms": 2000},
    "unknown": ["memory", "load"],
    "routable": False,
}
SERVER = {
    "name": "s1",
    "state": "out",
    "in_flight": 3,
    "limit": 12,
    "calls": 100,
    "answered_share": 0.5,
    "short_ms": 1.25,
    "why": "answers late",
}
DUTY = {
    "name": "alive",
    "life": "held",
    "owner": "n1",
    "term": 3,
    "number": 12,
    "why": "taken",
    "here": {"stage": "leading", "for_ms": 1500, "trouble": "no answer"},
    "intents": [{"number": 4, "to": "127.0.0.1:9", "term": 2, "settle": "asking", "what": "report"}],
    "state": "abc",
}
MEMBER = {"seat": "n1", "zone": "a", "state": "up", "fit": True, "since_ms": 1000, "heard_ms": None}
OUTAGE = {
    "current": False,
    "age_ms": 90_000,
    "hold": "storm",
    "asks": [
        {
            "id": "first",
            "reason": "patch",
            "by": "me",
            "done": 1,
            "waiting": 2,
            "ends": "done",
            "held": [{"seat": "n9", "why": "failed"}],
        },
        {"id": "second", "reason": "patch", "by": "me", "done": 0, "waiting": 0, "ends": "boot", "held": []},
    ],
    "turns": [
        {"seat": "n1", "stage": "out", "for_s": 119, "lasts_s": 7_199, "reason": "patch", "note": "x"},
        {"seat": "n2", "stage": "draining", "for_s": 0.4, "lasts_s": 90_000, "reason": "patch", "note": ""},
    ],
    "order": [
        {"seat": "n3", "in_s": None, "why": "n1 is out"},
        {"seat": "n4", "in_s": 600, "why": "n3 goes first"},
    ],
}
FORECAST = {
    "first_hour": 400_000,
    "term": 4,
    "routes": [
        {"customer": "acme", "route": "", "zone": "a", "day": [1, 2.5, 3], "week": 1e5, "model": "weekly"},
        {"customer": "", "route": "main", "zone": "", "day": [0, 0, 0], "week": 0, "model": "none"},
    ],
    "untold": {"bolt/-": "too short"},
    "hints": {
        "hints": [
            {"since": 400_001, "runners": 3, "zone": "a", "why": "more"},
            {"since": 400_002, "runners": 2, "zone": "", "why": "less"},
        ],
        "untold": {"": "no figures", "b": "none"},
    },
}
CONSOLE = {"quiesced": "", "leaving": False, "replaced": False, "kernel": True, "ready": True}
CHANGE = {"customer": "acme", "deleted": False, "revision": 3, "born": 2}
INCOMPLETE = {"complete": False, "took_ms": 8000.4, "lacking": {"n3": "down", "n2": "suspected"}}

COMMANDS_AND_ANSWERS: tuple[tuple[str, Any], ...] = (
    ("standing", HEALTH),
    ("standing --check", HEALTH | {"gauge": None, "unknown": []}),
    ("standing --check", HEALTH | {"routable": True}),
    ("maintenance show", {"maintenance": {"reason": "work", "left_ms": 1500}}),
    ("maintenance show", {"maintenance": {"reason": "work", "left_ms": None}}),
    ("maintenance show", {"maintenance": None}),
    ("servers list", {"servers": [SERVER, SERVER | {"name": "s2", "why": None}]}),
    ("servers put a b --weight 2.5", {"servers": []}),
    ("knowledge show", {"donor": "n1", "condition": "slow", "up_s": 12.6, "servers": [{"name": "s1"}]}),
    ("knowledge show", {"donor": "n1", "servers": [{"name": "s1", "short_us": 1500, "out": True}]}),
    (
        "fleet show",
        {
            "name": "f",
            "seat": "n1",
            "remembers": False,
            "keeps": 3,
            "in_hand": 4,
            "members": [MEMBER, MEMBER | {"seat": "n2", "fit": False, "heard_ms": 1234}],
            "counters": {"fleet: b": 2, "fleet: a": 1},
        },
    ),
    (
        "fleet work",
        {
            "work": [
                {"key": "k", "class": None, "stage": "running", "owner": None, "attempt": 2, "left_ms": 1500},
                {"key": "l", "class": "c", "stage": "asked", "owner": "n2", "attempt": 1, "left_ms": 0},
            ]
        },
    ),
    ("fleet begin --lost", {}),
    ("duty show", {"duties": [DUTY, DUTY | {"owner": None, "here": None, "intents": []}]}),
    ("duty show", {"duties": []}),
    ("duty show alive", DUTY | {"state": ""}),
    ("namespace list", {"namespaces": [], "cut_off": False}),
    (
        "namespace list",
        {
            "namespaces": [
                {"customer": "a", "published": True, "revision": 3, "born": 2, "deleted": False},
                {"customer": "b", "published": False, "revision": 0, "born": 2, "deleted": True},
                {"customer": "c", "published": False, "revision": 0, "born": 0, "deleted": False},
            ],
            "cut_off": True,
            "seats_up": 1,
            "seats": 3,
        },
    ),
    (
        "namespace show a/b",
        {
            "number": 3,
            "born": 2,
            "here": 2,
            "draft": None,
            "revisions": [
                {"number": 3, "by": "me", "of": 1, "changes": ["~ default", "+ rules.x"]},
                {"number": 2, "by": "you", "of": 0, "changes": None},
            ],
        },
    ),
    ("namespace show acme --draft", {"draft": None}),
    ("namespace back acme 2", CHANGE),
    ("namespace back acme 2 --wait", CHANGE | INCOMPLETE),
    ("namespace delete acme --yes --wait", CHANGE | INCOMPLETE | {"deleted": True, "complete": True}),
    (
        "namespace explain acme --class submit --key k/1",
        {
            "decides": "eu",
            "revision": 0,
            "refused": "not here",
            "way": [
                {"route": "main", "pool": "", "servers": {"s1": 1, "s2": 3}, "tries": 2, "limit": 0},
                {"route": "spare", "pool": "shared", "servers": {}, "tries": 1, "limit": 5},
            ],
            "also_match": ["x"],
        },
    ),
    ("outage show", OUTAGE),
    ("outage show", {"current": True, "hold": "", "asks": [], "turns": [], "order": []}),
    ("outage show", OUTAGE | {"age_ms": None, "hold": "", "asks": [], "turns": [], "order": []}),
    ("outage ask n1 --lasts 2h --not-before 2026-12-24T03:00 --due 2026-12-25T03:00 --together", OUTAGE),
    ("outage ask --all --zone z --group g --ends done --priority 9 --id i --by me --lasts 1.5d", OUTAGE),
    ("outage cancel first n1 n2", OUTAGE),
    ("outage done n1 --by me", OUTAGE),
    ("outage hold", OUTAGE),
    ("outage resume n1", OUTAGE),
    ("forecast show a/b", FORECAST),
    ("forecast show", FORECAST | {"routes": [], "untold": {}, "hints": None}),
    ("drain", error_response(409, "leaving already", "Wait.")),
    ("drain", error_response(401, "no token")),
    ("drain", ErrorResponse(500, b"[1]")),
    ("drain", ErrorResponse(500, b"odd")),
    ("drain", b"no JSON"),
    ("drain", unreachable),
)
CONSOLE_CALLS_AND_ANSWERS: tuple[tuple[str, Any], ...] = (
    ("console health", CONSOLE),
    ("console health", ErrorResponse(503, json.dumps(CONSOLE | {"ready": False, "kernel": False}).encode())),
    ("console quiesce", CONSOLE | {"ready": False, "quiesced": "by an operator", "replaced": True}),
    ("console resume", ErrorResponse(409, json.dumps(CONSOLE | {"ready": False, "leaving": True}).encode())),
)


def test_the_output_for_each_answer_is_unchanged(
    run_command: Callable[..., list[Any]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(time, "time", lambda: 1_800_000_000.0)
    assert_golden("commands_answers", [run_command(line, answer) for line, answer in COMMANDS_AND_ANSWERS])


def test_the_output_for_each_answer_of_the_console_is_unchanged(
    fake_api: FakeApi, capsys: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("GW_CONSOLE", "127.0.0.1:2")
    results = []
    for line, answer in CONSOLE_CALLS_AND_ANSWERS:
        for options in ([], ["--json"]):
            fake_api.answers, fake_api.requests = [answer], []
            code = cli.main([*line.split(), *options])
            output = capsys.readouterr()
            results.append(
                [line, options, code, fake_api.requests, output.out.splitlines(), output.err.splitlines()]
            )
    assert_golden("commands_console", results)


# ---- waiting for a slot ----

GRANTED = {"seat": "n1", "word": "granted", "note": ""}
WAITING = GRANTED | {"word": "waits"}
ALREADY_CLEARED = error_response(409, "n1 was told to go already")

ANSWERS_BY_CASE: dict[str, tuple[Any, ...]] = {
    "granted": ({}, GRANTED),
    "granted with a note, after a wait": ({}, WAITING, GRANTED | {"note": "alone"}),
    "withdrawn by somebody": ({}, GRANTED | {"word": "withdrawn", "note": "by me"}),
    "over": ({}, GRANTED | {"word": "over"}),
    "held back": ({}, GRANTED | {"word": "held", "note": "failed"}),
    "nobody there at first": (unreachable, error_response(503, "no majority"), {}, unreachable, GRANTED),
    "refused": (error_response(409, "not yet"),),
    "refused as it waits": ({}, error_response(404, "no such ask")),
    "out of time": ({}, WAITING, WAITING, {}),
    "out of time, and told to go meanwhile": ({}, WAITING, WAITING, ALREADY_CLEARED),
    "out of time, and nobody there to hear it": ({}, WAITING, WAITING, unreachable),
    "out of time, and the withdrawal refused": ({}, WAITING, WAITING, error_response(404, "no such ask")),
    "stopped": ({}, raise_sigterm, {}),
    "stopped before it was heard": (unreachable, raise_sigterm, {}),
    "stopped, and told to go already": ({}, WAITING, raise_sigterm, ALREADY_CLEARED),
    "stopped, and nobody there to hear it": ({}, raise_sigterm, unreachable),
}


def test_each_end_of_a_wait_is_unchanged(run_command: Callable[..., list[Any]]) -> None:
    line = "outage ask n1 --wait --timeout 30s --id first"
    results = {case: run_command(line, *answers) for case, answers in ANSWERS_BY_CASE.items()}
    results["for this machine"] = run_command(
        "outage ask --wait --timeout 30s --by me", {}, WAITING, WAITING, {}
    )
    results["refused until the time is up"] = run_command(
        "outage ask n1 --wait --timeout 1s", *[error_response(503, "no majority")] * 3
    )
    assert_golden("commands_waiting", results)


OUT_OF_TIME_CODE, STOPPED_CODE = 6, 130
# For each kind of error: the expected exit code, the answers before the error, and the expected standard error output.
CASES_BY_KIND: dict[str, tuple[int, tuple[Any, ...], list[str]]] = {
    "TooLate": (0, ({}, WAITING, WAITING), []),
    "NoSuchAsk": (OUT_OF_TIME_CODE, ({}, WAITING, WAITING), []),
    "TooLate, as it is stopped": (
        STOPPED_CODE,
        ({}, raise_sigterm),
        ["moorusher: 127.0.0.1:1: 409: n1 was told to go already"],
    ),
    "NoSuchAsk, as it is stopped": (STOPPED_CODE, ({}, raise_sigterm), []),
}


@pytest.mark.parametrize("case", CASES_BY_KIND)
@pytest.mark.parametrize("text", ["n1 was told to go already", "another text"])
def test_a_refused_withdrawal_is_judged_by_its_kind_and_not_by_its_text(
    run_command: Callable[..., list[Any]], case: str, text: str
) -> None:
    code, answers, expected_errors = CASES_BY_KIND[case]
    body = json.dumps({"error": text, "kind": case.split(",")[0], "remedy": ""}).encode()
    line = "outage ask n1 --wait --timeout 30s --id first"
    result = run_command(line, *answers, ErrorResponse(409, body))
    assert result[1] == code
    assert result[4] == [error.replace("n1 was told to go already", text) for error in expected_errors]


@pytest.mark.parametrize(("status", "exit_code"), [(503, 0), (409, 3)])
def test_a_refused_request_is_retried_by_its_status_and_not_by_its_text(
    run_command: Callable[..., list[Any]], status: int, exit_code: int
) -> None:
    answers = [error_response(status, "wrong: 503: or not")] + ([{}, GRANTED] if status == 503 else [])
    assert run_command("outage ask n1 --wait --timeout 30s --id first", *answers)[1] == exit_code
