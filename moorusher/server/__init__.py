"""One runner process: its parts put together, started, reconfigured, drained and ended."""
