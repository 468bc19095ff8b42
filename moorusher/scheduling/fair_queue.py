"""Which tenant's request runs next: 2DFQ^E, two-dimensional fair queueing with estimated costs.

The rules are those of the 2DFQ paper: section 4 (eligibility staggered by thread), section 5 (pessimistic
cost estimation, refresh charging) and Figure 7 (the algorithm). A slot here is a thread there. Start tags,
virtual time and L_max over the weight share one unit, milliseconds of core time, because weights are scaled
to a mean of 1.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from moorusher.scheduling.interface import Tenant
from moorusher.scheduling.job import Job
from moorusher.scheduling.priority import outranks
from moorusher.scheduling.service_time import ClassState, ServiceTime
from moorusher.scheduling.timing import NEVER

MAX_COST_DECAY = 0.99  # alpha of section 5: what the largest known cost keeps at each completion
MIN_WEIGHT = 0.01  # of the mean weight; a tenant whose share is 0 is still served
DEFAULT_WEIGHT = 1.0  # of a caller that stands for a tenant
SERVICE_RATE_LEARNING_RATE = 0.5  # weight of the newest window in the rate of the virtual clock
NO_ACTIVE_WEIGHT = 1e-9  # rounding errors of the sum of active weights stay below it


class TenantQueue:
    """One tenant, or one caller where requests name no tenant. Compared by identity.

    Attributes:
        weight: phi of the paper.
        start_tag: S_f of the paper, in ms: virtual time at which the next request of the tenant would start.
        active: whether `weight` counts in the rate of the virtual clock.
        waiting: queued jobs, those of outranking classes first, each class oldest first.
        max_cost_ratios: L_max for each class, as a multiple of the mean cost of all runs. Relative, because
            a slow machine lifts the mean and leaves the ratios as they are.
        arrivals: requests of this window that were considered for admission.
        arrivals_per_window: running mean of `arrivals`. See `quotas`.
        over_quota: whether the tenant asks for clearly more than its quota.
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
        """How many queued jobs would start before `job`: all but those that it outranks."""
        request_class = job.request_class
        return sum(not outranks(request_class, other.request_class) for other in self.waiting)


def scaled_weights(tenants: Sequence[Tenant]) -> list[float]:
    """The tenants' weights, scaled to a mean of 1."""
    total = sum(tenant.quota_share for tenant in tenants) or 1.0
    return [max(tenant.quota_share * len(tenants) / total, MIN_WEIGHT) for tenant in tenants]


class FairQueue:
    """The queued requests of all tenants, and the virtual clock that orders them.

    Attributes:
        tenants: queues by number; negative numbers stand for callers and for tenants that are gone.
        waiting: jobs in all queues.
        virtual_time: v(t) of the paper, in ms; never steps back.
        eligibility_lead: in ms, what the virtual clock lagged behind when nobody was eligible. It is added
            to the clock for eligibility alone, and never shrinks.
        active_weight: sum of the weights of active tenants.
        service_rate: cores' worth of work that is done at present, a running mean over windows.
        work_ms: core time of the runs that ended in this window.
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
        """Move the virtual clock on, but never past every start tag.

        The rate is an estimate: a clock that ran ahead of all tags would make everyone eligible everywhere,
        and end the stagger by which small requests keep the high slots.
        """
        if self.active_weight <= NO_ACTIVE_WEIGHT:
            return
        virtual_time = self.virtual_time
        tags = [tenant.start_tag for tenant in self.tenants.values() if tenant.active]
        front = max(tags) if tags else virtual_time
        next_time = virtual_time + elapsed_ms * self.service_rate / self.active_weight
        self.virtual_time = max(virtual_time, min(front - self.eligibility_lead, next_time))

    def max_cost_ms(self, job: Job) -> float:
        """L_max: the pessimistic cost of section 5, for the job's tenant and class.

        Where the pair has not run yet: the caller's hint, else the largest cost known of any pair, else the
        mean.
        """
        ratio = job.tenant.max_cost_ratios.get(job.class_state)
        if ratio is None:
            if job.cost_hint_ms:
                return job.cost_hint_ms
            known = (known for tenant in self.tenants.values() for known in tenant.max_cost_ratios.values())
            ratio = max(known, default=1.0)
        return ratio * self._service_time.mean_cost_ms

    def enqueue(self, job: Job) -> None:
        """Queue a job. A tenant that was idle starts at the virtual time: it gains no credit by idling."""
        tenant = job.tenant
        if not tenant.active:
            tenant.active = True
            tenant.start_tag = max(tenant.start_tag, self.virtual_time)
            self.active_weight += tenant.weight
        tenant.waiting.insert(tenant.count_ahead(job), job)
        self.waiting += 1

    def remove(self, job: Job) -> bool:
        """Take a job out of its queue without a run; whether it was queued."""
        if job not in job.tenant.waiting:
            return False
        job.tenant.waiting.remove(job)
        self.waiting -= 1
        return True

    def pick(self, slot: int, slot_count: int) -> TenantQueue | None:
        """The tenant with the smallest finish tag among those that are eligible on a slot (section 4).

        Slot i of n forgives i/n of a request's cost, so that small requests are eligible on the high slots
        first and large ones gather on the low slots.
        """
        best: TenantQueue | None = None
        best_tag = NEVER
        clock = self.virtual_time + self.eligibility_lead
        for tenant in self.tenants.values():
            if tenant.waiting:
                cost = self.max_cost_ms(tenant.waiting[0]) / tenant.weight
                finish_tag = tenant.start_tag + cost
                if finish_tag < best_tag and tenant.start_tag - slot / slot_count * cost < clock:
                    best = tenant
                    best_tag = finish_tag
        return best

    def pick_ineligible(self) -> TenantQueue | None:
        """The tenant with the lowest start tag, for a slot that would stay free otherwise.

        That nobody is eligible means that the clock lags. The lag is kept in `eligibility_lead`.
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
        """Take a started job out of its queue and charge its tenant L_max (Figure 7)."""
        tenant = job.tenant
        tenant.waiting.popleft()
        self.waiting -= 1
        job.prepaid_ms = self.max_cost_ms(job)
        tenant.start_tag += job.prepaid_ms / tenant.weight

    def charge_use(self, job: Job, service_ms: float) -> None:
        """Refresh charging (section 5): new use spends what is prepaid first, then moves the start tag."""
        use_ms = service_ms - job.charged_until_ms
        job.charged_until_ms = service_ms
        job.tenant.start_tag += max(0.0, use_ms - job.prepaid_ms) / job.tenant.weight
        job.used_ms += use_ms
        job.prepaid_ms = max(0.0, job.prepaid_ms - use_ms)

    def refund(self, job: Job) -> None:
        """At the end of a run, refund what was prepaid and not used."""
        job.tenant.start_tag -= job.prepaid_ms / job.tenant.weight
        self.work_ms += job.used_ms

    def record_cost(self, job: Job) -> None:
        """Learn L_max from a completed run: the larger of its cost and the decayed maximum (section 5)."""
        ratios = job.tenant.max_cost_ratios
        decayed = MAX_COST_DECAY * ratios.get(job.class_state, 0.0)
        ratios[job.class_state] = max(decayed, job.used_ms / self._service_time.mean_cost_ms)

    def deactivate_if_empty(self, tenant: TenantQueue) -> None:
        """A tenant leaves the active set if its queue is empty when one of its requests ends."""
        if tenant.active and not tenant.waiting:
            tenant.active = False
            self.active_weight = max(0.0, self.active_weight - tenant.weight)

    def update_service_rate(self, window_ms: float) -> None:
        """At the end of a window, learn the rate of the virtual clock from the work done."""
        if self.work_ms:
            self.service_rate += SERVICE_RATE_LEARNING_RATE * (self.work_ms / window_ms - self.service_rate)
        self.work_ms = 0.0

    def forget_idle(self, tenant_count: int) -> None:
        """Drop idle callers' queues that owe nothing: there may be thousands, and a new one is the same."""
        self.tenants = {
            number: tenant
            for number, tenant in self.tenants.items()
            if 0 <= number < tenant_count or tenant.active or tenant.start_tag > self.virtual_time
        }
