"""Tests of when a silent connection is probed, suspected and replaced."""

from __future__ import annotations

from moorusher.backends.silence_detection import (
    CONFIRM_AFTER_US,
    MAX_SILENCE_US,
    PROBE_AFTER_US,
    SilenceDetection,
    SilenceVerdict,
)

START = 1_000_000


def started_detection() -> SilenceDetection:
    silence = SilenceDetection()
    silence.restart(START)
    return silence


def check(
    silence: SilenceDetection, after: int, may_suspect: bool = True, may_replace: bool = True
) -> SilenceVerdict:
    return silence.check(START + after, may_suspect, may_replace)


def test_a_silent_connection_is_probed_first_and_replaced_if_it_remains_silent() -> None:
    silence = started_detection()
    assert check(silence, PROBE_AFTER_US - 1) is SilenceVerdict.ALIVE
    assert check(silence, PROBE_AFTER_US) is SilenceVerdict.PROBE
    assert silence.next_check_after() == PROBE_AFTER_US
    assert check(silence, MAX_SILENCE_US) is SilenceVerdict.PROBE
    assert silence.next_check_after() == CONFIRM_AFTER_US
    assert check(silence, MAX_SILENCE_US + CONFIRM_AFTER_US) is SilenceVerdict.REPLACE


def test_a_connection_with_unread_data_is_kept_after_a_pause_of_this_process() -> None:
    """The process is paused for a long time. Its timers fire before it reads the data that has arrived meanwhile, so
    that the connection seems to be silent. The data has been read when the connection is checked again."""
    silence = started_detection()
    assert check(silence, 10 * MAX_SILENCE_US) is SilenceVerdict.PROBE
    silence.data_received(START + 10 * MAX_SILENCE_US)
    assert check(silence, 10 * MAX_SILENCE_US + CONFIRM_AFTER_US) is SilenceVerdict.ALIVE


def test_a_peer_that_may_be_silent_is_not_suspected_and_only_one_replacement_is_made() -> None:
    silence = started_detection()
    for times in range(1, 4):
        assert check(silence, times * MAX_SILENCE_US, may_suspect=False) is SilenceVerdict.PROBE
    assert check(silence, 4 * MAX_SILENCE_US, may_replace=False) is SilenceVerdict.PROBE
    assert check(silence, 5 * MAX_SILENCE_US, may_replace=False) is SilenceVerdict.PROBE
