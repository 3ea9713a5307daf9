"""Runs the owner state machine and its calls to platform, routers, engines.

One task runs the `owner.Owner` of the daemon's failure domain.  It passes
events from a queue to it and runs each resulting action in a separate task,
which puts its result into the queue as an event.
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

TICK_INTERVAL_S = 0.2
# A daemon that is not the owner ticks less often.
IDLE_TICK_INTERVAL_S = 1.0
ENGINE_TIMEOUT_S = 5.0
RELEASE_TIMEOUT_S = 10.0
LEASE_RETRY_INTERVAL_S = 2.0


def record_key(env):
    """Return the key of the failure domain's ownership record."""
    return f'mangorock/owner/{env.settings.failure_domain}'


def domain_engines(env):
    """Return this failure domain's engines.

    The dict maps an engine's address to its ``checks_fencing``.
    """
    return {
        server.address: server.checks_fencing
        for pool in env.tables.pools.values()
        if pool.kind == 'engines'
        for server in pool.servers.values()
        if server.failure_domain == env.settings.failure_domain
    }


def is_preferred_owner(env):
    """Return whether this daemon should own its failure domain's engines.

    The preferred owner ranks first among the domain's live VMs.
    """
    domain = env.settings.failure_domain
    vms = [m.vm for m in env.membership.alive(domain)]
    preferred_vm = membership.rank(f'owner {domain}', vms)[0]
    return preferred_vm == env.settings.vm and env.is_joined


async def run_forever(env):
    """Seek and exercise ownership until the daemon stops."""
    task = OwnerTask(env)
    env.owner = task.owner
    await curio.spawn(task.keep_lease, daemon=True)
    while True:
        await task.step()


async def release(env):
    """Release ownership before the daemon exits.

    Waits at most ``RELEASE_TIMEOUT_S``.
    """
    if env.owner is None:
        return
    env.owner.handle(ownership.ReleaseRequested(), time.monotonic())
    deadline_s = time.monotonic() + RELEASE_TIMEOUT_S
    holding_phases = (
        owner.Phase.OWNING,
        owner.Phase.TAKING,
        owner.Phase.RELEASING,
    )
    while env.owner.phase in holding_phases and time.monotonic() < deadline_s:
        await curio.sleep(TICK_INTERVAL_S / 2)
    logs.event('duty_released', phase=env.owner.phase.value)


class OwnerTask:
    """Drives the `owner.Owner` of this daemon."""

    def __init__(self, env):
        self.env = env
        self.owner = owner.Owner(env.settings.vm, uuid.uuid4().hex)
        self.planners = planner.Planners(env)
        self.events = curio.Queue()

    async def step(self):
        """Process events for one tick interval, then tick."""
        try:
            async with curio.timeout_after(self._tick_interval_s()):
                while True:
                    event = await self.events.get()
                    await self._dispatch(event)
        except curio.errors.TaskTimeout:
            await self._tick()

    def _tick_interval_s(self):
        is_free = self.owner.phase is owner.Phase.FREE
        return IDLE_TICK_INTERVAL_S if is_free else TICK_INTERVAL_S

    async def _tick(self):
        env, now = self.env, time.monotonic()
        self._update_owner(now)
        await self._dispatch(ownership.Tick(is_preferred_owner(env)))
        for event in self.planners.wanted_changes(self.owner, now):
            await self._dispatch(event)

    def _update_owner(self, now):
        env = self.env
        domain = env.settings.failure_domain
        env.router_set.join(env.settings.vm)
        members = env.membership.members.values()
        env.router_set.update_members(members, domain)
        for vm in env.vms:
            if vm.failure_domain == domain and vm.kind == gossip.ENTRY_KIND:
                env.router_set.join(vm.name)
        names = {vm.name for vm in env.vms}
        if names:
            env.router_set.update_vm_list(names, now)
            self.owner.update_listed_vms(names, now)
        self.owner.routers = env.router_set.current()
        self.owner.engines = domain_engines(env)

    async def _dispatch(self, event):
        phase = self.owner.phase
        for action in self.owner.handle(event, time.monotonic()):
            await curio.spawn(self._run_action, action, daemon=True)
        if self.owner.phase is not phase:
            logs.event(
                'duty',
                phase=self.owner.phase.value,
                token=self.owner.token,
            )

    async def _run_action(self, action):
        match action:
            case ownership.ReadRecord():
                event = await self._read_record()
            case ownership.SwapRecord():
                event = await self._swap_record(action)
            case ownership.RequestDrain():
                event = await self._request_drain(action)
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
            record = ownership.parse_record(entry.value)
            lease_entry = await platform.get(lease_key(record))
        except errors.PlatformUnavailable:
            return ownership.RecordOutcomeUnknown()
        return ownership.RecordRead(
            record, entry.version, bool(lease_entry.version)
        )

    async def _swap_record(self, action):
        try:
            is_applied, version = await self.env.platform.swap(
                record_key(self.env), action.record.to_text(), action.expected
            )
        except (errors.PlatformUnavailable, errors.OutcomeUnknown):
            return ownership.RecordOutcomeUnknown()
        if is_applied:
            return ownership.RecordSwapped(version)
        return ownership.RecordConflict()

    async def _request_drain(self, action):
        env, (token, number) = self.env, action.drain_version
        request = peer_pb2.DrainRequest(
            engine=action.engine,
            token=token,
            number=number,
            is_undrain=action.is_undrain,
        )
        if action.vm == env.settings.vm:
            reply = gossip.answer_drain(env, request)
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
            action.drain_version,
            reply.is_accepted,
            reply.in_flight,
            action.is_undrain,
        )

    async def _read_state(self, action):
        requested_s = time.monotonic()
        try:
            async with curio.timeout_after(ENGINE_TIMEOUT_S):
                state = await engine.fetch_state(
                    self.env.client, action.engine
                )
        except engine.CALL_ERRORS:
            state = None
        return ownership.StateRead(action.engine, state, requested_s)

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
        """Keep a lease alive, together with a key that is attached to it.

        The key lets other daemons see whether the lease is still valid.
        Only a daemon that has or seeks ownership needs a lease, so the
        number of writes to the platform does not grow with the number of
        daemons.
        """
        platform = self.env.platform
        lease = ''
        while True:
            is_free = self.owner.phase is owner.Phase.FREE
            if is_free and not is_preferred_owner(self.env):
                await curio.sleep(IDLE_TICK_INTERVAL_S)
                continue
            try:
                if not lease or not await platform.keep_lease(lease):
                    lease = await self._new_lease()
            except (errors.PlatformUnavailable, errors.OutcomeUnknown):
                await curio.sleep(LEASE_RETRY_INTERVAL_S)
                continue
            await curio.sleep(self.env.settings.lease_s / 3)

    async def _new_lease(self):
        platform = self.env.platform
        lease = await platform.grant_lease(self.env.settings.lease_s)
        await platform.swap(f'mangorock/alive/{lease}', '', 0, lease)
        await self.events.put(ownership.LeaseLost(lease))
        return lease


def lease_key(record):
    """Return the key that is attached to the lease of a record."""
    return f'mangorock/alive/{record.lease}'
