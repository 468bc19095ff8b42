"""Where a runner's configuration is loaded from: the way in to this package for the rest of the runner.

`platform_file.py` reads and checks the platform's file, `operator_file.py` the operator's, with a module for each
larger section.

GW_CONFIG names the platform's JSON file; GW_NAME and GW_LISTEN stand in where it lacks them or is absent, GW_CONSOLE
goes before its `console`. The operator's file says what listens besides. Every message names the faulty key.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .model import Config
from .operator_file import DEFAULT_OPERATOR_FILE, read_operator_file
from .platform_file import parse_platform_file
from .section import ConfigError, unreadable


def load(
    environment: Mapping[str, str] = os.environ, operator_file: Path | None = None, running: Any = None
) -> Config:
    """Read both files.

    :param operator_file: `deploy/fronts.toml` of the distribution where None.
    :param running: the parsed platform file that is in service, whose keys the new one must have.
    :raises ConfigUnreadableError: a file can't be read at this moment.
    :raises ConfigError: the configuration can't be used; the text names the key.
    """
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: not set; it names the JSON file of the configuration")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise unreadable("GW_CONFIG", error) from error
    operator = read_operator_file(operator_file or DEFAULT_OPERATOR_FILE)
    return parse_platform_file(text, environment, operator, running)
