"""The invariants of keyed work, checked on the whole history of a simulated cluster.

Each public function returns a description of a violation, or None.
"""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise
from typing import TYPE_CHECKING

from ..replication.work_record import KeyDigest, Owner, WorkState
from ..time_units import SECOND
from .cluster_history import AnswerKind, History, Request, Run
from .simulated_request_engine import KeyState

if TYPE_CHECKING:
    from .cluster_process import Process
    from .cluster_simulation import ClusterSimulation

MAJORITY = 2  # Majority of the three replicas of a key.


def find_violation(sim: ClusterSimulation) -> str | None:
    """Check all invariants at the end of a simulation, and return the first violation."""
    history = sim.history
    return (
        repeated_run(history, window_us=round(sim.scenario.window_s * SECOND))
        or unknown_result(history)
        or conflicting_results(history)
        or run_after_rejection(history)
        or abandoned_work(sim)
    )


def repeated_run(history: History, window_us: int) -> str | None:
    """Check that no key runs again within its window, which begins when the request of its earlier run arrives."""
    runs_by_key: dict[KeyDigest, list[Run]] = {}
    for run in history.runs:
        runs_by_key.setdefault(run.key, []).append(run)
    for key, runs in runs_by_key.items():
        for first, second in pairwise(runs):
            if second.started_at < first.received_at + window_us:
                return f"{key!r} ran at process {first.process} and again at {second.process}"
    return None


def unknown_result(history: History) -> str | None:
    """Check that every result that a client received is the result of a run of its key."""
    for answer in history.answers:
        if answer.result is not None and answer.result not in history.results[answer.key]:
            responder = f"process {answer.process}"
            return f"{answer.key!r} was answered by {responder} with a result of no run ({answer.kind.value})"
    return None


def conflicting_results(history: History) -> str | None:
    """Check that no key has more than one result."""
    has_conflict = any(len(results) > 1 for results in history.results.values())
    return "a key has more than one result" if has_conflict else None


def run_after_rejection(history: History) -> str | None:
    """Check that no key runs after all requests for it were rejected.

    A rejection counts only for requests that its process received before it, because later ones are new attempts.
    """
    requests: defaultdict[KeyDigest, list[Request]] = defaultdict(list)
    for request in history.requests:
        requests[request.key].append(request)
    for run in history.runs:
        earlier = [request for request in requests[run.key] if request.at <= run.started_at]
        if all(_was_rejected(history, run, request) for request in earlier):
            ran = f"{run.key!r} ran at process {run.process} at {run.started_at}"
            return f"{ran} although all requests for it had been rejected"
    return None


def _was_rejected(history: History, run: Run, request: Request) -> bool:
    """Return whether the request's process rejected the key between the request and the run."""
    return any(
        answer.key == run.key
        and answer.process == request.process
        and request.at < answer.at < run.started_at
        and answer.kind is AnswerKind.REJECTED
        for answer in history.answers
    )


def abandoned_work(sim: ClusterSimulation) -> str | None:
    """Check that all work that a majority of its replicas stores has been run or is still in progress at the end."""
    ran = {run.key for run in sim.history.runs}
    for key in sim.history.granted:
        replicas = _replicas_with_open_work(sim, key)
        if len(replicas) < MAJORITY or key in ran or _is_in_progress(sim, key):
            continue
        work = [process.node.acceptor.registers[key].value for process in replicas]
        if all(record.state in (WorkState.QUEUED, WorkState.RELEASED) for record in work):
            return f"{key!r} is known to {len(replicas)} replicas, but no process continues it: {work}"
    return None


def _is_in_progress(sim: ClusterSimulation, key: KeyDigest) -> bool:
    return any(
        process.engine.states.get(key) in (KeyState.QUEUED, KeyState.STARTING) for process in sim.processes
    )


def _replicas_with_open_work(sim: ClusterSimulation, key: KeyDigest) -> list[Process]:
    """Return the live replicas of a key that may vote on it and store work that a process must continue."""
    live = {process.node.me: process for process in sim.processes if process.alive}
    withdrawing = _withdrawing_owners(sim, key)
    return [
        live[seat]
        for seat in sim.placement.replicas(key)
        if seat in live and _has_open_work(live[seat], key, withdrawing)
    ]


def _has_open_work(process: Process, key: KeyDigest, withdrawing: set[Owner]) -> bool:
    acceptor = process.node.acceptor
    register = acceptor.registers.get(key)
    if register is None or register.value is None:
        return False
    work = register.value
    return (
        work.request is not None
        and not work.rejected_by
        and acceptor.can_vote_on(key)
        and work.owner not in withdrawing
    )


def _withdrawing_owners(sim: ClusterSimulation, key: KeyDigest) -> set[Owner]:
    """Return the owners that answered a client of this key with an error, and therefore withdraw their claims."""
    failed_processes = {
        answer.process
        for answer in sim.history.answers
        if answer.key == key and answer.kind in (AnswerKind.REJECTED, AnswerKind.FAILED)
    }
    return {process.node.owner for process in sim.processes if process.number in failed_processes}
