"""2DFQ^E, two-dimensional fair queueing with estimated costs: selects the tenant whose request runs next.

The rules are those of the 2DFQ paper: section 4 (eligibility staggered by thread), section 5 (pessimistic
cost estimation, refresh charging) and Figure 7 (the algorithm). The paper's threads are called slots here.
Start tags, virtual time and L_max divided by the weight are all milliseconds of core time, because weights
are scaled to a mean of 1.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from moorusher.scheduling.interface import Tenant
from moorusher.scheduling.job import Job
from moorusher.scheduling.priority import outranks
from moorusher.scheduling.service_time import ClassState, ServiceTime
from moorusher.scheduling.timing import NEVER

MAX_COST_DECAY = 0.99  # alpha of section 5: factor by which the largest known cost decays at each completion
MIN_WEIGHT = 0.01  # share of the mean weight; keeps tenants whose share is 0 from starvation
DEFAULT_WEIGHT = 1.0  # weight of a caller whose requests name no tenant
SERVICE_RATE_LEARNING_RATE = 0.5  # weight of the newest window in the rate of the virtual clock
ACTIVE_WEIGHT_EPSILON = 1e-9  # a sum of active weights up to this is a rounding error and counts as 0


class TenantQueue:
    """Queue of one tenant, or of one caller if requests name no tenant. Compared by identity.

    Attributes:
        weight: phi in the paper.
        start_tag: S_f in the paper: virtual start time of the tenant's next request, in ms.
        active: Whether `weight` is part of `FairQueue.active_weight`.
        waiting: Queued jobs, ordered by class priority and then by age.
        max_cost_ratios: L_max for each class, as a multiple of the mean cost of all runs. It is relative,
            because a slow machine increases the mean but not the ratios.
        arrivals: Number of requests considered for admission in this window.
        arrivals_per_window: Running mean of `arrivals`. See `quotas`.
        over_quota: Whether the tenant's demand clearly exceeds its quota.
    """

    __slots__ = (
        "active",
        "arrivals",
        "arrivals_per_window",
        "max_cost_ratios",
        "over_quota",
        "start_tag",
        "waiting",
        "weight",
    )

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.start_tag = 0.0
        self.active = False
        self.waiting: deque[Job] = deque()
        self.max_cost_ratios: dict[ClassState, float] = {}
        self.arrivals = 0
        self.arrivals_per_window = 0.0
        self.over_quota = False

    def count_ahead(self, job: Job) -> int:
        """Return the number of queued jobs that would start before `job`: those that it does not outrank."""
        request_class = job.request_class
        return sum(not outranks(request_class, other.request_class) for other in self.waiting)


def scaled_weights(tenants: Sequence[Tenant]) -> list[float]:
    """Return the tenants' weights, scaled to a mean of 1."""
    total = sum(tenant.quota_share for tenant in tenants) or 1.0
    return [max(tenant.quota_share * len(tenants) / total, MIN_WEIGHT) for tenant in tenants]


class FairQueue:
    """The queued requests of all tenants, and the virtual clock that orders them.

    Attributes:
        tenants: Queues by tenant number. Negative numbers are callers and removed tenants.
        waiting: Number of jobs in all queues.
        virtual_time: v(t) in the paper, in ms. Monotonic.
        eligibility_lead: Largest lag of the virtual clock behind the smallest start tag, observed when no
            tenant was eligible, in ms. It is added to the clock in the eligibility check, and subtracted from
            the clock's upper bound.
        active_weight: Sum of the weights of active tenants.
        service_rate: Core time used per unit of time, a running mean over windows.
        work_ms: Core time of the runs that ended in this window.
    """

    __slots__ = (
        "_service_time",
        "active_weight",
        "eligibility_lead",
        "service_rate",
        "tenants",
        "virtual_time",
        "waiting",
        "work_ms",
    )

    def __init__(self, tenants: Sequence[Tenant], cores: int, service_time: ServiceTime) -> None:
        self._service_time = service_time
        self.tenants = {i: TenantQueue(weight) for i, weight in enumerate(scaled_weights(tenants))}
        self.waiting = 0
        self.virtual_time = 0.0
        self.eligibility_lead = 0.0
        self.active_weight = 0.0
        self.service_rate = float(cores)
        self.work_ms = 0.0

    def advance(self, elapsed_ms: float) -> None:
        """Advance the virtual clock, at most to the largest start tag minus `eligibility_lead`.

        The clock's rate is an estimate. If the clock passed all start tags, every tenant would be eligible on
        every slot, and the stagger that keeps the high slots for small requests would be lost.
        """
        if self.active_weight <= ACTIVE_WEIGHT_EPSILON:
            return
        virtual_time = self.virtual_time
        start_tags = [tenant.start_tag for tenant in self.tenants.values() if tenant.active]
        max_start_tag = max(start_tags) if start_tags else virtual_time
        next_time = virtual_time + elapsed_ms * self.service_rate / self.active_weight
        self.virtual_time = max(virtual_time, min(max_start_tag - self.eligibility_lead, next_time))

    def max_cost_ms(self, job: Job) -> float:
        """Return L_max, the pessimistic cost of section 5, for the job's tenant and class, in ms.

        If the pair has no completed run, this is the caller's hint. Without a hint, it is the largest known
        cost of any pair, or the mean cost if no cost is known.
        """
        ratio = job.tenant.max_cost_ratios.get(job.class_state)
        if ratio is None:
            if job.cost_hint_ms:
                return job.cost_hint_ms
            known = (known for tenant in self.tenants.values() for known in tenant.max_cost_ratios.values())
            ratio = max(known, default=1.0)
        return ratio * self._service_time.mean_cost_ms

    def enqueue(self, job: Job) -> None:
        """Queue a job. An idle tenant starts at the virtual time, so that it gains no credit while idle."""
        tenant = job.tenant
        if not tenant.active:
            tenant.active = True
            tenant.start_tag = max(tenant.start_tag, self.virtual_time)
            self.active_weight += tenant.weight
        tenant.waiting.insert(tenant.count_ahead(job), job)
        self.waiting += 1

    def remove(self, job: Job) -> bool:
        """Remove a job from its queue without a run, and return whether it was queued."""
        if job not in job.tenant.waiting:
            return False
        job.tenant.waiting.remove(job)
        self.waiting -= 1
        return True

    def pick(self, slot: int, slot_count: int) -> TenantQueue | None:
        """Return the tenant with the smallest finish tag among those eligible on a slot (section 4), if any.

        On slot i of n, a request is eligible earlier by i/n of its cost. The low slots thus take the large
        requests, and the high slots remain for small ones.
        """
        best: TenantQueue | None = None
        best_tag = NEVER
        eligibility_time = self.virtual_time + self.eligibility_lead
        for tenant in self.tenants.values():
            if tenant.waiting:
                cost = self.max_cost_ms(tenant.waiting[0]) / tenant.weight
                finish_tag = tenant.start_tag + cost
                if finish_tag < best_tag and tenant.start_tag - slot / slot_count * cost < eligibility_time:
                    best = tenant
                    best_tag = finish_tag
        return best

    def pick_ineligible(self) -> TenantQueue | None:
        """Return the tenant with the smallest start tag, for a slot that would otherwise remain free.

        If no tenant is eligible, the virtual clock lags behind the smallest start tag. The largest lag is
        recorded in `eligibility_lead`.
        """
        best: TenantQueue | None = None
        best_tag = NEVER
        for tenant in self.tenants.values():
            if tenant.waiting and tenant.start_tag < best_tag:
                best = tenant
                best_tag = tenant.start_tag
        if best is not None:
            self.eligibility_lead = max(self.eligibility_lead, best_tag - self.virtual_time)
        return best

    def charge_start(self, job: Job) -> None:
        """Remove a started job from its queue and charge its tenant L_max (Figure 7)."""
        tenant = job.tenant
        tenant.waiting.popleft()
        self.waiting -= 1
        job.prepaid_ms = self.max_cost_ms(job)
        tenant.start_tag += job.prepaid_ms / tenant.weight

    def charge_use(self, job: Job, service_ms: float) -> None:
        """Charge core time used since the last charge, first against the prepaid time (section 5).

        The rest increases the start tag (refresh charging).
        """
        use_ms = service_ms - job.charged_until_ms
        job.charged_until_ms = service_ms
        job.tenant.start_tag += max(0.0, use_ms - job.prepaid_ms) / job.tenant.weight
        job.used_ms += use_ms
        job.prepaid_ms = max(0.0, job.prepaid_ms - use_ms)

    def refund(self, job: Job) -> None:
        """Refund the unused prepaid core time at the end of a run."""
        job.tenant.start_tag -= job.prepaid_ms / job.tenant.weight
        self.work_ms += job.used_ms

    def record_cost(self, job: Job) -> None:
        """Set L_max to the larger of a completed run's cost and the decayed former maximum (section 5)."""
        ratios = job.tenant.max_cost_ratios
        decayed = MAX_COST_DECAY * ratios.get(job.class_state, 0.0)
        ratios[job.class_state] = max(decayed, job.used_ms / self._service_time.mean_cost_ms)

    def deactivate_if_empty(self, tenant: TenantQueue) -> None:
        """Remove a tenant from the active set if its queue is empty. Called when one of its requests ends."""
        if tenant.active and not tenant.waiting:
            tenant.active = False
            self.active_weight = max(0.0, self.active_weight - tenant.weight)

    def update_service_rate(self, window_ms: float) -> None:
        """Update the rate of the virtual clock from the work done in a window that has ended."""
        if self.work_ms:
            self.service_rate += SERVICE_RATE_LEARNING_RATE * (self.work_ms / window_ms - self.service_rate)
        self.work_ms = 0.0

    def remove_idle(self, tenant_count: int) -> None:
        """Remove the queues of idle callers and removed tenants whose start tag has passed.

        There may be thousands of callers. A new queue is equivalent to the removed one.
        """
        self.tenants = {
            number: tenant
            for number, tenant in self.tenants.items()
            if 0 <= number < tenant_count or tenant.active or tenant.start_tag > self.virtual_time
        }
