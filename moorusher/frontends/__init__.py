"""Listeners for clients, load balancers and operators: framing only, with a module for each protocol."""
