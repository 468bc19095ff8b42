"""Where requests come in: framing only, one module for each protocol."""
