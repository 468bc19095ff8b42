"""Adapter for the simulator: serves many scheduler instances over the simulator's wire format."""
