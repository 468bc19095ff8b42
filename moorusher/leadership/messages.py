"""What runners say to each other about duties, besides the registers' own questions."""

from __future__ import annotations

from ..replication.messages import ComponentPayload, component_codec
from ..replication.work_record import Key, Owner
from .chunks import Mark

PART = "duties"  # of `fleet.messages.For`


class Offer(ComponentPayload, frozen=True, tag="offer"):
    """From a keeper of its register: this duty needs an owner. `counts`: its owner is lost. `pressing`: others have
    declined."""

    key: Key
    born: int
    term: int
    counts: bool
    pressing: bool


class Declined(ComponentPayload, frozen=True, tag="declined"):
    """An offered duty is not taken."""

    key: Key
    term: int


class Passed(ComponentPayload, frozen=True, tag="passed"):
    """To the owner of before: another has it now. Hastens what it would learn by its next change."""

    key: Key
    born: int
    term: int
    owner: Owner


class Keep(ComponentPayload, frozen=True, tag="keep"):
    """To a keeper: a piece of the version that the change at `mark` is to name; empty where it should be there."""

    serial: int
    key: Key
    mark: Mark
    name: bytes
    piece: bytes


class Kept(ComponentPayload, frozen=True, tag="kept"):
    """Pieces of a state are kept, or there was no room for them."""

    serial: int
    name: bytes
    ok: bool
    missing: bool  # it is to be sent
    inc: int  # of the keeper: what an earlier life of it had is not counted


class Named(ComponentPayload, frozen=True, tag="named"):
    """That value of the register is chosen: what no later change can name goes."""

    key: Key
    value: bytes


class Fetch(ComponentPayload, frozen=True, tag="fetch"):
    """Asks a keeper for pieces of a state."""

    key: Key
    names: list[bytes]


class Fetched(ComponentPayload, frozen=True, tag="fetched"):
    """One piece; empty where it is not there."""

    key: Key
    name: bytes
    piece: bytes


encode, decode = component_codec(Offer | Declined | Passed | Keep | Kept | Named | Fetch | Fetched)
