"""Client-side load balancing: endpoint selection, outlier ejection, retries and hedged requests.

Performs no I/O and reads no clock or random source: the caller passes times as whole microseconds and random numbers as
a function. Each module makes one decision:

| question | module |
| --- | --- |
| which endpoint gets a call? | `picker`, over the lists of `endpoint_set` |
| how many calls may be in flight at an endpoint? | `concurrency_limit` |
| what share of calls may a new or reinstated endpoint get? | `slow_start` |
| is an endpoint an outlier, and for how long is it ejected? | `outlier_detection` |
| may it be ejected now, and when is it reinstated? | `ejection` |
| is a failed attempt retried, and when? | `retry`, with a token of the `retry_budget` |
| is a second copy of a call sent? | `hedging`, with a token of the same budget |
| in which order are queued calls served? | `call_queue` |

`load_balancer` composes them as a state machine that takes events and returns instructions (both in `messages`).
docs/design/tier.md describes the alternatives that were considered.
"""
