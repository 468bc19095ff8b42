"""The list of tests that may fail is short, and true."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from .known_red import BadList, KnownRed, read, stale

RED = "def test_red() -> None:\n    assert False\n"
GREEN = "def test_green() -> None:\n    pass\n"


def test_a_line_names_a_test_its_cause_and_its_issue() -> None:
    assert read("a.py::test_b; it is late; 30\n\n") == [KnownRed("a.py::test_b", "it is late", "30")]
    for bad in ("a.py::test_b", "a; b", "a; ; 30", "a; b; 1; 2"):
        with pytest.raises(BadList):
            read(bad)
    with pytest.raises(BadList, match="4 lines"):
        read("a; b; 1\n" * 4)
    assert stale([KnownRed("x", "", ""), KnownRed("y", "", "")], ["y", "z"]) == ["x"]


@pytest.mark.processes
@pytest.mark.parametrize(
    "lines, exit_code, said",
    [
        ("", 1, "1 failed"),
        ("tests/test_it.py::test_red; broken; 1", 0, "known red: tests/test_it.py::test_red: broken (1)"),
        (
            "tests/test_it.py::test_red; broken; 1\ntests/test_it.py::test_green; broken; 1",
            1,
            "XPASS(strict)",
        ),
        ("tests/test_it.py::test_red; broken; 1\ntests/test_it.py::test_gone; broken; 1", 4, "no such test"),
        ("tests/test_it.py::test_red; broken; 1\n" * 4, 4, "4 lines"),
    ],
)
def test_a_run_passes_over_just_these(lines: str, exit_code: int, said: str, tmp_path: Path) -> None:
    here = Path(__file__).parent
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        (tmp_path / "tests" / name).write_text((here / name).read_text())
    (tmp_path / "tests" / "test_it.py").write_text(RED + GREEN)
    if lines:
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert run.returncode == exit_code and said in run.stdout + run.stderr
