"""A client of a runner's administration API, and the options that select the runner."""

from __future__ import annotations

import json
from collections.abc import Callable, Container
from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import Any
from urllib.error import HTTPError
from urllib.parse import quote
from urllib.request import Request, urlopen

import click

from ..config.loader import load
from ..config.operator_file import DEFAULT_OPERATOR_FILE, read_operator_file
from ..config.section import Address, ConfigError, parse_address
from ..server.main import REFUSED, UNREACHED
from .output import CommandError

TIMEOUT_S = 5.0


class ApiError(CommandError):
    """Raised if a runner refuses a request.

    Attributes:
        status: HTTP status of the response.
        kind: Kind of the error, as in `moorusher.errors`; "" if the response has none.
    """

    def __init__(self, text: str, status: int, kind: str) -> None:
        super().__init__(text, REFUSED)
        self.status = status
        self.kind = kind


@dataclass(frozen=True, slots=True)
class ApiClient:
    """Client of a runner's administration API.

    Attributes:
        host, port: Address of the API.
        token: Bearer token for changes; "" for none.
    """

    host: str
    port: int
    token: str = ""

    def request(
        self, method: str, path: str, body: object = None, accepted_statuses: Container[int] = ()
    ) -> Any:
        """Send `body` as JSON, or no content if it is None, and return the JSON of the response.

        :param accepted_statuses: Statuses besides 2xx for which the JSON is also returned.
        :raises ApiError: The runner refuses the request.
        :raises CommandError: The runner can't be reached; `exit_code` is `UNREACHED`.
        """
        content = None if body is None else json.dumps(body).encode()
        return self.send(method, path, content, TIMEOUT_S, accepted_statuses)

    def send(
        self,
        method: str,
        path: str,
        content: bytes | None,
        timeout_s: float,
        accepted_statuses: Container[int] = (),
    ) -> Any:
        """Send bytes as they are; otherwise like `request`."""
        url = f"http://{self.host}:{self.port}/{path}"
        headers = {"Authorization": f"Bearer {self.token}"} if self.token and method != "GET" else {}
        request = Request(url, data=content, method=method, headers=headers)
        try:
            with urlopen(request, timeout=timeout_s) as response:
                return json.load(response)
        except HTTPError as exc:
            if exc.code in accepted_statuses:
                return json.load(exc)
            raise self._api_error(exc) from exc
        except (OSError, ValueError) as exc:
            raise CommandError(f"{self.host}:{self.port}: {exc}", UNREACHED) from exc

    def _api_error(self, response: HTTPError) -> ApiError:
        document = _error_document(response)
        kind = document.get("kind")
        return ApiError(
            f"{self.host}:{self.port}: {response.code}: {_error_text(document, response.reason)}",
            response.code,
            kind if isinstance(kind, str) else "",
        )


def _error_document(response: HTTPError) -> dict[str, Any]:
    """Return the JSON object of a response; {} if the response is no JSON object."""
    try:
        document = json.load(response)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _error_text(document: dict[str, Any], default: str) -> str:
    """Return the error and its remedy; `default` if the document has no error."""
    error, remedy = document.get("error"), document.get("remedy")
    if not isinstance(error, str):
        return default
    return f"{error}\n{remedy}" if remedy else error


def path_segment(name: str) -> str:
    """Return a name quoted as one segment of a path."""
    return quote(name, safe="")


def with_api(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that select a runner to a command, and pass it the client of its API as first argument."""

    @click.option("--address", help="HOST:PORT of the API (default: admin.listen of the operator's file).")
    @click.option(
        "--fronts",
        type=click.Path(path_type=Path),
        default=DEFAULT_OPERATOR_FILE,
        help="The operator's file.",
    )
    @click.option(
        "--token", envvar="MOORUSHER_TOKEN", help="For changes (default: that of the operator's file)."
    )
    @wraps(command)
    def command_with_api(address: str | None, fronts: Path, token: str | None, **arguments: Any) -> None:
        command(_client(address, fronts, token), **arguments)

    return command_with_api


def _client(address: str | None, operator_file: Path, token: str | None) -> ApiClient:
    try:
        admin = read_operator_file(operator_file).admin
        listen = parse_address(address, "--address") if address else admin.listen
    except ConfigError as exc:
        raise CommandError(str(exc)) from exc
    if listen is None:
        raise CommandError(f"admin.listen: not set in {operator_file.name}; name the API with --address")
    return ApiClient(*listen, token if token is not None else admin.token)


def console_address(address: str | None) -> Address:
    """Return the console's address: `address` if it is set, else that of the configuration.

    :raises CommandError: The address or the configuration is invalid, or neither is set.
    """
    try:
        listen = parse_address(address, "--address") if address else load().console
    except ConfigError as exc:
        raise CommandError(str(exc)) from exc
    if listen is None:
        raise CommandError("console: not set; name it with --address")
    return listen
