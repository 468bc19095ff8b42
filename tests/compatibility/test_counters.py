"""Names of counters in `moorusher stats`, `GET /counters` and monitoring.

Guards against a counter that is renamed together with its code: monitoring would see a value that no longer changes,
and the counts of two builds could not be added up. Counters are named by string literals in the program, some of which
are followed by the value of an Enum. Each of these literals must still be in the source, in any module.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from enum import Enum
from pathlib import Path

import moorusher
from moorusher.core.answer import Cause, Verdict
from moorusher.core.outcomes import EndReason
from moorusher.health.states import HealthState
from moorusher.hot_restart.process_role import State
from moorusher.maintenance.local_machine import MachineMode

from .golden import assert_golden, read_golden

# ---- adapters: only this section uses the program's names ----

SOURCES = Path(moorusher.__file__).parent
EXCLUDED_PACKAGES = ("lab", "check")  # not part of a running runner
ENUMS_BY_PREFIX: dict[str, type[Enum]] = {
    "succession: ": State,
    "standing: ": HealthState,
    "outage: ": MachineMode,
    "failed: ": Cause,
    "connections: ": EndReason,
    "": Verdict,
}


# ---- string literals ----


def strings_in(tree: ast.AST) -> Iterator[str]:
    """Yield all string literals, including the literal parts of f-strings."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


def strings_in_source() -> set[str]:
    strings = set[str]()
    for path in SOURCES.rglob("*.py"):
        if path.relative_to(SOURCES).parts[0] not in EXCLUDED_PACKAGES:
            strings.update(strings_in(ast.parse(path.read_text())))
    return strings


def test_every_string_that_names_a_counter_is_still_in_the_source() -> None:
    strings = strings_in_source()
    assert [text for text in read_golden("counter_texts") if text not in strings] == []


def test_enum_values_that_end_a_counters_name_are_unchanged() -> None:
    values = {
        prefix: sorted(str(member.value) for member in enum) for prefix, enum in ENUMS_BY_PREFIX.items()
    }
    assert_golden("counter_values", values)
