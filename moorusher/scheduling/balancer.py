"""The decisions of one server: what it takes, runs and turns away. Types: `scheduling/interface.py`.

The ordinary path is 2DFQ^E (2DFQ paper, sections 4 and 5, Figure 7). Work is counted in core milliseconds;
weights are scaled to a mean of 1, so start tags S_f, the virtual time v and L_max/phi_f share that unit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import Below, Effect, Halting, Outcome, SignalKind
from moorusher.scheduling.retry_policy import EVIDENCE_OF_OUTCOME, may_repeat

NEVER = float("inf")
ALPHA, LEARN = 0.99, 0.1  # decay of L_max at each completion; weight of a new sample in a running mean
TICK_MS = 25.0  # refresh charging, due times, late work; only while something is outstanding
WINDOW_MS = 500.0  # slot count, rate of the virtual clock, signals
BUSY = 0.8  # use of the cores under which more may run
MEMORY_FILL, CROWD_FILL = 0.97, 0.8  # shares of the memory and of the survivable crowd that are used
PATIENCE = 0.55  # of the spare time, in the hold: late refusals are no use elsewhere
RETRY_BUDGET = 0.2  # share of marked retries among arrivals up to which other servers seem to have room
TOLD = 32  # stated waits that are kept for each class; a quarter of them are shorter than the usual wait
RESERVE = 0.2  # weight of the newest window in the demand of a class or tenant
OVER, SELDOM = 1.25, 0.05  # times its share of what is asked that is past it; requests a window that are none
DENSER = 1.5  # times the worth from which a class goes before another
SPREAD, MOST_NEED = 0.5, 0.5  # mean deviations added to a usual run; of its aim: the longest it may need
LEAST_ROOM = 0.1  # of the slots that are left to a class, however much of more worth is asked
FIRST_COST = 0.2  # of the shortest aim: a cost before any is known
CALL_BURST, TIER_CALLS = 0.5, 4.0  # of a window's share of calls, at once; calls a core at a further tier
CALL_CUT, CALL_MORE, CALL_BACKOFF_MS = 0.2, 0.1, 50.0  # calls at once: less by, more by; wait times tries
CALL_ROOM, CALL_FILL = 2.0, 0.5  # times its usual length that a call needs; at most, of an idle budget's
CALL_PATIENCE, LAST_STRETCH = 0.7, 1.5  # usual stretches: wait for a call that is scarce; need after it
HOLD_PRESSED, HOLD_ROOMY = 0.25, 0.5  # of the shortest aim: wait that callers may cause after refusals; else
SAID_AGAIN, SHED_FADES = 0.05, 0.9  # change from which it is told anew; what a window leaves of refusals
SERVE_ON = 0.4  # of the time between the notice to leave and the stop
CALLERS_PER_CORE, SHORT_IDLE_MS = 16, 100.0  # connected callers a server can bear; idle time of surplus ones
HELD, RUNNING, WAITING, CALLING, SHARED = range(5)  # states of a job: WAITING and CALLING stand at a call


class _Flow:
    """A tenant: weight, start tag, queue, and L_max per class as a multiple of the mean cost."""

    def __init__(self, phi: float) -> None:
        self.phi, self.tag, self.active = phi, 0.0, False
        self.came, self.demand, self.over = 0, 0.0, False  # see `_shares`
        self.queue: deque[_Job] = deque()
        self.lmax: dict[_Kind, float] = {}


class _Kind:
    """What this server has measured of one class."""

    def __init__(self, cls: api.RequestClass, wall: float, windows: int = round(1 / RESERVE)) -> None:
        self.cls = cls
        self.wall, self.spread = wall, 0.0  # length of a run, and its mean deviation
        self.came, self.demand, self.credit, self.windows = 0, 0.0, NEVER, windows  # see `_reserve`
        self.told: deque[float] = deque(maxlen=TOLD)  # the waits that callers stated, from the arrival

    def ended(self, took: float, whole: bool) -> None:
        """A run that was stopped tells only that it would have been at least as long."""
        if whole or took > self.wall:
            self.spread += LEARN * (abs(took - self.wall) - self.spread)
            self.wall += LEARN * (took - self.wall)

    def need(self) -> float:
        """How long a run is likely to take: by the mean alone half of the last starts would be late. Never so
        much that nothing fresh is begun: after an outage nothing would tell that it is over (stuck)."""
        return min(self.wall + SPREAD * self.spread, MOST_NEED * self.cls.aim_ms)

    def redefined(self, cls: api.RequestClass) -> _Kind:
        """It has new figures: stated waits follow its deadline, the length of its runs does not."""
        if cls.deadline_ms != self.cls.deadline_ms:
            self.told.clear()
        self.cls = cls
        return self

    def age(self, told: float) -> float:
        """The least that a request has aged at its client: what its stated wait lacks of the usual one."""
        usual = sorted(self.told)[len(self.told) // 4]
        return max(0.0, usual - told)


def _denser(one: api.RequestClass, other: api.RequestClass) -> bool:
    return one.worth > DENSER * other.worth


class _Job:
    """A request that is owed an answer, or whose work still takes room."""

    def __init__(self, req: api.Request, flow: _Flow, kind: _Kind, server: Balancer) -> None:
        cls, now = req.cls or kind.cls, server.now
        self.req, self.flow, self.kind, self.cls = req, flow, kind, cls
        self.id, self.kb = req.id, req.memory_kb
        self.born = now - req.waited_ms
        self.due, age = max(now, self.born + cls.deadline_ms), 0.0
        # A hint or wait that is no number, or a hint of nothing, counts as not given.
        self.hint = req.cost_hint_ms if req.cost_hint_ms and 0 < req.cost_hint_ms < NEVER else 0.0
        ttl = NEVER if req.ttl_ms is None else req.ttl_ms
        if ttl < NEVER and (server.s.passes_deadline or ttl > 0):  # 0: nobody waits any more
            self.due = now + max(0.0, ttl)
            kind.told.append(ttl + req.waited_ms)
            age = kind.age(ttl + req.waited_ms)
        aim = cls.aim_ms + cls.aim_stretch * (self.hint or server.cost)
        self.aim = min(self.due, self.born - age + aim)
        self.state, self.slot, self.tries = HELD, -1, 0
        self.paid = self.used = self.mark = self.began = self.on_core = 0.0
        self.call_at = self.call_paid = self.asked_at = self.called_at = 0.0
        self.ran = self.answered = False


class Balancer:
    """One server's decisions. `open` once, then `step` for every batch of events."""

    def __init__(self, settings: api.Settings) -> None:
        s = self.s = settings
        self.now = self.started = self.window_at = 0.0
        self.out, self.callers = [], []  # type: list[api.Action], list[_Job]
        self.jobs: dict[int, _Job] = {}
        self.flows = {i: _Flow(phi) for i, phi in enumerate(self._phis(s))}
        self.v, self.lead, self.rate, self.phi_sum, self.work = 0.0, 0.0, float(s.cores), 0.0, 0.0
        self.service = 0.0  # core time of one running request since the start
        self.n, self.slots = s.cores, [None] * s.cores  # type: int, list[_Job | None]
        self.on_cores = self.in_run = self.queued = self.calling = 0
        self.cost = self.occupy = FIRST_COST * min(c.aim_ms for c in s.classes)
        self.kinds = [_Kind(c, self.cost) for c in s.classes]
        self.known, self.memory = False, s.memory_kb * MEMORY_FILL
        self.used_kb = self.call_ms = self.call_debt = 0.0
        self.entries: dict[int, float] = {}
        self.call_most = max(1.0, s.fair_calls) if s.below is Below.SHARED else TIER_CALLS * s.cores
        burst = CALL_BURST * s.fair_calls * s.call_window_ms
        self.call_budget = {Below.OFF: 0.0, Below.TIER: NEVER}.get(s.below, burst)
        self.drain_at = self.stop_at = self.serve_until = self.timer_due = NEVER
        self.sent_away, self.beside, self.asked, self.keep_open = False, api.Beside(), 0, s.idle_connection_ms
        self.shed, self.said = 0.0, -1.0  # refusals of the last windows; what callers were allowed last
        self.busy, self.full_ms, self.retries = 1.0, 0.0, 0.0

    @staticmethod
    def _phis(s: api.Settings) -> list[float]:
        total = sum(t.share for t in s.tenants) or 1.0
        return [max(t.share * len(s.tenants) / total, 0.01) for t in s.tenants]

    def open(self, now: float) -> list[api.Action]:
        self.now = self.started = self.window_at = now
        return [api.SetHealth(True, True)]  # a check that does real work would take a core from requests

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """What to do about these events, which all happen at `now`."""
        if now < self.now:
            raise ValueError(f"the clock steps back from {self.now} to {now}")
        self.out = []
        self._advance(now)
        for e in events:  # in their order: a run that ends right after its call was not given up at it
            if isinstance(e, api.RunEnded):
                self._ended(e)
            elif isinstance(e, api.CallEnded) and e.id in self.jobs:
                self._call_ended(self.jobs[e.id], e)
        self._sweep()  # pauses hold timers back: whatever comes first, what is overdue is answered first
        for e in events:
            if isinstance(e, api.Request):
                self._arrive(e)
            elif isinstance(e, api.Retune):
                self._retune(e)
            elif isinstance(e, api.Timer):
                told = dict(zip(self.s.gauges, e.gauges, strict=False))
                self.timer_due, self.busy = NEVER, told.get("cpu_busy", self.busy)
                if now - self.window_at >= WINDOW_MS:
                    self._window()
            elif isinstance(e, api.DrainNotice):
                self._drain(e)
            elif isinstance(e, api.Beside):
                self.beside = e
            elif isinstance(e, api.CallerGone) and e.id in self.jobs:
                self._close(self.jobs[e.id])
            elif isinstance(e, api.CallNeeded) and e.id in self.jobs:
                self._call_needed(self.jobs[e.id])
        if now >= self.serve_until:
            self._send_away()
        self._make_calls()
        self._dispatch()
        if self.jobs and self.timer_due == NEVER:
            self.timer_due = now + TICK_MS
            self.out.append(api.SetTimer(TICK_MS))
        return self.out

    # ---- tags and slots (Figure 7) ----

    def _advance(self, now: float) -> None:
        dt, self.now = now - self.now, now
        if self.queued and self.on_cores >= self.n:
            self.full_ms += dt
        self.service += dt * min(1.0, self.s.cores / max(1, self.on_cores))
        if self.phi_sum > 1e-9:  # never past every tag: an estimate that runs ahead would end the stagger
            front = max((f.tag for f in self.flows.values() if f.active), default=self.v)
            self.v = max(self.v, min(front - self.lead, self.v + dt * self.rate / self.phi_sum))
        self.call_debt = max(0.0, self.call_debt - dt * (1 - CALL_BURST) * self.s.fair_calls)

    def _lmax(self, job: _Job) -> float:
        """L_max of tenant and class; a new one takes the hint, else the largest held, else the mean."""
        ratio = job.flow.lmax.get(job.kind)
        if ratio is None and job.hint:
            return job.hint
        held = (x for f in self.flows.values() for x in f.lmax.values())
        return (max(held, default=1.0) if ratio is None else ratio) * self.cost

    def _enqueue(self, job: _Job) -> None:
        if not job.flow.active:
            job.flow.active, job.flow.tag = True, max(job.flow.tag, self.v)
            self.phi_sum += job.flow.phi
        job.flow.queue.insert(self._ahead(job, job.flow), job)  # oldest first, after what is worth more
        self.queued += 1

    def _pick(self, slot: int, anyone: bool) -> _Flow | None:
        """The eligible tenant with the smallest finish tag; with `anyone` that with the lowest start tag.
        With none eligible the clock lags; what it lags by is added for eligibility alone (`lead`)."""
        best, best_key = None, NEVER  # type: _Flow | None, float
        clock = self.v + self.lead
        for f in self.flows.values():
            if f.queue:
                lmax = self._lmax(f.queue[0]) / f.phi
                key = f.tag if anyone else f.tag + lmax
                if key < best_key and (anyone or f.tag - slot / self.n * lmax < clock):
                    best, best_key = f, key
        if anyone and best is not None:
            self.lead = max(self.lead, best.tag - self.v)
        return best

    def _dispatch(self) -> None:
        """Fill free slots with eligible requests from the highest down, then with any from the lowest up."""
        for waiting in self.flows.values():
            self._prune(waiting)
        slots = range(self.n) if self.queued else ()
        for i, anyone in [(i, False) for i in reversed(slots)] + [(i, True) for i in slots]:
            if self.on_cores >= self._own() or self.in_run >= self._crowd():
                return
            if self.slots[i] is None and (f := self._pick(i, anyone)) is not None and not self._start(f, i):
                return

    def _start(self, f: _Flow, slot: int) -> bool:
        job = f.queue[0]
        if self._used() + (extra := job.kb * (self.s.run_memory_factor - 1)) > self.memory:
            return False  # running takes more memory than holding: wait until something ends
        f.queue.popleft()
        self.queued, self.in_run = self.queued - 1, self.in_run + 1
        self.used_kb += extra
        job.ran, job.began, job.paid = True, self.now, self._lmax(job)
        job.kind.credit -= self.occupy
        f.tag += job.paid / f.phi
        self._on_core(job, slot)
        self.out.append(api.Start(job.id))
        return True

    def _on_core(self, job: _Job, slot: int = -1) -> None:
        """A run takes the cores: in `slot`, or back from a call in the lowest free one, or in none."""
        slot = slot if slot >= 0 else next((i for i, x in enumerate(self.slots) if x is None), -1)
        if slot >= 0:
            self.slots[slot] = job
        job.slot, job.mark, job.on_core, job.state = slot, self.service, self.now, RUNNING
        self.on_cores += 1

    def _off_core(self, job: _Job) -> None:
        self._charge(job)
        self.on_cores -= 1
        if 0 <= job.slot < len(self.slots) and self.slots[job.slot] is job:
            self.slots[job.slot] = None

    def _charge(self, job: _Job) -> None:
        """Refresh charging: new use first spends what was paid at the start, then moves the start tag."""
        use, job.mark = self.service - job.mark, self.service
        job.flow.tag += max(0.0, use - job.paid) / job.flow.phi
        job.used, job.paid = job.used + use, max(0.0, job.paid - use)

    def _complete(self, job: _Job, whole: bool) -> None:
        """The run is over: refund; L_max from the cost, if the run came to its own end."""
        if job.state == RUNNING:
            self._off_core(job)
        f, kind = job.flow, job.kind
        f.tag -= job.paid / f.phi
        self.work, self.in_run = self.work + job.used, self.in_run - 1
        if whole:
            self.cost += (LEARN / 2 if self.known else 1.0) * (max(job.used, 1.0) - self.cost)
            self.known = True
            # Relative to the mean: a slow machine lifts the mean and leaves the split by size as it is.
            f.lmax[kind] = max(ALPHA * f.lmax.get(kind, 0.0), job.used / self.cost)
        self._retire(f)

    def _retire(self, f: _Flow) -> None:
        """A tenant leaves the active set when its queue is empty as a request of it ends."""
        if not f.queue and f.active:
            f.active = False
            self.phi_sum = max(0.0, self.phi_sum - f.phi)

    # ---- slot count n ----

    def _crowd(self) -> float:
        """How many runs the server may have: under what it survives at the slowest stated warming."""
        s, age = self.s, self.now - self.started
        part = min(1.0, age / max(1.0, s.warm_after_ms)) if s.cold else 1.0
        speed = s.cold_speed + (1 - s.cold_speed) * part
        return max(1.0, CROWD_FILL * s.cores * (1 + (s.crowd_per_core - 1) * speed) - self.beside.running)

    def _own(self) -> int:  # of the n slots, those that the process that this one replaces has left
        return max(1, self.n - self.beside.on_cores)

    def _window(self) -> None:
        """n rises if slots were taken for most of a window under 0.8 core use; it falls above it."""
        self.rate += 0.5 * (self.work / (self.now - self.window_at) - self.rate) if self.work else 0.0
        waited = self.full_ms > BUSY * (self.now - self.window_at)
        if waited and self.busy < BUSY and self.n + 1 < self._crowd():
            self.n += 1
            self.slots.append(None)
        elif self.busy > BUSY and self.n > self.s.cores and self.slots[-1] is None:
            self.n -= 1
            self.slots.pop()
        self.entries = {rid: until for rid, until in self.entries.items() if until > self.now}
        self._connections()
        self._allow()
        self._reserve(self.now - self.window_at)
        self._shares()
        self.window_at, self.work, self.full_ms = self.now, 0.0, 0.0
        # Callers may stand for tenants, thousands of them: one without work or debt is as good as new.
        known = range(len(self.s.tenants))
        self.flows = {k: f for k, f in self.flows.items() if k in known or f.active or f.tag > self.v}

    # ---- hold and refusals ----

    def _arrive(self, req: api.Request) -> None:
        if req.id in self.jobs:
            return
        if req.klass >= len(self.kinds) or (req.klass < 0 and req.cls is None):
            raise ValueError(f"request {req.id}: klass {req.klass} is not among the settings' classes")
        self.asked += 1
        self.retries += LEARN / 2 * (req.is_retry - self.retries)
        key = req.tenant if self.s.tenants and req.tenant is not None else -1 - req.caller
        flow = self.flows.setdefault(key, _Flow(1.0))
        kind = _Kind(req.cls, self.cost) if req.cls and req.klass < 0 else self.kinds[req.klass]
        job = self.jobs[req.id] = _Job(req, flow, kind, self)
        self.used_kb += job.kb
        if self._repeat(job):
            return
        if job.born > self.drain_at + self.s.drain_grace_ms or not self._room(job):
            return self._refuse(job)
        job.kind.came, flow.came = job.kind.came + 1, flow.came + 1
        spare, wait = self._spare(job), self._wait(job)
        if wait > 0.0 and job.kind.credit < 0:
            wait = NEVER  # a slot that is free now is kept for nobody
        if wait > spare and self.in_run + self.queued:  # what is worth less makes room
            self._refuse(next((j for j in reversed(flow.queue) if _denser(job.cls, j.cls)), job))
        if not job.answered:
            self._keep(job)
            self._enqueue(job)

    def _ahead(self, job: _Job, flow: _Flow) -> int:
        return sum(not _denser(job.cls, j.cls) for j in flow.queue)

    def _spare(self, job: _Job) -> float:
        """How long it may be held. Marked retries, older than they look: not at all (retry storm), except
        beside a tenant that is past its share. That one: as its most urgent class, else that is shut out."""
        if job.req.is_retry and (job.flow.over or not any(f.over for f in self.flows.values())):
            return 0.0
        spare = job.aim - self.now - job.kind.need()
        return PATIENCE * min([spare] + [k.cls.aim_ms - k.need() for k in self.kinds if job.flow.over])

    def _wait(self, job: _Job) -> float:
        """How long a new request would be held: its tenant's queue at its share, at most all that is held."""
        if self.on_cores + self.queued < self._own():
            return 0.0
        phis = sum(f.phi for f in self.flows.values() if f.queue or f is job.flow)
        held = sum(self._ahead(job, f) for f in self.flows.values())
        ahead = min(self._ahead(job, job.flow) * phis / job.flow.phi, held)
        return (ahead + 0.5) * self._slot_ms() / self.n

    def _shares(self) -> None:
        """Which tenants ask for clearly more than their share of what is asked, where that is worth less."""
        for f in self.flows.values():
            f.demand, f.came = f.demand + RESERVE * (f.came - f.demand), 0
        asking = [f for f in self.flows.values() if f.demand > SELDOM]
        fair = sum(f.demand for f in asking) / max(1e-9, sum(f.phi for f in asking))
        for f in self.flows.values():
            f.over = self.s.over_share_worth < 1 and f.demand > OVER * f.phi * fair

    def _reserve(self, past: float) -> None:
        """Slots are kept for what is worth clearly more: a class may take no more than the asked share of the
        denser ones leaves. Binds only in overload: oldest first alone would let all classes lose alike."""
        for kind in self.kinds:
            kind.windows += 1  # a class that came later must not seem small beside the others for seconds
            weight = max(RESERVE, 1 / kind.windows)
            kind.demand += weight * (kind.came * self.occupy / (self.n * past) - kind.demand)
            kind.came = 0
        for kind in self.kinds:
            dense = sum(k.demand for k in self.kinds if _denser(k.cls, kind.cls))
            equals = [k for k in self.kinds if not (_denser(k.cls, kind.cls) or _denser(kind.cls, k.cls))]
            equal = sum(k.demand for k in equals)
            room = max(LEAST_ROOM, 1.0 - dense) * kind.demand / equal if equal else 1.0
            kind.credit = min(kind.credit + room * self.n * past, self.n * past) if dense else NEVER

    def _slot_ms(self) -> float:
        """Time that a run keeps a slot; the age of what runs now tells of a slowdown before any run ends."""
        age = sum(self.now - j.on_core for j in self.slots if j is not None) / max(1, self.on_cores)
        return max(self.occupy, age)

    def _used(self) -> float:
        return self.used_kb + self.s.key_entry_kb * len(self.entries) + self.beside.memory_kb

    def _room(self, job: _Job) -> bool:  # held, running and remembered share the memory; its run must fit too
        return self._used() + self.s.key_entry_kb + job.kb * (self.s.run_memory_factor - 1) <= self.memory

    def _prune(self, f: _Flow) -> None:
        """What could not be of use any more is answered at once, wherever it stands in its queue."""
        for job in list(f.queue):
            if self.now + job.kind.need() > min(job.aim, self.stop_at):
                self._refuse(job)

    def _refuse(self, job: _Job) -> None:
        """Turn away what never ran. Where retries are marked and few, others have room: it may go on.
        Else none is asked for: where one server is full most are, and each try costs a read (retry storm).
        Callers stay away with all their tenants: one that is past its share is no reason for that."""
        self.shed += 1.0
        final = not self.s.retries_marked or job.req.is_retry or self.retries > RETRY_BUDGET
        stay = 0.0 if job.flow.over and self.now < self.drain_at else self._slot_ms()
        self.out.append(api.Reject(job.id, min(self.s.retry_after_max_ms, stay), final))
        self._close(job)

    def _close(self, job: _Job, fail: bool = False) -> None:
        """No answer is owed any more. Held jobs are gone; work that runs on is stopped where it can be."""
        self.out.extend([api.Fail(job.id)] if fail else [])
        job.answered = True
        if job.state == HELD:
            if job in job.flow.queue:
                job.flow.queue.remove(job)
                self.queued -= 1
                if not any(j is not None and j.flow is job.flow for j in self.slots):
                    self._retire(job.flow)
            if self.entries.pop(job.id, None) is not None:
                self.out.append(api.Forget(job.id))
        if job.state in (HELD, SHARED):
            self.used_kb -= self.jobs.pop(job.id).kb
        elif job.state == RUNNING and self._can_stop(job):
            self.out.append(api.Stop(job.id))

    def _can_stop(self, job: _Job) -> bool:  # an effect may have happened already: such work runs on
        return self.s.halting is not Halting.OFF and job.cls.effect is Effect.SAFE

    def _sweep(self) -> None:
        """Refresh charges, and answer what is due or has become worthless while it ran."""
        for job in list(self.jobs.values()):
            if job.state == RUNNING:
                self._charge(job)
            if job.answered:
                continue
            overdue = self.now >= min(job.due, self.stop_at) - TICK_MS / 2
            stands = job.state in (WAITING, CALLING)  # no work is lost that could still be of use
            futile = self.now >= job.aim and job.cls.late_share <= 0 and (stands or self.queued)
            last = job.aim - self.now < LAST_STRETCH * self.occupy <= job.aim - job.began
            if last and job.state == CALLING and job.cls.worth_without_call > 0:
                self._leave_out(job)
            elif overdue and job.state == HELD:
                self._refuse(job)
            elif overdue or (futile and job.state != SHARED and self._can_stop(job)):
                self._close(job, fail=True)  # running work is no excuse

    def _ended(self, e: api.RunEnded) -> None:
        if (job := self.jobs.get(e.id)) is None or job.state == HELD:
            return
        if job.state != SHARED:
            self.calling -= job.state == CALLING
            if job.state == RUNNING:
                self.occupy += LEARN * (self.now - job.on_core - self.occupy)
            whole = e.outcome is Outcome.OK  # a run that failed early tells nothing of cost
            job.kind.ended(self.now - job.began, whole)
            job.answered = True
            self._complete(job, whole)
            self.used_kb -= job.kb * (self.s.run_memory_factor - 1)
        self.used_kb -= self.jobs.pop(job.id).kb

    # ---- calls below ----

    def _call_needed(self, job: _Job) -> None:
        if job.state == RUNNING:
            self._off_core(job)
            job.state, job.tries, job.call_at, job.asked_at = WAITING, 0, self.now, self.now
            self.callers.append(job)

    def _make_calls(self) -> None:
        """Within this server's share of what lies below, first for those that are worth nothing without.
        Others go without once a call cannot be over in time or calls are scarce: they would fill slots."""
        for job in sorted(self.callers, key=lambda j: j.cls.worth_without_call):
            late = job.aim - self.now < self.call_ms + self.occupy
            scarce = self.now - job.asked_at > CALL_PATIENCE * self.occupy
            if job.cls.worth_without_call > 0 and (late or scarce) and not job.answered:
                self.out.append(api.SkipCall(job.id))
                self._on_core(job)
            elif job.call_at <= self.now and self._may_call(job) and not job.answered:
                job.state, self.calling, job.called_at = CALLING, self.calling + 1, self.now
                timeout = max(1.0, min(min(job.due, self.stop_at) - self.now, self._longest(self.call_debt)))
                job.call_paid = timeout + self.s.abandoned_call_stays_ms
                self.call_debt += job.call_paid
                self.out.append(api.Call(job.id, timeout))
        self.callers = [job for job in self.callers if job.state == WAITING and not job.answered]

    def _leave_out(self, job: _Job) -> None:
        """A call that is out for so long that waiting on would make the whole request late."""
        self.calling -= 1
        self.call_debt += max(0.0, self.now - job.called_at) + self.s.abandoned_call_stays_ms - job.call_paid
        self.out.append(api.SkipCall(job.id))
        self._on_core(job)

    def _longest(self, debt: float) -> float:
        """How long a call may take if all that may be out at once are to stay within the budget."""
        return (self.call_budget - debt) / self.call_most - self.s.abandoned_call_stays_ms

    def _may_call(self, job: _Job) -> bool:
        """Over every window no more in the mean than this server's share. As with tags, the most is paid at
        the start and the rest given back: by what the call took, not by when a slow server hears of it.
        None goes out that could only be given up: it would take from those that could end (slow below)."""
        usual, most = (1 + job.cls.worth_without_call) * self.call_ms, self._longest(0.0)
        enough = self._longest(self.call_debt) >= min(CALL_ROOM * usual, CALL_FILL * most, most)
        return enough and self.call_debt < self.call_budget and self.calling + 1 <= self.call_most

    def _call_ended(self, job: _Job, e: api.CallEnded) -> None:
        if job.state != CALLING:
            return
        self.calling -= 1
        given_up = e.outcome is Outcome.TIMEOUT  # it would have taken longer
        self.call_debt += e.latency_ms + given_up * self.s.abandoned_call_stays_ms - job.call_paid
        if e.outcome is Outcome.OK or (given_up and e.latency_ms > self.call_ms):
            self.call_ms += LEARN * (e.latency_ms - self.call_ms)
        if self.s.below is Below.SHARED:  # crowded, it ends nothing in time: fewer calls, each with more room
            more = CALL_MORE / self.call_most if e.outcome is Outcome.OK else -CALL_CUT * self.call_most
            self.call_most = max(1.0, min(self.call_most + more, self.s.fair_calls))
        if e.outcome is Outcome.OK:
            return self._on_core(job)
        job.state, job.tries = WAITING, job.tries + 1
        job.call_at = self.now + CALL_BACKOFF_MS * job.tries
        self.callers.append(job)
        if not may_repeat(job.cls.effect, EVIDENCE_OF_OUTCOME[e.outcome]) and not job.answered:
            self._close(job, fail=True)  # the call may have taken effect: it is not repeated

    # ---- keys ----

    def _repeat(self, job: _Job) -> bool:
        """A repeat shares the result of the try that is held or has run; it is never run itself."""
        prior = job.req.repeats
        held = prior in self.jobs and not self.jobs[prior].ran
        if prior is None or (held and job.cls.effect is Effect.SAFE):
            return False
        job.state = SHARED
        if self._used() <= self.memory and self.now < self.stop_at:
            self.out.append(api.ShareResult(job.id))
        else:
            self._close(job, fail=True)  # not turned away: some try of it may have run
        return True

    def _keep(self, job: _Job) -> None:
        """The entry is made while the request is held: a repeat of it that comes now must be known."""
        ttl = job.cls.window_ms - job.req.waited_ms + 2 * TICK_MS
        if job.cls.effect is Effect.KEYED and ttl > 0:
            self.out.append(api.Remember(job.id, ttl))
            self.entries[job.id] = self.now + ttl

    # ---- new settings, drain ----

    def _retune(self, e: api.Retune) -> None:
        """Whoever stays keeps what was learnt of it, wherever it stands; jobs keep their class."""
        old, flows, self.s = self.kinds, self.flows, e.settings
        classes = zip(e.settings.classes, e.classes, strict=True)
        self.kinds = [_Kind(c, self.cost, 0) if i < 0 else old[i].redefined(c) for c, i in classes]
        tenants = enumerate(zip(e.tenants, self._phis(e.settings), strict=True))
        self.flows = {i: _Flow(phi) if was < 0 else flows.pop(was) for i, (was, phi) in tenants}
        for i, phi in enumerate(self._phis(e.settings)):
            self.phi_sum += (phi - self.flows[i].phi) * self.flows[i].active
            self.flows[i].phi = phi
        # Those of tenants that are gone stay until they are empty, under numbers of no caller.
        low = min([-(1 << 40), *flows])
        self.flows |= {k if k < 0 else low - 1 - k: f for k, f in flows.items()}
        for f in self.flows.values():
            f.lmax = {kind: x for kind, x in f.lmax.items() if kind in self.kinds}

    def _drain(self, e: api.DrainNotice) -> None:
        self.stop_at = self.now + e.left_ms - 4 * TICK_MS
        if e.replaced:
            return
        self.drain_at = min(self.drain_at, self.now)
        self.out.append(api.SetHealth(False, True))
        # Callers learn of it late, and whoever takes over is cold: until then what is sent here is served.
        self.serve_until = self.now + min(self.s.drain_grace_ms, SERVE_ON * e.left_ms)

    def _send_away(self) -> None:
        self.serve_until, self.sent_away = NEVER, True
        if self.s.signal is not SignalKind.OFF:
            self.out.append(api.Signal(1.0 if self.s.signal is SignalKind.FLOOR else 0.0))

    # ---- health and signals ----

    def _allow(self) -> None:
        """How many requests each caller may have out here: what runs, and what the hold takes in time, shared
        so that those who send most give way. What is not sent costs no read, and goes where there is room."""
        self.shed *= SHED_FADES
        if self.s.signal is not SignalKind.ALLOWANCE or self.sent_away or not self.known:
            return
        out: dict[int, int] = {}
        for job in self.jobs.values():
            if not job.answered:
                out[job.req.caller] = out.get(job.req.caller, 0) + 1
        wait = (HOLD_PRESSED if self.shed >= 1.0 else HOLD_ROOMY) * min(c.aim_ms for c in self.s.classes)
        room, left = max(self.in_run, self.n) + self.n * wait / self._slot_ms(), max(1, self.s.callers)
        for count in sorted(out.values()):  # those who have less than an even share leave the rest to others
            if count * left >= room or left == 1:
                break
            room, left = room - count, left - 1
        level = max(1.0, round(room / left, 1))
        if abs(level - self.said) > SAID_AGAIN * self.said:
            self.said = level
            self.out.append(api.Signal(level))

    def _connections(self) -> None:
        """Idle connections take cores and places: they close at once where no caller is expected in time."""
        longest = self.s.idle_connection_ms
        back = self.s.callers * (self.now - self.window_at) / max(1, self.asked)
        surplus = self.s.callers > CALLERS_PER_CORE * self.s.cores and back > longest
        keep = min(longest, SHORT_IDLE_MS) if surplus else longest
        if keep != self.keep_open:
            self.keep_open = keep
            self.out.append(api.TrimConnections(keep))
        self.asked = 0
