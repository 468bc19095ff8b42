"""Which runners of a cluster exist, which of them are alive, and which hold the replicas of a key. Pure: no I/O."""
