"""Options that several commands share."""

from __future__ import annotations

from pathlib import Path

import click

operator_file_option = click.option(
    "--fronts", type=click.Path(path_type=Path), help="What else listens (default: deploy/fronts.toml)."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
