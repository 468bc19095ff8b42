"""One process of a runner takes over from another while both serve: what each is to do when. Pure; it is carried out
in `cluster_transport/hot_restart.py` and `server/server.py`. docs/design/daily.md says why it is so."""
