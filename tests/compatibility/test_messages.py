"""What runners of one fleet say to each other, while some of them are of an earlier build.

Guards against a tag, an order of fields, an Enum's value or a default that changes with its name: a runner would then
close its links (`framing lost`) or, worse, read one figure for another. All messages of all parts are compared, as a
form and as bytes of samples.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, get_args

import pytest

from moorusher.config_distribution import errors as publishing_errors
from moorusher.config_distribution import messages as publishing
from moorusher.forecast_service import errors as forecast_errors
from moorusher.forecast_service import messages as forecasting
from moorusher.leadership import messages as duties
from moorusher.maintenance import messages as outage
from moorusher.membership.member import MemberState
from moorusher.replication import messages as fleet
from moorusher.replication import work_record as work

from .forms import told
from .golden import assert_golden, read_golden

# ---- the names of the program, once ----

Coding = tuple[Callable[[Any], bytes], Callable[[bytes], Any]]

FLEET_FRAME: Coding = fleet.encode, fleet.decode
FLEET = get_args(fleet.Message)
PARTS: dict[str, tuple[str, Coding]] = {
    "duties": (duties.PART, (duties.encode, duties.decode)),
    "namespaces": (publishing.PART, (publishing.encode, publishing.decode)),
    "forecast": (forecasting.PART, (forecasting.encode, forecasting.decode)),
    "outages": (outage.PART, (outage.encode, outage.decode)),
}
ERRORS_OF_PUBLISHING, ERRORS_OF_FORECASTING = publishing_errors.ERRORS_BY_KIND, forecast_errors.ERRORS_BY_KIND
VERSION, FIRST_BALLOT, MEMBER_STATES = (
    fleet.PROTOCOL_VERSION,
    fleet.FAST_BALLOT,
    [one.value for one in MemberState],
)
key_of = work.key_of


# ---- the forms ----


def spoken(coding: Coding) -> tuple[type, ...]:
    """All messages that a part can read."""
    kinds: Any = getattr(coding[1], "__self__").type  # noqa: B009
    return get_args(kinds) or (kinds,)


def by_tag(kinds: tuple[type, ...], coding: Coding) -> dict[str, Any]:
    forms = [told(kind, *coding) for kind in kinds]
    return {one["form"]["tag"]: one for one in sorted(forms, key=lambda one: str(one["form"]["tag"]))}


def in_a_frame(coding: Coding) -> Coding:
    encode, decode = coding
    return lambda message: encode([message]), lambda data: decode(data)[0]


def test_messages_of_the_fleet_have_the_same_bytes() -> None:
    assert_golden("messages_fleet", by_tag(FLEET, in_a_frame(FLEET_FRAME)))


@pytest.mark.parametrize("part", PARTS)
def test_messages_of_a_part_have_the_same_bytes(part: str) -> None:
    name, coding = PARTS[part]
    assert name == part
    assert_golden(f"messages_{part}", by_tag(spoken(coding), coding))


@pytest.mark.parametrize("part", ["fleet", *PARTS])
def test_what_was_written_before_is_read_and_written_as_it_was(part: str) -> None:
    encode, decode = in_a_frame(FLEET_FRAME) if part == "fleet" else PARTS[part][1]
    for tag, one in read_golden(f"messages_{part}").items():
        for sample in one["samples"]:
            data = bytes.fromhex(sample)
            assert encode(decode(data)) == data, tag


def test_figures_that_all_runners_must_share_are_the_same() -> None:
    told_ = {
        "version": VERSION,
        "first ballot": FIRST_BALLOT,
        "states of a member": MEMBER_STATES,
        "keys": [key_of(None, "token").hex(), key_of("", "token").hex(), key_of("acme", "token").hex()],
    }
    assert_golden("messages_figures", told_)


def test_errors_are_named_over_the_wire_as_before() -> None:
    """The answer to a submission or an ask names its error: another word would be no error that the asker knows."""
    told_ = {"namespaces": sorted(ERRORS_OF_PUBLISHING), "forecast": sorted(ERRORS_OF_FORECASTING)}
    assert_golden("messages_errors", told_)
