"""The kinds of faults that are simulated.

Each simulated day (`day.Day`), which is a test of a few seconds, has one kind of fault.
"""

from __future__ import annotations

from .day import Faults

# Reproduces an incident in which each kernel link was reconnected three times a second.
LINK_LIFETIME_S = 0.33


def failing_call(call: str, error: str, share: float = 1.0) -> tuple[str, str, float, float, float]:
    """Return an entry of `Faults.injected`: a system call fails for 1.5 s in the middle of the day.

    :param share: Share of the calls that fail.
    """
    return call, error, 3.0, 4.5, share


KINDS = (
    Faults("none"),
    Faults("links reset", kernel_link_lifetime_s=LINK_LIFETIME_S, db_link_lifetime_s=LINK_LIFETIME_S),
    Faults("links cut in the midst", kernel_cut_after_bytes=3_000, db_cut_after_bytes=700),
    Faults(
        "links slow and reset",
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        db_link_lifetime_s=LINK_LIFETIME_S,
        link_delay_s=0.02,
    ),
    Faults(
        "configurations and links reset",
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        db_link_lifetime_s=LINK_LIFETIME_S,
        reloads=True,
    ),
    Faults("stopped now and then", pause_s=0.7, kernel_link_lifetime_s=LINK_LIFETIME_S),
    Faults("clock +5 s", injected=(("clock", 5, 3.0, 0, 0),)),
    Faults("clock -3600 s", injected=(("clock", -3600, 3.0, 0, 0),)),
    Faults(
        "accept fails",
        injected=(failing_call("accept", "ECONNABORTED", 0.5), failing_call("accept", "ENFILE")),
    ),
    Faults(
        "accept has no buffers",
        injected=(failing_call("accept", "ENOBUFS"), failing_call("accept", "EMFILE", 0.5)),
    ),
    Faults(
        "no sockets",
        db_link_lifetime_s=LINK_LIFETIME_S,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        injected=(failing_call("socket", "ENFILE"),),
    ),
    Faults(
        "no addresses",
        db_link_lifetime_s=LINK_LIFETIME_S,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        injected=(failing_call("connect", "EADDRNOTAVAIL"),),
    ),
    Faults(
        "unreachable",
        db_link_lifetime_s=LINK_LIFETIME_S,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        injected=(failing_call("connect", "ENETUNREACH", 0.7),),
    ),
    Faults(
        "short reads and writes",
        injected=(failing_call("read", "SHORT", 0.7), failing_call("write", "SHORT", 0.7)),
    ),
    Faults(
        "reads of links fail",
        injected=(
            failing_call("link read", "ETIMEDOUT", 0.02),
            failing_call("link read", "EHOSTUNREACH", 0.02),
        ),
    ),
    Faults(
        "writes of links fail",
        injected=(failing_call("link write", "ETIMEDOUT", 0.02), failing_call("link write", "EPIPE", 0.02)),
    ),
    Faults("waits are interrupted", injected=(failing_call("epoll", "EINTR", 0.5),)),
    Faults(
        "restarts",
        restarts=True,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        db_link_lifetime_s=LINK_LIFETIME_S,
        compliant_client_share=0.5,
    ),
    Faults("replacements", replacements=True, compliant_client_share=0.5),
    Faults(
        "replacements, links reset",
        replacements=True,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        db_link_lifetime_s=LINK_LIFETIME_S,
    ),
    Faults(
        "replacements, configurations",
        replacements=True,
        reloads=True,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
    ),
    Faults("crowd of idle clients", idle_connections=300, max_descriptors=100),
    Faults(
        "crowd and links reset",
        idle_connections=300,
        max_descriptors=100,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        db_link_lifetime_s=LINK_LIFETIME_S,
    ),
    Faults(
        "crowd and restarts",
        idle_connections=200,
        max_descriptors=100,
        restarts=True,
        compliant_client_share=0.5,
    ),
    Faults(
        "spoilt replies and notices twice",
        malformed_reply_share=0.2,
        repeated_notice_share=0.2,
        db_link_lifetime_s=LINK_LIFETIME_S,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
    ),
    Faults("clients walk away", disconnect_share=0.3, kernel_link_lifetime_s=LINK_LIFETIME_S),
    Faults(
        "trouble after a quiet time",
        idle_start_s=9.0,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        db_link_lifetime_s=LINK_LIFETIME_S,
        reloads=True,
    ),
    Faults(
        "replacements that fail", replacements=True, failed_replacement_share=0.6, compliant_client_share=0.5
    ),
    Faults(
        "replacements stopped and woken",
        replacements=True,
        paused_replacement_share=0.7,
        compliant_client_share=0.5,
    ),
    Faults(
        "replaced processes told to end early",
        replacements=True,
        early_sigterm_share=0.6,
        compliant_client_share=0.5,
    ),
    Faults(
        "drains, replacements, configurations, clock",
        drains=True,
        replacements=True,
        failed_replacement_share=0.2,
        early_sigterm_share=0.3,
        reloads=True,
        kernel_link_lifetime_s=LINK_LIFETIME_S,
        injected=(("clock", -7, 2.0, 0, 0),),
    ),
    Faults("replacements, clock stepped", replacements=True, injected=(("clock", -7, 1.0, 0, 0),)),
)
