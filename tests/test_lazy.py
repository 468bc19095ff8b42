"""Imports of a runner on the platform: only libraries pinned in `requirements.txt`, and no disabled features."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

ROOT = Path(__file__).resolve().parent.parent
# Libraries of features disabled by default and of the laboratory; the platform's build does not install them.
EXTRAS = ("msgspec", "numpy", "matplotlib", "hdrh", "hypothesis", "pytest", "sqlite3")
SERVE = """
import sys

class BlockExtras:
    def find_spec(self, name, path=None, target=None):
        if name.split(".")[0] in {extras}:
            raise ModuleNotFoundError(name)

sys.meta_path.insert(0, BlockExtras())
import json, os, pathlib, tempfile
settings = {settings!r}
with tempfile.TemporaryDirectory() as folder:
    path = pathlib.Path(folder) / "c.json"
    path.write_text(json.dumps({{"name": "n1", "listen": "127.0.0.1:1", "kernel": "127.0.0.1:2", "settings": settings,
                                "db": "127.0.0.1:3", "announce": "127.0.0.1:4", "console": "127.0.0.1:5"}}))
    os.environ["GW_CONFIG"] = str(path)
    from moorusher.config import loader
    from moorusher.server import main, reactor as event_loop
    reactor = event_loop.install()
    from moorusher.server.server import Service
    Service(loader.load(), reactor)
    import moorusher.cluster_transport.hot_restart.coordinator, moorusher.frontends.console
print(" ".join(sorted(m for m in sys.modules if m.startswith("moorusher."))))
"""


def test_serving_on_the_platform_needs_only_pinned_libraries_and_loads_no_disabled_feature() -> None:
    from .stand_ins import SETTINGS

    completed = subprocess.run(
        [sys.executable, "-c", SERVE.format(extras=EXTRAS, settings=SETTINGS)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    pinned = {line.split("==")[0].lower() for line in (ROOT / "requirements.txt").read_text().split()}
    assert not pinned & set(EXTRAS), "the build installs one of EXTRAS: remove it from the list"
    loaded = completed.stdout.split()
    disabled_packages = {
        "replication",
        "membership",
        "leadership",
        "namespaces",
        "config_distribution",
        "routing",
        "load_balancing",
        "warm_start",
        "forecasting",
        "forecast_service",
        "model_checking",
        "lab",
    }
    unexpected = [
        module
        for module in loaded
        if module.split(".")[1] in disabled_packages
        and module.split(".")[-1] not in (*disabled_packages, "policy", "grants")
    ]
    assert not unexpected
    assert not {
        "moorusher.cluster_transport.replication",
        "moorusher.cluster_transport.leadership",
        "moorusher.cluster_transport.config_distribution",
        "moorusher.backends.server_pool",
        "moorusher.admin.api",
    } & set(loaded)
