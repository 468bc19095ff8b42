"""A new configuration gives one customer's own server to another customer while calls wait for that server."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common.bench import (
    HOST,
    TROUBLE,
    Announce,
    CouldNotRun,
    Database,
    FrontEnd,
    Kernel,
    Record,
    Runner,
    Try,
    call_http,
    free_port,
    main,
    site_settings,
    until,
)

RUNNERS = 3
REQUESTS = 40
SERVER_S = 2.5  # time that a server takes for a call
RELOAD_S = 1.0  # from SIGHUP until the configuration counts as read
TOKEN = "secret"
FORMER, NEW = "east-academy", "north-college"


def fronts(number: int, fleet: list[int], admin: int, servers: list[int], moved: bool) -> str:
    """Return the operator's file of one runner: server s0 is the former customer's, or has moved to the new one."""
    seats = "".join(
        f'[[fleet.seat]]\nname = "n{n}"\naddress = "{HOST}:{port}"\n' for n, port in enumerate(fleet)
    )
    tier = "".join(
        f'[[tier.server]]\nname = "s{n}"\naddress = "{HOST}:{port}"\n' for n, port in enumerate(servers)
    )
    own = {FORMER: ["s1"], NEW: ["s0", "s2"]} if moved else {FORMER: ["s0", "s1"], NEW: ["s2"]}
    customers = "".join(
        f'[[namespaces.customer]]\nname = "{name}"\nservers = {json.dumps(names)}\n'
        for name, names in own.items()
    )
    return (
        f'[admin]\nlisten = "{HOST}:{admin}"\ntoken = "{TOKEN}"\n{tier}'
        f'[fleet]\nlisten = "{HOST}:{fleet[number]}"\nname = "fleet"\n{seats}'
        f"[duties]\non = true\n[namespaces]\non = true\n{customers}"
    )


async def begin(admin: list[int]) -> None:
    """Begin the fleet, and wait until every runner has a vote."""

    async def has_begun() -> bool:
        return (await call_http(admin[0], "POST", "/fleet/begin", token=TOKEN))[0] == 200

    async def all_vote() -> bool:
        pages = [await call_http(port, "GET", "/fleet") for port in admin]
        return all(status == 200 and json.loads(body)["remembers"] for status, body in pages)

    await until(has_begun, 20, "the fleet begins")
    await until(all_vote, 20, "all runners vote")


async def publish(admin: list[int], record: Record) -> None:
    """Publish the former customer's rules: its calls go to its server s0."""
    draft = {"default": "main", "routes": {"main": {"servers": {"s0": 1}}}}

    async def is_published() -> bool:
        path = f"/namespaces/{FORMER}?wait=1&id=r1"
        status, body = await call_http(admin[0], "PUT", path, json.dumps(draft).encode(), TOKEN)
        record.write("published", status=status, body=body[:200])
        return status == 200 and bool(json.loads(body)["complete"])

    await until(is_published, 20, "the rules are published")


async def case(record: Record, scratch: Path) -> bool:
    fleet = [free_port() for _ in range(RUNNERS)]
    admin = [free_port() for _ in range(RUNNERS)]
    announce = await Announce().listen()
    servers = [Database(record, SERVER_S if n == 0 else 0.005) for n in range(4)]
    ports = [await server.listen() for server in servers]
    runners = []
    for number in range(RUNNERS):
        kernel = Kernel(record, work_s=0.05, calling=("run-tests", "check-syntax", "submit"))
        runner = Runner(
            scratch, f"n{number}", site_settings(), fronts=fronts(number, fleet, admin[number], ports, moved=False),
            kernel=f"{HOST}:{await kernel.listen()}", announce=f"{HOST}:{announce}",
        )  # fmt: skip
        runner.start()
        runners.append(runner)
    for runner in runners:
        await until(runner.says_yes, 30, "the console says yes")
    await begin(admin)
    for runner in runners:
        await runner.ready()
    await publish(admin, record)

    front_ends = [FrontEnd(record, runners[0].port, peer=peer) for peer in (1, 2, 3)]
    tries: list[Try] = []
    for number in range(REQUESTS):
        token = os.urandom(16).hex()
        body = b"submission %d" % number
        tries.append(
            await front_ends[number % 3].send("submit", body, tenant=FORMER, token=token, budget_ms=14_000)
        )
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    if not servers[0].calls:
        raise CouldNotRun("no call has reached the customer's server")

    for number, runner in enumerate(runners):
        runner.fronts = fronts(number, fleet, admin[number], ports, moved=True)
        if TROUBLE:
            (runner.folder / "fronts.toml").write_text(runner.fronts)
            runner.processes[-1].send_signal(signal.SIGHUP)
    record.write("reload" if TROUBLE else "no-reload")
    await asyncio.sleep(RELOAD_S)
    granted_until = time.monotonic() if TROUBLE else float("inf")
    if TROUBLE and "configuration read again" not in runners[0].log():
        raise CouldNotRun("the configuration was not read again")
    record.write("configuration-read")
    # After this, s0 belongs to the other customer alone.
    await asyncio.gather(*(asyncio.wait_for(attempt.done.wait(), 20) for attempt in tries))
    await asyncio.sleep(SERVER_S + 0.5)

    rids = {attempt.params["rid"] for attempt in tries}
    foreign = [(at, rid) for at, rid, _ in servers[0].calls if at > granted_until and rid in rids]
    for at, rid in foreign:
        record.write(
            "FOREIGN-CALL",
            rid=rid,
            server="s0",
            of=FORMER,
            granted_to=NEW,
            after_read_s=f"{at - granted_until:.3f}",
        )
    outcomes = [attempt.outcome for attempt in tries]
    record.write(
        "result",
        calls_at_s0=len(servers[0].calls),
        foreign=len(foreign),
        outcomes={o: outcomes.count(o) for o in set(outcomes)},
    )
    print(f"{len(foreign)} calls of {FORMER} were sent to s0 after it was {NEW}'s alone")
    return not foreign


main(case, Path(__file__).resolve().with_suffix(".record.txt"))
