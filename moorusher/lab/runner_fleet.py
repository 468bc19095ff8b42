"""A fleet of real runner processes with their kernels, for experiments."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .admin_client import AdminReply, request_admin
from .ports import HOST, free_port
from .runners import Runner
from .stand_ins.kernel import Kernel

ZONES = 2
_POLL_S = 0.1
_BOOTSTRAP_RETRY_S = 0.2


class RunnerFleet:
    """Runners that form one fleet over their fleet listeners.

    :param count: number of runners.
    :param settings: platform settings of every runner.
    :param extra_toml: returns the sections of a runner's file, besides `[fleet]`, by the runner's index.
    :param kernel_options: options of every `Kernel`.

    Attributes:
        settings: Platform settings of every runner.
        ports: Ports of the fleet listeners.
        kernels: Kernels of the runners.
        runners: Runner processes.
    """

    def __init__(
        self,
        reactor: Any,
        count: int,
        settings: dict[str, Any],
        extra_toml: Callable[[int], str],
        **kernel_options: Any,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self._extra_toml = extra_toml
        self.ports = [free_port() for _ in range(count)]
        self.kernels = [Kernel(reactor, **kernel_options) for _ in range(count)]
        for kernel in self.kernels:
            kernel.listen()
        self.runners = [self.start_runner(index) for index in range(count)]

    def start_runner(self, index: int) -> Runner:
        """Start the runner with this index in the fleet."""
        seats = "".join(
            f'[[fleet.seat]]\nname = "r{other}"\nzone = "z{other % ZONES}"\naddress = "{HOST}:{port}"\n'
            for other, port in enumerate(self.ports)
        )
        fleet = f'[fleet]\nlisten = "{HOST}:{self.ports[index]}"\nname = "lab"\n{seats}'
        return Runner(
            self.reactor,
            self.kernels[index],
            self.settings,
            name=f"r{index}",
            extra_toml=fleet + self._extra_toml(index),
        )

    async def pause(self, seconds: float) -> None:
        """Wait for some seconds."""
        await deferLater(self.reactor, seconds, lambda: None)

    def request_admin(
        self, index: int, path: str, method: str = "GET", body: bytes | None = None
    ) -> Deferred[AdminReply]:
        """Send a request to a runner's administration API."""
        return request_admin(self.runners[index].admin, path, method, body)

    async def form_fleet(self) -> None:
        """Wait until every runner is connected to its kernel, form the fleet, and wait until every runner is in it."""
        for index in range(len(self.runners)):
            while b'"kernel_up": true' not in (await self.request_admin(index, "status")).body:
                await self.pause(_POLL_S)
        while not await self._bootstrap():
            await self.pause(_BOOTSTRAP_RETRY_S)
        for index in range(len(self.runners)):
            while not await self._has_recovered(index):
                await self.pause(_POLL_S)

    async def _bootstrap(self) -> bool:
        """Request that the first runner forms a new fleet.

        :returns: whether the fleet has been formed. False means that the request has to be repeated: the runner
            rejects it until it has received messages from all others in all register spaces. A runner that has
            recovered also rejects the request; the result is True then.
        """
        reply = await self.request_admin(0, "fleet/begin", "POST")
        return reply.succeeded or await self._has_recovered(0)

    async def _has_recovered(self, index: int) -> bool:
        """Return whether a runner's acceptors vote in all register spaces."""
        status = (await self.request_admin(index, "fleet")).decode()
        return bool(status.get("remembers"))

    def close(self) -> None:
        """Kill all runners and close all kernels."""
        for runner in self.runners:
            runner.signal("KILL")
        for kernel in self.kernels:
            kernel.close()
