"""Routing over a tier of servers below: which one gets a call, which is left out, what is tried again.

No I/O, no clock and no randomness of its own: times are whole microseconds and random numbers are passed in.
docs/design/tier.md has the ways that were weighed.
"""
