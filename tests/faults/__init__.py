"""Days with faults: real runner processes, relays on their links, faults inside them, and an auditor apart."""
