"""Structure of the scheduler's modules: small, and without I/O or clock. Also runs the README's example."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SCHEDULING = ROOT / "moorusher" / "scheduling"
INTERFACE = [SCHEDULING / name for name in ("actions.py", "events.py", "interface.py", "settings.py")]
MODULES = sorted(path for path in SCHEDULING.rglob("*.py") if path.name != "__init__.py")
MAX_MODULE_LINES = 350
MAX_LINE_LENGTH = 110
MAX_CLASS_METHODS = 19
POLICY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]


def test_every_module_of_the_scheduler_is_listed_as_policy_or_has_only_types() -> None:
    assert sorted(ROOT / path for path in POLICY) == [path for path in MODULES if path not in INTERFACE]
    assert len(POLICY) == len(set(POLICY))


@pytest.mark.parametrize("path", INTERFACE, ids=lambda path: path.name)
def test_the_interface_modules_have_no_other_functions_than_validation(path: Path) -> None:
    functions = [
        node.name for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.FunctionDef)
    ]
    assert set(functions) <= {"__post_init__", "_check_types", "_require", "never_ran"}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_a_module_of_the_scheduler_has_few_and_short_lines(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert len(lines) < MAX_MODULE_LINES
    assert max(map(len, lines)) <= MAX_LINE_LENGTH


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_a_module_of_the_scheduler_has_small_documented_classes(path: Path) -> None:
    tree = ast.parse(path.read_text())
    assert ast.get_docstring(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            assert ast.get_docstring(node), node.name
            assert sum(isinstance(member, ast.FunctionDef) for member in node.body) <= MAX_CLASS_METHODS


def test_the_scheduler_docstring_names_the_interface_module_in_its_first_line() -> None:
    docstring = ast.get_docstring(ast.parse((SCHEDULING / "scheduler.py").read_text())) or ""
    assert "scheduling/interface.py" in docstring.splitlines()[0]


@pytest.mark.parametrize("path", [*MODULES, SCHEDULING / "__init__.py"], ids=lambda path: path.name)
def test_a_module_of_the_scheduler_does_no_io_and_reads_no_clock(path: Path) -> None:
    nodes = list(ast.walk(ast.parse(path.read_text())))
    imports = {alias.name for node in nodes if isinstance(node, ast.Import) for alias in node.names}
    from_imports = {node.module or "" for node in nodes if isinstance(node, ast.ImportFrom)}
    siblings = {f"moorusher.scheduling.{module.stem}" for module in MODULES}
    assert (imports | from_imports) <= siblings | {
        "__future__",
        "collections",
        "collections.abc",
        "dataclasses",
        "enum",
        "math",
        "moorusher.scheduling",
        "typing",
    }


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    scope: dict[str, object] = {}
    exec(blocks[0], scope)
    assert scope["actions"] is not None
