"""Orders servers from the platform so that their number is as planned.

An order that gets no response may be carried out seconds later, after newer
ones, so that what is ordered is compared with the registry and ordered again
where it differs for longer than a server takes to start.
"""

import collections
import time

import attrs

from mangorock import duty_calls
from mangorock import fleet_size
from mangorock import logs

# A server that was ordered, or sent back, shows in the registry this long
# after its start at the latest, in seconds.
SETTLE_MARGIN_S = 3.0
# Registry and demand are too uncertain to send servers back where the last
# contact is older, or fewer VMs told their demand.
MAX_REGISTRY_AGE_S = 5.0
MIN_VM_SHARE = 0.5
INTERVAL_S = 1.0


@attrs.define
class Ordered:
    """The last order of a kind of servers."""

    count: int
    at_s: float


@attrs.define
class ServerOrders:
    """Plans and orders the servers of all services that have scaling.

    ``totals`` are the `demand.DemandTotals` of all VMs.  `step` is called by
    the VM that holds the duties.
    """

    gateway: object
    api: object
    totals: object
    clock: object = time.monotonic
    planners: dict = attrs.field(factory=dict)
    ordered: dict = attrs.field(factory=dict)
    planned_s: float = float('-inf')

    def reset(self):
        """Forget what was planned, as another VM held the duties."""
        self.planners.clear()
        self.ordered.clear()

    async def step(self, holder):
        """Plan, and send the orders that are due, while ``holder`` leads."""
        now = self.clock()
        if now - self.planned_s < INTERVAL_S:
            return
        self.planned_s = now
        self.totals.close_interval(now)
        for service in self.gateway.catalog.services.values():
            if service.scaling is not None:
                await self._step_service(service, holder, now)

    async def _step_service(self, service, holder, now):
        registry = self.gateway.registry
        present = count_servers(registry, service.name)
        is_known = now - registry.last_contact_s <= MAX_REGISTRY_AGE_S
        if not is_known or not any(p.ready for p in present.values()):
            return
        planner = self.planners.setdefault(
            service.name, fleet_size.FleetPlanner()
        )
        before = dict(planner.wanted or {})
        found = self._demand(service.name)
        wanted = planner.plan(
            service.scaling, _slots(service, registry), present, found, now
        )
        if wanted != before:
            logs.event(
                'workers_wanted',
                service=service.name,
                wanted=_describe(wanted),
                ready=sum(p.ready for p in present.values()),
                peak=found.peak if found else -1,
                pressure=found.pressure if found else -1,
                factor=planner.factor,
            )
        for kind, count in sorted(wanted.items(), key=str):
            known = present.get(kind, fleet_size.Presence()).ready
            if self._is_due(service, kind, count, known, now):
                await self._order(service, kind, count, known, holder)

    def _demand(self, name):
        """Return the demand, None if too few VMs told theirs."""
        least = MIN_VM_SHARE * self.gateway.placer.vm_count
        if self.totals.vm_count < least:
            return None
        return self.totals.of(name)

    def _is_due(self, service, kind, count, known, now):
        last = self.ordered.get((service.name, kind))
        if last is None:
            return count != known
        if last.count != count:
            return True
        settle_s = service.scaling.boot_s + SETTLE_MARGIN_S
        return count != known and now - last.at_s > settle_s

    async def _order(self, service, kind, count, known, holder):
        if not holder.may_act():
            return
        self.ordered[service.name, kind] = Ordered(count, self.clock())
        order = duty_calls.ServerOrder(
            service.name, kind.failure_domain, count, kind.is_spot
        )
        end = await self.api.call(order, holder.fence)
        self.gateway.metrics.add('workers_ordered')
        logs.event(
            'workers_ordered',
            service=service.name,
            failure_domain=kind.failure_domain,
            spot=kind.is_spot,
            wanted=count,
            known=known,
            fence=holder.fence,
            end=end.value,
        )
        match end:
            case duty_calls.CallEnd.CONFLICT:
                self.planners[service.name].on_unavailable(kind, self.clock())
                del self.ordered[service.name, kind]
            case duty_calls.CallEnd.LIMITED:
                del self.ordered[service.name, kind]


def count_servers(registry, service):
    """Return the `fleet_size.Presence` of each `fleet_size.Kind`."""
    ready, leaving = collections.Counter(), collections.Counter()
    for server in registry.servers.values():
        if server.service != service:
            continue
        if server.server_id in registry.lapsed_since_s:
            continue
        kind = fleet_size.Kind(server.failure_domain, server.is_spot)
        (leaving if server.is_draining else ready)[kind] += 1
    return {
        kind: fleet_size.Presence(ready[kind], leaving[kind])
        for kind in {*ready, *leaving}
    }


def _slots(service, registry):
    """Return the slots of one server."""
    if service.engine is not None:
        return service.engine.slots
    slots = [
        server.slots
        for server in registry.servers.values()
        if server.service == service.name
    ]
    return max(1, sum(slots) // max(1, len(slots)))


def _describe(wanted):
    return ' '.join(
        f'{kind.failure_domain}{"/spot" if kind.is_spot else ""}:{count}'
        for kind, count in sorted(wanted.items(), key=str)
    )
