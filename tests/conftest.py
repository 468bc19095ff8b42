"""Settings of the whole run: tests of `KNOWN-RED.txt` run as xfails, and are printed at the end."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest

from .known_red import FILE, InvalidKnownRedListError, KnownRed, missing_tests, parse

MISSING_TESTS = pytest.StashKey[list[str]]()
USAGE_ERROR = pytest.ExitCode.USAGE_ERROR


def known_red_entries() -> list[KnownRed]:
    try:
        return parse(FILE.read_text()) if FILE.exists() else []
    except InvalidKnownRedListError as error:
        raise pytest.UsageError(f"{FILE.name}: {error}") from error


def pytest_configure() -> None:
    """Refuse a list that can't be read, before any worker is started."""
    known_red_entries()


def _collects_everything(config: pytest.Config) -> bool:
    """Whether no argument leaves tests out: only then a listed test that is not there is an error."""
    named = any("::" in argument or argument.endswith(".py") for argument in config.args)
    return not (named or config.option.keyword or config.option.markexpr)


def _note_missing_tests(config: pytest.Config, collected: Iterable[str]) -> None:
    if _collects_everything(config):
        config.stash[MISSING_TESTS] = missing_tests(known_red_entries(), collected)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    _note_missing_tests(config, [item.nodeid for item in items])
    by_test = {entry.test: entry for entry in known_red_entries()}
    for item in items:
        entry = by_test.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.seen} (issue {entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.always_fails))


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: Any, ids: list[str]) -> None:
    """With workers, the controlling process collects nothing itself."""
    _note_missing_tests(node.config, ids)


def pytest_sessionfinish(session: pytest.Session) -> None:
    if session.config.stash.get(MISSING_TESTS, []):
        session.exitstatus = USAGE_ERROR


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    missing = terminalreporter.config.stash.get(MISSING_TESTS, [])
    if missing:
        terminalreporter.write_line(f"{FILE.name}: no such test: {', '.join(missing)}")
    for entry in known_red_entries():
        terminalreporter.write_line(f"known red: {entry.test}: {entry.seen} (issue {entry.issue})")
