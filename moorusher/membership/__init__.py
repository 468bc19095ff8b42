"""The members of a cluster, the failure detector, and the placement of replicas. Performs no I/O."""
