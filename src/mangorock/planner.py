"""Decides which engines of a pool prefill, decode, or do both.

`Planner` is a state machine without clocks.  Its input is what the engines
report: work done, work queued and speeds.  Demand is measured over a short
and a long window.  Roles change only if, in both windows, the goodput gained
over `DWELL_S` outweighs the engine-seconds lost to the changes plus the
cost that the pool sets for a role change.  One engine changes at a time, and
none without which the pool could not serve requests.
"""

import collections

import attrs

from mangorock import owner
from mangorock import ownership

SHORT_WINDOW_S = 10.0
LONG_WINDOW_S = 40.0
DWELL_S = 60.0
ROLE_CHANGE_S = 4.0
TARGET_STEP_S = 0.037
CHUNK_TOKENS = 512
BATCH_SLOTS = 64
MIN_GAIN = 0.02


@attrs.frozen
class EngineLoad:
    """An engine's reported role, speeds, and work done and queued."""

    address: str
    role: str
    prefill_tps: float
    step_s: float
    prefilled_tokens: int
    decoded_tokens: int
    queued_tokens: int

    def decode_tps(self):
        """Return the decode throughput with every batch slot in use.

        A full batch doubles the time of a step.
        """
        return BATCH_SLOTS / (2.0 * self.step_s)


@attrs.frozen
class Demand:
    """The demand on a pool, in tokens per second."""

    prefill_tps: float
    decode_tps: float


@attrs.define
class Planner:
    """Plans the engine roles of one pool in one failure domain.

    ``target`` maps engine addresses to their planned roles.
    """

    change_cost_s: float = 10.0
    samples: collections.deque = attrs.field(factory=collections.deque)
    target: dict = attrs.field(factory=dict)
    planned_at_s: float = -1e9
    changes: int = 0

    def decide(self, loads, now):
        """Return ``(address, role)`` of the next role change, or ``None``."""
        self._sample(loads, now)
        if now - self.planned_at_s >= DWELL_S:
            self._plan(loads, now)
        return self._next_change(loads)

    def _sample(self, loads, now):
        totals = {
            load.address: (
                load.prefilled_tokens + load.queued_tokens,
                load.decoded_tokens,
            )
            for load in loads
        }
        self.samples.append((now, totals))
        while self.samples[0][0] < now - LONG_WINDOW_S:
            self.samples.popleft()

    def demand(self, window_s):
        """Return the `Demand` over the last ``window_s``, or ``None``.

        ``None`` means that the samples span less than half of the window.
        The counters of an engine that restarted begin at zero again; its
        part of the window is ignored rather than counted as negative.
        """
        newest_s, newest = self.samples[-1]
        oldest_s, oldest = next(
            s for s in self.samples if s[0] >= newest_s - window_s
        )
        seconds = newest_s - oldest_s
        if seconds < window_s / 2:
            return None
        prefill = decode = 0
        for address, (requested, decoded) in newest.items():
            earlier = oldest.get(address, (requested, decoded))
            prefill += max(0, requested - earlier[0])
            decode += max(0, decoded - earlier[1])
        return Demand(prefill / seconds, decode / seconds)

    def _plan(self, loads, now):
        demands = [self.demand(SHORT_WINDOW_S), self.demand(LONG_WINDOW_S)]
        if None in demands or not loads:
            return
        current = {load.address: load.role for load in loads}
        best = max(
            candidate_roles(loads),
            key=lambda roles: (
                min(goodput(loads, roles, d) for d in demands),
                -count_changes(current, roles),
            ),
        )
        changes = count_changes(current, best)
        if not changes:
            return
        lost_s = changes * (ROLE_CHANGE_S + self.change_cost_s)
        for demand in demands:
            gain = goodput(loads, best, demand)
            gain -= goodput(loads, current, demand)
            if gain < MIN_GAIN or gain * len(loads) * DWELL_S <= lost_s:
                return
        self.target = best
        self.planned_at_s = now

    def _next_change(self, loads):
        roles = {load.address: load.role for load in loads}
        for load in loads:
            wanted = self.target.get(load.address, load.role)
            if wanted == load.role:
                continue
            other_roles = [r for a, r in roles.items() if a != load.address]
            if can_serve(other_roles):
                return load.address, wanted
        return None


def can_serve(roles):
    """Return whether engines of these roles can serve a whole request."""
    if 'mixed' in roles:
        return True
    return 'prefill' in roles and 'decode' in roles


def candidate_roles(loads):
    """Return the role assignments to compare: all mixed, and every split.

    In a split, the engines with the highest ratio of prefill to decode
    throughput prefill.
    """
    ranked = sorted(
        loads,
        key=lambda x: (x.prefill_tps / x.decode_tps(), x.address),
        reverse=True,
    )
    assignments = [{load.address: 'mixed' for load in loads}]
    for count in range(1, len(ranked)):
        assignments.append(
            {
                load.address: 'prefill' if i < count else 'decode'
                for i, load in enumerate(ranked)
            }
        )
    return assignments


def count_changes(current, wanted):
    """Return the number of engines that would change their role."""
    return sum(current[a] != role for a, role in wanted.items())


def goodput(loads, roles, demand):
    """Return the fraction of the demand that is served in time.

    Prefill chunks between the steps of a mixed engine lengthen the time
    between its tokens; goodput falls in proportion once that time exceeds
    `TARGET_STEP_S`.
    """
    prefill = decode = mixed_prefill = mixed_decode = 0.0
    steps = []
    for load in loads:
        match roles[load.address]:
            case 'prefill':
                prefill += load.prefill_tps
                continue
            case 'decode':
                decode += load.decode_tps()
            case _:
                mixed_prefill += load.prefill_tps
                mixed_decode += load.decode_tps()
        steps.append(load.step_s)
    if mixed_prefill:
        busy = demand.prefill_tps / (mixed_prefill + prefill)
        busy_decode = demand.decode_tps / (mixed_decode + decode)
        served = 1.0 / max(1.0, busy + busy_decode)
        chunk_s = CHUNK_TOKENS / (mixed_prefill / len(steps))
        step_s = max(steps) + min(1.0, busy) * chunk_s
    else:
        served = min(
            1.0,
            prefill / max(demand.prefill_tps, 1e-9),
            decode / max(demand.decode_tps, 1e-9),
        )
        step_s = max(steps, default=TARGET_STEP_S)
    return served * min(1.0, TARGET_STEP_S / step_s)


class Planners:
    """The planners of all pools of a failure domain, run by its owner."""

    def __init__(self, env):
        self.env = env
        self.planners = {}
        self.next_plan_s = 0.0

    def wanted_changes(self, holder, now):
        """Return an `ownership.RoleRequested` for each role change due now.

        There is none unless ``holder`` owns the failure domain's engines.
        """
        if holder.phase is not owner.Phase.OWNING or now < self.next_plan_s:
            return []
        self.next_plan_s = now + self.env.settings.plan_interval_s
        wanted_changes = []
        for pool in self.env.tables.pools.values():
            if pool.kind == 'engines':
                wanted_changes += self._wanted_pool_changes(pool, holder, now)
        return wanted_changes

    def _wanted_pool_changes(self, pool, holder, now):
        views = [
            v
            for v in self.env.router.views.values()
            if v.pool == pool.name and v.report is not None
        ]
        if pool.planning == 'static':
            return [
                ownership.RoleRequested(v.address, pool.servers[v.name].role)
                for v in views
                if v.name in pool.servers
                and pool.servers[v.name].role != v.report.role
            ]
        planner = self.planners.setdefault(pool.name, Planner())
        planner.change_cost_s = pool.role_change_price_s
        change = planner.decide([make_load(v) for v in views], now)
        if change is None or self._is_changing(views, holder):
            return []
        return [ownership.RoleRequested(*change)]

    @staticmethod
    def _is_changing(views, holder):
        """Return whether an engine of the pool is changing its role."""
        stages = [
            holder.owned_engines[v.address].stage
            for v in views
            if v.address in holder.owned_engines
        ]
        return any(stage is not owner.Stage.OPEN for stage in stages)


def make_load(view):
    """Return the `EngineLoad` of a router's view."""
    report = view.report
    return EngineLoad(
        view.address,
        report.role,
        view.prefill_tps,
        view.step_s,
        report.prefilled_tokens,
        report.decoded_tokens,
        report.queued_tokens,
    )
