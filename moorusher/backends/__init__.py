"""Clients of the services that a runner uses: the kernel, downstream backends and the announce service."""
