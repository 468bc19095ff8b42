"""What two processes of one runner share: an address, and the limits of the runner."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

MAX_PATH_BYTES = 107  # of a Unix socket's address
PID_SUFFIX_BYTES = 11  # that a new socket has behind its name at first
MIN_PROCESS_MB = 21.0  # what a process in service takes at least


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """What one process takes of the runner's limits.

    Attributes:
        on_cores: runs that compete for the cores.
        running: all runs, those at calls included.
        memory_kb: of the kernel, by its requests.
        connections: of clients.
    """

    on_cores: int = 0
    running: int = 0
    memory_kb: float = 0.0
    connections: int = 0


def rendezvous_path(folder: str, name: str, address: tuple[str, int]) -> str | None:
    """The Unix socket by which the processes of one runner find each other; many runners may share a folder. None where
    the path is too long for a socket."""
    runner_id = xxhash.xxh64_hexdigest(f"{name} {address[0]}:{address[1]}".encode())
    path = f"{folder.rstrip('/')}/moorusher-{runner_id}"
    length = len(path.encode("utf-8", "surrogateescape")) + PID_SUFFIX_BYTES
    return path if length <= MAX_PATH_BYTES else None


def fits_beside(limit_mb: float, taken_mb: float) -> bool:
    """Whether a second process fits into the runner's memory. Where not, both would be killed: the one that has not
    begun gives way."""
    return taken_mb + MIN_PROCESS_MB <= limit_mb
