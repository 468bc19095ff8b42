"""Tests of the allocation of the laboratory's ports.

Regression: a restarted server failed with "Address already in use". Its port was an ephemeral one, which the system had
meanwhile given to an outgoing connection of another test that ran in parallel.
"""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

from twisted.internet import reactor

from moorusher.lab.ports import _PORT_STRIDE, FIRST_PORT, HOST, PORT_COUNT, free_port
from moorusher.lab.relays import Relay
from moorusher.lab.stand_ins.kernel import Kernel

FIRST_EPHEMERAL_PORT = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])


def test_stand_ins_and_relays_listen_below_the_ephemeral_ports() -> None:
    kernel = Kernel(reactor)
    kernel.listen()
    relay = Relay(reactor, kernel.port)
    try:
        assert kernel.port < FIRST_EPHEMERAL_PORT
        assert relay.port < FIRST_EPHEMERAL_PORT
        assert kernel.port != relay.port
    finally:
        kernel.close()
        relay.close()


def test_two_processes_never_allocate_the_same_port() -> None:
    """Uses two process ids for which the search for ports begins at the same port, where a collision is likeliest."""
    own_ports = [free_port() for _ in range(20)]
    script = (
        "import os; os.getpid = lambda: %d\n"
        "from moorusher.lab.ports import free_port\n"
        "print(*(free_port() for _ in range(20)))"
    )
    other_process = subprocess.run(
        [sys.executable, "-c", script % _process_id_with_first_port(own_ports[0])],
        check=True,
        capture_output=True,
        text=True,
    )
    assert not set(own_ports) & {int(port) for port in other_process.stdout.split()}


def test_a_port_in_use_is_skipped() -> None:
    with socket.socket() as listener:
        first = free_port()
        listener.bind((HOST, first + 1))
        listener.listen()
        assert free_port() != first + 1


def _process_id_with_first_port(port: int) -> int:
    return next(i for i in range(PORT_COUNT) if i * _PORT_STRIDE % PORT_COUNT == port - FIRST_PORT)
