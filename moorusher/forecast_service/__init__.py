"""The duty `forecast`: all members report their counts to its leader, which replicates them, forecasts and sends hints.

Pure; `cluster_transport/forecast.py` connects it to the process.
"""
