"""Stand-ins for what a runner speaks with, on loopback sockets: one module for each kind of server."""
