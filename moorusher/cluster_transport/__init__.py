"""I/O between the processes of one runner and between the runners of a cluster: carries out what pure packages
decide."""
