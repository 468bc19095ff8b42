"""Unix sockets at paths of any length."""

from __future__ import annotations

import os
import socket
from pathlib import Path

import pytest

from moorusher import unix_addresses
from moorusher.hot_restart.shared_budget import rendezvous_path
from moorusher.unix_addresses import MAX_ADDRESS_BYTES, is_addressable, socket_address


@pytest.mark.parametrize("extra_bytes", [0, 1, 70])
def test_a_socket_at_a_path_of_any_length_is_bound_and_found(tmp_path: Path, extra_bytes: int) -> None:
    """With a long `$TMPDIR` the path of the rendezvous socket was too long, and no process handed anything over."""
    folder = tmp_path
    while len(os.fsencode(folder / "socket")) < MAX_ADDRESS_BYTES + extra_bytes:
        missing = MAX_ADDRESS_BYTES + extra_bytes - len(os.fsencode(folder / "socket")) - 1
        folder /= "x" * max(1, min(missing, 200))
    folder.mkdir(parents=True)
    path = str(folder / "socket")
    with socket.socket(socket.AF_UNIX) as bound, socket.socket(socket.AF_UNIX) as client:
        bound.bind(socket_address(path))
        bound.listen()
        assert Path(path).is_socket() and len(socket_address(path)) <= MAX_ADDRESS_BYTES
        client.connect(socket_address(path))


def test_a_short_path_is_its_own_address() -> None:
    path = rendezvous_path("/tmp", "n1", ("127.0.0.1", 1))
    assert socket_address(path) == path and is_addressable(path)


def test_a_long_path_has_no_address_without_descriptors_as_paths(monkeypatch: pytest.MonkeyPatch) -> None:
    path = rendezvous_path("/tmp/" + "x" * 80, "n1", ("127.0.0.1", 1))
    assert is_addressable(path)
    monkeypatch.setattr(unix_addresses, "DESCRIPTORS", "/nowhere")
    assert not is_addressable(path)


def test_the_folder_of_a_long_path_must_exist() -> None:
    with pytest.raises(FileNotFoundError):
        socket_address("/nowhere/" + "x" * 120 + "/socket")
