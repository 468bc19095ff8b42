"""The command line. A group of verbs a module; what a verb needs is imported as it runs."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from .. import __version__
from ..server.main import FAULTY

FRONTS = click.option(
    "--fronts", type=click.Path(path_type=Path), help="What else listens (default: deploy/fronts.toml)."
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")


class Shown(click.ClickException):
    """Said in one line on standard error; `exit_code` tells scripts which kind it is."""

    def __init__(self, text: str, code: int = FAULTY) -> None:
        super().__init__(text)
        self.exit_code = code  # type: ignore[misc]  # click declares it for the class

    def show(self, file: object = None) -> None:
        print(f"moorusher: {self.format_message()}", file=sys.stderr)


def show(value: object, as_json: bool, text: str) -> None:
    """Print a value, as JSON or in words."""
    click.echo(json.dumps(value, indent=2, sort_keys=True) if as_json else text)


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
@FRONTS
def serve(fronts: Path | None = None) -> None:
    """Run one runner in the foreground."""
    from ..server import main as start

    raise SystemExit(start.serve(fronts))


@cli.command()
@JSON
def version(as_json: bool) -> None:
    """Print the version."""
    show({"version": __version__}, as_json, f"moorusher {__version__}")


def main(argv: list[str] | None = None) -> int:
    """The exit code. Registers the groups of verbs first."""
    from . import configuration, forecast, laboratory, namespace, outage, runner

    for command in (
        *configuration.COMMANDS,
        *runner.COMMANDS,
        namespace.namespace,
        forecast.forecast,
        outage.outage,
        *laboratory.COMMANDS,
    ):
        cli.add_command(command)
    try:
        # Not standalone: the exit code is this function's, so that tests and other programs can have it.
        code = cli.main(args=argv, prog_name="moorusher", standalone_mode=False)
    except click.ClickException as exc:
        exc.show()
        return exc.exit_code
    except click.Abort:
        return 130
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else FAULTY
    return code if isinstance(code, int) else 0
