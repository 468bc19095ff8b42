"""Messages between members about maintenance, besides those of the register."""

from __future__ import annotations

from ..replication.messages import ComponentPayload, component_codec

PART = "outages"  # names these messages among all that members exchange


class ScheduleChanged(ComponentPayload, frozen=True, tag="changed"):
    """The schedule has a later revision that concerns the receiver: a hint to read it."""

    revision: int


encode, decode = component_codec(ScheduleChanged)
