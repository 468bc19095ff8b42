"""The messages of the failure detector: probes, and the gossip that they carry.

They are part of version 4 of the protocol among runners; see `replication.messages` for its wire form.
"""

from __future__ import annotations

import msgspec


class WireMessage(msgspec.Struct, frozen=True, array_like=True, tag=True, omit_defaults=True):
    """The base of the messages among runners: on the wire an array, without defaults at its end."""


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a member says of itself.

    Attributes:
        accepts_work: `bool`, it can take over work.
        cores: `int`.
        predecessor: `int`, incarnation of the process that it replaces, while that one lives; else 0.
        duties: `int`, how many it leads.
        duty_replicas: `int`, registers of duties that it is a replica of.
        weight: `int`, percent of its full capacity, as load balancers are told; 0: no new requests.
        load: `int`, hundredths of a core that it serves, rounded.
        peak_load: `int`, the most of them in the last while.
        recovered: `bool`, as a replica of the cluster's own registers it has forgotten nothing.
        durable: `bool`, its next process will know what this one knows.
    """

    accepts_work: bool = False
    cores: int = 0
    predecessor: int = 0
    duties: int = 0
    duty_replicas: int = 0
    weight: int = 0
    load: int = 0
    peak_load: int = 0
    recovered: bool = False
    durable: bool = False


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Gossip about one member.

    Attributes:
        seat: `str`.
        incarnation: `int`, of the process that the update is about.
        version: `int`, grows as the member publishes a new status or refutes a suspicion.
        state: `int`, the value of a `failure_detector.MemberState`.
        status: `MemberStatus`.
    """

    seat: str
    incarnation: int
    version: int
    state: int
    status: MemberStatus


class Ping(WireMessage, frozen=True, tag="ping"):
    """Probes a member; carries gossip. `requested_by`: the seat that asked for the probe, or empty."""

    serial: int
    updates: list[MemberUpdate]
    requested_by: str = ""


class PingAck(WireMessage, frozen=True, tag="pong"):
    """The answer to a ping; carries gossip. `requested_by` as in the ping."""

    serial: int
    updates: list[MemberUpdate]
    requested_by: str = ""


class PingRequest(WireMessage, frozen=True, tag="pingfor"):
    """Asks a member to probe `seat`, which does not answer the sender."""

    serial: int
    seat: str
    updates: list[MemberUpdate]
