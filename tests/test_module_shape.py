"""The module stays small and pure; the README's example runs."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODULE = ROOT / "peattack" / "balance.py"


def test_the_module_is_short_and_narrow() -> None:
    lines = MODULE.read_text().splitlines()
    assert len([x for x in lines if x.strip()]) <= 550
    assert max(map(len, lines)) <= 110


def test_the_docstring_names_the_interface_first() -> None:
    doc = ast.get_docstring(ast.parse(MODULE.read_text())) or ""
    assert "peattack/interface.py" in doc.splitlines()[0]


def test_the_module_does_no_io_and_reads_no_clock() -> None:
    names = {
        n.name
        for node in ast.walk(ast.parse(MODULE.read_text()))
        if isinstance(node, ast.Import)
        for n in node.names
    }
    froms = {
        node.module for node in ast.walk(ast.parse(MODULE.read_text())) if isinstance(node, ast.ImportFrom)
    }
    assert (names | froms) <= {
        "heapq",
        "collections",
        "__future__",
        "collections.abc",
        "peattack",
        "peattack.interface",
        "random",
        "math",
    }


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    scope: dict[str, object] = {}
    exec(blocks[0], scope)
    assert scope["actions"] is not None
