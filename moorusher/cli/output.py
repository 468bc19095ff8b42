"""What commands print: a result, as JSON or as text, or one error."""

from __future__ import annotations

import json
import sys

import click

from ..server.main import FAULTY


class CommandError(click.ClickException):
    """Ends the command with one line on standard error; `exit_code` tells scripts which kind of error it is."""

    def __init__(self, text: str, exit_code: int = FAULTY) -> None:
        super().__init__(text)
        self.exit_code = exit_code  # type: ignore[misc]  # click declares it for the class

    def show(self, file: object = None) -> None:
        """Print the error on standard error."""
        print(f"moorusher: {self.format_message()}", file=sys.stderr)


def print_result(value: object, as_json: bool, text: str) -> None:
    """Print a value as JSON, or the text that says the same."""
    click.echo(json.dumps(value, indent=2, sort_keys=True) if as_json else text)


def print_lines(value: object, as_json: bool, lines: list[str]) -> None:
    """Print a value as JSON, or the lines that say the same."""
    print_result(value, as_json, "\n".join(lines))
