"""Lines about faults that come by thousands."""

from __future__ import annotations

import logging

import pytest

from moorusher.rate_limited_log import RateLimitedLog


def test_a_kind_is_written_once_a_second_and_tells_what_was_left_out(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now = [100.0]
    limited = RateLimitedLog(logging.getLogger("moorusher"), lambda: now[0])
    for i in range(20):
        limited.write(logging.WARNING, "a", "a %d", i)
        limited.write(logging.WARNING, "b", "b")
        now[0] += 0.125
    lines = [record.getMessage() for record in caplog.records if record.getMessage().startswith("a")]
    assert lines == ["a 0", "a 8; 7 like it since the last line", "a 16; 7 like it since the last line"]
    assert len(caplog.records) == 6
