"""The demand of each route: counted by all runners, forecast for the next week, and turned into scaling hints. Pure.

`docs/design/forecast.md` gives the reasons. Modules that need numpy are imported only by the member that leads the
forecast.
"""
