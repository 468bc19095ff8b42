"""Registers replicated by quorums (CASPaxos), and the keyed work whose owners they name.

Pure: no I/O, no clock, no randomness of its own. `cluster_transport/replication.py` carries it out;
`docs/design/takeover.md` says why it is safe. `node.py` puts the parts together; `interfaces.py` has their contracts.
"""
