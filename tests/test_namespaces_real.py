"""Customers' rules at real runners, with faults between them: each draft is published once, revisions only advance, and
customers' rules do not affect each other.
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
from .test_takeover import assert_ran_at_most_once, is_served, retry_requests, send_requests

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
    """A cluster of runners, addressed by index, and the servers that receive their calls."""

    def __init__(self, fleet: Fleet, servers: dict[str, Database]) -> None:
        self.fleet, self.servers = fleet, servers

    async def request(self, i: int, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        """Call the administration API of a runner, and return the status and the decoded body."""
        response = await exchange(
            self.fleet.runners[i].admin,
            f"{method} /{path} HTTP/1.0\r\nAuthorization: Bearer t0p\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body,
        )
        head, _, rest = response.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(rest)

    async def publish(
        self, i: int, customer: str = "acme", query: str = "wait=1", **draft: Any
    ) -> dict[str, Any]:
        """Publish a draft, assert that it is accepted, and return the answer."""
        status, answer = await self.request(i, "PUT", f"namespaces/{customer}?{query}", draft_to(**draft))
        assert status == 200, answer
        return answer  # type: ignore[no-any-return]

    async def route_of(self, i: int, class_name: str = "check", **params: Any) -> str:
        """Send one request to a runner, and return the servers that received its call, or the text of the error."""
        body = os.urandom(8).hex().encode()
        client = await self.fleet.connect_front_end(i)
        answer = await client.ask(class_name, body=body, **params)
        client.close()
        if "error" in answer:
            return str(answer["error"]["message"])
        return "+".join(
            name for name, server in self.servers.items() if any(body in call for call in server.calls)
        )

    async def leader(self, i: int, customer: str = "acme") -> int:
        """Return the index of the runner that leads the customer's duty."""
        status, lease = await self.request(i, "GET", f"duties/namespace/{customer}")
        assert status == 200, lease
        return int(lease["owner"][1:])

    async def revision(self, i: int, customer: str = "acme") -> int:
        """Return the number of a runner's current revision."""
        _, listed = await self.request(i, "GET", "namespaces")
        return next(int(entry["revision"]) for entry in listed["namespaces"] if entry["customer"] == customer)

    async def wait_for_revision(self, number: int, *excluded: int) -> None:
        """Wait until that revision is current at all runners except the excluded ones."""

        async def is_current_everywhere() -> bool:
            return all(
                [
                    await self.revision(i) == number
                    for i in range(len(self.fleet.runners))
                    if i not in excluded
                ]
            )

        await until(is_current_everywhere)


def draft_to(to: str = "a1", **parts: Any) -> bytes:
    """Return a draft whose default route has one server; `parts` replaces or adds parts of the draft."""
    return json.dumps({"default": "main", "routes": {"main": {"servers": {to: 1}}}} | parts).encode()


@asynccontextmanager
async def routed_cluster(n: int = 4, more: str = "", **options: Any) -> AsyncIterator[RoutedCluster]:
    """Run a cluster with namespaces; `more` is appended to each runner's TOML file."""
    servers = {name: Database() for name in SERVERS}
    for server in servers.values():
        server.listen()
    tier = "".join(
        f'[[tier.server]]\nname = "{name}"\naddress = "{HOST}:{server.port}"\n'
        for name, server in servers.items()
    )
    try:
        async with fleet(
            n, more=lambda i: tier + TOML + more, **{"work": 0.02, "calls": True} | options
        ) as runners:
            yield RoutedCluster(runners, servers)
    finally:
        for server in servers.values():
            server.close()


@asynchronous_test
async def test_a_customers_rules_route_only_its_own_calls_at_every_runner() -> None:
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
async def test_each_submission_is_published_once_although_the_leader_is_killed() -> None:
    """The leader of the customer's duty is killed while eight submissions wait there. Each is retried with its id at
    the next leader. None may be lost or published twice, and earlier answers must remain valid.
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
        retries = [
            await cluster.request(others[0], "PUT", f"namespaces/acme?id=s{k}&by=t", draft_to())
            for k in range(8)
        ]
        assert all(status == 200 for status, _ in retries), retries
        numbers = [answer["revision"] for _, answer in retries]
        assert sorted(numbers) == list(range(2, 10)), "each submission became one revision, without gaps"
        assert all(
            answer["revision"] == number
            for (status, answer), number in zip(answers, numbers, strict=True)
            if status == 200
        )
        await cluster.wait_for_revision(9, leader)


@asynchronous_test
async def test_a_partitioned_leader_publishes_nothing_and_conflicts_after_it_rejoins() -> None:
    """The leader is on the minority side of a partition. It rejects a submission because it has no majority, and routes
    requests by its last revision. The other side publishes. After the partition heals, the submission conflicts.
    """
    async with routed_cluster(5, copies=5) as cluster:
        await cluster.publish(0)
        leader = await cluster.leader(0)
        others = [i for i in range(5) if i != leader]
        cluster.fleet.isolate(leader)
        alone = asyncio.ensure_future(
            cluster.request(leader, "PUT", "namespaces/acme?id=alone", draft_to("a2"))
        )
        answer = await cluster.publish(others[0], query="wait=1&id=many", to="a2")
        assert answer["revision"] == 2
        status, rejected = await alone
        assert status == 503 and "no majority" in rejected["error"] and "fleet show" in rejected["remedy"]
        _, listed = await cluster.request(leader, "GET", "namespaces")
        assert listed["cut_off"] and listed["ready"] is not False
        assert await cluster.route_of(leader) == "a1", "the partitioned runner uses its last revision"
        cluster.fleet.isolate(leader, silent=False)
        await cluster.wait_for_revision(2)
        status, conflict = await cluster.request(
            leader, "PUT", "namespaces/acme?id=alone&expects=1", draft_to("a2")
        )
        assert status == 409 and conflict["kind"] == "Conflict" and "~ routes.main" in conflict["error"]


@asynchronous_test
async def test_a_taken_over_request_keeps_its_revision() -> None:
    """Requests read under revision 1 wait at a runner that is partitioned and then killed. Another runner takes them
    over when revision 2 is current at all live runners. It must route them by revision 1.
    """
    async with routed_cluster(5, copies=5, work=0.5) as cluster:
        await cluster.publish(0, to="a1")
        holder = (await cluster.leader(0) + 1) % 5
        pending = await send_requests(cluster.fleet, 20, holder)
        cluster.fleet.isolate(holder)
        others = [i for i in range(5) if i != holder]
        await cluster.publish(others[0], to="a2")
        cluster.fleet.kill(holder)
        waiting = set(pending) - cluster.fleet.started_keys(holder)
        answers = await retry_requests(cluster.fleet, others[1], waiting)
        assert_ran_at_most_once(cluster.fleet, pending)
        taken_over = cluster.fleet.started_keys(*others) & waiting
        for key in taken_over:
            called = [
                name
                for name, server in cluster.servers.items()
                if any(key.encode() in call for call in server.calls)
            ]
            assert called == ["a1"], "the request was routed by the revision under which it was read"
        assert len([key for key in taken_over if is_served(key, answers[key])]) >= 2
        for response in pending.values():
            response.cancel()


@asynchronous_test
async def test_requests_whose_revision_is_no_longer_retained_are_not_taken_over() -> None:
    """Requests wait at a runner that is partitioned and then killed. Meanwhile the namespace is deleted and created
    again under the same name. No runner has the rules under which the requests were read, so none may run them.
    """
    async with routed_cluster(5, copies=5, work=0.5) as cluster:
        await cluster.publish(0, to="a1")
        holder = (await cluster.leader(0) + 1) % 5
        pending = await send_requests(cluster.fleet, 20, holder)
        cluster.fleet.isolate(holder)
        others = [i for i in range(5) if i != holder]
        status, answer = await cluster.request(others[0], "DELETE", "namespaces/acme")
        assert status == 200 and answer["deleted"]
        await cluster.publish(others[0], to="a2")  # A new incarnation under the same name.
        cluster.fleet.kill(holder)
        waiting = set(pending) - cluster.fleet.started_keys(holder)

        async def all_rejected() -> bool:
            counters = [await cluster.fleet.runners[i].counters() for i in others]
            return sum(
                int(values.get("fleet: not taken up without its rules", 0)) for values in counters
            ) >= len(waiting)

        await until(all_rejected)
        assert not cluster.fleet.started_keys(*others) & waiting
        for response in pending.values():
            response.cancel()


@asynchronous_test
async def test_a_deletion_is_complete_only_when_every_seat_has_it() -> None:
    """A runner is down while a namespace is deleted. The others can't exclude that it still routes by the deleted rules
    on the other side of a partition, so the deletion is incomplete. After a restart, the runner learns of the deletion
    before it serves.
    """
    async with routed_cluster(4) as cluster:
        first = await cluster.publish(0)
        leader = await cluster.leader(0)
        down = next(i for i in range(4) if i != leader)
        up = next(i for i in range(4) if i not in (leader, down))
        cluster.fleet.kill(down)
        await asyncio.sleep(1.5)
        _, answer = await cluster.request(up, "DELETE", "namespaces/acme?wait=1")
        assert answer["deleted"] and not answer["complete"] and set(answer["lacking"]) == {f"n{down}"}
        assert await cluster.route_of(up) == "free"
        cluster.fleet.restart(down)
        await cluster.fleet.runners[down].ready()
        assert await cluster.route_of(down) == "free", "it learns of the deletion before it serves"
        recreated = await cluster.publish(up)
        assert recreated["born"] > first["born"] and recreated["revision"] == 1


@asynchronous_test
async def test_a_runner_that_starts_alone_uses_the_revisions_on_its_disk() -> None:
    """The whole cluster is killed, and one runner starts. It has no live peer, so it uses its stored revisions.

    A publication is complete once all live runners have it, but each writes it to disk later. The test waits for that.
    """
    async with routed_cluster(4, journals=True) as cluster:
        await cluster.publish(0)
        await wait_until(lambda: stored_count(cluster.fleet.journal(2) / "namespaces.db") == 1)
        for i in range(4):
            cluster.fleet.kill(i)
        await cluster.fleet.wait_for_exit()
        cluster.fleet.restart(2)
        await cluster.fleet.runners[2].ready()
        assert await cluster.route_of(2) == "a1" and await cluster.route_of(2, acct="bolt") == "free"
        assert "no other runner responded" in cluster.fleet.runners[2].read_log()


@asynchronous_test
async def test_a_rejection_has_the_rules_reason_and_a_retry_of_a_finished_request_is_answered() -> None:
    async with routed_cluster() as cluster:
        key = token()
        front = await cluster.fleet.connect_front_end(1)
        first = await front.ask("submit", token=key, body=b"once")
        await cluster.publish(
            0, rules={"no": {"match": {"class": ["submit"]}, "refuse": "closed for the week"}}
        )
        for i in (1, 3):  # The runner that ran the request, and another one.
            client = await cluster.fleet.connect_front_end(i)
            retry = await client.ask("submit", token=key, body=b"once")
            assert content(retry) == content(first), "a finished request is not rejected"
            new = await client.ask("submit", token=token(), body=b"new")
            assert new["error"]["code"] == -32014 and "closed for the week" in new["error"]["message"]
            assert new["error"]["data"]["final"] == 1
        assert await cluster.route_of(2) == "a1"


@asynchronous_test
async def test_routes_fall_back_and_revoked_grants_are_skipped() -> None:
    """If the server of a route is down, calls use the fallback. If all grants that the draft uses are then revoked,
    requests run without their call and use no server of another customer.
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
        assert await cluster.route_of(1) == "", "no grant is left, so the request runs without its call"
        assert await cluster.route_of(1, acct="bolt") == "free"


@asynchronous_test
async def test_publishing_continues_during_a_hot_restart_of_the_leader() -> None:
    """A new process of the leader's runner starts, and the old one shuts down while four drafts are published."""
    async with routed_cluster(journals=True) as cluster:
        await cluster.publish(0)
        leader, kernel = await cluster.leader(0), Kernel(work=0.02, calls=True)
        kernel.listen()
        runner = cluster.fleet.runners[leader]
        runner.start(kernel.port)
        await runner.wait_until_healthy()
        runner.processes[0].send_signal(signal.SIGTERM)
        others = [i for i in range(4) if i != leader]
        for number in range(2, 6):
            answer = await cluster.publish(
                others[number % 3], query=f"wait=1&id=n{number}", to=("a1", "a2")[number % 2]
            )
            assert answer["revision"] == number
        await wait_until(lambda: runner.processes[0].poll() == 0)
        assert await cluster.route_of(leader) == "a2"
        kernel.close()


def stored_count(path: Path) -> int:
    """Return the number of committed revisions in a runner's store; 0 if the store can't be read."""
    with suppress(sqlite3.Error), closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as db:
        return int(db.execute("select count(*) from had").fetchone()[0])
    return 0


@asynchronous_test
async def test_a_damaged_store_is_set_aside_and_revisions_are_fetched_from_peers() -> None:
    """The store of a killed runner is overwritten with invalid data. The restarted runner renames the file and fetches
    the revision from other runners before it serves.
    """
    async with routed_cluster(journals=True) as cluster:
        await cluster.publish(0)
        folder = cluster.fleet.journal(2)
        # If the runner were killed while it writes the revision, SQLite's rollback journal would remain and repair the
        # damage below.
        await wait_until(lambda: stored_count(folder / "namespaces.db") == 1)
        cluster.fleet.kill(2)
        await cluster.fleet.wait_for_exit(2)
        (folder / "namespaces.db").write_bytes(b"no database at all" * 100)
        cluster.fleet.restart(2)
        await cluster.fleet.runners[2].ready()
        assert await cluster.route_of(2) == "a1", "the revision was fetched from another runner"
        assert (
            "namespaces: damaged store is renamed" in cluster.fleet.runners[2].read_log()
            and (folder / "namespaces.damaged").exists()
        )
        assert (await cluster.publish(1, to="a2"))["complete"]


@asynchronous_test
async def test_invalid_api_calls_are_answered_with_kind_and_remedy() -> None:
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
            actual_status, answer = await cluster.request(1, method, path, body)
            assert (actual_status, answer["kind"]) == (status, kind) and answer["remedy"], answer
        assert (await cluster.request(1, "POST", "namespaces/acme/forward/1"))[0] == 404
        assert (await cluster.request(1, "PUT", "namespaces/acme", b"x" * (800 << 10)))[0] == 413
        assert (await cluster.request(2, "GET", "namespaces/acme"))[1]["number"] == 0, (
            "no revision was published"
        )
