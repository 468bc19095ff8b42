"""What a runner keeps on its own disk: journals, snapshots and the store of revisions."""
