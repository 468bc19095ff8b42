"""What serving on the platform loads: nothing but what `requirements.txt` pins, and none of what is off there."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

ROOT = Path(__file__).resolve().parent.parent
# Libraries of features that are off as shipped, and of the laboratory: a platform's build does not install them.
EXTRAS = ("msgspec", "numpy", "matplotlib", "hdrh", "hypothesis", "pytest", "sqlite3")
SERVE = """
import sys

class Missing:
    def find_spec(self, name, path=None, target=None):
        if name.split(".")[0] in {extras}:
            raise ModuleNotFoundError(name)

sys.meta_path.insert(0, Missing())
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


def test_serving_on_the_platform_needs_no_library_beyond_the_pinned_ones_and_loads_nothing_that_is_off() -> (
    None
):
    from .stand_ins import SETTINGS

    done = subprocess.run(
        [sys.executable, "-c", SERVE.format(extras=EXTRAS, settings=SETTINGS)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    pinned = {line.split("==")[0].lower() for line in (ROOT / "requirements.txt").read_text().split()}
    assert not pinned & set(EXTRAS), "one of them is installed by the build: it need not be missing here"
    loaded = done.stdout.split()
    parts = {
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
    odd = [
        m for m in loaded if m.split(".")[1] in parts and m.split(".")[-1] not in (*parts, "policy", "grants")
    ]
    assert not odd
    assert not {
        "moorusher.cluster_transport.replication",
        "moorusher.cluster_transport.leadership",
        "moorusher.cluster_transport.config_distribution",
        "moorusher.backends.server_pool",
        "moorusher.admin.api",
    } & set(loaded)
