"""How a test holds what the program says against a golden file.

`MOORUSHER_WRITE_GOLDEN=1` writes the files anew, and is refused in CI: a file that changes is a change of a form that
processes in service and stored data speak already.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "golden"
WRITES = bool(os.environ.get("MOORUSHER_WRITE_GOLDEN"))
WIDTH = 100


def read_golden(name: str) -> Any:
    """The value that a golden file holds."""
    return json.loads((FOLDER / f"{name}.json").read_text())


def _text(value: Any, indent: int = 0) -> str:
    """JSON, with what is short on one line."""
    line = json.dumps(value, ensure_ascii=False)
    if not isinstance(value, (dict, list)) or len(line) + indent <= WIDTH:
        return line
    if isinstance(value, dict):
        parts = [f"{json.dumps(k, ensure_ascii=False)}: {_text(v, indent + 1)}" for k, v in value.items()]
    else:
        parts = [_text(v, indent + 1) for v in value]
    space, (begins, ends) = "\n" + " " * indent, "{}" if isinstance(value, dict) else "[]"
    return f"{begins}{space} " + f",{space} ".join(parts) + f"{space}{ends}"


def assert_golden(name: str, told: Any) -> None:
    """What is told has the same JSON text as the file: the order of keys counts, too."""
    text = _text(json.loads(json.dumps(told))) + "\n"
    path = FOLDER / f"{name}.json"
    if WRITES:
        assert not os.environ.get("CI"), "golden files are not written in CI"
        path.write_text(text)
    assert json.loads(text) == json.loads(path.read_text())
    assert text == path.read_text()
