"""New settings give a class another effect while its requests are held, running or over."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import pytest

from moorusher.core.former_key_classes import MAX_CLASSES, FormerKeyClasses
from moorusher.scheduling import interface as api

from .helpers import settings as base_settings
from .stand_ins import HOST, SETTINGS, WAIT, FrontEnd, Kernel, Runner, content, running
from .test_sockets import asynchronous_test, new_key, wait_until

CHECK, SUBMIT = SETTINGS["classes"]
FREE, KEYED, ONCE = "free", "guarded", "single_shot"


def settings(**submit: Any) -> dict[str, Any]:
    return {"settings": SETTINGS | {"classes": [CHECK, SUBMIT | submit]}}


async def reload(runner: Runner, changes: dict[str, Any]) -> None:
    """Until the runner says that it has taken the new settings."""
    before = runner.text().count("configuration read again")
    runner.reload(**changes)
    await wait_until(lambda: runner.text().count("configuration read again") > before)


async def ask(runner: Runner, token: str, body: bytes = b"one", klass: str = "submit") -> dict[str, Any]:
    front = await FrontEnd.connect(runner.port)
    try:
        return await front.ask(klass, token=token, body=body)
    finally:
        front.close()


def ran(kernel: Kernel) -> list[bytes]:
    return [body for _, _, body in kernel.runs]


@pytest.mark.processes
@pytest.mark.parametrize("more", [(), ({"effect": KEYED},), ({"effect": FREE}, {"effect": ONCE})])
@asynchronous_test
async def test_a_key_counts_for_its_window_though_its_class_has_none_any_more(
    more: tuple[dict[str, Any], ...],
) -> None:
    kernel, token = Kernel(work=0.05), new_key()
    async with running(kernel) as runner:
        assert content(await ask(runner, token)) == b"did one"
        for changes in ({"effect": ONCE}, *more):
            await reload(runner, settings(**changes))
        assert content(await ask(runner, token)) == b"did one"
        assert ran(kernel) == [b"one"]


@pytest.mark.processes
@asynchronous_test
async def test_a_repeat_of_a_run_that_goes_on_waits_for_it_though_its_class_has_no_keys_any_more() -> None:
    kernel, token = Kernel(work=0.6), new_key()
    async with running(kernel) as runner:
        first = asyncio.create_task(ask(runner, token))
        await wait_until(lambda: len(kernel.runs) == 1)
        await reload(runner, settings(effect=ONCE))
        second = await ask(runner, token)
        assert content(second) == content(await first) == b"did one"
        assert ran(kernel) == [b"one"]


@pytest.mark.processes
@asynchronous_test
async def test_a_repeat_under_the_class_that_took_the_place_of_a_keyed_one_runs_nothing() -> None:
    kernel, token = Kernel(work=0.05), new_key()
    other = SUBMIT | {"name": "submit-b", "effect": ONCE}
    async with running(kernel) as runner:
        assert content(await ask(runner, token)) == b"did one"
        await reload(runner, {"settings": SETTINGS | {"classes": [CHECK, other]}})
        assert content(await ask(runner, token, klass="submit-b")) == b"did one"
        assert ran(kernel) == [b"one"]


@pytest.mark.processes
@asynchronous_test
async def test_a_class_beside_a_keyed_one_takes_no_result_of_it() -> None:
    kernel, token = Kernel(work=0.05), new_key()
    other = SUBMIT | {"name": "once", "effect": ONCE}
    extra = SETTINGS["extra"] | {"classCalls": [True] * 3, "worthWithout": [0.5, 0, 0]}
    async with running(kernel, classes=[CHECK, SUBMIT, other], extra=extra) as runner:
        await ask(runner, token)
        await ask(runner, token, klass="once")
        assert ran(kernel) == [b"one", b"one"], "the two are different requests"


class Try(NamedTuple):
    rid: str
    answer: asyncio.Future[dict[str, Any]]


class OneWrite(FrontEnd):
    """Its lines go out in one write. Answers come on a connection in the order in which the runner writes them."""

    _lines: list[bytes] | None = None

    def raw(self, line: bytes) -> None:
        if self._lines is None:
            super().raw(line)
        else:
            self._lines.append(line)

    def submit(self, tokens: list[str]) -> tuple[dict[str, Try], asyncio.Future[dict[str, Any]]]:
        """A try for each token, and a heartbeat just before them, which the runner answers as it reads it."""
        self._lines = []
        heartbeat = self.send("heartbeat")
        tries = {}
        for t in tokens:
            rid = new_key()[:16]
            tries[t] = Try(rid, self.send("submit", rid=rid, token=t, body=t.encode()))
        together, self._lines = b"\n".join(self._lines), None
        self.raw(together)
        return tries, heartbeat


def is_refused(answer: dict[str, Any]) -> bool:
    return "error" in answer and bool(answer["error"]["code"] == -32014)


@pytest.mark.processes
@pytest.mark.parametrize("case", ["held ones run", "held ones are refused", "all are answered before"])
@asynchronous_test
async def test_held_requests_keep_the_effect_that_they_were_taken_with(case: str) -> None:
    """Keyed requests come at once; two run, some are held, and what would be held for too long is refused at once.
    New settings take the keys off their class, and then each request is sent once more.

    No key runs twice, and what is served is the result of a run of its key. A refusal promises that its try never ran,
    and the caller may go elsewhere with it. So one token may have both a refusal and a run in one way only: its first
    try was refused before the runner read the second, which therefore repeats nothing, and that second try is the one
    that ran. A refusal that is written later, while the second waits for the first, is one of a key that never runs.

    A heartbeat goes out in one write with the second tries, before them. A refusal that comes before its answer was
    written before any of them was read; one that comes after it counts as written later.
    """
    later = case == "held ones are refused"
    kernel = Kernel(work=3.0 if later else 0.3)
    count = 5 if case == "held ones run" else 12  # of 12 some are refused, however they are read
    tokens = [new_key() for _ in range(count)]
    async with running(kernel) as runner:
        front = OneWrite(*await asyncio.open_connection(HOST, runner.port))
        first, _ = front.submit(tokens)
        await wait_until(lambda: len(kernel.runs) == 2)
        if case == "all are answered before":
            await asyncio.wait_for(asyncio.gather(*(first[t].answer for t in tokens)), WAIT)
        await reload(runner, settings(effect=ONCE))
        again, heartbeat = front.submit(tokens)
        came: list[asyncio.Future[dict[str, Any]]] = []
        for answer in (*(first[t].answer for t in tokens), heartbeat):
            answer.add_done_callback(came.append)  # what is there already comes first
        await asyncio.gather(*(tries[t].answer for tries in (first, again) for t in tokens))
        await ask(runner, new_key(), body=b"work 10")  # had anything else been begun, the kernel knows by now
        assert "result" in heartbeat.result()
        before = came[: came.index(heartbeat)]
        served = refused_later = ran_after_refusal = 0
        for t in tokens:
            runs = [rid for rid, _, body in kernel.runs if body == t.encode()]
            one, two = first[t].answer.result(), again[t].answer.result()
            assert len(runs) <= 1, "a key ran twice"
            for said in (one, two):
                if "result" in said:
                    assert runs and content(said) == b"did " + t.encode()
                    served += 1
            in_time = first[t].answer in before
            if is_refused(one) and runs:
                assert in_time, "refused after its repeat was read, and it ran"
                assert runs == [again[t].rid], "refused, and that very try ran"
                ran_after_refusal += 1
            assert not (is_refused(two) and runs), "its repeat was refused, and it ran"
            refused_later += is_refused(one) and not in_time
        assert served
        assert refused_later or not later, "no order was forced"
        assert ran_after_refusal or case != "all are answered before", "no order was forced"


S = 1_000_000  # us
WINDOW_S, DEADLINE_S, MARGIN_S = 20, 8, 2


def of(**effects: api.Effect) -> api.Settings:
    classes = tuple(
        api.RequestClass(
            3_000, DEADLINE_S * 1_000, name, effect=effect, idempotency_window_ms=WINDOW_S * 1_000
        )
        for name, effect in effects.items()
    )
    return base_settings(classes=classes)


def test_a_class_counts_as_keyed_until_the_last_of_its_keys_is_over() -> None:
    former, before, after = (
        FormerKeyClasses(),
        of(a=api.Effect.IDEMPOTENT_WITH_KEY),
        of(a=api.Effect.NOT_IDEMPOTENT),
    )
    former.settings_changed(0, before, after)
    cls = after.classes[0]
    last = (WINDOW_S + DEADLINE_S + MARGIN_S) * S
    assert former.effective_class(cls, last - 1).effect is api.Effect.IDEMPOTENT_WITH_KEY
    assert former.effective_class(cls, last) is cls


def test_settings_in_a_row_do_not_shorten_that_and_one_that_is_keyed_again_is_itself() -> None:
    former, keyed, safe, unsafe = (
        FormerKeyClasses(),
        *(
            of(a=e)
            for e in (api.Effect.IDEMPOTENT_WITH_KEY, api.Effect.IDEMPOTENT, api.Effect.NOT_IDEMPOTENT)
        ),
    )
    former.settings_changed(0, keyed, safe)
    former.settings_changed(1 * S, safe, unsafe)
    former.settings_changed(2 * S, unsafe, of(b=api.Effect.IDEMPOTENT))
    former.settings_changed(3 * S, of(b=api.Effect.IDEMPOTENT), unsafe)
    assert former.effective_class(unsafe.classes[0], 10 * S).effect is api.Effect.IDEMPOTENT_WITH_KEY
    former.settings_changed(11 * S, unsafe, keyed)
    assert former.effective_class(keyed.classes[0], 12 * S) is keyed.classes[0]


def test_only_classes_that_are_new_as_a_keyed_one_goes_may_stand_for_it() -> None:
    former = FormerKeyClasses()
    before = of(a=api.Effect.IDEMPOTENT_WITH_KEY, b=api.Effect.NOT_IDEMPOTENT)
    after = of(b=api.Effect.NOT_IDEMPOTENT, c=api.Effect.NOT_IDEMPOTENT)
    former.settings_changed(0, before, after)
    b, c = after.classes
    assert former.effective_class(b, S) is b
    assert former.effective_class(c, S).effect is api.Effect.IDEMPOTENT_WITH_KEY


def test_what_is_remembered_of_former_classes_is_bounded() -> None:
    former = FormerKeyClasses()
    for number in range(1_000):
        former.settings_changed(
            0,
            of(**{f"c{number}": api.Effect.IDEMPOTENT_WITH_KEY}),
            of(**{f"c{number + 1}": api.Effect.IDEMPOTENT_WITH_KEY}),
        )
    assert len(former._former) <= MAX_CLASSES + 1
