"""Stand-ins for the peers of a runner on loopback sockets, with one module for each kind of server."""
