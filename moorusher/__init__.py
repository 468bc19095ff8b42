"""moorusher: a request runner for many tenants, round the decisions of `peattack`."""

__version__ = "0.2.0"
