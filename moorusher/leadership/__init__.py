"""Work that is done for the fleet as a whole, by one owner at a time: who has it, and what it may do while it has it.

Pure: no I/O, no clock, no randomness of its own. `cluster_transport/leadership.py` carries it out;
`docs/design/duties.md` says why.
"""
