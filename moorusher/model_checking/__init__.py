"""Model checking of small cases and seeded simulations in virtual time. Used only by tests and the laboratory."""
