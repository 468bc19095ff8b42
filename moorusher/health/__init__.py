"""The health of this runner, as load balancers are told it: observations in, a state and a weight out.

No I/O, no clock and no randomness of its own (tests/test_core_shape.py): times are whole microseconds, passed in.

- `observation`: what is seen of the runner at one moment. `staleness`: how far old observations can be believed.
- `congestion`: how many runs are on the cores, and the forecast of it. `throughput`: how fast runs end.
- `states`: the states and their transitions. `weight`: the share of traffic that balancers are asked to send.
- `tracker`: composes these to a report. `formatting`: the report in the protocols of balancers.

docs/design/standing.md has the designs that were weighed.
"""
