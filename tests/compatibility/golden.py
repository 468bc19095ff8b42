"""Comparison of the program's output with golden files.

`MOORUSHER_WRITE_GOLDEN=1` rewrites the files. CI refuses this setting: a change of a golden file is a change of a
format on which running processes and stored data depend.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "golden"
WRITE_GOLDEN = bool(os.environ.get("MOORUSHER_WRITE_GOLDEN"))
MAX_LINE_LENGTH = 100


def read_golden(name: str) -> Any:
    """Return the value in a golden file."""
    return json.loads((FOLDER / f"{name}.json").read_text())


def _text(value: Any, indent: int = 0) -> str:
    """Return a value as JSON, with each part on one line if it fits."""
    line = json.dumps(value, ensure_ascii=False)
    if not isinstance(value, (dict, list)) or len(line) + indent <= MAX_LINE_LENGTH:
        return line
    if isinstance(value, dict):
        parts = [f"{json.dumps(k, ensure_ascii=False)}: {_text(v, indent + 1)}" for k, v in value.items()]
    else:
        parts = [_text(v, indent + 1) for v in value]
    newline, (opening, closing) = "\n" + " " * indent, "{}" if isinstance(value, dict) else "[]"
    return f"{opening}{newline} " + f",{newline} ".join(parts) + f"{newline}{closing}"


def assert_golden(name: str, value: Any) -> None:
    """Assert that a value has the same JSON text as the golden file, including the order of keys."""
    text = _text(json.loads(json.dumps(value))) + "\n"
    path = FOLDER / f"{name}.json"
    if WRITE_GOLDEN:
        assert not os.environ.get("CI"), "golden files are not written in CI"
        path.write_text(text)
    assert json.loads(text) == json.loads(path.read_text())
    assert text == path.read_text()
