"""Maintenance that an operator sets or ends at either of two processes of one runner."""

from __future__ import annotations

import pytest

from .replaced_runner import NS_PER_MS, Process, ReplacedRunner, started_runner

LATER_MS = 100.0


@pytest.fixture
def runner(monkeypatch: pytest.MonkeyPatch) -> ReplacedRunner:
    return started_runner(monkeypatch)


def reasons(*processes: Process) -> list[str | None]:
    """Return the reason of the maintenance that is in effect at each process."""
    states = [process.service.maintenance for process in processes]
    return [None if state is None else state["reason"] for state in states]


def test_maintenance_set_at_a_process_before_it_is_welcomed_applies_to_both(runner: ReplacedRunner) -> None:
    """The waiting process took over the state of the one in service, and a confirmed order was lost."""
    first = runner.serving
    second = runner.start()
    second.set_maintenance("work")
    runner.settle()
    assert reasons(first, second) == ["work", "work"]
    runner.exit(first)
    runner.settle()
    third = runner.replace()
    assert reasons(third) == ["work"]


def test_maintenance_ended_at_a_process_before_it_is_welcomed_ends_at_both(runner: ReplacedRunner) -> None:
    first = runner.serving
    first.set_maintenance("work")
    runner.wait(LATER_MS)
    second = runner.start()
    second.set_maintenance(None)
    runner.settle()
    assert reasons(first, second) == [None, None]


def test_maintenance_set_later_at_the_process_in_service_is_followed(runner: ReplacedRunner) -> None:
    first = runner.serving
    second = runner.start()
    second.set_maintenance("older")
    first.harness.turn()
    first.harness.now_ns += round(LATER_MS * NS_PER_MS)
    first.core.start_turn()
    first.set_maintenance("newer")
    runner.settle()
    assert reasons(first, second) == ["newer", "newer"]


def test_a_process_that_nobody_has_changed_follows_the_one_in_service(runner: ReplacedRunner) -> None:
    first = runner.serving
    first.set_maintenance("work")
    second = runner.start()
    runner.settle()
    assert reasons(first, second) == ["work", "work"]
    first.set_maintenance(None)
    runner.settle()
    assert reasons(first, second) == [None, None]
