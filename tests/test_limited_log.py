"""Rate-limited logging of frequent faults."""

from __future__ import annotations

import logging

import pytest

from moorusher.rate_limited_log import RateLimitedLog


def test_a_kind_is_written_once_a_second_with_the_number_of_suppressed_lines(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now = [100.0]
    limited = RateLimitedLog(logging.getLogger("moorusher"), lambda: now[0])
    for i in range(20):
        limited.write(logging.WARNING, "a", "a %d", i)
        limited.write(logging.WARNING, "b", "b")
        now[0] += 0.125
    lines = [record.getMessage() for record in caplog.records if record.getMessage().startswith("a")]
    assert lines == ["a 0", "a 8; 7 similar lines suppressed", "a 16; 7 similar lines suppressed"]
    assert len(caplog.records) == 6
