"""Real runners that share customers' rules, with faults between them: published once, forwards only, each one's own."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sqlite3
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing, suppress
from pathlib import Path
from typing import Any

import pytest

from .fleets import Fleet, fleet, token
from .stand_ins import HOST, Database, Kernel, content, exchange, until
from .test_sockets import has, sockets
from .test_takeover import ask_again, many, once, served

pytestmark = pytest.mark.processes

SERVERS = ("a1", "a2", "b1", "p1", "free")
TOML = """[duties]
on = true
steady_ms = 300
[namespaces]
on = true
[[namespaces.customer]]
name = "acme"
servers = ["a1", "a2"]
pools = { shared = 0.5 }
[[namespaces.customer]]
name = "bolt"
servers = ["b1"]
pools = { shared = 0.5 }
[[namespaces.pool]]
name = "shared"
servers = ["p1"]
"""


class Routed:
    def __init__(self, f: Fleet, servers: dict[str, Database]) -> None:
        self.fleet, self.servers = f, servers

    async def ask(self, i: int, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        got = await exchange(
            self.fleet.runners[i].admin,
            f"{method} /{path} HTTP/1.0\r\nAuthorization: Bearer t0p\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body,
        )
        head, _, rest = got.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(rest)

    async def publish(
        self, i: int, customer: str = "acme", how: str = "wait=1", **draft: Any
    ) -> dict[str, Any]:
        status, told = await self.ask(i, "PUT", f"namespaces/{customer}?{how}", drafted(**draft))
        assert status == 200, told
        return told  # type: ignore[no-any-return]

    async def went(self, i: int, klass: str = "check", **params: Any) -> str:
        """Where the call of one request to that runner went."""
        body = os.urandom(8).hex().encode()
        front = await self.fleet.front(i)
        answer = await front.ask(klass, body=body, **params)
        front.close()
        if "error" in answer:
            return str(answer["error"]["message"])
        return "+".join(name for name, s in self.servers.items() if any(body in call for call in s.calls))

    async def owner(self, i: int, customer: str = "acme") -> int:
        status, told = await self.ask(i, "GET", f"duties/namespace/{customer}")
        assert status == 200, told
        return int(told["owner"][1:])

    async def revision(self, i: int, customer: str = "acme") -> int:
        _, told = await self.ask(i, "GET", "namespaces")
        return next(int(n["revision"]) for n in told["namespaces"] if n["customer"] == customer)

    async def everywhere(self, number: int, *but: int) -> None:
        async def there() -> bool:
            return all(
                [await self.revision(i) == number for i in range(len(self.fleet.runners)) if i not in but]
            )

        await until(there)


def drafted(to: str = "a1", **more: Any) -> bytes:
    return json.dumps({"default": "main", "routes": {"main": {"servers": {to: 1}}}} | more).encode()


@asynccontextmanager
async def routed(n: int = 4, more: str = "", **how: Any) -> AsyncIterator[Routed]:
    servers = {name: Database() for name in SERVERS}
    for server in servers.values():
        server.listen()
    tier = "".join(
        f'[[tier.server]]\nname = "{name}"\naddress = "{HOST}:{s.port}"\n' for name, s in servers.items()
    )
    try:
        async with fleet(n, more=lambda i: tier + TOML + more, **{"work": 0.02, "calls": True} | how) as f:
            yield Routed(f, servers)
    finally:
        for s in servers.values():
            s.close()


@sockets
async def test_a_customers_calls_go_by_its_rules_at_every_runner_and_nobody_elses_do() -> None:
    async with routed() as r:
        assert await r.went(2) == "free" and await r.went(2, acct="bolt") == "free"
        told = await r.publish(0)
        assert (told["revision"], told["complete"], told["lacking"]) == (1, True, {})
        for i in range(4):
            assert await r.went(i) == "a1"
            assert await r.went(i, acct="bolt") == "free"
        await r.publish(1, "bolt", to="b1")
        told = await r.publish(3, to="a2")
        assert told["revision"] == 2
        assert {await r.went(i) for i in range(4)} == {"a2"} and await r.went(2, acct="bolt") == "b1"


@sockets
async def test_an_owner_killed_while_it_publishes_leaves_one_revision_of_each_submission() -> None:
    async with routed(5) as r:
        await r.publish(0)
        owner = await r.owner(0)
        others = [i for i in range(5) if i != owner]
        waiting = [
            asyncio.ensure_future(
                r.ask(
                    others[k % 4],
                    "PUT",
                    f"namespaces/acme?id=s{k}&expects=-1&by=t",
                    drafted("a2" if k % 2 else "a1"),
                )
            )
            for k in range(8)
        ]
        await asyncio.sleep(0.03)
        r.fleet.kill(owner)
        told = [await w for w in waiting]
        again = [await r.ask(others[0], "PUT", f"namespaces/acme?id=s{k}&by=t", drafted()) for k in range(8)]
        assert all(status == 200 for status, _ in again), again
        numbers = [t["revision"] for _, t in again]
        assert sorted(numbers) == list(range(2, 10)), "each became one revision, without gaps"
        assert all(t["revision"] == n for (status, t), n in zip(told, numbers, strict=True) if status == 200)
        await r.everywhere(9, owner)


@sockets
async def test_a_publisher_stopped_and_woken_is_told_and_both_sides_of_a_cut_publish_once() -> None:
    async with routed(5, copies=5) as r:
        await r.publish(0)
        owner = await r.owner(0)
        others = [i for i in range(5) if i != owner]
        r.fleet.cut_off(owner)
        alone = asyncio.ensure_future(r.ask(owner, "PUT", "namespaces/acme?id=alone", drafted("a2")))
        told = await r.publish(others[0], how="wait=1&id=many", to="a2")
        assert told["revision"] == 2
        status, refused = await alone
        assert status == 503 and "no majority" in refused["error"] and "fleet show" in refused["remedy"]
        _, listed = await r.ask(owner, "GET", "namespaces")
        assert listed["cut_off"] and listed["ready"] is not False
        assert await r.went(owner) == "a1", "cut off, it goes on with what it had last"
        r.fleet.cut_off(owner, silent=False)
        await r.everywhere(2)
        status, again = await r.ask(owner, "PUT", "namespaces/acme?id=alone&expects=1", drafted("a2"))
        assert status == 409 and again["kind"] == "Conflict" and "~ routes.main" in again["error"]


@sockets
async def test_a_request_keeps_the_revision_that_it_was_read_under_whoever_runs_it() -> None:
    """Held at a runner that is lost, under revision 1; all others have gone on to revision 2 when one takes it up."""
    async with routed(5, copies=5, work=0.5) as r:
        await r.publish(0, to="a1")
        holder = (await r.owner(0) + 1) % 5
        left = await many(r.fleet, 20, holder)
        r.fleet.cut_off(holder)
        others = [i for i in range(5) if i != holder]
        await r.publish(others[0], to="a2")
        r.fleet.kill(holder)
        held = set(left) - r.fleet.began(holder)
        answers = await ask_again(r.fleet, others[1], held)
        once(r.fleet, left)
        taken = r.fleet.began(*others) & held
        for t in taken:
            there = [name for name, s in r.servers.items() if any(t.encode() in call for call in s.calls)]
            assert there == ["a1"], "the taker decided by the revision that it was read under"
        assert len([t for t in taken if served(t, answers[t])]) >= 2
        for front in left.values():
            front.cancel()


@sockets
async def test_work_whose_revision_is_kept_no_longer_is_decided_by_no_other() -> None:
    async with routed(5, copies=5, work=0.5) as r:
        await r.publish(0, to="a1")
        holder = (await r.owner(0) + 1) % 5
        left = await many(r.fleet, 20, holder)
        r.fleet.cut_off(holder)
        others = [i for i in range(5) if i != holder]
        status, gone = await r.ask(others[0], "DELETE", "namespaces/acme")
        assert status == 200 and gone["deleted"]
        await r.publish(others[0], to="a2")  # under the same name, and another namespace
        r.fleet.kill(holder)
        held = set(left) - r.fleet.began(holder)

        async def refused() -> bool:
            counts = [await r.fleet.runners[i].counters() for i in others]
            return sum(int(c.get("fleet: not taken up without its rules", 0)) for c in counts) >= len(held)

        await until(refused)
        assert not r.fleet.began(*others) & held
        for front in left.values():
            front.cancel()


@sockets
async def test_a_deletion_is_complete_only_when_every_seat_has_it() -> None:
    async with routed(4) as r:
        first = await r.publish(0)
        owner = await r.owner(0)
        away = next(i for i in range(4) if i != owner)
        here = next(i for i in range(4) if i not in (owner, away))
        r.fleet.kill(away)
        await asyncio.sleep(1.5)
        _, told = await r.ask(here, "DELETE", "namespaces/acme?wait=1")
        assert told["deleted"] and not told["complete"] and set(told["lacking"]) == {f"n{away}"}
        assert await r.went(here) == "free"
        r.fleet.again(away)
        await r.fleet.runners[away].ready()
        assert await r.went(away) == "free", "it learns what it has missed before it serves"
        anew = await r.publish(here)
        assert anew["born"] > first["born"] and anew["revision"] == 1


@sockets
async def test_a_runner_that_begins_alone_goes_by_what_its_disk_has() -> None:
    async with routed(4, journals=True) as r:
        await r.publish(0)
        for i in range(4):
            r.fleet.kill(i)
        await r.fleet.gone()
        r.fleet.again(2)
        await r.fleet.runners[2].ready()
        assert await r.went(2) == "a1" and await r.went(2, acct="bolt") == "free"
        assert "no other runner was heard of" in r.fleet.runners[2].text()


@sockets
async def test_a_refusal_by_rules_says_why_and_a_repeat_of_what_ran_is_still_answered() -> None:
    async with routed() as r:
        t = token()
        front = await r.fleet.front(1)
        ran = await front.ask("submit", token=t, body=b"once")
        await r.publish(0, rules={"no": {"match": {"class": ["submit"]}, "refuse": "closed for the week"}})
        for i in (1, 3):  # here it ran; there it is another's
            other = await r.fleet.front(i)
            again = await other.ask("submit", token=t, body=b"once")
            assert content(again) == content(ran), "no rejection after a run"
            new = await other.ask("submit", token=token(), body=b"new")
            assert new["error"]["code"] == -32014 and "closed for the week" in new["error"]["message"]
            assert new["error"]["data"]["final"] == 1
        assert await r.went(2) == "a1"


@sockets
async def test_routes_fall_back_and_what_is_no_longer_granted_is_passed_over() -> None:
    async with routed() as r:
        draft: dict[str, Any] = {
            "default": "main",
            "routes": {"main": {"servers": {"a1": 1}, "fall_back": "spare"}, "spare": {"pool": "shared"}},
        }
        status, _ = await r.ask(0, "PUT", "namespaces/acme?wait=1", json.dumps(draft).encode())
        assert status == 200 and await r.went(1) == "a1"
        r.servers["a1"].close()
        assert await r.went(1) == "p1"
        status, told = await r.ask(0, "PUT", "namespaces/acme", drafted("b1"))
        assert status == 403 and told["kind"] == "Foreign" and "'b1'" in told["error"]
        runner = r.fleet.runners[1]
        runner.fronts.write_text(
            runner.fronts.read_text()
            .replace('servers = ["a1", "a2"]', 'servers = ["a2"]')
            .replace("pools = { shared = 0.5 }", "pools = { }", 1)
        )
        runner.process.send_signal(signal.SIGHUP)

        async def taken() -> bool:
            return bool((await runner.counters()).get("configurations read"))

        await until(taken)
        assert await r.went(1) == "", "nothing of it is granted any more: it runs without its call"
        assert await r.went(1, acct="bolt") == "free"


@sockets
async def test_a_replaced_owner_publishes_on_as_the_same_seat_and_its_successor_knows_the_rules_as_it_serves() -> (
    None
):
    async with routed(journals=True) as r:
        await r.publish(0)
        owner, kernel = await r.owner(0), Kernel(work=0.02, calls=True)
        kernel.listen()
        runner = r.fleet.runners[owner]
        runner.start(kernel.port)
        await runner.says_yes()
        runner.processes[0].send_signal(signal.SIGTERM)
        others = [i for i in range(4) if i != owner]
        for n in range(2, 6):
            told = await r.publish(others[n % 3], how=f"wait=1&id=n{n}", to=("a1", "a2")[n % 2])
            assert told["revision"] == n
        await has(lambda: runner.processes[0].poll() == 0)
        assert await r.went(owner) == "a2"
        kernel.close()


def kept(path: Path) -> int:
    """Revisions on a runner's disk whose writing is over."""
    with suppress(sqlite3.Error), closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as db:
        return int(db.execute("select count(*) from had").fetchone()[0])
    return 0


@sockets
async def test_a_damaged_store_is_put_aside_and_others_tell_what_was_in_it() -> None:
    async with routed(journals=True) as r:
        await r.publish(0)
        folder = r.fleet.journal(2)
        # Killed in the midst of that write, it would leave SQLite's own journal, which heals what is damaged here.
        await has(lambda: kept(folder / "namespaces.db") == 1)
        r.fleet.kill(2)
        await r.fleet.gone(2)
        (folder / "namespaces.db").write_bytes(b"no database at all" * 100)
        r.fleet.again(2)
        await r.fleet.runners[2].ready()
        assert await r.went(2) == "a1", "others have told it"
        assert "is put aside" in r.fleet.runners[2].text() and (folder / "namespaces.damaged").exists()
        assert (await r.publish(1, to="a2"))["complete"]


@sockets
async def test_what_is_wrong_with_a_call_of_the_api_is_named_and_says_what_helps() -> None:
    async with routed(3) as r:
        for method, path, body, status, kind in (
            ("PUT", "namespaces/acme?expects=x", drafted(), 400, "Malformed"),
            ("PUT", "namespaces/acme?expects=nan", drafted(), 400, "Malformed"),
            ("PUT", "namespaces/acme?id=" + "x" * 65, drafted(), 400, "Malformed"),
            ("PUT", "namespaces/acme", b"[" * 4_000, 400, "Malformed"),
            ("PUT", "namespaces/nobody", drafted(), 404, "NoSuchCustomer"),
            ("POST", "namespaces/acme/back/7", b"", 404, "Retired"),
            ("GET", "namespaces/nobody/explain?class=x", b"", 404, "NoSuchCustomer"),
            ("GET", "namespaces/acme/explain?rank=2", b"", 400, "Malformed"),
        ):
            got, told = await r.ask(1, method, path, body)
            assert (got, told["kind"]) == (status, kind) and told["remedy"], told
        assert (await r.ask(1, "POST", "namespaces/acme/forward/1"))[0] == 404
        assert (await r.ask(1, "PUT", "namespaces/acme", b"x" * (800 << 10)))[0] == 413
        assert (await r.ask(2, "GET", "namespaces/acme"))[1]["number"] == 0, "nothing of it was published"
