"""What the command line asks a runner, and what it prints of the answer, as JSON and in words.

Guards against a verb that asks for another page, sends another key, or reads a key that the runner no longer tells: a
command of one build is used on runners of another, and scripts read `--json`.
"""

from __future__ import annotations

import getpass
import io
import json
import os
import urllib.request
from itertools import count
from pathlib import Path
from typing import Any
from urllib.error import HTTPError

import click
import pytest

from moorusher import cli

from .golden import assert_golden
from .test_pages import DRAFT, HOUR, begun
from .whole_runner import Runner, runner

__all__ = ["runner"]

READ = (
    "stats",
    "stats status",
    "standing",
    "standing --check",
    "maintenance show",
    "servers list",
    "knowledge show",
    "fleet show",
    "fleet work",
    "duty show",
    "duty show alive",
    "duty show nothing",
    "namespace list",
    "namespace show acme",
    "namespace show acme --draft",
    "namespace explain acme --class submit --key k --subject 1 --caller 2 --rank 0.5",
    "namespace explain acme --class check",
    "outage show",
    "forecast show",
    "forecast show acme",
)
CHANGES = (
    "maintenance set --reason work --for 60",
    "maintenance show",
    "maintenance clear",
    "maintenance clear",
    "servers put s9 127.0.0.1:4009 --weight 2 --zone z --protocol uwsgi",
    "servers drain s9",
    "servers remove s9",
    "servers remove s9",
    "duty resume alive",
    "duty settle alive 4 done",
    "namespace publish acme FILE --expects 0 --by me --wait",
    "namespace publish acme FILE --expects 0 --by me",
    "namespace back acme 1",
    "namespace list",
    "namespace show acme",
    "namespace explain acme --class submit",
    "namespace explain acme --class check",
    "namespace delete acme --yes",
    "outage ask --id first --reason patch --lasts 60",
    "outage show",
    "outage hold storm",
    "outage show",
    "outage resume",
    "outage cancel first",
    "outage done n1",
    "forecast load HOURS",
    "fleet begin",
    "drain",
)


LABORATORY = ("lab", "check")


class Answers:
    """In place of connections: the runner's own pages answer, and what was asked is taken down."""

    def __init__(self, runner: Runner, patch: pytest.MonkeyPatch) -> None:
        self._runner = runner
        self.asked: list[Any] = []
        patch.setattr(urllib.request.OpenerDirector, "open", lambda opener, *given: self.open(*given))

    def open(self, request: Any, data: Any = None, timeout: Any = None) -> Any:
        path = request.selector.removeprefix("/")
        sent = request.data
        token = (request.get_header("Authorization") or "").removeprefix("Bearer ")
        self.asked.append([f"{request.method} {path}", None if sent is None else sent.decode()])
        status, told = self._runner.page(request.method, path, sent, token=token)
        body = io.BytesIO(json.dumps(told).encode())
        if status >= 400:
            raise HTTPError(request.full_url, status, "refused", None, body)  # type: ignore[arg-type]
        return body


class Commands:
    """Each with its exit code, what it asked and what it printed."""

    def __init__(self, runner: Runner, patch: pytest.MonkeyPatch, folder: Path, out: Any) -> None:
        self._answers, self._folder, self._out = Answers(runner, patch), folder, out
        patch.setattr(getpass, "getuser", lambda: "somebody")
        drawn = count(1)
        patch.setattr(os, "urandom", lambda size: next(drawn).to_bytes(size, "big"))
        (folder / "FILE").write_bytes(DRAFT)
        (folder / "HOURS").write_text(json.dumps([HOUR]))

    def run(self, line: str, *more: str) -> list[Any]:
        words = [str(self._folder / word) if word in ("FILE", "HOURS") else word for word in line.split()]
        code = cli.main([*words, "--address", "127.0.0.1:1", "--token", "secret", *more])
        asked, self._answers.asked = self._answers.asked, []
        printed = self._out.readouterr()
        return [code, asked, printed.out, printed.err]

    def read(self, line: str) -> dict[str, Any]:
        """In words, and as JSON."""
        code, asked, text, error = self.run(line)
        _, _, told, _ = self.run(line, "--json")
        return {
            "command": line,
            "code": code,
            "asked": asked,
            "text": text.splitlines(),
            "json": json.loads(told) if told else None,
            "error": error.splitlines(),
        }

    def change(self, line: str) -> list[Any]:
        code, asked, text, error = self.run(line)
        return [line, code, asked, text.splitlines(), error.splitlines()]


@pytest.fixture
def commands(runner: Runner, monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: Any) -> Commands:
    begun(runner)
    return Commands(runner, monkeypatch, tmp_path, capsys)


def without_version(told: list[dict[str, Any]]) -> list[dict[str, Any]]:
    for one in told:
        if one["command"] == "stats status":
            assert one["json"].pop("version")
            one["text"] = [line for line in one["text"] if not line.startswith("version")]
    return told


def test_what_is_read_is_printed_alike(commands: Commands) -> None:
    assert_golden("commands_read", without_version([commands.read(line) for line in READ]))


def test_changes_are_asked_for_alike(commands: Commands) -> None:
    assert_golden("commands_changes", [commands.change(line) for line in CHANGES])


def verbs(group: click.Group, path: str = "") -> dict[str, list[Any]]:
    """Each verb with its arguments and options, in order."""
    told: dict[str, list[Any]] = {}
    for name, command in sorted(group.commands.items()):
        if isinstance(command, click.Group):
            told |= verbs(command, f"{path}{name} ")
        else:
            told[path + name] = [
                [*one.opts, *one.secondary_opts] if isinstance(one, click.Option) else "argument"
                for one in command.params
            ]
    return told


def test_verbs_and_their_options_are_called_alike() -> None:
    """But for those of the laboratory, which nobody else relies on."""
    assert cli.main(["version"]) == 0  # so that all are there
    told = verbs(cli.cli)
    assert_golden("commands_verbs", {name: told[name] for name in told if name.split()[0] not in LABORATORY})
