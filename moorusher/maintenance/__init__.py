"""Planned maintenance: which machines may be taken out of service, when, and in which order. Pure logic without I/O.

The members agree on the order without a central server: one schedule for the whole fleet is the value of one replicated
register, and each change needs a majority of its replicas. The settings, the administration API and the command line
call planned maintenance `outage`.

| module | purpose |
| --- | --- |
| `schedule` | the schedule: requests, granted slots, history |
| `transitions`, `operator_changes`, `slot_changes` | every change of the schedule, as a function of its current value |
| `disruption_budget` | whether the fleet can spare a machine now, and if not, why |
| `queue_order`, `next_step`, `start_estimate` | order of the queue, slots to grant next, estimated starts |
| `planner` | which replica writes the next step |
| `local_machine`, `machine_controller` | how a machine handles its own slot |
| `waiters` | callers that wait until a machine may be worked on |
| `schedule_replica`, `coordinator` | one member's copy of the schedule, and its whole part in maintenance |
"""
