"""What two processes of one runner share: the socket by which they find each other, and the runner's limits."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

MIN_PROCESS_MB = 21.0  # least memory that a process in service uses


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """One process's use of the runner's limits.

    Attributes:
        on_cores: Number of runs that compete for the cores.
        running: Number of all runs, including those that wait for a call.
        memory_kb: Kernel memory that its requests use.
        connections: Number of client connections.
    """

    on_cores: int = 0
    running: int = 0
    memory_kb: float = 0.0
    connections: int = 0


def rendezvous_path(folder: str, name: str, address: tuple[str, int]) -> str:
    """Return the path of the Unix socket by which the processes of one runner find each other.

    It may be too long for an address; see `unix_addresses`.
    """
    # Several runners may share a folder, so the path contains a hash of the runner's name and address.
    runner_id = xxhash.xxh64_hexdigest(f"{name} {address[0]}:{address[1]}".encode())
    return f"{folder.rstrip('/')}/moorusher-{runner_id}"


def fits_second_process(limit_mb: float, used_mb: float) -> bool:
    """Return whether the runner's memory is large enough for a second process."""
    # Without enough memory the new process must not start, since both processes would be killed.
    return used_mb + MIN_PROCESS_MB <= limit_mb
