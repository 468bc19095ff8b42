"""One runner process: assembly of its parts, start, configuration reload, draining and shutdown."""
