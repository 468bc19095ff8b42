"""Maintenance of machines: who may be taken out of service, when, and in which order. Pure logic without I/O.

The members settle the order among themselves: one schedule for the whole fleet is the value of one register, which a
majority of its replicas accepts. The settings, the administration API and the command line call this `outage`.

| module | job |
| --- | --- |
| `schedule` | the schedule: requests, slots that were granted, what is finished |
| `transitions`, `operator_changes`, `slot_changes` | every change of the schedule, as a function of the value found |
| `disruption_budget` | whether the fleet can do without a machine now, and why not |
| `queue_order`, `next_step`, `start_estimate` | who goes first, which slots are granted next, when others may go |
| `planner` | which replica writes the next step |
| `local_machine`, `machine_controller` | what a machine does about its own slot |
| `waiters` | callers that wait until a machine may be worked on |
| `schedule_replica`, `coordinator` | one member's part in all of that |
"""
