"""Warm start: what a runner has learnt of its endpoints is kept, and spares the next one to learn it anew. Pure.

`learned_state` is the value, `snapshot` its bytes, `merge` turns what several donors have learnt into priors, and
`verification` drops priors that own calls contradict. `storage/warm_start.py` keeps the snapshot on disk.
docs/design/warm-start.md has the alternatives that were weighed.
"""
