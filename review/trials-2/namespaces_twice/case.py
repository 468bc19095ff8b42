"""A draft that is submitted again with its id, after its answer was lost, is published a second time over a newer one."""

from __future__ import annotations

import http.client
import json
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
from stand_ins_2 import HOST, TOKEN, TROUBLE, CannotRunError, Case, Fleet, FrontEnd, free_port, main, settings, until  # noqa: E402

RULES = 600  # with reasons of 200 characters: a draft of some 160 KB; `bytes` allows 240,000


def draft(closed: bool) -> bytes:
    """Return a draft that refuses learners' reserved names and, if `closed`, all checks."""
    rules: dict[str, object] = {
        f"r{index}": {"match": {"key": [f"reserved{index:04d}-*"]}, "refuse": f"name {index} is reserved; ".ljust(200, "-")}
        for index in range(RULES)
    }
    if closed:
        rules["closed"] = {"match": {"class": ["check"]}, "refuse": "closed for the week"}
    return json.dumps({"default": "main", "routes": {"main": {"servers": {"s1": 1}}}, "rules": rules}).encode()


class LosingProxy:
    """Forwards calls to the administration API whole, and loses the answers: resets the caller as they arrive."""

    def __init__(self, case: Case, port: int) -> None:
        self.answered: list[bytes] = []
        self._to = port
        self._server = socket.create_server((HOST, 0))
        self.port = int(self._server.getsockname()[1])
        case.closers.append(self._server.close)
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                caller, _ = self._server.accept()
            except OSError:
                return
            server = socket.create_connection((HOST, self._to))
            threading.Thread(target=self._forward, args=(caller, server), daemon=True).start()
            answer = server.recv(65536)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.answered.append(answer)
            caller.shutdown(socket.SHUT_RDWR)
            caller.close()
            server.close()

    @staticmethod
    def _forward(caller: socket.socket, server: socket.socket) -> None:
        try:
            while data := caller.recv(65536):
                server.sendall(data)
        except OSError:
            pass


def publish(port: int, body: bytes, submission: str, by: str) -> object:
    """Publish a draft; return the answer, or None if it was lost."""
    connection = http.client.HTTPConnection(HOST, port, timeout=12)
    try:
        path = f"/namespaces/acme?id={submission}&by={by}"
        connection.request("PUT", path, body, {"Authorization": f"Bearer {TOKEN}"})
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def play(case: Case) -> list[str]:
    more = (
        f'[duties]\non = true\n[[tier.server]]\nname = "s1"\naddress = "{HOST}:{free_port()}"\n'
        f'[[tier.server]]\nname = "s2"\naddress = "{HOST}:{free_port()}"\n'
        '[namespaces]\non = true\n[[namespaces.customer]]\nname = "acme"\nservers = ["s1"]\n'
    )
    fleet = Fleet(case, 3, settings(), more=more)
    fleet.start()
    n1, n2 = fleet.runners["n1"], fleet.runners["n2"]

    def shown() -> dict[str, object]:
        status, document = n1.api("GET", "/namespaces/acme")
        return document if status == 200 else {}

    def served_check() -> str:
        return FrontEnd(case, n1.port).ask("check", b"w20 look").verdict

    proxy = LosingProxy(case, n1.admin)
    first = publish(proxy.port if TROUBLE else n1.admin, draft(closed=True), "week-49-closed", "ada")
    case.note(f"ada publishes a draft with id week-49-closed: {first or 'the answer was lost'}")
    if TROUBLE and (first is not None or not proxy.answered or b" 200 " not in proxy.answered[0][:20]):
        raise CannotRunError(f"the proxy did not lose an answer of 200: {proxy.answered[:1]}")
    until(lambda: shown().get("number") == 1, 10, "the first revision")
    until(lambda: served_check() == "refused", 5, "the first revision decides", 0.3)
    second = publish(n2.admin, draft(closed=False), "reopen", "bo")
    case.note(f"bo publishes another draft with id reopen, at n2: {second}")
    until(lambda: shown().get("number") == 2, 10, "the second revision")
    until(lambda: served_check() == "served", 5, "the second revision decides", 0.3)
    if TROUBLE:
        for attempt in (1, 2):
            again = publish(n1.admin, draft(closed=True), "week-49-closed", "ada")
            case.note(f"ada submits the same draft again with the same id, attempt {attempt}: {again}")
    time.sleep(1.5)  # until the runner uses what was published last
    document = shown()
    revisions = document.get("revisions")
    verdict = served_check()
    case.note(f"current revision {document.get('number')}, kept: {revisions}; a check is {verdict}")
    broken = []
    if document.get("number") != 2:
        broken.append(
            f"two submissions became {document.get('number')} revisions; the current one is by "
            f"{revisions[0]['by'] if isinstance(revisions, list) else '?'}, and a check is {verdict}"
        )
    return broken


main(play, Path(__file__).resolve().with_name("record.txt"))
