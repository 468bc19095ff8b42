"""Connects the request engine to the health state, for health checks, the administration API and peers."""
