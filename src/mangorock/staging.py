"""Orders stage changes of engines: the loop around ``stages``.

Runs at every VM and acts only where this VM schedules a service.  The right
to order is sought when the first change is wanted, and left to lapse: never
given back early, so that two holders' orders are never close together.
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
class Stager:
    """Plans and orders for the services that this VM schedules.

    ``lease_s`` is twice the time that must lie between orders of two VMs.
    ``wire`` encodes orders and reads their answers, ``tell_away(service,
    server_id, seconds)`` tells all VMs that an engine will be away.
    """

    vm: str
    lease_s: float
    gateway: object
    store: object
    client: object
    wire: object
    tell_away: object
    clock: object = time.monotonic
    boot_clock: object = boot_clock
    planners: dict = attrs.field(factory=dict)
    tenures: dict = attrs.field(factory=dict)
    wanted_s: dict = attrs.field(factory=dict)

    async def run(self):
        """Look at the queues for ever."""
        while True:
            await curio.sleep(INTERVAL_S)
            for service, scheduler in list(self.gateway.schedulers.items()):
                try:
                    await self.look(service, scheduler)
                except errors.MangorockError as exc:
                    logs.event(
                        'stages_not_ordered',
                        service=service,
                        error=exc.message,
                    )

    async def look(self, service, scheduler):
        """Take one look at a service, and order what it calls for."""
        now = self.clock()
        planner = self.planners.setdefault(service, stages.StagePlanner())
        if now - scheduler.asked_s > UNASKED_S:
            planner.pause()
            return
        servers = self.gateway.sound_servers(service)
        planner.forget(self.gateway.registry.lives)
        planner.sample(scheduler, servers, now)
        change = planner.wanted(scheduler, servers, now)
        if change is not None:
            self.wanted_s[service] = now
        if await self._hold(service, now) and change is not None:
            await self._order(service, planner, change)

    async def _hold(self, service, now):
        """Seek, renew or leave the right to order; return whether held."""
        tenure = self.tenures.setdefault(service, stages.Tenure(self.lease_s))
        is_idle = now - self.wanted_s.get(service, -IDLE_S) >= IDLE_S
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

    async def _order(self, service, planner, change):
        state = await self._read_state(change.server)
        if state is None or state.is_busy:
            return
        tenure = self.tenures[service]
        self.tell_away(service, change.server.server_id, AWAY_S)
        await curio.sleep(NEWS_S)
        if not tenure.may_order(self.boot_clock()):
            return
        planner.on_order(change, self.clock())
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
            queue_s=planner.queue_s,
            occupancy=planner.occupancy,
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
