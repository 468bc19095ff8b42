"""Golden files of everything that old and new processes, stored data and other programs must go on understanding."""
