"""What this runner is, for balancers: observations in, a standing out.

No I/O, no clock and no randomness of its own (tests/test_core_shape.py): times are whole microseconds, passed in.
docs/design/standing.md has the ways that were weighed.
"""
