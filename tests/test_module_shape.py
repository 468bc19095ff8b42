"""The module stays small and pure; the README's example runs."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
MODULE = ROOT / "moorusher" / "scheduling" / "balancer.py"
MOST_LINES = {"balancer.py": 555, "retry_policy.py": 100}  # not blank
TYPES = ROOT / "moorusher" / "scheduling" / "interface.py"
POLICY = [ROOT / path for path in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]


def test_the_decision_files_are_short_and_narrow() -> None:
    assert {path.name for path in POLICY} == MOST_LINES.keys()
    for path in POLICY:
        lines = path.read_text().splitlines()
        assert len([x for x in lines if x.strip()]) <= MOST_LINES[path.name]
        assert max(map(len, lines)) <= 120
    assert max(map(len, MODULE.read_text().splitlines())) <= 110


def test_the_docstring_names_the_interface_first() -> None:
    doc = ast.get_docstring(ast.parse(MODULE.read_text())) or ""
    assert "scheduling/interface.py" in doc.splitlines()[0]


@pytest.mark.parametrize("path", [*POLICY, TYPES], ids=lambda path: path.name)
def test_the_decision_files_do_no_io_and_read_no_clock(path: Path) -> None:
    nodes = list(ast.walk(ast.parse(path.read_text())))
    names = {n.name for node in nodes if isinstance(node, ast.Import) for n in node.names}
    froms = {node.module for node in nodes if isinstance(node, ast.ImportFrom)}
    assert (names | froms) <= {
        "heapq",
        "collections",
        "__future__",
        "collections.abc",
        "moorusher.scheduling",
        "moorusher.scheduling.interface",
        "moorusher.scheduling.retry_policy",
        "random",
        "math",
        "enum",
        "dataclasses",
        "typing",
    }


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    scope: dict[str, object] = {}
    exec(blocks[0], scope)
    assert scope["actions"] is not None
