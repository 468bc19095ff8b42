"""Hot restart: one process of a runner takes over from another while both serve.

Here is decided what each process does when. It is carried out in `cluster_transport/hot_restart/` and `server/`;
docs/design/daily.md says why it is so.
"""
