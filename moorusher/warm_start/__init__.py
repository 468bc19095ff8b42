"""Warm start: a runner starts with what earlier ones have learnt about its endpoints. Pure logic without I/O.

`learned_state` captures the state, `snapshot` encodes it, `merge` turns the states of several donors into priors, and
`verification` drops the priors that this runner's calls contradict. `storage/warm_start.py` stores the snapshot on
disk. docs/design/warm-start.md discusses the alternatives.
"""
