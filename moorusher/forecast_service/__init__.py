"""The duty `forecast`. All members report their counts to its leader, which replicates them, forecasts and sends hints.

Does no I/O; `cluster_transport/forecast.py` connects it to the process.
"""
