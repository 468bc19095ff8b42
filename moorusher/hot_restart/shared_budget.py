"""What two processes of one runner take together. The one that stays keeps within what the other has left."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

MOST_PATH, MOST_PID = 107, 11  # bytes of a Unix socket's address; of what it has behind its name at first
NEEDS_MB = 21.0  # the least that a process in service takes


@dataclass(frozen=True, slots=True)
class Load:
    """What a process takes of what the runner has."""

    on_cores: int = 0
    running: int = 0
    memory_kb: float = 0.0
    connections: int = 0


def path_for(folder: str, name: str, address: tuple[str, int]) -> str | None:
    """Where the processes of one runner find each other; many runners may share a folder. None where no socket can have
    a name as long as that."""
    own = xxhash.xxh64_hexdigest(f"{name} {address[0]}:{address[1]}".encode())
    path = f"{folder.rstrip('/')}/moorusher-{own}"
    return path if len(path.encode("utf-8", "surrogateescape")) + MOST_PID <= MOST_PATH else None


def room_for_two(memory_mb: float, taken_mb: float) -> bool:
    """Both are killed where they don't fit: the one that has not begun yet is the one to give way."""
    return taken_mb + NEEDS_MB <= memory_mb
