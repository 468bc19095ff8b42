"""Import rules: the core is independent of protocols, and the packages that decide do no I/O, read no clock and use no
random numbers of their own."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

CORE = sorted((Path(__file__).resolve().parent.parent / "moorusher" / "core").glob("*.py"))
PROTOCOL_MODULES = {"twisted", "json", "base64", "binascii", "socket", "struct", "asyncio", "threading"}
CORE_MODULES = {
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
    "peer_keys",
    "reconfiguration",
    "registration",
    "remote_claims",
    "request_engine",
    "requests",
    "routes",
    "run",
    "turn",
    "unconfirmed_rejections",
    "wall_clock",
}


@pytest.mark.parametrize("path", CORE, ids=lambda p: p.stem)
def test_the_core_imports_no_protocol_module(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            assert not {n.name.split(".")[0] for n in node.names} & PROTOCOL_MODULES
        elif isinstance(node, ast.ImportFrom):
            assert (node.module or "").split(".")[0] not in PROTOCOL_MODULES
            assert node.level < 2, "a relative import leaves the core"
            if node.level:
                assert node.module in CORE_MODULES


def test_the_core_modules_are_found() -> None:
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


PURE_PACKAGES = ("health", "hot_restart", "load_balancing", "warm_start", "replication", "membership")
PACKAGE = CORE[0].parent.parent
PURE_MODULES = [p for name in PURE_PACKAGES for p in sorted((PACKAGE / name).glob("*.py"))] + [
    PACKAGE / "time_units.py"
]
PURE_LIBRARIES = {
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
# Modules that are checked for the same rules, here (time_units) or in scheduling/test_module_shape.py.
CHECKED_MODULES = {
    "moorusher.scheduling.interface",
    "moorusher.scheduling.retry_policy",
    "moorusher.time_units",
}


@pytest.mark.parametrize("path", PURE_MODULES, ids=lambda p: f"{p.parent.name}-{p.stem}")
def test_pure_packages_import_only_pure_modules(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            assert {n.name.split(".")[0] for n in node.names} <= PURE_LIBRARIES
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            assert (node.module or "").split(".")[0] in PURE_LIBRARIES or node.module in CHECKED_MODULES
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 1 or (node.module or "").split(".")[0] in PURE_PACKAGES
