"""What a runner talks to while it works: the kernel, what lies below, the announce service."""
