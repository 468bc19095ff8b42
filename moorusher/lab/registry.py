"""All experiments by name, and the function by which the command line runs one."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import Any

from .duties import DUTIES
from .experiment import Experiment, Log, Result
from .forecast import FORECAST
from .health_report_experiment import HEALTH_REPORTS
from .namespaces import NAMESPACES
from .outage import OUTAGE
from .report import write_report
from .takeover import TAKEOVER
from .tier import TIER
from .warm_start import WARM_START

EXPERIMENTS: dict[str, Experiment] = {
    experiment.name: experiment
    for experiment in (DUTIES, FORECAST, NAMESPACES, OUTAGE, HEALTH_REPORTS, TAKEOVER, TIER, WARM_START)
}


def run_experiment(name: str, quick: bool, seed: int, folder: Path, log: Log) -> bool:
    """Run an experiment on a new reactor, write its report, and log its criteria.

    :raises KeyError: no experiment has this name.
    :returns: whether all criteria hold.
    """
    from ..server import reactor as loop

    reactor = loop.install()
    from twisted.internet.defer import Deferred
    from twisted.python.log import PythonLoggingObserver

    logging.basicConfig(level=logging.ERROR, format="%(message)s")
    PythonLoggingObserver("lab").start()  # type: ignore[no-untyped-call]  # shows the errors of the stand-ins

    experiment = EXPERIMENTS[name]
    results: list[Result] = []

    def finished(outcome: Any) -> None:
        if isinstance(outcome, Result):
            results.append(outcome)
        else:
            log(outcome.getTraceback())
        reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(experiment.play(reactor, quick, seed, log)).addBoth(finished)

    reactor.callWhenRunning(start)
    reactor.run()
    if not results:
        return False
    result = results[0]
    write_report(result, experiment, seed, quick, folder)
    for criterion in result.criteria:
        log(criterion.describe())
    return result.holds
