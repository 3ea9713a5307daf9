"""Runs the loops that plan and order stage changes of engines.

`PlanningLoop` runs at the VM that schedules a service and requests changes;
`StageController` runs at the VM ranked next and orders them.  It acquires the
leadership at the first request and lets it expire when idle.  The leadership
is never released early, so that the orders of two leaders are never close
together.
"""

import enum
import time

import attrs
import curio
import curio.errors
import h11

from mangorock import clocks
from mangorock import errors
from mangorock import leadership
from mangorock import logs
from mangorock import stages

KEY_PREFIX = 'mangorock/stages/'
INTERVAL_S = 0.25  # Between two samples of the queues.
# A VM that was asked for no placement for this long no longer schedules.
SCHEDULER_IDLE_S = 1.5
# A request is repeated in each planning interval; an older one is obsolete.
REQUEST_TTL_S = 1.0
# Delay from the announcement to all VMs until the order, so that they stop
# sending to the engine.
ANNOUNCE_DELAY_S = 0.05
# How long VMs send an engine nothing after the announcement, unless they learn
# its new stage before.
ENGINE_PAUSE_S = 6.0
ORDER_TIMEOUT_S = 1.0  # Engines answer in milliseconds.
# The leadership is left to expire when no change was requested for this long.
LEADER_IDLE_S = 10.0


class OrderEnd(enum.Enum):
    """The outcome of an order."""

    TAKEN = 'taken'
    REFUSED = 'refused'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'


@attrs.frozen
class Order:
    """A stage change order as it is sent.

    ``fence`` is the leader's fencing token, ``expected`` the number of orders
    that the engine must have taken before.
    """

    change: stages.Change
    holder: str
    fence: int
    expected: int


@attrs.frozen
class EngineState:
    """An engine's own state: orders taken, and whether one is executing."""

    orders_taken: int
    is_busy: bool


@attrs.define
class PlanningLoop:
    """Plans the stages of the services that this VM schedules.

    ``request_stage(service, server_id, stage)`` sends a change to the VM that
    orders it.  That is another VM on purpose: the one that orders is visible
    by its orders and its key, and its loss must not also lose the scheduler's
    state.
    """

    gateway: object
    request_stage: object
    clock: object = time.monotonic
    planners: dict = attrs.field(factory=dict)

    async def run(self):
        """Plan all services periodically, for ever."""
        while True:
            await curio.sleep(INTERVAL_S)
            for service, scheduler in self.gateway.schedulers.items():
                self.plan(service, scheduler)

    def plan(self, service, scheduler):
        """Sample a service, and request a change if one is due."""
        now = self.clock()
        planner = self.planners.setdefault(service, stages.StagePlanner())
        if now - scheduler.last_asked_s > SCHEDULER_IDLE_S:
            planner.reset()
            return
        registry = self.gateway.registry
        planner.forget(registry.incarnations)
        for incarnation in registry.paused_incarnations(now):
            planner.on_away(incarnation, now)
        servers = self.gateway.healthy_servers(service)
        planner.sample(scheduler, servers, now)
        change = planner.next_change(scheduler, servers, now)
        if change is None:
            return
        logs.event(
            'stage_wanted',
            service=service,
            server=change.server.server_id,
            stage=change.stage.value,
            queue_s=planner.queue_s,
            occupancy=planner.occupancy,
        )
        self.request_stage(service, change.server.server_id, change.stage)


@attrs.define
class StageController:
    """Orders the changes that schedulers request.

    ``lease_s`` is twice the least time between orders of two VMs.  ``wire``
    encodes orders and decodes their answers, and ``announce_away(service,
    server_id, seconds)`` tells all VMs that an engine will be away.
    """

    vm: str
    lease_s: float
    registry: object
    store: object
    client: object
    wire: object
    announce_away: object
    clock: object = time.monotonic
    boot_clock: object = clocks.boot_clock
    unix_clock: object = time.time
    leaderships: dict = attrs.field(factory=dict)
    requests: dict = attrs.field(factory=dict)
    order_times_s: dict = attrs.field(factory=dict)

    def request_stage(self, service, server_id, stage):
        """Record the change that is wanted now."""
        self.requests[service] = server_id, stage, self.clock()

    async def run(self):
        """Process the requests periodically, for ever."""
        while True:
            await curio.sleep(INTERVAL_S)
            for service in list(self.requests):
                try:
                    await self.step(service)
                except errors.MangorockError as exc:
                    logs.event(
                        'stages_not_ordered',
                        service=service,
                        error=exc.message,
                    )

    async def step(self, service):
        """Acquire or renew the leadership, and send the order that is due."""
        now = self.clock()
        change = self._due_change(service, now)
        if await self._ensure_leadership(service, now) and change is not None:
            await self._order(service, change)

    def _due_change(self, service, now):
        """Return the `stages.Change` to order now, or None."""
        server_id, stage, requested_s = self.requests[service]
        server = self.registry.servers.get(server_id)
        if server is None or server.stage is stage:
            return None
        if not self.registry.is_usable(server, now):
            return None
        if self.registry.rates.is_limited(server, self.unix_clock()):
            # A read of its state would come beside the requests that it takes.
            return None
        ordered_s = self.order_times_s.get(server.incarnation, float('-inf'))
        is_settled = now - ordered_s >= stages.SETTLE_S
        if now - requested_s > REQUEST_TTL_S or not is_settled:
            return None
        return stages.Change(server, stage)

    async def _ensure_leadership(self, service, now):
        """Acquire or renew the leadership; return whether orders may be sent.

        Without recent requests it does neither, so that the lease expires.
        """
        holder = self.leaderships.get(service)
        if holder is None:
            holder = self.leaderships[service] = leadership.make_lease_holder(
                self.vm,
                KEY_PREFIX + service,
                self.lease_s,
                self.store,
                clock=self.boot_clock,
                fields={'service': service},
            )
        holder.drop_expired()
        if now - self.requests[service][2] >= LEADER_IDLE_S:
            return False
        return await holder.ensure()

    async def _order(self, service, change):
        state = await self._read_state(change.server)
        if state is None or state.is_busy:
            return
        holder = self.leaderships[service]
        self.announce_away(service, change.server.server_id, ENGINE_PAUSE_S)
        await curio.sleep(ANNOUNCE_DELAY_S)
        is_usable = self.registry.is_usable(change.server, self.clock())
        if not holder.may_act() or not is_usable:
            return
        self.order_times_s[change.server.incarnation] = self.clock()
        order = Order(change, self.vm, holder.fence, state.orders_taken)
        end = await self._send(order)
        logs.event(
            'stage_ordered',
            service=service,
            server=change.server.server_id,
            stage=change.stage.value,
            fence=order.fence,
            expected=order.expected,
            end=end.value,
        )
        if end is OrderEnd.FENCED:
            holder.lose()

    async def _read_state(self, server):
        try:
            method, path, headers = self.wire.encode_state_request(server)
            async with curio.timeout_after(ORDER_TIMEOUT_S):
                status, body = await self.client.call_once(
                    server.address, method, path, headers
                )
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            logs.event(
                'engine_not_read', server=server.server_id, error=repr(exc)
            )
            return None
        return self.wire.decode_state(server, status, body)

    async def _send(self, order):
        server = order.change.server
        try:
            method, path, headers, body = self.wire.encode_order(order)
            async with curio.timeout_after(ORDER_TIMEOUT_S):
                status, _ = await self.client.call_once(
                    server.address, method, path, headers, body
                )
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            logs.event(
                'order_unanswered', server=server.server_id, error=repr(exc)
            )
            return OrderEnd.UNKNOWN
        return self.wire.decode_order_end(status)
