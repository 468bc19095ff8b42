"""Validation of `[forecast]` of the operator's file."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.config.forecast import read_forecast
from moorusher.config.section import ConfigError, Section
from moorusher.forecasting.policy import Calendar


@pytest.mark.parametrize(
    ("settings", "key"),
    [
        ({"on": True}, r"forecast\.on"),
        ({"routes": 0}, r"forecast\.routes"),
        ({"scaling": {"fill": 2.0}}, r"scaling\.fill"),
        ({"scaling": {"least": 5, "most": 2}}, r"scaling\.least"),
        ({"scaling": {"to": "8.8.8.8:1"}}, r"scaling\.to"),
        ({"calendar": [{"customer": "a", "zone": "Nowhere/At"}]}, r"calendar\[0\]\.zone"),
        ({"calendar": [{"customer": "a", "days": {"x": ["2026-13-01"]}}]}, r"days\.x"),
        ({"calendar": [{"customer": "a"}, {"customer": "a"}]}, r"calendar\[1\]\.customer"),
        ({"odd": 1}, r"forecast\.odd"),
    ],
)
def test_the_error_names_the_invalid_key(settings: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=key):
        read_forecast(Section(settings, "forecast"), False, 1 << 20)


def test_the_state_of_the_duty_must_have_capacity_for_all_routes() -> None:
    with pytest.raises(ConfigError, match=r"duties\.state_bytes is 1048576"):
        read_forecast(Section({"on": True, "routes": 500}, "forecast"), True, 1 << 20)
    policy = read_forecast(
        Section(
            {
                "on": True,
                "routes": 100,
                "calendar": [
                    {"customer": "a", "zone": "Europe/Copenhagen", "days": {"exam": ["2026-05-01"]}}
                ],
            },
            "forecast",
        ),
        True,
        1 << 20,
    )
    assert policy.calendars["a"] == Calendar("Europe/Copenhagen", {"2026-05-01": "exam"})
