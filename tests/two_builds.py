"""Run the tests of real processes with two builds of the program at once: an earlier revision and the work tree.

Usage, from the root of the repository: python -m tests.two_builds REVISION [ARGUMENTS OF PYTEST]

The processes that a test starts run the two builds in turn. The builds thus replace each other by a hot restart, are
members of one fleet with duties, keyed work, namespaces and maintenance, and read each other's journals, revisions,
warm-start files and settings. Every test runs twice, once with each build first. Tests that match log lines are
skipped, because the wording of log lines may differ between builds.

The exit code is 0 if the tests passed in both orders.
"""

from __future__ import annotations

import argparse
import inspect
import itertools
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import pytest

from . import stand_ins

PRESENT = Path(__file__).resolve().parent.parent
# Environment variable with the folders of both builds. The first process of a test runs the first one.
BUILDS_VARIABLE = "MOORUSHER_TEST_BUILDS"
TEST_MODULES = (
    "test_effect_changes",
    "test_forecast_real",
    "test_journal",
    "test_leadership_real",
    "test_maintenance_real",
    "test_namespaces_real",
    "test_owner_lost",
    "test_replacing",
    "test_server_pool",
    "test_sockets",
    "test_takeover",
    "test_warm_start",
)
WORKERS = "4"
LOG_ACCESS = ".read_log()"  # Call by which a test reads the log of its runner.


def _matches_log_lines(item: pytest.Item) -> bool:
    test = getattr(item, "function", None)
    return test is not None and LOG_ACCESS in inspect.getsource(inspect.unwrap(test))


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Keep the tests that start processes and match no log lines."""
    chosen = [item for item in items if item.get_closest_marker("processes") and not _matches_log_lines(item)]
    config.hook.pytest_deselected(items=[item for item in items if item not in chosen])
    items[:] = chosen


@pytest.fixture(autouse=True)
def _alternate_builds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Start the processes of a test from the folders of both builds in turn."""
    builds: Iterator[Path] = itertools.cycle(
        Path(folder) for folder in os.environ[BUILDS_VARIABLE].split(os.pathsep)
    )
    start = stand_ins.Runner.start

    def start_next_build(runner: stand_ins.Runner, *arguments: Any) -> None:
        monkeypatch.setattr(stand_ins, "ROOT", next(builds))
        start(runner, *arguments)

    monkeypatch.setattr(stand_ins.Runner, "start", start_next_build)


def _extract(revision: str, folder: Path) -> None:
    """Write the files of a revision into a folder."""
    with subprocess.Popen(
        ["git", "archive", revision, "moorusher"], cwd=PRESENT, stdout=subprocess.PIPE
    ) as archive:
        assert archive.stdout is not None
        with tarfile.open(fileobj=archive.stdout, mode="r|") as files:
            files.extractall(folder, filter="data")


def _play(builds: Sequence[Path], arguments: Sequence[str]) -> int:
    """Run the tests with the builds in this order, and return the exit code of pytest."""
    modules = [str(PRESENT / "tests" / f"{name}.py") for name in TEST_MODULES]
    command = [sys.executable, "-m", "pytest", "-p", "tests.two_builds", "-n", WORKERS, "--dist", "worksteal"]
    environment = os.environ | {BUILDS_VARIABLE: os.pathsep.join(map(str, builds))}
    return subprocess.run([*command, *modules, *arguments], cwd=PRESENT, env=environment).returncode


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.two_builds", description=__doc__.split("\n")[0])
    parser.add_argument("revision", help="the earlier build, as git names it")
    options, arguments = parser.parse_known_args()
    codes = []
    with tempfile.TemporaryDirectory() as name:
        former = Path(name)
        _extract(options.revision, former)
        for order, builds in (("former first", (former, PRESENT)), ("present first", (PRESENT, former))):
            print(f"== {options.revision} beside the work tree, {order}", flush=True)
            codes.append(_play(builds, arguments))
    return max(codes)


if __name__ == "__main__":
    sys.exit(main())
