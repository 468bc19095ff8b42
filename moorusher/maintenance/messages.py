"""What runners say to each other about outages, besides the register's own questions."""

from __future__ import annotations

from ..replication.messages import ComponentPayload, component_codec

PART = "outages"  # of `fleet.messages.For`


class Changed(ComponentPayload, frozen=True, tag="changed"):
    """The roster has gone on to that number, and it is about you: look. What it says there counts, and not this."""

    number: int


encode, decode = component_codec(Changed)
