"""Retry policy: which messages may be sent again, by the effect of the class and the evidence of the first attempt."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.scheduling.interface import Effect, ExecutionOutcome
from moorusher.scheduling.retry_policy import (
    EVIDENCE_OF_OUTCOME,
    Evidence,
    RetryDecision,
    may_retry,
    retry_decision,
    tolerates_duplicates,
)

from .stand_ins import SETTINGS, Database, FrontEnd, Kernel, running
from .test_server_pool import tier_settings
from .test_sockets import asynchronous_test, new_key, wait_until

EFFECTS = ("free", "guarded", "single_shot")


def classes_of_each_effect() -> list[dict[str, Any]]:
    """Return one class for each effect, named after the effect."""
    base = {"aimMs": 3000, "deadlineMs": 8000, "worth": 1, "windowMs": 0}
    return [
        base | {"name": effect, "effect": effect, "windowMs": 20000 if effect == "guarded" else 0}
        for effect in EFFECTS
    ]


def settings_of_each_effect() -> dict[str, Any]:
    """Return settings with these classes, whose runs may make downstream calls and can't be answered without them."""
    extra = SETTINGS["extra"] | {"classCalls": [True] * 3, "worthWithout": [0] * 3}
    return {"classes": classes_of_each_effect(), "extra": extra}


async def send_request(front_end: FrontEnd, effect: str, **parameters: Any) -> dict[str, Any]:
    token = {"token": new_key()} if effect == "guarded" else {}
    return await front_end.ask(effect, **token, **parameters)


PROOFS = {Evidence.NOT_SENT, Evidence.NOT_CONNECTED, Evidence.REJECTED, Evidence.NOT_AWAITED}
WITHOUT_PROOF = {
    Effect.IDEMPOTENT: RetryDecision.ALLOWED,
    Effect.IDEMPOTENT_WITH_KEY: RetryDecision.CHECK_KEY_OWNER,
    Effect.NOT_IDEMPOTENT: RetryDecision.FORBIDDEN,
}


@pytest.mark.parametrize("effect", Effect)
@pytest.mark.parametrize("evidence", Evidence)
def test_the_decision_for_each_pair_of_effect_and_evidence(effect: Effect, evidence: Evidence) -> None:
    is_proof = evidence in PROOFS
    is_harmless = is_proof or evidence is Evidence.DUPLICATES_IGNORED
    assert evidence.proves_never_ran is is_proof
    assert retry_decision(effect, evidence) is (
        RetryDecision.ALLOWED if is_harmless else WITHOUT_PROOF[effect]
    )
    assert may_retry(effect, evidence) is (is_harmless or effect is Effect.IDEMPOTENT)
    assert tolerates_duplicates(effect) is (effect is Effect.IDEMPOTENT)


@pytest.mark.parametrize("outcome", ExecutionOutcome)
def test_an_outcome_and_its_evidence_agree_on_whether_nothing_ran(outcome: ExecutionOutcome) -> None:
    assert EVIDENCE_OF_OUTCOME[outcome].proves_never_ran is outcome.never_ran


@pytest.mark.processes
@pytest.mark.parametrize("effect, is_retried", [("free", True), ("guarded", False), ("single_shot", False)])
def test_a_call_is_retried_after_a_reset_of_a_reused_connection_only_if_it_is_idempotent(
    effect: str, is_retried: bool
) -> None:
    """The database has read the call when the connection breaks, so the call may have run."""

    @asynchronous_test
    async def run() -> None:
        database = Database(200, "reset", 200)
        async with running(Kernel(calls=True), database, **settings_of_each_effect()) as runner:
            front_end = await FrontEnd.connect(runner.port)
            assert "result" in await send_request(front_end, "free", body=b"first")
            await wait_until(lambda: not front_end._waiting)
            answer = await send_request(front_end, effect, body=b"second", budget=2000)
            assert database.calls.count(b"ask second") == (2 if is_retried else 1)
            assert ("result" in answer) is is_retried

    run()


@pytest.mark.processes
@pytest.mark.parametrize("effect, is_retried", [("free", True), ("guarded", False), ("single_shot", False)])
def test_a_tier_call_that_may_have_run_is_retried_only_if_it_is_idempotent(
    effect: str, is_retried: bool
) -> None:
    @asynchronous_test
    async def run() -> None:
        servers = [Database("reset"), Database("reset")]
        more = tier_settings(*servers, policy="hedge = false\nretry_share = 1.0")
        async with running(Kernel(calls=True), more=more, **settings_of_each_effect()) as runner:
            front_end = await FrontEnd.connect(runner.port)
            answer = await send_request(front_end, effect, budget=700)
            calls = sum(len(server.calls) for server in servers)
            assert "result" not in answer
            assert calls > 1 if is_retried else calls == 1
        for server in servers:
            server.close()

    run()
