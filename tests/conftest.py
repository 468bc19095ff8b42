"""Runs the tests that are listed in `KNOWN-RED.txt` as xfails, and prints them at the end of the test run."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest

from .known_red import FILE, InvalidKnownRedListError, KnownRed, missing_tests, parse

MISSING_TESTS = pytest.StashKey[list[str]]()
USAGE_ERROR = pytest.ExitCode.USAGE_ERROR


def known_red_entries() -> list[KnownRed]:
    """Return the entries of the list, or none if the file does not exist."""
    try:
        return parse(FILE.read_text()) if FILE.exists() else []
    except InvalidKnownRedListError as error:
        raise pytest.UsageError(f"{FILE.name}: {error}") from error


def pytest_configure() -> None:
    """Reject an invalid list before any worker is started."""
    known_red_entries()


def _collects_everything(config: pytest.Config) -> bool:
    """Return whether the arguments select all tests. If they don't, listed tests need not be collected."""
    named = any("::" in argument or argument.endswith(".py") for argument in config.args)
    return not (named or config.option.keyword or config.option.markexpr)


def _record_missing_tests(config: pytest.Config, collected: Iterable[str]) -> None:
    if _collects_everything(config):
        config.stash[MISSING_TESTS] = missing_tests(known_red_entries(), collected)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as xfails."""
    _record_missing_tests(config, [item.nodeid for item in items])
    by_test = {entry.test: entry for entry in known_red_entries()}
    for item in items:
        entry = by_test.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.observed} (issue {entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.always_fails))


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: Any, ids: list[str]) -> None:
    """Check the tests that a worker has collected, because the controlling process collects none itself."""
    _record_missing_tests(node.config, ids)


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Fail the test run if a listed test does not exist."""
    if session.config.stash.get(MISSING_TESTS, []):
        session.exitstatus = USAGE_ERROR


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests, and those that do not exist."""
    missing = terminalreporter.config.stash.get(MISSING_TESTS, [])
    if missing:
        terminalreporter.write_line(f"{FILE.name}: no such test: {', '.join(missing)}")
    for entry in known_red_entries():
        terminalreporter.write_line(f"known red: {entry.test}: {entry.observed} (issue {entry.issue})")
