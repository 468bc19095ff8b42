"""Hot restart: a new process of a runner takes over from the running one without an interruption of service.

This package decides what each process does; `cluster_transport/hot_restart/` and `server/` carry it out. See
docs/design/daily.md.
"""
