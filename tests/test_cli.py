"""The command line, run in this process: exit codes, and commands that call a runner's API."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest

from moorusher import __version__, cli

from .stand_ins import HOST, SETTINGS, Kernel, free_port, running
from .test_sockets import asynchronous_test, wait_until


def test_version(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["version"]) == 0
    assert capsys.readouterr().out == f"moorusher {__version__}\n"


def test_check_config_prints_the_configuration_or_names_the_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    platform_file, operator_file = tmp_path / "c.json", tmp_path / "fronts.toml"
    monkeypatch.setenv("GW_CONFIG", str(platform_file))
    platform = {"name": "n1", "listen": f"{HOST}:1", "kernel": f"{HOST}:2", "settings": SETTINGS}
    platform_file.write_text(json.dumps(platform))
    operator_file.write_text(f'[uwsgi]\nlisten = "{HOST}:3"\n')
    assert cli.main(["check-config", "--fronts", str(operator_file)]) == 0
    out = capsys.readouterr().out
    assert f"uwsgi     {HOST}:3" in out and "submit (keyed)" in out and "acme, bolt" in out
    platform_file.write_text(json.dumps(platform | {"kernel": "nowhere"}))
    assert cli.main(["check-config", "--fronts", str(operator_file)]) == 2
    assert "kernel: expected HOST:PORT" in capsys.readouterr().err


def test_commands_without_a_runner_fail_with_an_error_message(capsys: pytest.CaptureFixture[str]) -> None:
    """The exit code and the message distinguish a runner that can't be reached from an invalid command."""
    assert cli.main(["stats", "--address", f"{HOST}:{free_port()}"]) == 1
    assert "refused" in capsys.readouterr().err
    assert (
        cli.main(["stats", "--address", "x"]) == cli.main(["stats", "everything"]) == cli.main(["stat"]) == 2
    )
    assert "--address" in capsys.readouterr().err
    assert cli.main(["stats"]) == 2
    assert "admin.listen" in capsys.readouterr().err


@pytest.mark.processes
@asynchronous_test
async def test_a_runner_whose_port_is_in_use_exits_with_an_error() -> None:
    """If another process listens at its address, a runner exits with code 1 and logs that it could not start."""
    with socket.socket() as occupying_socket:
        occupying_socket.bind((HOST, 0))
        occupying_socket.listen()
        async with running(Kernel(), wait=False, listen=occupying_socket.getsockname()[1]) as runner:
            await wait_until(lambda: runner.process.poll() is not None)
            assert runner.process.returncode == 1 and "could not start" in runner.read_log()


@pytest.mark.processes
@asynchronous_test
async def test_commands_that_call_a_runners_api() -> None:
    async with running(Kernel()) as runner:

        def run_command(*arguments: str) -> int:
            return cli.main([*arguments, "--address", f"{HOST}:{runner.admin}", "--token", "t0p"])

        async def exit_code(*arguments: str) -> int:
            return await asyncio.to_thread(run_command, *arguments)

        assert [
            await exit_code(*command)
            for command in (
                ("standing", "--check"),
                ("standing", "--json"),
                ("maintenance", "set", "--reason", "disk", "--for", "60"),
                ("standing", "--check"),
                ("maintenance", "show"),
                ("maintenance", "clear"),
                ("maintenance", "clear"),
                ("maintenance", "set", "--for", "-1"),
                ("stats", "counters"),
                ("drain",),
                ("maintenance", "set"),
            )
        ] == [0, 0, 0, 4, 0, 0, 3, 3, 0, 0, 3]
        assert (
            await asyncio.to_thread(
                cli.main, ["drain", "--address", f"{HOST}:{runner.admin}", "--token", "no"]
            )
            == 3
        )
