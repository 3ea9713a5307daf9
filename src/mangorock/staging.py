"""Orders stage changes of engines: the loops around ``stages``.

`Planners` runs where a service is scheduled and wishes for changes; `Stager`
runs at the VM ranked next and orders them.  The right to order is sought at
the first wish and left to lapse: never given back early, so that two
holders' orders are never close together.
"""

import enum
import time

import attrs
import curio
import curio.errors
import h11

from mangorock import errors
from mangorock import logs
from mangorock import presence
from mangorock import stages

KEY_PREFIX = 'mangorock/stages/'
INTERVAL_S = 0.25  # Between two looks at the queues.
# A VM that was not asked for so long no longer schedules.
UNASKED_S = 1.5
# A wish is repeated at each look; one that is older no longer holds.
FRESH_S = 1.0
# From the news to all VMs until the order, so that they stop sending.
NEWS_S = 0.05
# For how long VMs send an engine nothing after that news, unless its new
# stage is heard before.
AWAY_S = 6.0
ORDER_TIMEOUT_S = 1.0  # Engines answer in milliseconds.
# The right is left to lapse when no change was wanted for so long.
IDLE_S = 10.0


class OrderEnd(enum.Enum):
    """How an order ended."""

    TAKEN = 'taken'
    REFUSED = 'refused'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'


@attrs.frozen
class Order:
    """A stage change as it is sent.

    ``fence`` is the holder's fencing token, ``expected`` the number of
    orders that the engine has taken before.
    """

    change: stages.Change
    holder: str
    fence: int
    expected: int


@attrs.frozen
class EngineState:
    """What an engine says of itself: orders taken, and whether one runs."""

    orders: int
    is_busy: bool


def boot_clock():
    """Return seconds that also count while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class Planners:
    """Plans the stages of the services that this VM schedules.

    ``wish(service, server_id, stage)`` passes a change on to the VM that
    orders.  That is another one: it is the one that is known by its orders
    and its key, and its loss must not cost what the scheduler knows.
    """

    gateway: object
    wish: object
    clock: object = time.monotonic
    planners: dict = attrs.field(factory=dict)

    async def run(self):
        """Look at the queues for ever."""
        while True:
            await curio.sleep(INTERVAL_S)
            for service, scheduler in self.gateway.schedulers.items():
                self.look(service, scheduler)

    def look(self, service, scheduler):
        """Take one look at a service, and wish for what it calls for."""
        now = self.clock()
        planner = self.planners.setdefault(service, stages.StagePlanner())
        if now - scheduler.asked_s > UNASKED_S:
            planner.pause()
            return
        registry = self.gateway.registry
        planner.forget(registry.lives)
        for life in registry.paused_lives(now):
            planner.on_away(life, now)
        servers = self.gateway.healthy_servers(service)
        planner.sample(scheduler, servers, now)
        change = planner.wanted(scheduler, servers, now)
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
        self.wish(service, change.server.server_id, change.stage)


@attrs.define
class Stager:
    """Orders the changes that schedulers wish for.

    ``lease_s`` is twice the time that must lie between orders of two VMs.
    ``wire`` encodes orders and reads their answers, ``tell_away(service,
    server_id, seconds)`` tells all VMs that an engine will be away.
    """

    vm: str
    lease_s: float
    registry: object
    store: object
    client: object
    wire: object
    tell_away: object
    clock: object = time.monotonic
    boot_clock: object = boot_clock
    tenures: dict = attrs.field(factory=dict)
    wishes: dict = attrs.field(factory=dict)
    ordered_s: dict = attrs.field(factory=dict)

    def wish(self, service, server_id, stage):
        """Take a change that is wanted now."""
        self.wishes[service] = server_id, stage, self.clock()

    async def run(self):
        """Carry out wishes for ever."""
        while True:
            await curio.sleep(INTERVAL_S)
            for service in list(self.wishes):
                try:
                    await self.act(service)
                except errors.MangorockError as exc:
                    logs.event(
                        'stages_not_ordered',
                        service=service,
                        error=exc.message,
                    )

    async def act(self, service):
        """Take one step: seek or keep the right, and order what is due."""
        now = self.clock()
        change = self._due(service, now)
        if await self._hold(service, now) and change is not None:
            await self._order(service, change)

    def _due(self, service, now):
        """Return the `stages.Change` to order now, or None."""
        server_id, stage, wished_s = self.wishes[service]
        server = self.registry.servers.get(server_id)
        if server is None or server.stage is stage:
            return None
        ordered_s = self.ordered_s.get(server.life, float('-inf'))
        is_settled = now - ordered_s >= stages.SETTLE_S
        if now - wished_s > FRESH_S or not is_settled:
            return None
        return stages.Change(server, stage)

    async def _hold(self, service, now):
        """Seek, renew or leave the right to order; return whether held."""
        tenure = self.tenures.setdefault(service, stages.Tenure(self.lease_s))
        is_idle = now - self.wishes[service][2] >= IDLE_S
        clock_s = self.boot_clock()
        if tenure.lease is not None and tenure.is_over(clock_s):
            logs.event('tenure_over', service=service, fence=tenure.fence)
            tenure.lose()
        if is_idle:
            return False
        if not tenure.is_held:
            await self._seek(service, tenure, clock_s)
        elif tenure.needs_renewal(clock_s):
            await self._renew(service, tenure, clock_s)
        return tenure.may_order(self.boot_clock())

    async def _seek(self, service, tenure, clock_s):
        """Create the key, or find out who has it."""
        key = KEY_PREFIX + service
        if tenure.lease is None:
            lease = await self.store.grant_lease(self.lease_s)
            tenure.begin(lease, clock_s)
            value = f'{self.vm} {lease}'.encode()
            revision = await self.store.create(key, value, lease)
        else:
            # The answer to the creation was lost, or another VM was first.
            item = await self.store.read(key)
            mine = f'{self.vm} {tenure.lease}'.encode()
            is_mine = item is not None and item.value == mine
            revision = item.revision if is_mine else None
        if revision is not None:
            tenure.win(revision)
            logs.event('tenure_won', service=service, fence=revision)

    async def _renew(self, service, tenure, clock_s):
        try:
            await self.store.keep_lease(tenure.lease)
        except presence.LeaseLost:
            logs.event('tenure_lost', service=service, fence=tenure.fence)
            tenure.lose()
            return
        tenure.renew(clock_s)

    async def _order(self, service, change):
        state = await self._read_state(change.server)
        if state is None or state.is_busy:
            return
        tenure = self.tenures[service]
        self.tell_away(service, change.server.server_id, AWAY_S)
        await curio.sleep(NEWS_S)
        if not tenure.may_order(self.boot_clock()):
            return
        self.ordered_s[change.server.life] = self.clock()
        order = Order(change, self.vm, tenure.fence, state.orders)
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
            tenure.lose()

    async def _read_state(self, server):
        try:
            method, path, headers = self.wire.encode_state_call(server)
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
