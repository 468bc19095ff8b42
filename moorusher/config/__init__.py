"""Configuration: reading, validation and defaults. Every error names the invalid key."""
