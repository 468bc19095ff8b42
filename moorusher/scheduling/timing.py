"""Times that several rules use, in milliseconds of the runner's clock."""

from __future__ import annotations

NEVER = float("inf")  # no such time, or no limit

# Interval at which core time is charged and deadlines are checked while requests are outstanding.
TICK_MS = 25.0

# Interval at which the number of slots, quotas, class credits and signals are updated.
WINDOW_MS = 500.0
