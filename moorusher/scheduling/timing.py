"""Times that several rules share, in milliseconds of the runner's clock."""

from __future__ import annotations

NEVER = float("inf")  # a time that does not come, or a limit that does not bind

# Interval at which use is charged and deadlines are checked, while a request is outstanding.
TICK_MS = 25.0

# Interval at which the slot count, quotas, reserves and signals are worked out anew.
WINDOW_MS = 500.0
