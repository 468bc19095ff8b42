"""Joins the request engine to the health state, for everything that reports it: health checks, pages, peers."""
