"""What the command line says of itself, and what it prints of answers that a runner in a test seldom gives.

Guards against a verb, an option or a help text that changes its words or its layout, and against another exit code:
maintenance scripts go by `moorusher outage ask --wait`, and only 0 lets them take the machine away.
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


class Refusal:
    """An answer with another status than 200."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status, self.body = status, body


def refusal(status: int, error: str, remedy: str = "") -> Refusal:
    return Refusal(status, json.dumps({"error": error, "remedy": remedy}).encode())


def unreachable() -> Any:
    raise URLError(ConnectionRefusedError(111, "Connection refused"))


def signalled() -> Any:
    signal.raise_signal(signal.SIGTERM)


class Scripted:
    """In place of connections and of the clock: answers in order, each request and each pause taken down."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.answers: list[Any] = []
        self.requests: list[Any] = []
        self.now = 1_000.0
        drawn = count(1)
        patch.setattr(urllib.request.OpenerDirector, "open", lambda opener, *given: self._open(*given))
        patch.setattr(time, "sleep", self._sleep)
        patch.setattr(time, "monotonic", lambda: self.now)
        patch.setattr(getpass, "getuser", lambda: "somebody")
        patch.setattr(os, "urandom", lambda size: next(drawn).to_bytes(size, "big"))

    def _sleep(self, seconds: float) -> None:
        self.now += seconds
        self.requests.append(f"pause of {seconds} s")

    def _open(self, request: Any, data: Any = None, timeout: Any = None) -> Any:
        sent = None if request.data is None else request.data.decode()
        self.requests.append([request.method, request.selector, sent, timeout, dict(request.header_items())])
        answer = self.answers.pop(0)
        if callable(answer):
            answer = answer()
        if isinstance(answer, Refusal):
            raise HTTPError(request.full_url, answer.status, "odd", None, io.BytesIO(answer.body))  # type: ignore[arg-type]
        if "wait" in request.selector:
            self.now += 20.0
        return io.BytesIO(answer if isinstance(answer, bytes) else json.dumps(answer).encode())


@pytest.fixture
def scripted() -> Iterator[Scripted]:
    before = [signal.getsignal(number) for number in SIGNALS]
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("COLUMNS", "100")
        patch.setenv("TZ", "UTC")
        time.tzset()
        for name in ("GW_CONSOLE", "GW_LISTEN", "GW_NAME"):
            patch.delenv(name, raising=False)
        yield Scripted(patch)
    time.tzset()
    for number, handler in zip(SIGNALS, before, strict=True):
        signal.signal(number, handler)


@pytest.fixture
def play(scripted: Scripted, capsys: Any) -> Callable[..., list[Any]]:
    def played(line: str, *answers: Any) -> list[Any]:
        """The exit code, the requests and what was printed, for these answers."""
        scripted.answers, scripted.requests = list(answers), []
        code = cli.main([*line.split(), "--address", "127.0.0.1:1", "--token", "secret"])
        printed = capsys.readouterr()
        assert not scripted.answers
        return [line, code, scripted.requests, printed.out.splitlines(), printed.err.splitlines()]

    return played


# ---- what it says of itself ----


def paths(group: click.Group, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    yield path
    for name, command in sorted(group.commands.items()):
        if isinstance(command, click.Group):
            yield from paths(command, (*path, name))
        else:
            yield (*path, name)


def test_help_of_each_command_is_the_same(scripted: Scripted, capsys: Any) -> None:
    assert cli.main(["version"]) == 0  # so that all are there
    capsys.readouterr()
    told = {}
    for path in paths(cli.cli):
        assert cli.main([*path, "--help"]) == 0
        told[" ".join(path)] = capsys.readouterr().out.splitlines()
    assert_golden("commands_help", told)


FAULTY = (
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


def test_faulty_commands_are_answered_with_the_same_words(
    scripted: Scripted, capsys: Any, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    (tmp_path / "empty.toml").write_text("")
    (tmp_path / "platform.json").write_text("{}")
    monkeypatch.setenv("GW_CONFIG", str(tmp_path / "platform.json"))
    told = []
    for line in (*FAULTY, "stats --fronts EMPTY", "console health"):
        words = [str(tmp_path / "empty.toml") if word == "EMPTY" else word for word in line.split()]
        scripted.answers = [unreachable]
        code = cli.main(words)
        printed = capsys.readouterr()
        told.append([line, code, printed.out.splitlines(), printed.err.splitlines()])
    assert_golden("commands_faulty", told)


# ---- what it prints ----

GAUGE = {"age_ms": 1500}
STANDING = {
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
CHANGED = {"customer": "acme", "deleted": False, "revision": 3, "born": 2}
LATE = {"complete": False, "took_ms": 8000.4, "lacking": {"n3": "down", "n2": "suspected"}}

ANSWERED: tuple[tuple[str, Any], ...] = (
    ("standing", STANDING),
    ("standing --check", STANDING | {"gauge": None, "unknown": []}),
    ("standing --check", STANDING | {"routable": True}),
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
    ("namespace back acme 2", CHANGED),
    ("namespace back acme 2 --wait", CHANGED | LATE),
    ("namespace delete acme --yes --wait", CHANGED | LATE | {"deleted": True, "complete": True}),
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
    ("drain", refusal(409, "leaving already", "Wait.")),
    ("drain", refusal(401, "no token")),
    ("drain", Refusal(500, b"[1]")),
    ("drain", Refusal(500, b"odd")),
    ("drain", b"no JSON"),
    ("drain", unreachable),
)
CONSOLED: tuple[tuple[str, Any], ...] = (
    ("console health", CONSOLE),
    ("console health", Refusal(503, json.dumps(CONSOLE | {"ready": False, "kernel": False}).encode())),
    ("console quiesce", CONSOLE | {"ready": False, "quiesced": "by an operator", "replaced": True}),
    ("console resume", Refusal(409, json.dumps(CONSOLE | {"ready": False, "leaving": True}).encode())),
)


def test_answers_are_printed_alike(play: Callable[..., list[Any]], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: 1_800_000_000.0)
    assert_golden("commands_answers", [play(line, answer) for line, answer in ANSWERED])


def test_answers_of_the_second_address_are_printed_alike(
    scripted: Scripted, capsys: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("GW_CONSOLE", "127.0.0.1:2")
    told = []
    for line, answer in CONSOLED:
        for more in ([], ["--json"]):
            scripted.answers, scripted.requests = [answer], []
            code = cli.main([*line.split(), *more])
            printed = capsys.readouterr()
            told.append(
                [line, more, code, scripted.requests, printed.out.splitlines(), printed.err.splitlines()]
            )
    assert_golden("commands_console", told)


# ---- waiting for a turn ----

GRANTED = {"seat": "n1", "word": "granted", "note": ""}
WAITS = GRANTED | {"word": "waits"}
GONE = refusal(409, "n1 was told to go already")

WAITED: dict[str, tuple[Any, ...]] = {
    "granted": ({}, GRANTED),
    "granted with a note, after a wait": ({}, WAITS, GRANTED | {"note": "alone"}),
    "withdrawn by somebody": ({}, GRANTED | {"word": "withdrawn", "note": "by me"}),
    "over": ({}, GRANTED | {"word": "over"}),
    "held back": ({}, GRANTED | {"word": "held", "note": "failed"}),
    "nobody there at first": (unreachable, refusal(503, "no majority"), {}, unreachable, GRANTED),
    "refused": (refusal(409, "not yet"),),
    "refused as it waits": ({}, refusal(404, "no such ask")),
    "out of time": ({}, WAITS, WAITS, {}),
    "out of time, and told to go meanwhile": ({}, WAITS, WAITS, GONE),
    "out of time, and nobody there to hear it": ({}, WAITS, WAITS, unreachable),
    "out of time, and the withdrawal refused": ({}, WAITS, WAITS, refusal(404, "no such ask")),
    "stopped": ({}, signalled, {}),
    "stopped before it was heard": (unreachable, signalled, {}),
    "stopped, and told to go already": ({}, WAITS, signalled, GONE),
    "stopped, and nobody there to hear it": ({}, signalled, unreachable),
}


def test_waiting_ends_alike(play: Callable[..., list[Any]]) -> None:
    line = "outage ask n1 --wait --timeout 30s --id first"
    told = {how: play(line, *answers) for how, answers in WAITED.items()}
    told["for this machine"] = play("outage ask --wait --timeout 30s --by me", {}, WAITS, WAITS, {})
    told["refused until the time is up"] = play(
        "outage ask n1 --wait --timeout 1s", *[refusal(503, "no majority")] * 3
    )
    assert_golden("commands_waiting", told)


OUT_OF_TIME_CODE, STOPPED_CODE = 6, 130
KINDS: dict[str, tuple[int, tuple[Any, ...], list[str]]] = {
    "TooLate": (0, ({}, WAITS, WAITS), []),
    "NoSuchAsk": (OUT_OF_TIME_CODE, ({}, WAITS, WAITS), []),
    "TooLate, as it is stopped": (
        STOPPED_CODE,
        ({}, signalled),
        ["moorusher: 127.0.0.1:1: 409: n1 was told to go already"],
    ),
    "NoSuchAsk, as it is stopped": (STOPPED_CODE, ({}, signalled), []),
}


@pytest.mark.parametrize("case", KINDS)
@pytest.mark.parametrize("text", ["n1 was told to go already", "another text"])
def test_a_refused_withdrawal_is_judged_by_its_kind_whatever_its_text(
    play: Callable[..., list[Any]], case: str, text: str
) -> None:
    code, answers, printed = KINDS[case]
    body = json.dumps({"error": text, "kind": case.split(",")[0], "remedy": ""}).encode()
    line = "outage ask n1 --wait --timeout 30s --id first"
    got = play(line, *answers, Refusal(409, body))
    assert got[1] == code
    assert got[4] == [expected.replace("n1 was told to go already", text) for expected in printed]


@pytest.mark.parametrize(("status", "exit_code"), [(503, 0), (409, 3)])
def test_a_refused_request_is_sent_again_by_its_status_whatever_its_text(
    play: Callable[..., list[Any]], status: int, exit_code: int
) -> None:
    answers = [refusal(status, "wrong: 503: or not")] + ([{}, GRANTED] if status == 503 else [])
    assert play("outage ask n1 --wait --timeout 30s --id first", *answers)[1] == exit_code
