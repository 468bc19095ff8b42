"""The simulator's adapter: many instances of the scheduler behind the simulator's wire format."""
