"""Registers replicated by quorums (CASPaxos), which record the owner of each piece of keyed work.

Pure: the package does no I/O and has no clock or random numbers of its own. `cluster_transport/replication.py` executes
its decisions, `docs/design/takeover.md` explains why they are safe. `node.py` composes the parts; `interfaces.py`
declares their interfaces.
"""
