"""Addresses of Unix sockets, also of those whose path is longer than an address may be."""

from __future__ import annotations

import os
from functools import cache
from pathlib import Path

MAX_ADDRESS_BYTES = 107  # sun_path of struct sockaddr_un, less its final zero byte
DESCRIPTORS = "/proc/self/fd"  # each open descriptor of this process, as a path


def fits_address(path: str) -> bool:
    """Return whether the path can be an address as it is."""
    return len(os.fsencode(path)) <= MAX_ADDRESS_BYTES


def is_addressable(path: str) -> bool:
    """Return whether `socket_address` can return an address for this path on this system."""
    return fits_address(path) or Path(DESCRIPTORS).is_dir()


def socket_address(path: str) -> str:
    """Return an address to which a socket at this path can be bound or connected by this process.

    The folder of a long path is named by a descriptor, which stays open as long as the process runs.

    :raises OSError: the folder can't be opened.
    """
    if fits_address(path):
        return path
    folder, name = os.path.split(path)
    return f"{DESCRIPTORS}/{_folder_descriptor(folder)}/{name}"


@cache
def _folder_descriptor(folder: str) -> int:
    return os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
