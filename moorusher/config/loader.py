"""Loads a runner's configuration; the entry point of this package.

`platform_file.py` reads and validates the platform's file, `operator_file.py` the operator's file, with a module for
each larger section.

GW_CONFIG names the platform's JSON file. GW_NAME is used if the file has no `name`; GW_LISTEN and GW_CONSOLE take
precedence over its `listen` and `console`. The operator's file configures additional listeners. Every error message
names the invalid key.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .model import Config
from .operator_file import DEFAULT_OPERATOR_FILE, read_operator_file
from .platform_file import parse_platform_file
from .section import ConfigError, unreadable_error


def load(
    environment: Mapping[str, str] = os.environ, operator_file: Path | None = None, running: Any = None
) -> Config:
    """Read and validate both files.

    :param operator_file: None for `deploy/fronts.toml` of the distribution.
    :param running: the parsed platform file now in use, whose keys the new file must have; None at the start.
    :raises ConfigUnreadableError: a file is temporarily unreadable.
    :raises ConfigError: the configuration is invalid.
    """
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: not set; it names the JSON file of the configuration")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise unreadable_error("GW_CONFIG", error) from error
    operator = read_operator_file(operator_file or DEFAULT_OPERATOR_FILE)
    return parse_platform_file(text, environment, operator, running)
