"""Carries the owner's calls: to the platform, the routers and the engines.

One task owns the `owner.Owner` of the daemon's failure domain.  It feeds it
events from a queue and runs each action in a task of its own, whose outcome
comes back as an event.
"""

import time
import uuid

import curio
import curio.errors
import h11

from mangorock import engine
from mangorock import errors
from mangorock import gossip
from mangorock import logs
from mangorock import membership
from mangorock import owner
from mangorock import ownership
from mangorock import peer_pb2
from mangorock import peers
from mangorock import planner

TICK_S = 0.2
# A daemon without the duty looks less often.
IDLE_TICK_S = 1.0
ENGINE_TIMEOUT_S = 5.0
RELEASE_LIMIT_S = 10.0
LEASE_RETRY_S = 2.0


def record_key(env):
    """Return the platform key of the domain's ownership record."""
    return f'mangorock/owner/{env.settings.failure_domain}'


def domain_engines(env):
    """Return address to checks_fencing for the own domain's engines."""
    return {
        server.address: server.checks_fencing
        for pool in env.tables.pools.values()
        if pool.kind == 'engines'
        for server in pool.servers.values()
        if server.failure_domain == env.settings.failure_domain
    }


def is_wanted(env):
    """Say whether this daemon is the first choice for the duty."""
    domain = env.settings.failure_domain
    vms = [m.vm for m in env.membership.alive(domain)]
    first = membership.rank(f'owner {domain}', vms)[0]
    return first == env.settings.vm and env.is_joined


async def hold(env):
    """Run the duty for ever."""
    duty = Duty(env)
    env.owner = duty.owner
    await curio.spawn(duty.keep_lease, daemon=True)
    while True:
        await duty.step()


async def release(env):
    """Give the duty up, within a limit, before the daemon ends."""
    if env.owner is None:
        return
    env.owner.handle(ownership.Release(), time.monotonic())
    end_s = time.monotonic() + RELEASE_LIMIT_S
    held = (owner.Phase.OWNING, owner.Phase.TAKING, owner.Phase.RELEASING)
    while env.owner.phase in held and time.monotonic() < end_s:
        await curio.sleep(TICK_S / 2)
    logs.event('duty_released', phase=env.owner.phase.value)


class Duty:
    """The task that owns the state machine."""

    def __init__(self, env):
        self.env = env
        self.owner = owner.Owner(env.settings.vm, uuid.uuid4().hex)
        self.planners = planner.Planners(env)
        self.events = curio.Queue()

    async def step(self):
        """Take the events of one interval, then tick."""
        try:
            async with curio.timeout_after(self._tick_s()):
                while True:
                    event = await self.events.get()
                    await self._handle(event)
        except curio.errors.TaskTimeout:
            await self._tick()

    def _tick_s(self):
        is_free = self.owner.phase is owner.Phase.FREE
        return IDLE_TICK_S if is_free else TICK_S

    async def _tick(self):
        env, now = self.env, time.monotonic()
        self._update(now)
        await self._handle(ownership.Tick(is_wanted(env)))
        for wish in self.planners.wishes(self.owner, now):
            await self._handle(wish)

    def _update(self, now):
        env = self.env
        domain = env.settings.failure_domain
        env.router_set.join(env.settings.vm)
        members = env.membership.members.values()
        env.router_set.take_members(members, domain)
        for vm in env.vms:
            if vm.failure_domain == domain and vm.kind == gossip.ENTRY_KIND:
                env.router_set.join(vm.name)
        names = {vm.name for vm in env.vms}
        if names:
            env.router_set.take_list(names, now)
            self.owner.take_vms(names, now)
        self.owner.routers = env.router_set.current()
        self.owner.engines = domain_engines(env)

    async def _handle(self, event):
        phase = self.owner.phase
        for action in self.owner.handle(event, time.monotonic()):
            await curio.spawn(self._run, action, daemon=True)
        if self.owner.phase is not phase:
            logs.event(
                'duty',
                phase=self.owner.phase.value,
                token=self.owner.token,
            )

    async def _run(self, action):
        match action:
            case ownership.ReadRecord():
                event = await self._read_record()
            case ownership.SwapRecord():
                event = await self._swap_record(action)
            case ownership.AskDrain():
                event = await self._ask_drain(action)
            case ownership.ReadState():
                event = await self._read_state(action)
            case ownership.SendOrder():
                event = await self._send_order(action)
        if event is not None:
            await self.events.put(event)

    async def _read_record(self):
        platform = self.env.platform
        try:
            entry = await platform.get(record_key(self.env))
            if not entry.version:
                return ownership.RecordRead(None, 0)
            record = ownership.record_from_text(entry.value)
            alive = await platform.get(lease_key(record))
        except errors.PlatformUnavailable:
            return ownership.RecordUnknown()
        return ownership.RecordRead(record, entry.version, bool(alive.version))

    async def _swap_record(self, action):
        try:
            done, version = await self.env.platform.compare_and_swap(
                record_key(self.env), action.record.to_text(), action.expected
            )
        except (errors.PlatformUnavailable, errors.OutcomeUnknown):
            return ownership.RecordUnknown()
        if done:
            return ownership.RecordSwapped(version)
        return ownership.RecordRefused()

    async def _ask_drain(self, action):
        env, (token, number) = self.env, action.mark
        request = peer_pb2.DrainRequest(
            engine=action.engine,
            token=token,
            number=number,
            is_undrain=action.is_undrain,
        )
        if action.vm == env.settings.vm:
            reply = gossip.handle_drain(env, request)
        else:
            member = env.membership.members.get(action.vm)
            if member is None:
                return None
            try:
                reply = await env.peers.call(
                    member.peer_address, 'Drain', request
                )
            except peers.PeerUnavailable:
                return None
        return ownership.DrainAnswered(
            action.engine,
            action.vm,
            action.mark,
            reply.is_accepted,
            reply.in_flight,
            action.is_undrain,
        )

    async def _read_state(self, action):
        asked_s = time.monotonic()
        try:
            async with curio.timeout_after(ENGINE_TIMEOUT_S):
                state = await engine.fetch_state(
                    self.env.client, action.engine
                )
        except engine.FAILURES:
            state = None
        return ownership.StateRead(action.engine, state, asked_s)

    async def _send_order(self, action):
        order = action.order
        try:
            async with curio.timeout_after(ENGINE_TIMEOUT_S):
                await engine.send_order(self.env.client, action.engine, order)
            outcome = ownership.Outcome.TAKEN
        except engine.OrderRefused:
            outcome = ownership.Outcome.REFUSED
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout):
            outcome = ownership.Outcome.UNKNOWN
        self.env.metrics.add(f'orders.{outcome.value}')
        logs.event(
            'order',
            engine=action.engine,
            order=order.order_id,
            kind=order.kind,
            value=order.value,
            outcome=outcome.value,
        )
        return ownership.OrderAnswered(action.engine, outcome)

    async def keep_lease(self):
        """Hold a lease, with a key that shows it is alive, for ever.

        Only a daemon that holds or seeks the duty needs one, so the
        platform's writes do not grow with the number of daemons.
        """
        platform = self.env.platform
        lease = ''
        while True:
            is_free = self.owner.phase is owner.Phase.FREE
            if is_free and not is_wanted(self.env):
                await curio.sleep(IDLE_TICK_S)
                continue
            try:
                if not lease or not await platform.keep_lease(lease):
                    lease = await self._new_lease()
            except (errors.PlatformUnavailable, errors.OutcomeUnknown):
                await curio.sleep(LEASE_RETRY_S)
                continue
            await curio.sleep(self.env.settings.lease_s / 3)

    async def _new_lease(self):
        platform = self.env.platform
        lease = await platform.grant_lease(self.env.settings.lease_s)
        await platform.compare_and_swap(
            f'mangorock/alive/{lease}', '', 0, lease
        )
        await self.events.put(ownership.LeaseLost(lease))
        return lease


def lease_key(record):
    """Return the key that hangs on a record's lease."""
    return f'mangorock/alive/{record.lease}'
