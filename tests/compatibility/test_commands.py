"""The requests that commands send to a runner, and their output as JSON and as text.

Guards against a command that requests another page, sends another key, or reads a key that the runner no longer
returns: commands of one build are used with runners of another, and scripts read `--json`.
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
from .test_pages import DRAFT, HISTORY, bootstrap
from .whole_runner import Runner, runner

__all__ = ["runner"]

READ_COMMANDS = (
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
CHANGE_COMMANDS = (
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


LABORATORY_COMMANDS = ("lab", "check")


class RunnerConnections:
    """Replaces connections: the runner's own pages answer, and each request is recorded."""

    def __init__(self, runner: Runner, patch: pytest.MonkeyPatch) -> None:
        self._runner = runner
        self.requests: list[Any] = []
        patch.setattr(urllib.request.OpenerDirector, "open", lambda opener, *given: self.open(*given))

    def open(self, request: Any, data: Any = None, timeout: Any = None) -> Any:
        path = request.selector.removeprefix("/")
        request_body = request.data
        token = (request.get_header("Authorization") or "").removeprefix("Bearer ")
        self.requests.append(
            [f"{request.method} {path}", None if request_body is None else request_body.decode()]
        )
        status, document = self._runner.page(request.method, path, request_body, token=token)
        body = io.BytesIO(json.dumps(document).encode())
        if status >= 400:
            raise HTTPError(request.full_url, status, "refused", None, body)  # type: ignore[arg-type]
        return body


class Commands:
    """Runs commands, and returns the exit code, the requests and the output of each."""

    def __init__(self, runner: Runner, patch: pytest.MonkeyPatch, folder: Path, capsys: Any) -> None:
        self._connections, self._folder, self._capsys = RunnerConnections(runner, patch), folder, capsys
        patch.setattr(getpass, "getuser", lambda: "somebody")
        random_numbers = count(1)
        patch.setattr(os, "urandom", lambda size: next(random_numbers).to_bytes(size, "big"))
        (folder / "FILE").write_bytes(DRAFT)
        (folder / "HOURS").write_text(json.dumps([HISTORY]))

    def run(self, line: str, *options: str) -> list[Any]:
        words = [str(self._folder / word) if word in ("FILE", "HOURS") else word for word in line.split()]
        code = cli.main([*words, "--address", "127.0.0.1:1", "--token", "secret", *options])
        requests, self._connections.requests = self._connections.requests, []
        output = self._capsys.readouterr()
        return [code, requests, output.out, output.err]

    def read(self, line: str) -> dict[str, Any]:
        """Run a command twice, for its output as text and as JSON."""
        code, requests, text, error = self.run(line)
        _, _, json_text, _ = self.run(line, "--json")
        return {
            "command": line,
            "code": code,
            "asked": requests,
            "text": text.splitlines(),
            "json": json.loads(json_text) if json_text else None,
            "error": error.splitlines(),
        }

    def change(self, line: str) -> list[Any]:
        code, requests, text, error = self.run(line)
        return [line, code, requests, text.splitlines(), error.splitlines()]


@pytest.fixture
def commands(runner: Runner, monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: Any) -> Commands:
    bootstrap(runner)
    return Commands(runner, monkeypatch, tmp_path, capsys)


def without_version(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    for result in results:
        if result["command"] == "stats status":
            assert result["json"].pop("version")
            result["text"] = [line for line in result["text"] if not line.startswith("version")]
    return results


def test_the_requests_and_output_of_read_commands_are_unchanged(commands: Commands) -> None:
    assert_golden("commands_read", without_version([commands.read(line) for line in READ_COMMANDS]))


def test_the_requests_and_output_of_change_commands_are_unchanged(commands: Commands) -> None:
    assert_golden("commands_changes", [commands.change(line) for line in CHANGE_COMMANDS])


def parameters_by_command(group: click.Group, path: str = "") -> dict[str, list[Any]]:
    """Return each command's arguments and options, in order."""
    parameters: dict[str, list[Any]] = {}
    for name, command in sorted(group.commands.items()):
        if isinstance(command, click.Group):
            parameters |= parameters_by_command(command, f"{path}{name} ")
        else:
            parameters[path + name] = [
                [*parameter.opts, *parameter.secondary_opts]
                if isinstance(parameter, click.Option)
                else "argument"
                for parameter in command.params
            ]
    return parameters


def test_the_names_of_commands_and_options_are_unchanged() -> None:
    """The laboratory's commands are excluded, since no other program depends on them."""
    assert cli.main(["version"]) == 0  # Ensures that all commands are registered.
    commands = parameters_by_command(cli.cli)
    assert_golden(
        "commands_verbs",
        {name: commands[name] for name in commands if name.split()[0] not in LABORATORY_COMMANDS},
    )
