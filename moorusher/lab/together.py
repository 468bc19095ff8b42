"""Real runners of one fleet, for experiments: started with their kernels, begun, asked, ended."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from twisted.internet.task import deferLater
from twisted.internet.threads import deferToThread

from .ports import HOST, free_port
from .runners import Runner
from .stand_ins.kernel import Kernel


class Together:
    """`more` gives what each runner's file has besides its fleet."""

    def __init__(
        self, reactor: Any, count: int, settings: dict[str, Any], more: Callable[[int], str], **kernel: Any
    ) -> None:
        self.reactor, self.settings, self._more = reactor, settings, more
        self.ports = [free_port() for _ in range(count)]
        self.kernels = [Kernel(reactor, **kernel) for _ in range(count)]
        for one in self.kernels:
            one.listen()
        self.runners = [self.runner(i) for i in range(count)]

    def runner(self, i: int) -> Runner:
        seats = "".join(
            f'[[fleet.seat]]\nname = "r{j}"\nzone = "z{j % 2}"\naddress = "{HOST}:{p}"\n'
            for j, p in enumerate(self.ports)
        )
        return Runner(
            self.reactor,
            self.kernels[i],
            self.settings,
            name=f"r{i}",
            more=(f'[fleet]\nlisten = "{HOST}:{self.ports[i]}"\nname = "lab"\n{seats}{self._more(i)}'),
        )

    async def pause(self, s: float) -> None:
        await deferLater(self.reactor, s, lambda: None)

    def admin(
        self, i: int, path: str, method: str = "GET", data: bytes | None = None, timeout_s: float = 10
    ) -> Any:
        """Deferred: what it answers, also with a refusal; b"" where it does not."""

        def ask() -> bytes:
            try:
                with urlopen(
                    Request(
                        f"http://{HOST}:{self.runners[i].admin}/{path}",
                        method=method,
                        data=data,
                        headers={"Authorization": "Bearer lab"},
                    ),
                    timeout=timeout_s,
                ) as got:
                    return bytes(got.read())
            except HTTPError as exc:
                return bytes(exc.read())
            except OSError:
                return b""

        return deferToThread(ask)

    async def asked(self, i: int, path: str, method: str = "GET", data: bytes | None = None) -> Any:
        got: bytes = await self.admin(i, path, method, data)
        return json.loads(got) if got else {}

    async def begin(self) -> None:
        for i in range(len(self.runners)):
            while b'"kernel_up": true' not in await self.admin(i, "status"):
                await self.pause(0.1)
        while b"begun" not in await self.admin(0, "fleet/begin", "POST"):
            await self.pause(0.2)

    def close(self) -> None:
        for runner in self.runners:
            runner.signal("KILL")
        for kernel in self.kernels:
            kernel.close()
