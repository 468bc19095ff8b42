"""Runners that talk: who is there, what may have run, and who goes on with what another has left.

Pure: no I/O, no clock, no randomness of its own. `cluster_transport/replication.py` carries it out;
`docs/design/takeover.md` says why.
"""
