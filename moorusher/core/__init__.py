"""The request engine, independent of protocols: no Twisted, json, base64 or socket (tests/test_core_shape.py)."""
