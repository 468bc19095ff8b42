"""Health of this runner for load balancers: turns observations into a state and a load balancing weight.

Performs no I/O and reads no clock or random source (tests/test_core_shape.py): the caller passes times as whole
microseconds.

- `observation`: measurements of the runner at one moment. `staleness`: trust in old measurements.
- `congestion`: forecast of the runs on the cores. `throughput`: rate at which runs end.
- `states`: health states and their transitions. `weight`: share of traffic that load balancers should send.
- `tracker`: composes these into a report. `formatting`: the report in the protocols of load balancers.

docs/design/standing.md describes the designs that were considered.
"""
