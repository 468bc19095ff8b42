"""moorusher: a request runner for many tenants, round the decisions of `moorusher.scheduling`."""

__version__ = "0.2.0"
