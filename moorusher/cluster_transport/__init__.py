"""I/O between the processes of one runner, and between the runners of a cluster. The decisions are made in packages
that do no I/O."""
