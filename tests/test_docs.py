"""The documentation refers only to files that exist.

On-call engineers find code by the paths in the documentation. A module that moves leaves wrong paths behind.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
BASE_FOLDERS = (ROOT, ROOT / "moorusher", ROOT / "docs", ROOT / "tests")
# Reports of past incidents are excluded, because they contain the paths that were valid at the time.
PAGES = [
    *sorted(page for page in ROOT.glob("docs/**/*.md") if "incidents" not in page.parts),
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
]
PATH_PATTERN = re.compile(r"`((?:[a-z_]+/)+(?:[a-z_]+\.(?:py|md|toml))?)`")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_pages_name_only_existing_paths(page: Path) -> None:
    named_paths = set(PATH_PATTERN.findall(page.read_text()))
    missing = sorted(path for path in named_paths if not any((base / path).exists() for base in BASE_FOLDERS))
    assert not missing
