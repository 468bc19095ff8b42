"""The list of tests that are known to fail: its format, its length, and its effect on a test run."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from .known_red import InvalidKnownRedListError, KnownRed, missing_tests, parse

RED = "def test_red() -> None:\n    assert False\n"
GREEN = "def test_green() -> None:\n    pass\n"
RED_ENTRY = "tests/test_it.py::test_red; pytest tests; assert False; 1"
GREEN_ENTRY = "tests/test_it.py::test_green; pytest tests; assert False; 1"
GONE_ENTRY = "tests/test_it.py::test_gone; pytest tests; assert False; 1"
FLAKY_ENTRY = "tests/test_it.py::test_green; pytest tests; 5 of 11: assert False; 1"


def test_a_line_has_a_test_its_command_the_observed_failure_and_its_issue() -> None:
    assert parse("a.py::test_b; pytest a.py; it is late; 30\n\n") == [
        KnownRed("a.py::test_b", "pytest a.py", "it is late", "30")
    ]
    assert parse("a.py::test_b[x; y]; pytest a.py; it is late; 30")[0].test == "a.py::test_b[x; y]"
    for invalid in ("a.py::test_b", "a; b", "a; b; c", "a; ; c; 30", "a; b; 1; 2; 3"):
        with pytest.raises(InvalidKnownRedListError):
            parse(invalid)
    with pytest.raises(InvalidKnownRedListError, match="4 lines"):
        parse("a; b; c; 1\n" * 4)
    assert missing_tests([KnownRed("x", "", "", ""), KnownRed("y", "", "", "")], ["y", "z"]) == ["x"]


@pytest.mark.parametrize(
    "observed, always_fails",
    [
        ("no such key", True),
        ("5 of 11: no such key", False),
        ("11 of 11: no such key", True),
        ("in 5 of 11: no such key", True),
    ],
)
def test_a_test_is_flaky_only_if_its_failure_begins_with_a_count(observed: str, always_fails: bool) -> None:
    assert KnownRed("a.py::test_b", "pytest a.py", observed, "30").always_fails is always_fails


@pytest.mark.processes
@pytest.mark.parametrize("workers", ["0", "2"])
@pytest.mark.parametrize(
    "lines, exit_code, expected_output",
    [
        ("", 1, "1 failed"),
        (RED_ENTRY, 0, "known red: tests/test_it.py::test_red: assert False (issue 1)"),
        (f"{RED_ENTRY}\n{GREEN_ENTRY}", 1, "XPASS(strict)"),
        (f"{RED_ENTRY}\n{FLAKY_ENTRY}", 0, "known red: tests/test_it.py::test_green: 5 of 11: assert False"),
        (f"{RED_ENTRY}\n{GONE_ENTRY}", 4, "no such test"),
        (f"{RED_ENTRY}\n" * 4, 4, "4 lines"),
    ],
)
def test_a_test_run_accepts_only_the_listed_failures(
    lines: str, exit_code: int, expected_output: str, workers: str, tmp_path: Path
) -> None:
    here = Path(__file__).parent
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        (tmp_path / "tests" / name).write_text((here / name).read_text())
    (tmp_path / "tests" / "test_it.py").write_text(RED + GREEN)
    if lines:
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-n", workers, "tests"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert run.returncode == exit_code and expected_output in run.stdout + run.stderr
