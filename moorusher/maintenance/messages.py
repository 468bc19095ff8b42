"""Messages between members about maintenance, in addition to those of the replicated register."""

from __future__ import annotations

from ..replication.messages import ComponentPayload, component_codec

PART = "outages"  # the component's name in `replication.messages.ComponentMessage`


class ScheduleChanged(ComponentPayload, frozen=True, tag="changed"):
    """Notifies the receiver of a new revision of the schedule that affects it, so that it reads the schedule."""

    revision: int


encode, decode = component_codec(ScheduleChanged)
