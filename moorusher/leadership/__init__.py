"""Leader election for the duties of a fleet, with fencing of former leaders.

A duty is a job of the whole fleet that one member performs at a time. That member is the leader and holds the
lease of the duty for one term. The settings, the administration API and the command line also use the term "duty".
The package is pure logic without I/O: `cluster_transport/leadership.py` connects it to sockets and disks, and
`docs/design/duties.md` explains the design.

| module | purpose |
| --- | --- |
| `lease_record` | the value of a duty's register |
| `lease_transitions`, `holder_changes` | all changes of that value: by any member or operator, and by the leader |
| `election`, `candidates` | selects the member to which a duty without a leader is offered |
| `held_leases` | acquires and releases the leases of one member, starts and stops their workers |
| `lease_holder`, `lease_register`, `serial_queue` | one lease for one term, its register, and its queue of steps |
| `effects`, `effect_executor`, `fencing_token` | the effects that a leader can have, their execution and fencing |
| `intent_resolution` | effects at receivers that can't compare tokens, and recovery of intents with no known outcome |
| `state_replication`, `state_fetching`, `chunks`, `journal` | the state of a duty at its replicas |
| `directory` | creates, reads and removes duties from any member |
| `heartbeat` | the one built-in kind of duty |
| `participant`, `services`, `worker`, `lease_interface` | composes the parts in one member; their interfaces |
"""
