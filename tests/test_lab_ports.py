"""A server that was killed came back to "Address already in use": the system had given its port to a connection of
another test meanwhile, which happens as soon as tests run side by side."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

from twisted.internet import reactor

from moorusher.lab.ports import _PORTS_APART, FIRST_PORT, HOST, PORT_COUNT, free_port
from moorusher.lab.relays import Relay
from moorusher.lab.stand_ins.kernel import Kernel

FIRST_OUTGOING = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])


def test_stand_ins_and_relays_listen_below_the_ports_of_outgoing_connections() -> None:
    kernel = Kernel(reactor)
    kernel.listen()
    relay = Relay(reactor, kernel.port)
    try:
        assert kernel.port < FIRST_OUTGOING
        assert relay.port < FIRST_OUTGOING
        assert kernel.port != relay.port
    finally:
        kernel.close()
        relay.close()


def test_a_port_is_given_once_by_all_processes_of_the_machine() -> None:
    """Two processes whose ranges begin at the same port, which is as close as two can be."""
    here = [free_port() for _ in range(20)]
    ask = (
        "import os; os.getpid = lambda: %d\n"
        "from moorusher.lab.ports import free_port\n"
        "print(*(free_port() for _ in range(20)))"
    )
    there = subprocess.run(
        [sys.executable, "-c", ask % _id_that_begins_at(here[0])], check=True, capture_output=True, text=True
    )
    assert not set(here) & {int(port) for port in there.stdout.split()}


def test_a_port_in_use_is_passed_over() -> None:
    with socket.socket() as taken:
        first = free_port()
        taken.bind((HOST, first + 1))
        taken.listen()
        assert free_port() != first + 1


def _id_that_begins_at(port: int) -> int:
    return next(i for i in range(PORT_COUNT) if i * _PORTS_APART % PORT_COUNT == port - FIRST_PORT)
