"""The output of commands: a result as JSON or text, or one error."""

from __future__ import annotations

import json
import sys

import click

from ..server.main import FAULTY


class CommandError(click.ClickException):
    """Ends the command with a message on standard error. Scripts learn the kind of error from `exit_code`."""

    def __init__(self, text: str, exit_code: int = FAULTY) -> None:
        super().__init__(text)
        self.exit_code = exit_code  # type: ignore[misc]  # click declares it as a class attribute

    def show(self, file: object = None) -> None:
        """Print the error on standard error."""
        print(f"moorusher: {self.format_message()}", file=sys.stderr)


def print_result(value: object, as_json: bool, text: str) -> None:
    """Print a value as JSON, or its text form."""
    click.echo(json.dumps(value, indent=2, sort_keys=True) if as_json else text)


def print_lines(value: object, as_json: bool, lines: list[str]) -> None:
    """Print a value as JSON, or the lines of its text form."""
    print_result(value, as_json, "\n".join(lines))
