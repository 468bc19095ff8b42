"""Stand-ins and process control for the cases of REPORT-2.md: standard library only, loopback only, real clock.

A case calls `main(play)`, where `play(case)` returns a list of broken rules. The exit code is 1 if a rule was broken,
0 if all held, 2 if the case could not run. `TROUBLE=0` in the environment plays the case without its disruption.
"""

from __future__ import annotations

import base64
import http.client
import importlib.util
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 112.0  # the whole case, so that it ends before 120 s
TOKEN = "t0ken"


class CannotRunError(Exception):
    """The case could not be set up or could not be carried out; it shows nothing."""


def free_port() -> int:
    """Return a free port on the loopback address."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def until(condition: Callable[[], Any], limit_s: float, what: str, every_s: float = 0.05) -> Any:
    """Wait until the condition holds and return its value; otherwise the case can't run."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(every_s)
    raise CannotRunError(f"not within {limit_s} s: {what}")


class Case:
    """The record, the temporary folder and everything that has to be ended."""

    def __init__(self, record: Path) -> None:
        self.tmp = Path(tempfile.mkdtemp(prefix="review2-"))
        self._record = open(record, "w")
        self._lock = threading.Lock()
        self._t0 = time.monotonic()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.closers: list[Callable[[], None]] = []

    def note(self, text: str) -> None:
        """Write a line to the record."""
        with self._lock:
            self._record.write(f"{time.monotonic() - self._t0:8.3f}  {text}\n")
            self._record.flush()

    def end(self) -> None:
        """End all processes that the case has started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass
                process.wait()
        for close in self.closers:
            close()
        for log in sorted(self.tmp.glob("*/log")):
            self.note(f"--- last lines of the log of {log.parent.name}")
            for line in log.read_text(errors="replace").splitlines()[-25:]:
                self.note("    " + line[:300])
        shutil.rmtree(self.tmp, ignore_errors=True)
        self._record.close()


def main(play: Callable[[Case], list[str]], record: Path) -> None:
    """Play a case, write its record and exit with its result."""
    case = Case(record)

    def too_long(*_: object) -> None:
        raise CannotRunError("the case took too long")

    def ended(*_: object) -> None:
        raise SystemExit(2)

    signal.signal(signal.SIGALRM, too_long)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, ended)
    signal.setitimer(signal.ITIMER_REAL, LIMIT_S)
    case.note(f"disruption: {'yes' if TROUBLE else 'no (TROUBLE=0)'}")
    code = 2
    try:
        broken = play(case)
        code = 1 if broken else 0
        for rule in broken:
            case.note(f"BROKEN: {rule}")
            print(f"BROKEN: {rule}")
        if not broken:
            case.note("HELD")
            print("held")
    except CannotRunError as error:
        case.note(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception:
        case.note("could not run: " + traceback.format_exc())
        traceback.print_exc()
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        case.end()
    sys.stdout.flush()
    os._exit(code)


# ---- the kernel ----


class Kernel:
    """A kernel as the protocol page describes it. A body `w300 ...` runs for 300 ms; the result names the run."""

    def __init__(self, case: Case, name: str, boots_after_s: float = 0.0) -> None:
        self.case, self.name = case, name
        self.runs: list[tuple[str, str, bytes]] = []  # (rid, class, body) in the order of their starts
        self._notices: list[dict[str, Any]] = []
        self._known: set[str] = set()
        self._ended: set[str] = set()
        self._link: socket.socket | None = None
        self._lock = threading.RLock()
        self._up_at = time.monotonic() + boots_after_s
        self._closed = False
        self._server = socket.create_server((HOST, 0))
        self.port = int(self._server.getsockname()[1])
        case.closers.append(self.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop: nothing listens any more, and the link is cut."""
        self._closed = True
        for each in (self._server, self._link):
            if each is not None:
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                each.close()

    def bodies(self) -> list[bytes]:
        """Return the bodies of all runs that were started."""
        with self._lock:
            return [body for _, _, body in self.runs]

    def _accept(self) -> None:
        while not self._closed:
            try:
                link, _ = self._server.accept()
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        try:
            for line in link.makefile("rb"):
                self._command(link, json.loads(line))
        except (OSError, ValueError):
            pass
        with self._lock:
            if self._link is link:
                self._link = None
        link.close()

    def _command(self, link: socket.socket, message: dict[str, Any]) -> None:
        kind = message["t"]
        if kind == "OPEN":
            time.sleep(max(0.0, self._up_at - time.monotonic()))
            with self._lock:
                previous, self._link = self._link, link
                self._send(link, {"t": "BOOTED", "status": "LOADED", "time_ms": 60_000})
                for notice in self._notices[message["no"] :]:
                    self._send(link, notice)
            if previous is not None:
                previous.close()
            return
        with self._lock:
            if kind == "SYSINFO":
                self._send(link, {"t": "INFO", "mark": message["mark"], "v": [0.1, 1.0, 0.1, 1.0]})
            elif kind == "SCHED" and message["rid"] not in self._known:
                self._start(message["rid"], message["route"], base64.b64decode(message["b64"]))
            elif kind == "PREEMPT":
                self._end(message["rid"], "KILLED", b"")

    def _start(self, rid: str, route: str, body: bytes) -> None:
        self._known.add(rid)
        self.runs.append((rid, route, body))
        number = len(self.runs)
        self.case.note(f"{self.name} runs rid={rid} class={route} body={body[:60]!r}")
        word = body.split(b" ", 1)[0]
        run_s = int(word[1:]) / 1000 if word.startswith(b"w") and word[1:].isdigit() else 0.02
        result = b"did " + body + f" as run {number} of {self.name}".encode()
        timer = threading.Timer(run_s, lambda: self._end(rid, "PASS", result))
        timer.daemon = True
        timer.start()

    def _end(self, rid: str, status: str, result: bytes) -> None:
        with self._lock:
            if rid in self._ended or rid not in self._known:
                return
            self._ended.add(rid)
            notice = {
                "t": "REAP",
                "no": len(self._notices) + 1,
                "rid": rid,
                "status": status,
                "time_ms": 20,
                "b64": base64.b64encode(result).decode(),
            }
            self._notices.append(notice)
            if self._link is not None:
                self._send(self._link, notice)

    def _send(self, link: socket.socket, message: dict[str, Any]) -> None:
        try:
            link.sendall(json.dumps(message).encode() + b"\n")
        except OSError:
            pass


# ---- the front end ----


class Answer:
    """The answer to one request: `verdict` is served, refused, failed, lost or no answer."""

    def __init__(self, verdict: str, content: bytes = b"", text: str = "") -> None:
        self.verdict, self.content, self.text = verdict, content, text

    def __str__(self) -> str:
        return f"{self.verdict} {self.content[:80]!r} {self.text}".strip()


class FrontEnd:
    """One connection of a front end, with one request at a time."""

    def __init__(self, case: Case, port: int, limit_s: float = 2.0) -> None:
        self.case = case
        self.socket = socket.create_connection((HOST, port), timeout=limit_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self.socket.makefile("rb")
        self._id = 0
        self.leaving = False

    def send(self, method: str, body: bytes, **params: Any) -> str:
        """Send a request; return its rid."""
        self._id += 1
        rid = os.urandom(8).hex()
        request = {
            "rid": rid,
            "t0": int(time.time() * 1000),
            "peer": 1,
            "acct": "acme",
            "budget": 8000,
            "mem": 20.0,
            "prio": 0.5,
            "content": base64.b64encode(body).decode(),
        } | params
        line = json.dumps({"jsonrpc": "2.0", "id": self._id, "method": method, "params": request})
        self.socket.sendall(line.encode() + b"\n")
        return rid

    def answer(self, limit_s: float = 9.0) -> Answer:
        """Return the answer to the request that was sent last."""
        self.socket.settimeout(limit_s)
        try:
            for line in self._file:
                message = json.loads(line)
                if message.get("method") == "leaving":
                    self.leaving = True
                if message.get("id") != self._id:
                    continue
                if "result" in message:
                    return Answer("served", base64.b64decode(message["result"].get("content", "")))
                error = message["error"]
                return Answer("refused" if error["code"] == -32014 else "failed", b"", error["message"])
        except TimeoutError:
            return Answer("no answer")
        except OSError as error:
            return Answer("lost", b"", str(error))
        return Answer("lost", b"", "the connection was closed")

    def ask(self, method: str, body: bytes, limit_s: float = 9.0, **params: Any) -> Answer:
        """Send a request and return its answer."""
        rid = self.send(method, body, **params)
        answer = self.answer(limit_s)
        told = f"token={params.get('token', '')[:8]} " if params.get("token") else ""
        self.case.note(f"request rid={rid} {told}{method} {body[:40]!r}: {answer}")
        return answer

    def close(self, reset: bool = False) -> None:
        """Close the connection; `reset` resets it, as a front end does that gives up."""
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self._file.close()
        self.socket.close()


# ---- runners ----


def settings(window_ms: int = 20_000, deadline_ms: int = 8_000) -> dict[str, Any]:
    """Return settings of a small deployment: a safe and a keyed class, one tenant, calls are left out."""
    classes = [
        {"name": "check", "aimMs": 3000, "deadlineMs": deadline_ms, "worth": 1.0, "effect": "free", "windowMs": 5000},
        {
            "name": "submit",
            "aimMs": 4000,
            "deadlineMs": deadline_ms,
            "worth": 3.0,
            "effect": "guarded",
            "windowMs": window_ms,
        },
    ]
    return {
        "classes": classes,
        "realms": [{"name": "acme", "share": 1.0, "quotaRps": 100.0}],
        "extra": {
            "cpus": 4,
            "memoryKb": 200_000.0,
            "blowup": 4.0,
            "entryKb": 1.0,
            "halt": "discard",
            "say": "off",
            "below": "off",
            "classCalls": [False, False],
            "worthWithout": [0.0, 0.0],
            "passesDeadline": True,
            "tellsGone": True,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "keepaliveMaxMs": 30000.0,
            "upstreams": 2,
        },
        "invariants": {
            "graceToAnswerMs": 80.0,
            "tipMultiple": 5.0,
            "overloadForMs": 3000.0,
            "stopSendingWithinMs": 2000.0,
            "coldShare": 0.3,
            "warmAfterMs": 1000.0,
        },
        "limits": {"maxRetryAfterMs": 1000.0, "retryAfter": True},
    }


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return str(tomllib.load(file)["run"])


class Runner:
    """One runner: its files, its addresses and its processes, started with the command of the deploy file."""

    def __init__(self, case: Case, name: str, kernel: Kernel, setup: dict[str, Any], fronts: str | None = None) -> None:
        self.case, self.name = case, name
        self.folder = case.tmp / name
        self.folder.mkdir()
        self.spool = self.folder / "tmp"
        self.spool.mkdir()
        self.port, self.admin = free_port(), free_port()
        self.console = 0
        self.setup = setup
        self.fronts = fronts
        self.kernel = kernel
        self.processes: list[subprocess.Popen[bytes]] = []
        self.write_config()
        if fronts is not None:
            self.write_fronts(fronts)

    def write_config(self) -> None:
        """Write the platform's file."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "kernel": f"{HOST}:{self.kernel.port}",
            "seed": os.urandom(8).hex(),
            "stop_ms": 4000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self.setup,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.rename(self.folder / "config.json")

    def write_fronts(self, more: str) -> None:
        """Write the operator's file: the administration API, and `more`."""
        text = f'[admin]\nlisten = "{HOST}:{self.admin}"\ntoken = "{TOKEN}"\n{more}'
        (self.folder / "fronts.toml").write_text(text)

    def start(self) -> subprocess.Popen[bytes]:
        """Start a process; a further one while the first lives replaces it."""
        self.console = free_port()
        command = run_command()
        if self.fronts is not None:
            command += f" serve --fronts {self.folder / 'fronts.toml'}"
        environment = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        environment |= {
            "GW_CONFIG": str(self.folder / "config.json"),
            "GW_CONSOLE": f"{HOST}:{self.console}",
            "TMPDIR": str(self.spool),
        }
        log = open(self.folder / "log", "ab")
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        self.case.processes.append(process)
        self.case.note(f"{self.name}: started process {len(self.processes)}")
        return process

    def healthy(self, console: int = 0) -> bool:
        """Return whether the console of a process, by default of the last one, says yes."""
        connection = http.client.HTTPConnection(HOST, console or self.console, timeout=1)
        try:
            connection.request("GET", "/admin/health")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_healthy(self, limit_s: float = 15.0) -> None:
        """Wait until the last process says yes."""
        until(self.healthy, limit_s, f"{self.name} is healthy")
        self.case.note(f"{self.name}: process {len(self.processes)} says yes")

    def api(self, method: str, path: str, body: bytes = b"", limit_s: float = 12.0) -> tuple[int, Any]:
        """Call the administration API; return the status (0: not reached) and the document."""
        connection = http.client.HTTPConnection(HOST, self.admin, timeout=limit_s)
        try:
            connection.request(
                method, path, body, {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
            )
            response = connection.getresponse()
            raw = response.read()
            try:
                return response.status, json.loads(raw)
            except ValueError:
                return response.status, raw.decode(errors="replace")
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()

    def signal(self, number: int, process: subprocess.Popen[bytes] | None = None) -> None:
        """Send a signal to a process, by default to the last one."""
        target = process or self.processes[-1]
        self.case.note(f"{self.name}: signal {signal.Signals(number).name}")
        target.send_signal(number)


class Fleet:
    """Runners that list one another in `[fleet]`, each with its kernel."""

    def __init__(
        self, case: Case, count: int, setup: dict[str, Any], fleet_keys: str = "", more: str = "", journals: bool = False
    ) -> None:
        self.case = case
        names = [f"n{index + 1}" for index in range(count)]
        ports = {name: free_port() for name in names}
        seats = "".join(
            f'[[fleet.seat]]\nname = "{name}"\naddress = "{HOST}:{ports[name]}"\nzone = "z{index}"\n'
            for index, name in enumerate(names)
        )
        self.kernels = {name: Kernel(case, f"kernel of {name}") for name in names}
        self.runners: dict[str, Runner] = {}
        for name in names:
            journal = f'journal = "{case.tmp}/journal-{name}"\n' if journals else ""
            text = f'[fleet]\nlisten = "{HOST}:{ports[name]}"\nname = "f"\n{fleet_keys}{journal}{seats}{more}'
            self.runners[name] = Runner(case, name, self.kernels[name], setup, text)

    def start(self) -> None:
        """Start all runners, and declare the fleet to be new."""
        if importlib.util.find_spec("msgspec") is None:
            raise CannotRunError("a fleet needs msgspec, which the build could not install")
        for runner in self.runners.values():
            runner.start()
        for runner in self.runners.values():
            runner.wait_healthy()
        first = next(iter(self.runners.values()))
        until(lambda: first.api("POST", "/fleet/begin")[0] == 200, 10, "fleet begin", 0.3)
        for runner in self.runners.values():
            until(lambda r=runner: (r.api("GET", "/fleet")[1] or {}).get("remembers"), 10, "all remember", 0.2)
        self.case.note("fleet: begun")

    def runs_of(self, body: bytes) -> list[str]:
        """Return the kernels that have run a body, once for each run."""
        return [kernel.name for kernel in self.kernels.values() for each in kernel.bodies() if each == body]
