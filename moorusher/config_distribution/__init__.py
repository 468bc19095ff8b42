"""How a customer's revisions come to be, and to all runners: published by the owner of the customer's duty, told down a
tree, compared by pairs. Pure; `cluster_transport/config_distribution.py` carries it out.
`docs/design/namespaces.md` says why it is so.
"""
