"""Parses `KNOWN-RED.txt` in the root folder: the tests that fail because of a known fault of the program.

Each line has four parts, separated by semicolons: the id of the test (which may contain semicolons in its brackets),
the command and seed that reproduce the failure, the observed failure, and the issue.

A listed test runs as a strict xfail: the test run fails if it passes. If the observed failure begins with a count
("5 of 11: ..."), the test is flaky and its xfail is not strict. The test run also fails if a listed test does not exist
or if the list has more than three lines.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3
_PARTS = 4
_SEPARATOR = re.compile(r";(?![^\[\]]*\])")  # Semicolons outside of the brackets of a test's id.
_COUNT = re.compile(r"(\d+) of (\d+): ")


class InvalidKnownRedListError(ValueError):
    """The list is invalid. The message names the line."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """An entry of the list.

    Attributes:
        test: Id of the test.
        command: Command that reproduces the failure.
        observed: Observed failure, after a count if the test is flaky.
        issue: Number of the issue.
    """

    test: str
    command: str
    observed: str
    issue: str

    @property
    def always_fails(self) -> bool:
        """Whether the test must fail in each run. False if a count in `observed` says that only some runs failed."""
        count = _COUNT.match(self.observed)
        return count is None or int(count[1]) >= int(count[2])


def parse(text: str) -> list[KnownRed]:
    """Parse the lines of the file.

    :raises InvalidKnownRedListError: a line lacks a part, or there are too many lines.
    """
    entries = []
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in _SEPARATOR.split(line)]
        if len(parts) != _PARTS or not all(parts):
            raise InvalidKnownRedListError(f"expected TEST; COMMAND; SEEN; ISSUE, got {line!r}")
        entries.append(KnownRed(*parts))
    if len(entries) > MAX_ENTRIES:
        raise InvalidKnownRedListError(f"{len(entries)} lines, but at most {MAX_ENTRIES} are allowed")
    return entries


def missing_tests(entries: Iterable[KnownRed], collected: Iterable[str]) -> list[str]:
    """Return the ids of the listed tests that were not collected."""
    present = set(collected)
    return [entry.test for entry in entries if entry.test not in present]
