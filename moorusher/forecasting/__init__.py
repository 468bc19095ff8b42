"""Demand per route, a week ahead: counted without loss or doubling, forecast at three levels, turned into hints. Pure.

`docs/design/forecast.md` says why it is so. What needs numpy is imported by the owner of the duty alone.
"""
