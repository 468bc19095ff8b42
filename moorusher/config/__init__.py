"""Configuration: read, checked and given defaults in one place. An error names the faulty key."""
