"""Real runner processes on loopback, each with a stand-in kernel and its settings files."""

from __future__ import annotations

import json
import logging
import os
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.process import reapAllProcesses
from twisted.internet.protocol import ProcessProtocol

from .admin_client import ADMIN_TOKEN
from .arrivals import RequestClass
from .ports import HOST, free_port
from .stand_ins.kernel import Kernel

ROOT = Path(__file__).resolve().parent.parent.parent
"""Root directory of the repository, the working directory of the runners."""
GAUGES = ("cpu_busy", "runnable", "mem_used", "sockets")
IDEMPOTENCY_WINDOW_MS = 20_000
DEFAULT_COLLAPSE_MULTIPLE = 5.0
"""Runs per core at which a machine collapses according to the settings."""
_LOG_TAIL_CHARS = 2000
"""Length of the end of a runner's log that is shown if the runner fails."""


def runner_settings(
    classes: list[RequestClass],
    tenants: list[str],
    cores: int,
    collapse_multiple: float = DEFAULT_COLLAPSE_MULTIPLE,
    **extra: Any,
) -> dict[str, Any]:
    """Return the settings of a laboratory's runner. In production, the platform provides such settings.

    :param extra: entries of the settings' section `extra` that override the laboratory's defaults.
    """
    laboratory_extra = {
        "cpus": cores,
        "memoryKb": 200_000,
        "blowup": 16,
        "entryKb": 1,
        "halt": "discard",
        "say": "allowance",
        "below": "tier",
        "classCalls": [each.makes_call for each in classes],
        "worthWithout": [0.0 if each.keyed else 0.5 for each in classes],
        "passesDeadline": True,
        "tellsGone": True,
        "gauges": list(GAUGES),
        "upstreams": 2,
    }
    return {
        "classes": [_class_settings(each) for each in classes],
        "realms": [{"name": tenant, "share": 1 / len(tenants)} for tenant in tenants],
        "extra": laboratory_extra | extra,
        "invariants": {
            "graceToAnswerMs": 80,
            "tipMultiple": collapse_multiple,
            "overloadForMs": 3000,
            "stopSendingWithinMs": 2000,
        },
        "limits": {"maxRetryAfterMs": 1000},
    }


def _class_settings(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aimMs": request_class.latency_objective_ms,
        "deadlineMs": request_class.deadline_ms,
        "worth": request_class.priority_weight,
        "effect": "guarded" if request_class.keyed else "free",
        "windowMs": IDEMPOTENCY_WINDOW_MS if request_class.keyed else 0,
    }


def reap_children(reactor: Any) -> None:
    """Reap child processes on SIGCHLD, for a reactor that runs without its own signal handlers.

    Such a reactor checks for a child's exit only once, when the child's pipe closes. It would never notice a child
    that exits after that check.
    """
    signal.signal(signal.SIGCHLD, lambda *_: reactor.callFromThread(reapAllProcesses))


class Runner(ProcessProtocol):
    """A runner process. After it has exited, it can be started again with the same addresses.

    :param database_port: port of the runner's backend, None for no backend.
    :param health_toml: settings of the section on health reports.
    :param sends_maxconn: whether the answers to agent checks also contain a connection limit.
    :param extra_toml: additional sections of the file that configures the listeners.

    Attributes:
        port: Port for requests; `agent`, `health` and `admin` are the ports of the other listeners.
        exit_code: Exit code, None while the process runs.
        on_exit: Called with the exit code when the process has exited.
        keeps_files: Whether the runner's files are kept when its process exits, for a restart.
    """

    def __init__(
        self,
        reactor: Any,
        kernel: Kernel,
        settings: dict[str, Any],
        database_port: int | None = None,
        health_toml: str = "",
        name: str = "n1",
        sends_maxconn: bool = False,
        extra_toml: str = "",
    ) -> None:
        self.kernel = kernel
        self.name = name
        self.port = free_port()
        self.agent = free_port()
        self.health = free_port()
        self.admin = free_port()
        self.exit_code: int | None = None
        self.on_exit: Callable[[int], None] = lambda code: None
        self.keeps_files = False
        self._reactor = reactor
        self._temporary = tempfile.TemporaryDirectory(prefix="moorusher-lab-")
        self._folder = Path(self._temporary.name)
        self._write_listeners(sends_maxconn, health_toml, extra_toml)
        self._write_config(settings, database_port)
        self.start_process()

    def _write_listeners(self, sends_maxconn: bool, health_toml: str, extra_toml: str) -> None:
        (self._folder / "fronts.toml").write_text(
            f'[agent]\nlisten = "{HOST}:{self.agent}"\nmaxconn = {str(sends_maxconn).lower()}\n'
            f'[health]\nlisten = "{HOST}:{self.health}"\n'
            f'[admin]\nlisten = "{HOST}:{self.admin}"\ntoken = "{ADMIN_TOKEN}"\n'
            f"[standing]\n{health_toml}\n{extra_toml}"
        )

    def _write_config(self, settings: dict[str, Any], database_port: int | None) -> None:
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "kernel": f"{HOST}:{self.kernel.port}",
            "seed": "ab",
            "stop_ms": 4000,
            "settings": settings,
        }
        if database_port:
            config["db"] = f"{HOST}:{database_port}"
        (self._folder / "config.json").write_text(json.dumps(config))

    def start_process(self) -> None:
        """Start a process; a restarted one listens on the same addresses."""
        self.exit_code = None
        self._log = (self._folder / "log").open("ab")
        listeners = str(self._folder / "fronts.toml")
        log = self._log.fileno()
        self.process: Any = self._reactor.spawnProcess(
            self,
            sys.executable,
            [sys.executable, "-m", "moorusher", "serve", "--fronts", listeners],
            env=os.environ | {"GW_CONFIG": str(self._folder / "config.json")},
            path=str(ROOT),
            childFDs={0: "w", 1: log, 2: log},
        )

    def processEnded(self, reason: Any) -> None:
        """Store the exit code and call `on_exit`; unless files are kept, remove them and show the log of a failure."""
        code = reason.value.exitCode
        self.exit_code = code if code is not None else -1
        self._log.close()
        failed_by_itself = reason.value.signal is None and self.exit_code != 0
        if failed_by_itself and not self.keeps_files:
            tail = (self._folder / "log").read_text()[-_LOG_TAIL_CHARS:]
            logging.error(
                "runner exited with an error: name=%s code=%s log:\n%s", self.name, self.exit_code, tail
            )
        if not self.keeps_files:
            self._temporary.cleanup()
        self.on_exit(self.exit_code)

    def signal(self, name: str | int) -> None:
        """Send a signal, by name or number, unless the process has exited."""
        if self.exit_code is None:
            self.process.signalProcess(name)
