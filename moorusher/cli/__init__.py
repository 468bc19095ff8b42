"""The command line. `root` has the group of all commands; each other module has the commands on one subject, or what
they share. What only one command needs is imported as it runs.
"""

from .root import cli, main

__all__ = ["cli", "main"]
