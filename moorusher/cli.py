"""The command line."""

from __future__ import annotations

import argparse
import json
import logging
import os
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

from . import __version__
from .config import FRONTS_FILE, Config, ConfigError, load, parse_address, read_fronts


def _serve(config: Config, read: Callable[[], Config]) -> int:
    # Nothing has been read yet: until the service takes the signal over, leaving is ending.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    hangups: list[int] = []  # a new configuration that comes meanwhile is read once there is who can follow it
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    from . import loop  # the loop is installed before any module can import Twisted's default one

    reactor = loop.install()
    from twisted.python.log import PythonLoggingObserver

    PythonLoggingObserver("moorusher.loop").start()  # type: ignore[no-untyped-call]
    from . import service

    return service.serve(config, reactor, read, hangups)


def describe(config: Config) -> str:
    """What the configuration comes to, an address or list a line."""
    def at(address: tuple[str, int] | None) -> str:
        return "off" if address is None else f"{address[0]}:{address[1]}"

    s, u = config.settings, config.uwsgi
    return "\n".join([
        f"name      {config.name}", f"listen    {at(config.listen)}", f"kernel    {at(config.kernel)}",
        f"db        {at(config.db)}", f"announce  {at(config.announce)}", f"uwsgi     {at(u.listen)}",
        f"below     {at(u.below)} (uwsgi)", f"agent     {at(u.agent)}", f"health    {at(u.health)}",
        f"admin     {at(config.admin.listen)}{'' if config.admin.token else ' (no token: read only)'}",
        f"classes   {', '.join(f'{c.name} ({c.effect.value})' for c in s.classes)}",
        f"tenants   {', '.join(t.name for t in s.tenants) or 'none'}",
        f"limits    {config.limits.memory_mb:g} MB, {config.limits.sockets} descriptors",
    ])


def _stats(what: str, address: str | None) -> int:
    from urllib.request import urlopen

    where = parse_address(address, "--address") if address else read_fronts(FRONTS_FILE)[1].listen
    if where is None:
        raise ConfigError("admin.listen: not set in deploy/fronts.toml; name the API with --address")
    try:
        with urlopen(f"http://{where[0]}:{where[1]}/{what}", timeout=5) as reply:
            print(json.dumps(json.load(reply), indent=2, sort_keys=True))
    except OSError as exc:
        print(f"moorusher: {where[0]}:{where[1]}: {exc}", file=sys.stderr)
        return 1
    return 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="moorusher", description=__doc__)
    commands = parser.add_subparsers(dest="command")
    for name, text in (("serve", "run one runner in the foreground (the default)"),
                       ("check-config", "read the configuration and say what it holds")):
        command = commands.add_parser(name, help=text)
        command.add_argument("--fronts", type=Path, help="what else listens (default: deploy/fronts.toml)")
    commands.add_parser("version", help="print the version")
    stats = commands.add_parser("stats", help="ask a running runner's administration API")
    stats.add_argument("what", nargs="?", default="status", choices=["status", "counters", "tenants"])
    stats.add_argument("--address", help="HOST:PORT of the API (default: admin.listen of deploy/fronts.toml)")
    args = parser.parse_args(argv)
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    if args.command == "version":
        print(f"moorusher {__version__}")
        return 0
    try:
        if args.command == "stats":
            return _stats(args.what, args.address)
        read = partial(load, fronts=getattr(args, "fronts", None))
        config = read()
    except ConfigError as exc:
        print(f"moorusher: {exc}", file=sys.stderr)
        return 2
    if args.command == "check-config":
        print(describe(config))
        return 0
    return _serve(config, read)
