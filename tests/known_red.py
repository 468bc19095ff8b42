"""Tests that fail for a real fault which is not mended yet, as `KNOWN-RED.txt` at the root names them.

One line each: the test's id, its cause, its issue, parted by semicolons. They run as strict xfail: one that passes, a
line that names no test, and a fourth line fail the run.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST_LINES = 3


class BadList(ValueError):
    """The list can't be used; the text says which line is at fault."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that may fail."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """The lines of the file. Raises BadList."""
    known = []
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != 3 or not all(parts):
            raise BadList(f"expected TEST; CAUSE; ISSUE, got {line!r}")
        known.append(KnownRed(*parts))
    if len(known) > MOST_LINES:
        raise BadList(f"{len(known)} lines, and {MOST_LINES} at most are allowed")
    return known


def stale(known: Iterable[KnownRed], collected: Iterable[str]) -> list[str]:
    """Of those, the tests that are not there."""
    there = set(collected)
    return [red.test for red in known if red.test not in there]
