"""The duty `forecast`: runners' counts come to its owner, which keeps them, forecasts by them and hints. Pure;
`cluster_transport/forecast.py` carries it out.
"""
