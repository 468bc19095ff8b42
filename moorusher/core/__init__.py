"""The runner without any wire: it imports no Twisted, json, base64 or socket (tests/test_core_shape.py)."""
