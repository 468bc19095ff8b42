"""Model checking: every interleaving of small cases, and seeds in virtual time. For tests and the laboratory alone."""
