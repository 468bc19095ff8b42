"""The core knows no wire; what decides has no I/O, no clock and no randomness of its own."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

CORE = sorted((Path(__file__).resolve().parent.parent / "moorusher" / "core").glob("*.py"))
WIRES = {"twisted", "json", "base64", "binascii", "socket", "struct", "asyncio", "threading"}
ALLOWED_PARENTS = {
    None,
    "action_executor",
    "answer",
    "call",
    "clock",
    "completion",
    "coordination",
    "counters",
    "demand",
    "dispatch",
    "drain_state",
    "engine_state",
    "execution",
    "former_key_classes",
    "hooks",
    "idempotency_keys",
    "intake",
    "kernel_status",
    "key_claims",
    "key_table_limits",
    "observer",
    "outcomes",
    "reconfiguration",
    "registration",
    "remote_claims",
    "request_engine",
    "requests",
    "routes",
    "run",
    "turn",
    "wall_clock",
}


@pytest.mark.parametrize("path", CORE, ids=lambda p: p.stem)
def test_the_core_imports_no_wire(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            assert not {n.name.split(".")[0] for n in node.names} & WIRES
        elif isinstance(node, ast.ImportFrom):
            assert (node.module or "").split(".")[0] not in WIRES
            assert node.level < 2, "the core reaches out of itself"
            if node.level:
                assert node.module in ALLOWED_PARENTS


def test_there_is_a_core() -> None:
    assert {
        "clock",
        "requests",
        "registration",
        "intake",
        "dispatch",
        "execution",
        "completion",
        "request_engine",
        "run",
        "call",
        "idempotency_keys",
        "answer",
        "outcomes",
        "counters",
    } <= {p.stem for p in CORE}


PURE = ("health", "hot_restart", "load_balancing", "warm_start", "replication", "membership")
PACKAGE = CORE[0].parent.parent
DECIDES = [p for name in PURE for p in sorted((PACKAGE / name).glob("*.py"))] + [PACKAGE / "time_units.py"]
CALCULATES = {
    "__future__",
    "collections",
    "dataclasses",
    "enum",
    "heapq",
    "itertools",
    "math",
    "struct",
    "typing",
    "msgspec",
    "xxhash",
}
RULES = {
    "moorusher.scheduling.interface",
    "moorusher.scheduling.retry_policy",
    "moorusher.time_units",  # held to the same here
}  # what scheduling/test_module_shape.py holds to the same


@pytest.mark.parametrize("path", DECIDES, ids=lambda p: f"{p.parent.name}-{p.stem}")
def test_what_decides_only_calculates(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            assert {n.name.split(".")[0] for n in node.names} <= CALCULATES
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            assert (node.module or "").split(".")[0] in CALCULATES or node.module in RULES
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 1 or (node.module or "").split(".")[0] in PURE
