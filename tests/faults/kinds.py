"""The kinds of days that are played."""

from __future__ import annotations

from .day import Faults

LINK_S = 0.33  # in the incident's logs each kernel link was made anew three times a second


def failing(call: str, error: str, share: float = 1.0) -> tuple[str, str, float, float, float]:
    """For a second and a half, in the middle of the day."""
    return call, error, 3.0, 4.5, share


KINDS = (
    Faults("none"),
    Faults("links reset", kernel_life_s=LINK_S, db_life_s=LINK_S),
    Faults("links cut in the midst", kernel_cut_after=3_000, db_cut_after=700),
    Faults("links slow and reset", kernel_life_s=LINK_S, db_life_s=LINK_S, delay_s=0.02),
    Faults("configurations and links reset", kernel_life_s=LINK_S, db_life_s=LINK_S, reloads=True),
    Faults("stopped now and then", stopped_s=0.7, kernel_life_s=LINK_S),
    Faults("clock +5 s", inside=(("clock", 5, 3.0, 0, 0),)),
    Faults("clock -3600 s", inside=(("clock", -3600, 3.0, 0, 0),)),
    Faults("accept fails", inside=(failing("accept", "ECONNABORTED", 0.5), failing("accept", "ENFILE"))),
    Faults("accept has no buffers", inside=(failing("accept", "ENOBUFS"), failing("accept", "EMFILE", 0.5))),
    Faults("no sockets", db_life_s=LINK_S, kernel_life_s=LINK_S, inside=(failing("socket", "ENFILE"),)),
    Faults(
        "no addresses", db_life_s=LINK_S, kernel_life_s=LINK_S, inside=(failing("connect", "EADDRNOTAVAIL"),)
    ),
    Faults(
        "unreachable",
        db_life_s=LINK_S,
        kernel_life_s=LINK_S,
        inside=(failing("connect", "ENETUNREACH", 0.7),),
    ),
    Faults("short reads and writes", inside=(failing("read", "SHORT", 0.7), failing("write", "SHORT", 0.7))),
    Faults(
        "reads of links fail",
        inside=(failing("link read", "ETIMEDOUT", 0.02), failing("link read", "EHOSTUNREACH", 0.02)),
    ),
    Faults(
        "writes of links fail",
        inside=(failing("link write", "ETIMEDOUT", 0.02), failing("link write", "EPIPE", 0.02)),
    ),
    Faults("waits are interrupted", inside=(failing("epoll", "EINTR", 0.5),)),
    Faults("restarts", restarts=True, kernel_life_s=LINK_S, db_life_s=LINK_S, obeys=0.5),
    Faults("replacements", replacements=True, obeys=0.5),
    Faults("replacements, links reset", replacements=True, kernel_life_s=LINK_S, db_life_s=LINK_S),
    Faults("replacements, configurations", replacements=True, reloads=True, kernel_life_s=LINK_S),
    Faults("crowd of idle clients", crowd=300, sockets=100),
    Faults("crowd and links reset", crowd=300, sockets=100, kernel_life_s=LINK_S, db_life_s=LINK_S),
    Faults("crowd and restarts", crowd=200, sockets=100, restarts=True, obeys=0.5),
    Faults("spoilt replies and notices twice", spoilt=0.2, twice=0.2, db_life_s=LINK_S, kernel_life_s=LINK_S),
    Faults("clients walk away", walks_away=0.3, kernel_life_s=LINK_S),
    Faults("trouble after a quiet time", quiet_s=9.0, kernel_life_s=LINK_S, db_life_s=LINK_S, reloads=True),
    Faults("replacements that fail", replacements=True, failed_replacements=0.6, obeys=0.5),
    Faults("replacements stopped and woken", replacements=True, woken_replacements=0.7, obeys=0.5),
    Faults("replaced processes told to end early", replacements=True, told_early=0.6, obeys=0.5),
    Faults(
        "drains, replacements, configurations, clock",
        drains=True,
        replacements=True,
        failed_replacements=0.2,
        told_early=0.3,
        reloads=True,
        kernel_life_s=LINK_S,
        inside=(("clock", -7, 2.0, 0, 0),),
    ),
    Faults("replacements, clock stepped", replacements=True, inside=(("clock", -7, 1.0, 0, 0),)),
)
