"""Customers' rules at real runners, with faults between them: each draft is published once, revisions only advance, and
no customer's decide for another.
"""

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
from .test_sockets import asynchronous_test, wait_until
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


class RoutedCluster:
    """Runners, each by its index, and the servers that their calls go to."""

    def __init__(self, fleet: Fleet, servers: dict[str, Database]) -> None:
        self.fleet, self.servers = fleet, servers

    async def request(self, i: int, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
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
        """Publish a draft, which must be accepted, and return the answer."""
        status, answer = await self.request(i, "PUT", f"namespaces/{customer}?{how}", draft_to(**draft))
        assert status == 200, answer
        return answer  # type: ignore[no-any-return]

    async def route_of(self, i: int, class_name: str = "check", **params: Any) -> str:
        """Send one request to a runner, and return the servers that its call went to, or the text of the error."""
        body = os.urandom(8).hex().encode()
        client = await self.fleet.front(i)
        answer = await client.ask(class_name, body=body, **params)
        client.close()
        if "error" in answer:
            return str(answer["error"]["message"])
        return "+".join(name for name, s in self.servers.items() if any(body in call for call in s.calls))

    async def leader(self, i: int, customer: str = "acme") -> int:
        """Return the runner that leads the customer's duty."""
        status, lease = await self.request(i, "GET", f"duties/namespace/{customer}")
        assert status == 200, lease
        return int(lease["owner"][1:])

    async def revision(self, i: int, customer: str = "acme") -> int:
        """Return the number of the revision that a runner goes by."""
        _, listed = await self.request(i, "GET", "namespaces")
        return next(int(n["revision"]) for n in listed["namespaces"] if n["customer"] == customer)

    async def wait_for_revision(self, number: int, *but: int) -> None:
        """Wait until all runners but these go by that revision."""

        async def is_everywhere() -> bool:
            return all(
                [await self.revision(i) == number for i in range(len(self.fleet.runners)) if i not in but]
            )

        await until(is_everywhere)


def draft_to(to: str = "a1", **more: Any) -> bytes:
    """A draft whose default route has that server alone."""
    return json.dumps({"default": "main", "routes": {"main": {"servers": {to: 1}}}} | more).encode()


@asynccontextmanager
async def routed_cluster(n: int = 4, more: str = "", **how: Any) -> AsyncIterator[RoutedCluster]:
    servers = {name: Database() for name in SERVERS}
    for server in servers.values():
        server.listen()
    tier = "".join(
        f'[[tier.server]]\nname = "{name}"\naddress = "{HOST}:{s.port}"\n' for name, s in servers.items()
    )
    try:
        async with fleet(n, more=lambda i: tier + TOML + more, **{"work": 0.02, "calls": True} | how) as f:
            yield RoutedCluster(f, servers)
    finally:
        for s in servers.values():
            s.close()


@asynchronous_test
async def test_a_customers_rules_route_its_calls_at_every_runner_and_no_others() -> None:
    async with routed_cluster() as cluster:
        assert await cluster.route_of(2) == "free" and await cluster.route_of(2, acct="bolt") == "free"
        answer = await cluster.publish(0)
        assert (answer["revision"], answer["complete"], answer["lacking"]) == (1, True, {})
        for i in range(4):
            assert await cluster.route_of(i) == "a1"
            assert await cluster.route_of(i, acct="bolt") == "free"
        await cluster.publish(1, "bolt", to="b1")
        answer = await cluster.publish(3, to="a2")
        assert answer["revision"] == 2
        assert {await cluster.route_of(i) for i in range(4)} == {"a2"} and await cluster.route_of(
            2, acct="bolt"
        ) == "b1"


@asynchronous_test
async def test_each_submission_becomes_one_revision_though_the_leader_is_killed() -> None:
    """Eight submissions wait at the leader of the customer's duty as it is killed. Each is retried, under its id, at
    the next leader: none may be lost, none published twice, and an answer that came before stays true.
    """
    async with routed_cluster(5) as cluster:
        await cluster.publish(0)
        leader = await cluster.leader(0)
        others = [i for i in range(5) if i != leader]
        waiting = [
            asyncio.ensure_future(
                cluster.request(
                    others[k % 4],
                    "PUT",
                    f"namespaces/acme?id=s{k}&expects=-1&by=t",
                    draft_to("a2" if k % 2 else "a1"),
                )
            )
            for k in range(8)
        ]
        await asyncio.sleep(0.03)
        cluster.fleet.kill(leader)
        answers = [await submission for submission in waiting]
        again = [
            await cluster.request(others[0], "PUT", f"namespaces/acme?id=s{k}&by=t", draft_to())
            for k in range(8)
        ]
        assert all(status == 200 for status, _ in again), again
        numbers = [t["revision"] for _, t in again]
        assert sorted(numbers) == list(range(2, 10)), "each became one revision, without gaps"
        assert all(
            t["revision"] == n for (status, t), n in zip(answers, numbers, strict=True) if status == 200
        )
        await cluster.wait_for_revision(9, leader)


@asynchronous_test
async def test_a_cut_off_leader_publishes_nothing_and_conflicts_once_it_is_back() -> None:
    """The leader is on the smaller side of a partition. There a submission is refused for want of a majority, and
    requests go on by the last revision; the other side publishes. Once the cut heals the first submission conflicts.
    """
    async with routed_cluster(5, copies=5) as cluster:
        await cluster.publish(0)
        leader = await cluster.leader(0)
        others = [i for i in range(5) if i != leader]
        cluster.fleet.cut_off(leader)
        alone = asyncio.ensure_future(
            cluster.request(leader, "PUT", "namespaces/acme?id=alone", draft_to("a2"))
        )
        answer = await cluster.publish(others[0], how="wait=1&id=many", to="a2")
        assert answer["revision"] == 2
        status, refused = await alone
        assert status == 503 and "no majority" in refused["error"] and "fleet show" in refused["remedy"]
        _, listed = await cluster.request(leader, "GET", "namespaces")
        assert listed["cut_off"] and listed["ready"] is not False
        assert await cluster.route_of(leader) == "a1", "cut off, it goes on with what it had last"
        cluster.fleet.cut_off(leader, silent=False)
        await cluster.wait_for_revision(2)
        status, again = await cluster.request(
            leader, "PUT", "namespaces/acme?id=alone&expects=1", draft_to("a2")
        )
        assert status == 409 and again["kind"] == "Conflict" and "~ routes.main" in again["error"]


@asynchronous_test
async def test_a_taken_over_request_keeps_its_revision() -> None:
    """Requests wait under revision 1 at a runner that is cut off and killed. All others have gone on to revision 2 when
    one takes them over: they are decided by revision 1.
    """
    async with routed_cluster(5, copies=5, work=0.5) as cluster:
        await cluster.publish(0, to="a1")
        holder = (await cluster.leader(0) + 1) % 5
        left = await many(cluster.fleet, 20, holder)
        cluster.fleet.cut_off(holder)
        others = [i for i in range(5) if i != holder]
        await cluster.publish(others[0], to="a2")
        cluster.fleet.kill(holder)
        held = set(left) - cluster.fleet.began(holder)
        answers = await ask_again(cluster.fleet, others[1], held)
        once(cluster.fleet, left)
        taken = cluster.fleet.began(*others) & held
        for t in taken:
            there = [
                name for name, s in cluster.servers.items() if any(t.encode() in call for call in s.calls)
            ]
            assert there == ["a1"], "the taker decided by the revision that it was read under"
        assert len([t for t in taken if served(t, answers[t])]) >= 2
        for front in left.values():
            front.cancel()


@asynchronous_test
async def test_work_whose_revision_is_gone_is_not_taken_over() -> None:
    """Requests wait at a runner that is cut off and killed; meanwhile the namespace is deleted, and another one
    published under its name. Nobody has the rules that they were read with: no runner may run them by other rules.
    """
    async with routed_cluster(5, copies=5, work=0.5) as cluster:
        await cluster.publish(0, to="a1")
        holder = (await cluster.leader(0) + 1) % 5
        left = await many(cluster.fleet, 20, holder)
        cluster.fleet.cut_off(holder)
        others = [i for i in range(5) if i != holder]
        status, gone = await cluster.request(others[0], "DELETE", "namespaces/acme")
        assert status == 200 and gone["deleted"]
        await cluster.publish(others[0], to="a2")  # under the same name, and another namespace
        cluster.fleet.kill(holder)
        held = set(left) - cluster.fleet.began(holder)

        async def all_refused() -> bool:
            counts = [await cluster.fleet.runners[i].counters() for i in others]
            return sum(int(c.get("fleet: not taken up without its rules", 0)) for c in counts) >= len(held)

        await until(all_refused)
        assert not cluster.fleet.began(*others) & held
        for front in left.values():
            front.cancel()


@asynchronous_test
async def test_a_deletion_is_complete_only_when_every_seat_has_it() -> None:
    """One runner is down as a namespace is deleted. It might serve on by the deleted rules on the other side of a
    partition, so that the deletion is incomplete; started again, it learns of it before it serves.
    """
    async with routed_cluster(4) as cluster:
        first = await cluster.publish(0)
        leader = await cluster.leader(0)
        away = next(i for i in range(4) if i != leader)
        here = next(i for i in range(4) if i not in (leader, away))
        cluster.fleet.kill(away)
        await asyncio.sleep(1.5)
        _, answer = await cluster.request(here, "DELETE", "namespaces/acme?wait=1")
        assert answer["deleted"] and not answer["complete"] and set(answer["lacking"]) == {f"n{away}"}
        assert await cluster.route_of(here) == "free"
        cluster.fleet.again(away)
        await cluster.fleet.runners[away].ready()
        assert await cluster.route_of(away) == "free", "it learns what it has missed before it serves"
        anew = await cluster.publish(here)
        assert anew["born"] > first["born"] and anew["revision"] == 1


@asynchronous_test
async def test_a_runner_that_starts_alone_uses_the_revisions_on_its_disk() -> None:
    """The whole cluster is killed, and one runner starts: it hears of nobody, and goes by what it has stored.

    A publication is complete once the live runners have it; each writes it to its disk after that, which is waited for.
    """
    async with routed_cluster(4, journals=True) as cluster:
        await cluster.publish(0)
        await wait_until(lambda: stored_count(cluster.fleet.journal(2) / "namespaces.db") == 1)
        for i in range(4):
            cluster.fleet.kill(i)
        await cluster.fleet.gone()
        cluster.fleet.again(2)
        await cluster.fleet.runners[2].ready()
        assert await cluster.route_of(2) == "a1" and await cluster.route_of(2, acct="bolt") == "free"
        assert "no other runner responded" in cluster.fleet.runners[2].text()


@asynchronous_test
async def test_a_rejection_by_rules_has_its_reason_and_a_retry_of_what_ran_is_answered() -> None:
    async with routed_cluster() as cluster:
        t = token()
        front = await cluster.fleet.front(1)
        ran = await front.ask("submit", token=t, body=b"once")
        await cluster.publish(
            0, rules={"no": {"match": {"class": ["submit"]}, "refuse": "closed for the week"}}
        )
        for i in (1, 3):  # here it ran; there it is another's
            other = await cluster.fleet.front(i)
            again = await other.ask("submit", token=t, body=b"once")
            assert content(again) == content(ran), "no rejection after a run"
            new = await other.ask("submit", token=token(), body=b"new")
            assert new["error"]["code"] == -32014 and "closed for the week" in new["error"]["message"]
            assert new["error"]["data"]["final"] == 1
        assert await cluster.route_of(2) == "a1"


@asynchronous_test
async def test_routes_fall_back_and_withdrawn_grants_are_skipped() -> None:
    """The server of a route goes away: calls take its fallback. Then the grants of all that the draft names are
    withdrawn: requests run without their call, and go to nobody else's servers.
    """
    async with routed_cluster() as cluster:
        draft: dict[str, Any] = {
            "default": "main",
            "routes": {"main": {"servers": {"a1": 1}, "fall_back": "spare"}, "spare": {"pool": "shared"}},
        }
        status, _ = await cluster.request(0, "PUT", "namespaces/acme?wait=1", json.dumps(draft).encode())
        assert status == 200 and await cluster.route_of(1) == "a1"
        cluster.servers["a1"].close()
        assert await cluster.route_of(1) == "p1"
        status, answer = await cluster.request(0, "PUT", "namespaces/acme", draft_to("b1"))
        assert status == 403 and answer["kind"] == "Foreign" and "'b1'" in answer["error"]
        runner = cluster.fleet.runners[1]
        runner.fronts.write_text(
            runner.fronts.read_text()
            .replace('servers = ["a1", "a2"]', 'servers = ["a2"]')
            .replace("pools = { shared = 0.5 }", "pools = { }", 1)
        )
        runner.process.send_signal(signal.SIGHUP)

        async def is_reloaded() -> bool:
            return bool((await runner.counters()).get("configurations read"))

        await until(is_reloaded)
        assert await cluster.route_of(1) == "", "nothing of it is granted any more: it runs without its call"
        assert await cluster.route_of(1, acct="bolt") == "free"


@asynchronous_test
async def test_publishing_goes_on_while_the_leader_is_replaced() -> None:
    """A new process of the leader's runner starts, and the old one shuts down while four drafts are published."""
    async with routed_cluster(journals=True) as cluster:
        await cluster.publish(0)
        leader, kernel = await cluster.leader(0), Kernel(work=0.02, calls=True)
        kernel.listen()
        runner = cluster.fleet.runners[leader]
        runner.start(kernel.port)
        await runner.says_yes()
        runner.processes[0].send_signal(signal.SIGTERM)
        others = [i for i in range(4) if i != leader]
        for n in range(2, 6):
            answer = await cluster.publish(others[n % 3], how=f"wait=1&id=n{n}", to=("a1", "a2")[n % 2])
            assert answer["revision"] == n
        await wait_until(lambda: runner.processes[0].poll() == 0)
        assert await cluster.route_of(leader) == "a2"
        kernel.close()


def stored_count(path: Path) -> int:
    """Return the number of revisions on a runner's disk whose writing is over."""
    with suppress(sqlite3.Error), closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as db:
        return int(db.execute("select count(*) from had").fetchone()[0])
    return 0


@asynchronous_test
async def test_a_damaged_store_is_set_aside_and_fetched_from_others() -> None:
    """A killed runner's store is overwritten with what is no database. It starts, keeps the file under another name,
    and has the revision from the other runners before it serves.
    """
    async with routed_cluster(journals=True) as cluster:
        await cluster.publish(0)
        folder = cluster.fleet.journal(2)
        # Killed in the midst of that write, it would leave SQLite's own journal, which heals what is damaged here.
        await wait_until(lambda: stored_count(folder / "namespaces.db") == 1)
        cluster.fleet.kill(2)
        await cluster.fleet.gone(2)
        (folder / "namespaces.db").write_bytes(b"no database at all" * 100)
        cluster.fleet.again(2)
        await cluster.fleet.runners[2].ready()
        assert await cluster.route_of(2) == "a1", "the others have it"
        assert "is put aside" in cluster.fleet.runners[2].text() and (folder / "namespaces.damaged").exists()
        assert (await cluster.publish(1, to="a2"))["complete"]


@asynchronous_test
async def test_faulty_api_calls_are_answered_with_kind_and_remedy() -> None:
    async with routed_cluster(3) as cluster:
        for method, path, body, status, kind in (
            ("PUT", "namespaces/acme?expects=x", draft_to(), 400, "Malformed"),
            ("PUT", "namespaces/acme?expects=nan", draft_to(), 400, "Malformed"),
            ("PUT", "namespaces/acme?id=" + "x" * 65, draft_to(), 400, "Malformed"),
            ("PUT", "namespaces/acme", b"[" * 4_000, 400, "Malformed"),
            ("PUT", "namespaces/nobody", draft_to(), 404, "NoSuchCustomer"),
            ("POST", "namespaces/acme/back/7", b"", 404, "Retired"),
            ("GET", "namespaces/nobody/explain?class=x", b"", 404, "NoSuchCustomer"),
            ("GET", "namespaces/acme/explain?rank=2", b"", 400, "Malformed"),
        ):
            got, answer = await cluster.request(1, method, path, body)
            assert (got, answer["kind"]) == (status, kind) and answer["remedy"], answer
        assert (await cluster.request(1, "POST", "namespaces/acme/forward/1"))[0] == 404
        assert (await cluster.request(1, "PUT", "namespaces/acme", b"x" * (800 << 10)))[0] == 413
        assert (await cluster.request(2, "GET", "namespaces/acme"))[1]["number"] == 0, (
            "nothing of it was published"
        )
