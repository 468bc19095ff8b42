"""Names that leave the process: messages, settings, commands, the administration API, counters and stored data.

Guards against a rename of an identifier that also renames something that clients, peers, operators' tools or stored
data use. `outer_names.txt` lists these names; each of them must still be in the source, as an identifier or a string.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import moorusher

LIST = Path(__file__).parent / "outer_names.txt"
SOURCES = Path(moorusher.__file__).parent
IDENTIFIER_FIELDS = ("id", "attr", "name", "arg")
MIN_NAMES = 900


def listed_names() -> list[str]:
    lines = LIST.read_text().splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def is_docstring(statement: ast.AST) -> bool:
    return isinstance(statement, ast.Expr) and isinstance(statement.value, ast.Constant)


def names_in(tree: ast.AST) -> Iterator[str]:
    """Yield each identifier and each string, without docstrings."""
    docstrings = {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr) and is_docstring(node)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
        for field in IDENTIFIER_FIELDS:
            name = getattr(node, field, None)
            if isinstance(name, str):
                yield name


@pytest.fixture(scope="module")
def names_in_source() -> set[str]:
    return {name for path in SOURCES.rglob("*.py") for name in names_in(ast.parse(path.read_text()))}


def test_the_list_is_complete_and_without_duplicates() -> None:
    names = listed_names()
    assert len(names) >= MIN_NAMES
    assert len(set(names)) == len(names)


def test_each_outer_name_is_still_in_the_source(names_in_source: set[str]) -> None:
    # click names a command without an explicit name after its function, with "-" for "_".
    commands = {name.replace("_", "-") for name in names_in_source}
    assert [name for name in listed_names() if name not in names_in_source | commands] == []
