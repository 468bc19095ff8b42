"""When a silent connection is asked, doubted and replaced."""

from __future__ import annotations

from moorusher.backends.silence_detection import (
    CONFIRM_AFTER_US,
    MAX_SILENCE_US,
    PROBE_AFTER_US,
    SilenceDetection,
    SilenceVerdict,
)

START = 1_000_000


def watched() -> SilenceDetection:
    silence = SilenceDetection()
    silence.restart(START)
    return silence


def check(
    silence: SilenceDetection, after: int, may_suspect: bool = True, may_replace: bool = True
) -> SilenceVerdict:
    return silence.check(START + after, may_suspect, may_replace)


def test_a_connection_is_asked_first_and_replaced_when_it_stays_silent() -> None:
    silence = watched()
    assert check(silence, PROBE_AFTER_US - 1) is SilenceVerdict.ALIVE
    assert check(silence, PROBE_AFTER_US) is SilenceVerdict.PROBE
    assert silence.next_check_after() == PROBE_AFTER_US
    assert check(silence, MAX_SILENCE_US) is SilenceVerdict.PROBE
    assert silence.next_check_after() == CONFIRM_AFTER_US
    assert check(silence, MAX_SILENCE_US + CONFIRM_AFTER_US) is SilenceVerdict.REPLACE


def test_a_connection_whose_data_waited_while_this_process_was_paused_is_kept() -> None:
    """The process is stopped for ten seconds. Its timers fire before it reads what the peer sent meanwhile, so that the
    connection looks silent. It is looked at once more, and the data have been read by then."""
    silence = watched()
    assert check(silence, 10 * MAX_SILENCE_US) is SilenceVerdict.PROBE
    silence.data_received(START + 10 * MAX_SILENCE_US)
    assert check(silence, 10 * MAX_SILENCE_US + CONFIRM_AFTER_US) is SilenceVerdict.ALIVE


def test_a_peer_that_may_be_silent_is_not_doubted_and_one_replacement_is_enough() -> None:
    silence = watched()
    for times in range(1, 4):
        assert check(silence, times * MAX_SILENCE_US, may_suspect=False) is SilenceVerdict.PROBE
    assert check(silence, 4 * MAX_SILENCE_US, may_replace=False) is SilenceVerdict.PROBE
    assert check(silence, 5 * MAX_SILENCE_US, may_replace=False) is SilenceVerdict.PROBE
