"""Publication of customers' routing rules as revisions, and their distribution to all runners.

`publisher`: the leader of a customer's lease publishes revisions one at a time. `dissemination`: a new revision is
broadcast over a tree of members. `anti_entropy`: pairs of members compare digests and fetch revisions that a broadcast
missed. `replica`: connects these parts at one member. This package does no I/O, which is in
`cluster_transport/config_distribution.py`. `docs/design/namespaces.md` gives the reasons for this design.
"""
