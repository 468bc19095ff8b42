"""Files on a runner's own disk: journals, snapshots and the store of revisions."""
