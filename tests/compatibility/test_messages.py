"""Messages between runners of one fleet, some of which may run an earlier build.

Guards against a rename in the code that changes a tag, an order of fields, an Enum's value or a default: a runner would
then close its links (`framing lost`) or, worse, mistake one number for another. For all messages of all parts, the form
and the bytes of samples are compared.
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

from .forms import form_and_samples
from .golden import assert_golden, read_golden

# ---- adapters: only this section uses the program's names ----

Codec = tuple[Callable[[Any], bytes], Callable[[bytes], Any]]

FLEET_FRAME: Codec = fleet.encode, fleet.decode
FLEET_MESSAGES = get_args(fleet.Message)
PARTS: dict[str, tuple[str, Codec]] = {
    "duties": (duties.PART, (duties.encode, duties.decode)),
    "namespaces": (publishing.PART, (publishing.encode, publishing.decode)),
    "forecast": (forecasting.PART, (forecasting.encode, forecasting.decode)),
    "outages": (outage.PART, (outage.encode, outage.decode)),
}
PUBLISHING_ERRORS, FORECAST_ERRORS = publishing_errors.ERRORS_BY_KIND, forecast_errors.ERRORS_BY_KIND
VERSION, FIRST_BALLOT, MEMBER_STATES = (
    fleet.PROTOCOL_VERSION,
    fleet.FAST_BALLOT,
    [state.value for state in MemberState],
)
key_of = work.key_of


# ---- messages ----


def message_types(codec: Codec) -> tuple[type, ...]:
    """Return the types of all messages that a part can decode."""
    union: Any = getattr(codec[1], "__self__").type  # noqa: B009
    return get_args(union) or (union,)


def forms_by_tag(types: tuple[type, ...], codec: Codec) -> dict[str, Any]:
    forms = [form_and_samples(kind, *codec) for kind in types]
    return {form["form"]["tag"]: form for form in sorted(forms, key=lambda form: str(form["form"]["tag"]))}


def single_message_codec(frame_codec: Codec) -> Codec:
    """Return a codec for frames with one message."""
    encode, decode = frame_codec
    return lambda message: encode([message]), lambda data: decode(data)[0]


def test_the_bytes_of_the_fleets_messages_are_unchanged() -> None:
    assert_golden("messages_fleet", forms_by_tag(FLEET_MESSAGES, single_message_codec(FLEET_FRAME)))


@pytest.mark.parametrize("part", PARTS)
def test_the_bytes_of_a_parts_messages_are_unchanged(part: str) -> None:
    name, codec = PARTS[part]
    assert name == part
    assert_golden(f"messages_{part}", forms_by_tag(message_types(codec), codec))


@pytest.mark.parametrize("part", ["fleet", *PARTS])
def test_messages_in_the_golden_files_are_decoded_and_encoded_unchanged(part: str) -> None:
    encode, decode = single_message_codec(FLEET_FRAME) if part == "fleet" else PARTS[part][1]
    for tag, form in read_golden(f"messages_{part}").items():
        for sample in form["samples"]:
            data = bytes.fromhex(sample)
            assert encode(decode(data)) == data, tag


def test_constants_that_all_runners_must_share_are_unchanged() -> None:
    constants = {
        "version": VERSION,
        "first ballot": FIRST_BALLOT,
        "states of a member": MEMBER_STATES,
        "keys": [key_of(None, "token").hex(), key_of("", "token").hex(), key_of("acme", "token").hex()],
    }
    assert_golden("messages_figures", constants)


def test_the_kinds_of_errors_in_messages_are_unchanged() -> None:
    """Answers to submissions and queries name the kind of an error; the receiver would not know another name."""
    kinds = {"namespaces": sorted(PUBLISHING_ERRORS), "forecast": sorted(FORECAST_ERRORS)}
    assert_golden("messages_errors", kinds)
