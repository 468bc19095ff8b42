"""The group of all commands, and the program's entry point."""

from __future__ import annotations

from pathlib import Path

import click

from .. import __version__
from ..server.main import FAULTY, OK
from .configuration import check_config
from .console import console
from .duty import duty
from .fleet import fleet
from .forecast import forecast
from .laboratory import lab
from .maintenance_mode import maintenance
from .namespace import namespace
from .options import json_option, operator_file_option
from .output import print_result
from .planned_maintenance import outage
from .runner import drain, standing, stats
from .servers import knowledge, servers

ABORTED = 130  # exit code after ^C, as in shells


@click.group(
    invoke_without_command=True,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="Exit codes: 0 done, 1 the runner can't be reached (or ended by a fault), 2 a faulty command or "
    "configuration, 3 refused by the runner, 4 not routable (standing --check, console health).",
)
@click.pass_context
def cli(context: click.Context) -> None:
    """moorusher: a request runner for many tenants. Without a command: serve."""
    if context.invoked_subcommand is None:
        context.invoke(serve)


@cli.command()
@operator_file_option
def serve(fronts: Path | None = None) -> None:
    """Run one runner in the foreground."""
    from ..server import main as server_main

    raise SystemExit(server_main.serve(fronts))


@cli.command()
@json_option
def version(as_json: bool) -> None:
    """Print the version."""
    print_result({"version": __version__}, as_json, f"moorusher {__version__}")


for command in (
    check_config,
    console,
    drain,
    duty,
    fleet,
    forecast,
    knowledge,
    lab,
    maintenance,
    namespace,
    outage,
    servers,
    standing,
    stats,
):
    cli.add_command(command)


def main(argv: list[str] | None = None) -> int:
    """Run one command, and return its exit code.

    :param argv: Arguments of the command; those of the process if None.
    """
    try:
        # In standalone mode click would end the process, but tests and other programs need the exit code.
        code = cli.main(args=argv, prog_name="moorusher", standalone_mode=False)
    except click.ClickException as exc:
        exc.show()
        return exc.exit_code
    except click.Abort:
        return ABORTED
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else FAULTY
    return code if isinstance(code, int) else OK
