"""Demand per route: counts from all runners, a forecast of the next week, and scaling hints. Does no I/O.

`docs/design/forecast.md` explains the design. Only the member that leads the forecast imports the modules that need
numpy.
"""
