"""Commands of the laboratory, which need the extra packages of `pip install moorusher[lab]`."""

from __future__ import annotations

from pathlib import Path

import click

from .options import json_option
from .output import CommandError, print_lines


def _require_extra() -> None:
    """Check that the extra packages of the laboratory are installed.

    :raises CommandError: A package is missing.
    """
    try:
        import hdrh.histogram  # noqa: F401
        import matplotlib  # noqa: F401
    except ImportError as exc:
        raise CommandError(f"{exc.name} is missing: pip install 'moorusher[lab]'") from exc


@click.group()
def lab() -> None:
    """Experiments on stand-ins of this project's own, on loopback."""


@lab.command("list")
@json_option
def list_experiments(as_json: bool) -> None:
    """Name the experiments."""
    _require_extra()
    from ..lab.registry import EXPERIMENTS

    subjects = {name: experiment.about for name, experiment in EXPERIMENTS.items()}
    print_lines(subjects, as_json, [f"{name:<10} {about}" for name, about in subjects.items()])


@lab.command("run")
@click.argument("name")
@click.option("--quick", is_flag=True, help="One seed; under a minute.")
@click.option("--seed", default=1, show_default=True, help="All that is random follows from it.")
@click.option("--out", type=click.Path(path_type=Path), help="Where the report goes (default: lab-NAME).")
def run_experiment(name: str, quick: bool, seed: int, out: Path | None) -> None:
    """Play one; exits with 0 only if all its criteria hold."""
    _require_extra()
    from ..lab import registry

    if name not in registry.EXPERIMENTS:
        raise CommandError(f"no experiment {name}; known are {', '.join(registry.EXPERIMENTS)}")
    folder = out or Path(f"lab-{name}")
    passed = registry.run_experiment(name, quick, seed, folder, click.echo)
    click.echo(f"report: {folder / 'report.html'}")
    raise SystemExit(0 if passed else 1)


@lab.command("up")
@click.option("--seconds", default=0.0, help="End by itself after so long (default: until ^C).")
@click.option("--load", default=0.5, show_default=True, help="Share of the runner's capacity.")
@click.option(
    "--runners", default=1, show_default=True, help="More than one are a fleet; kill NAME and stop NAME."
)
def run_stand_ins(seconds: float, load: float, runners: int) -> None:
    """A runner in service with its kernel, what is below and a trickle of load; a line each second."""
    _require_extra()
    if runners > 1:
        from ..lab.demo_fleet import run_demo_fleet

        raise SystemExit(run_demo_fleet(runners, seconds, load, click.echo))
    from ..lab.demo_runner import run_demo_runner

    raise SystemExit(run_demo_runner(seconds, load, click.echo))
