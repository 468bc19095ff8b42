"""Leader election for the duties of a fleet, with fencing of former leaders.

A duty is a task of the whole fleet that one member does at a time: its leader, which holds the lease of the duty for
one term. The settings, the administration API and the command line call it a duty, and so does this package. Pure
logic without I/O: `cluster_transport/leadership.py` connects it to sockets and disks; `docs/design/duties.md` gives
the reasons.

| module | job |
| --- | --- |
| `lease_record` | the value of a duty's register |
| `lease_transitions`, `holder_changes` | every change that may be made to it, by anybody and by the leader |
| `election`, `candidates` | which member is offered a duty that needs a leader |
| `held_leases` | the leases of one member: acquired, given up, and their workers |
| `lease_holder`, `lease_register`, `serial_queue` | one lease for one term, its register, and its steps in order |
| `effects`, `effect_executor`, `fencing_token` | what a leader may do, how it is carried out, and what fences it |
| `intent_resolution` | effects at receivers that can't compare tokens, and those that were left open |
| `state_replication`, `state_fetching`, `chunks`, `journal` | the state of a duty among its replicas |
| `directory` | creates, reads and removes duties from any member |
| `heartbeat` | the one duty that is built in |
| `participant`, `services`, `worker`, `lease_interface` | one member's part, composed; the interfaces of its parts |
"""
