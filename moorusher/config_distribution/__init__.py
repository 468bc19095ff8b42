"""How revisions of a customer's routing rules are published and distributed to all runners.

`publisher`: the leader of a customer's lease publishes one revision after the other. `dissemination`: a new revision is
broadcast down a tree. `anti_entropy`: pairs of members compare digests and repair what a broadcast missed. `replica`:
one member's parts put together. Pure: `cluster_transport/config_distribution.py` does the I/O;
`docs/design/namespaces.md` gives the reasons.
"""
