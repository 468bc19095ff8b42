"""Formats on the wire that both a frontend and a backend use."""
