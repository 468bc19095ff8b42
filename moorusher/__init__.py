"""moorusher: a request runner for many tenants, whose scheduling decisions are made by `moorusher.scheduling`."""

__version__ = "0.2.0"
