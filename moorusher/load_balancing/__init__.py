"""Client-side load balancing: which endpoint gets a call, which is ejected, and what is retried or hedged.

Pure: no I/O, no clock and no randomness of its own; times are passed in as whole microseconds, random numbers as a
function. One decision a module:

| question | module |
| --- | --- |
| which endpoint gets a call? | `picker`, over the lists of `endpoint_set` |
| how many calls may be in flight at an endpoint? | `concurrency_limit` |
| how much may a new or returning endpoint get? | `slow_start` |
| when is an endpoint an outlier, and for how long? | `outlier_detection` |
| may it be ejected now, and when does it return? | `ejection` |
| is a failed attempt retried, and when? | `retry`, from the `retry_budget` |
| is a second copy of a call sent? | `hedging`, from the same budget |
| in which order do calls wait? | `call_queue` |

`load_balancer` composes them as a state machine: the events of `messages` in, its instructions out.
docs/design/tier.md has the alternatives that were weighed.
"""
