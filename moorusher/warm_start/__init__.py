"""What a runner has learnt of the servers below, as a value: made, kept, handed on, weighed, and given up.

No I/O, no clock and no randomness of its own. docs/design/warm-start.md has the ways that were weighed.
"""
