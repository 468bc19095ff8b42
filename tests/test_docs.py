"""The pages name modules that are there.

On-call engineers follow a page to the code at night. A page that names a module which was moved costs them the search.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
BASES = (ROOT, ROOT / "moorusher", ROOT / "docs", ROOT / "tests")
# Pages of the past keep the names of their time.
PAGES = [
    *sorted(page for page in ROOT.glob("docs/**/*.md") if "incidents" not in page.parts),
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
]
PATH = re.compile(r"`((?:[a-z_]+/)+(?:[a-z_]+\.(?:py|md|toml))?)`")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_path_that_a_page_names_is_there(page: Path) -> None:
    named = set(PATH.findall(page.read_text()))
    missing = sorted(path for path in named if not any((base / path).exists() for base in BASES))
    assert not missing
