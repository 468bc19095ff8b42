"""The command line. `root` defines the group of all commands. Each other module defines the commands on one subject, or
helpers that several of them use. Modules that only one command needs are imported when it runs.
"""

from .root import cli, main

__all__ = ["cli", "main"]
