"""The command line."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest

from moorusher import __version__, cli

from .stand_ins import HOST, SETTINGS, Kernel, free_port, running
from .test_sockets import has, sockets


def test_version(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["version"]) == 0
    assert capsys.readouterr().out == f"moorusher {__version__}\n"


def test_check_config_says_what_it_holds_or_names_the_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file, fronts = tmp_path / "c.json", tmp_path / "fronts.toml"
    monkeypatch.setenv("GW_CONFIG", str(file))
    data = {"name": "n1", "listen": f"{HOST}:1", "kernel": f"{HOST}:2", "settings": SETTINGS}
    file.write_text(json.dumps(data))
    fronts.write_text(f'[uwsgi]\nlisten = "{HOST}:3"\n')
    assert cli.main(["check-config", "--fronts", str(fronts)]) == 0
    out = capsys.readouterr().out
    assert f"uwsgi     {HOST}:3" in out and "submit (keyed)" in out and "acme, bolt" in out
    file.write_text(json.dumps(data | {"kernel": "nowhere"}))
    assert cli.main(["check-config", "--fronts", str(fronts)]) == 2
    assert "kernel: expected HOST:PORT" in capsys.readouterr().err


def test_stats_without_a_runner_fails_in_words(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["stats", "--address", f"{HOST}:{free_port()}"]) == 1
    assert "refused" in capsys.readouterr().err
    assert (
        cli.main(["stats", "--address", "x"]) == cli.main(["stats", "everything"]) == cli.main(["stat"]) == 2
    )
    assert "--address" in capsys.readouterr().err
    assert cli.main(["stats"]) == 2
    assert "admin.listen" in capsys.readouterr().err


@pytest.mark.processes
@sockets
async def test_a_runner_that_cannot_listen_ends_with_an_error() -> None:
    with socket.socket() as taken:
        taken.bind((HOST, 0))
        taken.listen()
        async with running(Kernel(), wait=False, listen=taken.getsockname()[1]) as r:
            await has(lambda: r.process.poll() is not None)
            assert r.process.returncode == 1 and "could not start" in r.text()


@pytest.mark.processes
@sockets
async def test_verbs_on_a_runner_over_its_api() -> None:
    async with running(Kernel()) as r:

        def say(*args: str) -> int:
            return cli.main([*args, "--address", f"{HOST}:{r.admin}", "--token", "t0p"])

        async def said(*args: str) -> int:
            return await asyncio.to_thread(say, *args)

        assert [
            await said(*v)
            for v in (
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
            await asyncio.to_thread(cli.main, ["drain", "--address", f"{HOST}:{r.admin}", "--token", "no"])
            == 3
        )
