"""Names that counters have, for `moorusher stats`, `GET /counters` and whatever watches them.

Guards against a counter that is renamed along with what counts: a watch on it would see a figure that stands still, and
the counts of two builds could not be added. Counters are named by texts in the program, some put together from the
value of an Enum: each of these texts must still be there, wherever it has gone.
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

# ---- the names of the program, once ----

SOURCES = Path(moorusher.__file__).parent
NOT_IN_SERVICE = ("lab", "check")
VALUES: dict[str, type[Enum]] = {
    "succession: ": State,
    "standing: ": HealthState,
    "outage: ": MachineMode,
    "failed: ": Cause,
    "connections: ": EndReason,
    "": Verdict,
}


# ---- texts ----


def texts_of(node: ast.AST) -> Iterator[str]:
    """Parts of texts that are put together are texts, too."""
    for one in ast.walk(node):
        if isinstance(one, ast.Constant) and isinstance(one.value, str):
            yield one.value


def texts() -> set[str]:
    found = set[str]()
    for path in SOURCES.rglob("*.py"):
        if path.relative_to(SOURCES).parts[0] not in NOT_IN_SERVICE:
            found.update(texts_of(ast.parse(path.read_text())))
    return found


def test_every_text_that_names_a_counter_is_still_there() -> None:
    there = texts()
    assert [text for text in read_golden("counter_texts") if text not in there] == []


def test_values_that_end_a_counters_name_are_the_same() -> None:
    told = {head: sorted(str(one.value) for one in kind) for head, kind in VALUES.items()}
    assert_golden("counter_values", told)
