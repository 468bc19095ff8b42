"""Leader election for the duties of a fleet, with fencing of former leaders.

A duty is a task of the whole fleet that one member does at a time: its leader, which holds the lease of the duty for
one term. The settings, the administration API and the command line call it a duty, and so does this package. Pure
logic without I/O: `cluster_transport/leadership.py` connects it to sockets and disks; `docs/design/duties.md` gives
the reasons.

| module | job |
| --- | --- |
| `lease_record`, `lease_transitions` | the value of a duty's register, and every change that may be made to it |
| `election`, `candidates` | which member is offered a duty that needs a leader |
| `held_leases`, `lease_holder` | the leader's side: accepts offers, holds one lease for one term, releases it |
| `effects`, `effect_executor`, `intent_resolution`, `fencing_token` | what a leader does outside, and what fences it |
| `state_replication`, `chunks`, `journal` | the state of a duty among its replicas |
| `directory` | creates, reads and removes duties from any member |
| `participant` | composes one member's part |
"""
