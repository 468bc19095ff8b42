"""Requests to the administration API of a laboratory's runner."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from .ports import HOST

ADMIN_TOKEN = "lab"
_FIRST_ERROR_STATUS = 400


@dataclass(frozen=True, slots=True)
class AdminReply:
    """A reply of the administration API.

    Attributes:
        status: HTTP status, 0 if no reply arrived.
        body: Content of the reply.
    """

    status: int
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Whether a reply without an error status arrived."""
        return 0 < self.status < _FIRST_ERROR_STATUS

    def decode(self) -> Any:
        """Return the decoded JSON body; {} if it is empty or not JSON."""
        try:
            return json.loads(self.body) if self.body else {}
        except ValueError:
            return {}


def request_admin(
    port: int, path: str, method: str = "GET", body: bytes | None = None, timeout_s: float = 10
) -> Deferred[AdminReply]:
    """Send one request from a thread of the reactor's pool.

    :param port: port of the runner's administration API.
    :returns: the reply; its status is 0 if the connection failed or timed out.
    """
    url = f"http://{HOST}:{port}/{path}"
    headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}

    def exchange() -> AdminReply:
        try:
            request = Request(url, method=method, data=body, headers=headers)
            with urlopen(request, timeout=timeout_s) as reply:
                return AdminReply(reply.status, bytes(reply.read()))
        except HTTPError as error:
            return AdminReply(error.code, bytes(error.read()))
        except OSError:
            return AdminReply(0, b"")

    return deferToThread(exchange)
