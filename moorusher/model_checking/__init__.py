"""Looks through every course that a small case can take. For tests and the laboratory, never for what serves."""
