"""What may be sent a second time, by the effect of its class and by what proves that the first never ran."""

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
    """One class of each effect, named by it; no call may be left out."""
    base = {"aimMs": 3000, "deadlineMs": 8000, "worth": 1, "windowMs": 0}
    return [base | {"name": e, "effect": e, "windowMs": 20000 if e == "guarded" else 0} for e in EFFECTS]


def settings_of_each_effect() -> dict[str, Any]:
    extra = SETTINGS["extra"] | {"classCalls": [True] * 3, "worthWithout": [0] * 3}
    return {"classes": classes_of_each_effect(), "extra": extra}


async def ask(front_end: FrontEnd, effect: str, **more: Any) -> dict[str, Any]:
    token = {"token": new_key()} if effect == "guarded" else {}
    return await front_end.ask(effect, **token, **more)


PROOFS = {Evidence.NOT_SENT, Evidence.NOT_CONNECTED, Evidence.REJECTED, Evidence.NOT_AWAITED}
WITHOUT_PROOF = {
    Effect.IDEMPOTENT: RetryDecision.ALLOWED,
    Effect.IDEMPOTENT_WITH_KEY: RetryDecision.CHECK_KEY_OWNER,
    Effect.NOT_IDEMPOTENT: RetryDecision.FORBIDDEN,
}


@pytest.mark.parametrize("effect", Effect)
@pytest.mark.parametrize("evidence", Evidence)
def test_the_rule_for_each_pair(effect: Effect, evidence: Evidence) -> None:
    proven = evidence in PROOFS
    harmless = proven or evidence is Evidence.DUPLICATES_IGNORED
    assert evidence.proves_never_ran is proven
    assert retry_decision(effect, evidence) is (RetryDecision.ALLOWED if harmless else WITHOUT_PROOF[effect])
    assert may_retry(effect, evidence) is (harmless or effect is Effect.IDEMPOTENT)
    assert tolerates_duplicates(effect) is (effect is Effect.IDEMPOTENT)


@pytest.mark.parametrize("outcome", ExecutionOutcome)
def test_outcomes_prove_what_their_evidence_does(outcome: ExecutionOutcome) -> None:
    assert EVIDENCE_OF_OUTCOME[outcome].proves_never_ran is outcome.never_ran


@pytest.mark.processes
@pytest.mark.parametrize("effect, repeated", [("free", True), ("guarded", False), ("single_shot", False)])
def test_a_call_cut_off_on_a_connection_that_was_used_before(effect: str, repeated: bool) -> None:
    """The other side has read the call when the connection breaks: that proves nothing."""

    @asynchronous_test
    async def run() -> None:
        db = Database(200, "reset", 200)
        async with running(Kernel(calls=True), db, **settings_of_each_effect()) as r:
            f = await FrontEnd.connect(r.port)
            assert "result" in await ask(f, "free", body=b"first")
            await wait_until(lambda: not f._waiting)
            got = await ask(f, effect, body=b"second", budget=2000)
            assert db.calls.count(b"ask second") == (2 if repeated else 1)
            assert ("result" in got) is repeated

    run()


@pytest.mark.processes
@pytest.mark.parametrize("effect, repeated", [("free", True), ("guarded", False), ("single_shot", False)])
def test_an_attempt_of_the_tier_that_may_have_run(effect: str, repeated: bool) -> None:
    @asynchronous_test
    async def run() -> None:
        servers = [Database("reset"), Database("reset")]
        more = tier_settings(*servers, policy="hedge = false\nretry_share = 1.0")
        async with running(Kernel(calls=True), more=more, **settings_of_each_effect()) as r:
            f = await FrontEnd.connect(r.port)
            got = await ask(f, effect, budget=700)
            calls = sum(len(server.calls) for server in servers)
            assert "result" not in got
            assert calls > 1 if repeated else calls == 1
        for server in servers:
            server.close()

    run()
