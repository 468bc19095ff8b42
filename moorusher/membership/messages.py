"""The messages of the failure detector: probes, and the gossip that they carry.

They are part of version 4 of the protocol among runners; `replication.messages` describes its wire format.
"""

from __future__ import annotations

import msgspec


class WireMessage(msgspec.Struct, frozen=True, array_like=True, tag=True, omit_defaults=True):
    """The base class of the messages among runners: encoded as an array without trailing default values."""


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status that a member publishes about itself.

    Attributes:
        accepts_work: Whether it can take over work.
        cores: Number of cores.
        predecessor: Incarnation of the process that it replaces, while that process lives; else 0.
        duties: Number of duties that it leads.
        duty_replicas: Number of duty registers of which it is a replica.
        weight: Weight for load balancers in percent of its full capacity; 0 for no new requests.
        load: Served load in hundredths of a core, rounded.
        peak_load: Recent maximum of `load`.
        recovered: Whether it has recovered as a replica of the cluster's own registers.
        durable: Whether its state is on disk, so that the next process of the seat will have it.
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
        seat: Seat of the member.
        incarnation: Incarnation of its process.
        version: Number that grows when the member publishes a new status or refutes a suspicion.
        state: Value of a `member.MemberState`.
        status: Status that the member has published.
    """

    seat: str
    incarnation: int
    version: int
    state: int
    status: MemberStatus


class Ping(WireMessage, frozen=True, tag="ping"):
    """Probes a member, and carries gossip. `requested_by` is the seat that requested the probe, or empty."""

    serial: int
    updates: list[MemberUpdate]
    requested_by: str = ""


class PingAck(WireMessage, frozen=True, tag="pong"):
    """The answer to a ping, with gossip. `requested_by` is copied from the ping."""

    serial: int
    updates: list[MemberUpdate]
    requested_by: str = ""


class PingRequest(WireMessage, frozen=True, tag="pingfor"):
    """Requests that a member probes `seat`, which does not answer the sender."""

    serial: int
    seat: str
    updates: list[MemberUpdate]
