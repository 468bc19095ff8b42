"""New settings change the effect of a class whose requests are queued, running or finished."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import pytest

from moorusher.core.former_key_classes import MAX_FORMER_CLASSES, FormerKeyClasses
from moorusher.scheduling import interface as api

from .helpers import settings as base_settings
from .stand_ins import HOST, SETTINGS, WAIT, FrontEnd, Kernel, Runner, content, running
from .test_sockets import asynchronous_test, new_key, wait_until

CHECK, SUBMIT = SETTINGS["classes"]
IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT = "free", "guarded", "single_shot"


def settings(**submit_changes: Any) -> dict[str, Any]:
    return {"settings": SETTINGS | {"classes": [CHECK, SUBMIT | submit_changes]}}


async def reload(runner: Runner, changes: dict[str, Any]) -> None:
    """Reload the configuration and wait until the runner has logged that it applies the new settings."""
    before = runner.read_log().count("configuration read again")
    runner.reload(**changes)
    await wait_until(lambda: runner.read_log().count("configuration read again") > before)


async def send_request(
    runner: Runner, token: str, body: bytes = b"one", klass: str = "submit"
) -> dict[str, Any]:
    front_end = await FrontEnd.connect(runner.port)
    try:
        return await front_end.ask(klass, token=token, body=body)
    finally:
        front_end.close()


def run_bodies(kernel: Kernel) -> list[bytes]:
    return [body for _, _, body in kernel.runs]


@pytest.mark.processes
@pytest.mark.parametrize(
    "later_changes",
    [(), ({"effect": IDEMPOTENT_WITH_KEY},), ({"effect": IDEMPOTENT}, {"effect": NOT_IDEMPOTENT})],
)
@asynchronous_test
async def test_a_key_is_valid_for_its_window_after_its_class_has_lost_its_keys(
    later_changes: tuple[dict[str, Any], ...],
) -> None:
    kernel, token = Kernel(work=0.05), new_key()
    async with running(kernel) as runner:
        assert content(await send_request(runner, token)) == b"did one"
        for changes in ({"effect": NOT_IDEMPOTENT}, *later_changes):
            await reload(runner, settings(**changes))
        assert content(await send_request(runner, token)) == b"did one"
        assert run_bodies(kernel) == [b"one"]


@pytest.mark.processes
@asynchronous_test
async def test_a_retry_waits_for_an_open_run_after_its_class_has_lost_its_keys() -> None:
    kernel, token = Kernel(work=0.6), new_key()
    async with running(kernel) as runner:
        first = asyncio.create_task(send_request(runner, token))
        await wait_until(lambda: len(kernel.runs) == 1)
        await reload(runner, settings(effect=NOT_IDEMPOTENT))
        second = await send_request(runner, token)
        assert content(second) == content(await first) == b"did one"
        assert run_bodies(kernel) == [b"one"]


@pytest.mark.processes
@asynchronous_test
async def test_a_retry_under_the_class_that_replaced_a_class_with_keys_does_not_run() -> None:
    kernel, token = Kernel(work=0.05), new_key()
    other = SUBMIT | {"name": "submit-b", "effect": NOT_IDEMPOTENT}
    async with running(kernel) as runner:
        assert content(await send_request(runner, token)) == b"did one"
        await reload(runner, {"settings": SETTINGS | {"classes": [CHECK, other]}})
        assert content(await send_request(runner, token, klass="submit-b")) == b"did one"
        assert run_bodies(kernel) == [b"one"]


@pytest.mark.processes
@asynchronous_test
async def test_a_class_without_keys_shares_no_result_with_a_class_with_keys() -> None:
    kernel, token = Kernel(work=0.05), new_key()
    other = SUBMIT | {"name": "once", "effect": NOT_IDEMPOTENT}
    extra = SETTINGS["extra"] | {"classCalls": [True] * 3, "worthWithout": [0.5, 0, 0]}
    async with running(kernel, classes=[CHECK, SUBMIT, other], extra=extra) as runner:
        await send_request(runner, token)
        await send_request(runner, token, klass="once")
        assert run_bodies(kernel) == [b"one", b"one"], "the two are different requests"


class Attempt(NamedTuple):
    """A request id and its future answer."""

    rid: str
    answer: asyncio.Future[dict[str, Any]]


class BatchingFrontEnd(FrontEnd):
    """A front end that sends several lines in one write.

    The answers on a connection arrive in the order in which the runner writes them.
    """

    _lines: list[bytes] | None = None

    def raw(self, line: bytes) -> None:
        if self._lines is None:
            super().raw(line)
        else:
            self._lines.append(line)

    def submit(self, tokens: list[str]) -> tuple[dict[str, Attempt], asyncio.Future[dict[str, Any]]]:
        """Send one attempt for each token, preceded by a heartbeat, which the runner answers when it reads it."""
        self._lines = []
        heartbeat = self.send("heartbeat")
        attempts = {}
        for token in tokens:
            rid = new_key()[:16]
            attempts[token] = Attempt(rid, self.send("submit", rid=rid, token=token, body=token.encode()))
        batch, self._lines = b"\n".join(self._lines), None
        self.raw(batch)
        return attempts, heartbeat


def is_rejected(answer: dict[str, Any]) -> bool:
    return "error" in answer and bool(answer["error"]["code"] == -32014)


@pytest.mark.processes
@pytest.mark.parametrize("case", ["queued ones run", "queued ones are rejected", "all are answered before"])
@asynchronous_test
async def test_queued_requests_retain_the_effect_under_which_they_were_read(case: str) -> None:
    """Guards against a key that runs twice, or a rejected attempt that runs, when a class loses its keys.

    Several requests with keys arrive at once: two run, some are queued, and those that would wait too long are rejected
    immediately. New settings remove the keys of the class, and each request is retried once.

    A rejection promises that the attempt never ran, so that the caller may use another runner. A token may therefore
    have both a rejection and a run in one case only: its first attempt was rejected before the runner read the second,
    and the second attempt ran. If the first attempt is rejected later, its key must never run.

    The second attempts are sent in one write, preceded by a heartbeat. A rejection received before the heartbeat's
    answer was written before any second attempt was read; a rejection received after it counts as later.
    """
    expects_later_rejection = case == "queued ones are rejected"
    kernel = Kernel(work=3.0 if expects_later_rejection else 0.3)
    # Of 12 requests some are rejected, in whatever order they are read.
    count = 5 if case == "queued ones run" else 12
    tokens = [new_key() for _ in range(count)]
    async with running(kernel) as runner:
        front_end = BatchingFrontEnd(*await asyncio.open_connection(HOST, runner.port))
        first, _ = front_end.submit(tokens)
        await wait_until(lambda: len(kernel.runs) == 2)
        if case == "all are answered before":
            await asyncio.wait_for(asyncio.gather(*(first[token].answer for token in tokens)), WAIT)
        await reload(runner, settings(effect=NOT_IDEMPOTENT))
        second, heartbeat = front_end.submit(tokens)
        received: list[asyncio.Future[dict[str, Any]]] = []
        for answer in (*(first[token].answer for token in tokens), heartbeat):
            answer.add_done_callback(received.append)  # answers received before come first in the list
        await asyncio.gather(*(attempts[token].answer for attempts in (first, second) for token in tokens))
        # The kernel receives this run after any other run that was started.
        await send_request(runner, new_key(), body=b"work 10")
        assert "result" in heartbeat.result()
        before_heartbeat = received[: received.index(heartbeat)]
        served = rejected_later = ran_after_rejection = 0
        for token in tokens:
            runs = [rid for rid, _, body in kernel.runs if body == token.encode()]
            first_answer, second_answer = first[token].answer.result(), second[token].answer.result()
            assert len(runs) <= 1, "a key ran twice"
            for final_answer in (first_answer, second_answer):
                if "result" in final_answer:
                    assert runs and content(final_answer) == b"did " + token.encode()
                    served += 1
            is_early = first[token].answer in before_heartbeat
            if is_rejected(first_answer) and runs:
                assert is_early, (
                    "the key ran although its first attempt was rejected after the second was read"
                )
                assert runs == [second[token].rid], "a rejected attempt ran"
                ran_after_rejection += 1
            assert not (is_rejected(second_answer) and runs), "the key ran although its retry was rejected"
            rejected_later += is_rejected(first_answer) and not is_early
        assert served
        assert rejected_later or not expects_later_rejection, "the intended order of events did not occur"
        assert ran_after_rejection or case != "all are answered before", (
            "the intended order of events did not occur"
        )


SECOND = 1_000_000  # us
WINDOW_S, DEADLINE_S, MARGIN_S = 20, 8, 2


def settings_of(**effects: api.Effect) -> api.Settings:
    """Return settings with one class for each name and effect."""
    classes = tuple(
        api.RequestClass(
            3_000, DEADLINE_S * 1_000, name, effect=effect, idempotency_window_ms=WINDOW_S * 1_000
        )
        for name, effect in effects.items()
    )
    return base_settings(classes=classes)


def test_a_former_class_has_keys_until_the_last_of_them_expires() -> None:
    former, before, after = (
        FormerKeyClasses(),
        settings_of(a=api.Effect.IDEMPOTENT_WITH_KEY),
        settings_of(a=api.Effect.NOT_IDEMPOTENT),
    )
    former.settings_changed(0, before, after)
    cls = after.classes[0]
    last = (WINDOW_S + DEADLINE_S + MARGIN_S) * SECOND
    assert former.effective_class(cls, last - 1).effect is api.Effect.IDEMPOTENT_WITH_KEY
    assert former.effective_class(cls, last) is cls


def test_further_changes_do_not_shorten_the_expiry_and_a_class_that_regains_keys_is_used_unchanged() -> None:
    former, keyed, safe, unsafe = (
        FormerKeyClasses(),
        *(
            settings_of(a=effect)
            for effect in (
                api.Effect.IDEMPOTENT_WITH_KEY,
                api.Effect.IDEMPOTENT,
                api.Effect.NOT_IDEMPOTENT,
            )
        ),
    )
    former.settings_changed(0, keyed, safe)
    former.settings_changed(1 * SECOND, safe, unsafe)
    former.settings_changed(2 * SECOND, unsafe, settings_of(b=api.Effect.IDEMPOTENT))
    former.settings_changed(3 * SECOND, settings_of(b=api.Effect.IDEMPOTENT), unsafe)
    assert former.effective_class(unsafe.classes[0], 10 * SECOND).effect is api.Effect.IDEMPOTENT_WITH_KEY
    former.settings_changed(11 * SECOND, unsafe, keyed)
    assert former.effective_class(keyed.classes[0], 12 * SECOND) is keyed.classes[0]


def test_only_classes_added_when_a_class_with_keys_is_dropped_have_keys_as_well() -> None:
    former = FormerKeyClasses()
    before = settings_of(a=api.Effect.IDEMPOTENT_WITH_KEY, b=api.Effect.NOT_IDEMPOTENT)
    after = settings_of(b=api.Effect.NOT_IDEMPOTENT, c=api.Effect.NOT_IDEMPOTENT)
    former.settings_changed(0, before, after)
    b, c = after.classes
    assert former.effective_class(b, SECOND) is b
    assert former.effective_class(c, SECOND).effect is api.Effect.IDEMPOTENT_WITH_KEY


def test_the_number_of_stored_former_classes_is_bounded() -> None:
    former = FormerKeyClasses()
    for number in range(1_000):
        former.settings_changed(
            0,
            settings_of(**{f"c{number}": api.Effect.IDEMPOTENT_WITH_KEY}),
            settings_of(**{f"c{number + 1}": api.Effect.IDEMPOTENT_WITH_KEY}),
        )
    assert len(former._former) <= MAX_FORMER_CLASSES + 1
