"""What holds for the whole run: tests of `KNOWN-RED.txt` are strict xfails, and are printed at its end."""

from __future__ import annotations

import pytest

from .known_red import FILE, BadList, KnownRed, read, stale


def known_reds() -> list[KnownRed]:
    try:
        return read(FILE.read_text()) if FILE.exists() else []
    except BadList as exc:
        raise pytest.UsageError(f"{FILE.name}: {exc}") from exc


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = known_reds()
    whole = not config.option.keyword and all("::" not in a and not a.endswith(".py") for a in config.args)
    if whole and (gone := stale(known, (item.nodeid for item in items))):
        raise pytest.UsageError(f"{FILE.name}: no such test: {', '.join(gone)}")
    reds = {red.test: red for red in known}
    for item in items:
        if (red := reds.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for red in known_reds():
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")
