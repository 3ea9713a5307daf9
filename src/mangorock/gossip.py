"""Sends the probes of the membership and handles calls of other daemons."""

import time

import curio

from mangorock import logs
from mangorock import peer_pb2
from mangorock import peers
from mangorock import routers
from mangorock import watcher

SEEDS_PER_TICK = 4
JOIN_RETRY_S = 0.5
LEAVE_PROBES = 4
ENTRY_KIND = 'entry'


async def run_probes(env):
    """Probe other members at the configured interval, in an endless loop."""
    while True:
        await probe_seeds(env)
        for member, message in env.membership.tick(time.monotonic()):
            await curio.spawn(probe, env, member, message, daemon=True)
        jitter = 0.9 + 0.2 * env.rng.random()
        await curio.sleep(env.settings.probe_interval_s * jitter)


def seed_addresses(env):
    """Return the known peer addresses that are not of live members.

    They come from the platform's VM list and from the settings.
    """
    known = {m.peer_address for m in env.membership.alive()}
    listed = [
        vm.peer_address
        for vm in env.vms
        if vm.kind == ENTRY_KIND and vm.peer_address
    ]
    configured = [a for a in env.settings.peers.split(',') if a]
    unknown = {a for a in listed + configured if a not in known}
    return sorted(unknown)


async def probe_seeds(env):
    """Exchange whole member lists with some daemons that are not members."""
    seeds = seed_addresses(env)
    env.rng.shuffle(seeds)
    for address in seeds[:SEEDS_PER_TICK]:
        now = time.monotonic()
        message = env.membership.message(now, wants_all=True, sends_all=True)
        await curio.spawn(
            exchange, env, address, address, message, daemon=True
        )


async def probe(env, member, message):
    """Probe a member; it becomes suspect if it does not answer."""
    await exchange(env, member.vm, member.peer_address, message)


async def exchange(env, vm, address, message):
    """Send a message, process the answer and send any follow-up.

    Newer tables are fetched when the answer mentions them.
    """
    try:
        reply = await env.peers.call(
            address, 'Probe', peers.message_to_proto(message)
        )
    except peers.PeerUnavailable:
        env.membership.on_timeout(vm, time.monotonic())
        return
    answer = peers.message_from_proto(reply)
    follow_up = env.membership.on_answer(answer, time.monotonic())
    if follow_up is not None:
        await exchange(env, vm, address, follow_up)
    await watcher.catch_up(env, answer.vm, answer.revision)


async def serve_calls(env):
    """Handle the calls of other daemons, one at a time."""
    while True:
        incoming = await env.peers.incoming.get()
        try:
            reply = await handle_call(env, incoming.message)
        except Exception as exc:
            # An error in one call must not stop the handling of others.
            logs.warning('peer_call_failed', error=repr(exc))
            incoming.reply.set_exception(exc)
            continue
        incoming.reply.set_result(reply)


async def handle_call(env, message):
    """Return the reply to one call."""
    match message:
        case peer_pb2.ProbeMessage():
            return await handle_probe(env, message)
        case peer_pb2.TablesRequest():
            return watcher.make_tables_reply(env, message)
        case peer_pb2.DrainRequest():
            return handle_drain(env, message)
        case peer_pb2.JoinRequest():
            return handle_join(env, message)
    raise TypeError(f'unknown call {type(message)}')


async def handle_probe(env, proto):
    """Process a probe and return the answer; fetch newer tables."""
    message = peers.message_from_proto(proto)
    reply = env.membership.on_probe(message, time.monotonic())
    if message.revision > env.tables.revision:
        await curio.spawn(
            watcher.catch_up, env, message.vm, message.revision, daemon=True
        )
    return peers.message_to_proto(reply)


def handle_drain(env, message):
    """Stop or resume sending requests to an engine, for its owner."""
    drain_version = (message.token, message.number)
    if message.is_undrain:
        is_accepted = env.router.undrain(message.engine, drain_version)
        return peer_pb2.DrainReply(is_accepted=is_accepted)
    count = env.router.drain(message.engine, drain_version)
    if count is None:
        return peer_pb2.DrainReply(is_accepted=False)
    return peer_pb2.DrainReply(is_accepted=True, in_flight=count)


def handle_join(env, message):
    """Register a starting router; return the engines that are drained."""
    env.router_set.join(message.vm)
    drained = [
        peer_pb2.Drained(engine=address, token=token, number=number)
        for address, (token, number) in env.router.drain_versions.items()
    ]
    return peer_pb2.JoinReply(vm=env.settings.vm, drained=drained)


async def join(env):
    """Register as a router with every daemon of the failure domain.

    Until then requests are forwarded to other daemons: an owner that does
    not know this router could order an engine to change while the engine
    runs requests of this router.
    """
    answered = set()
    # Wait for the first probes to discover the members.
    await curio.sleep(env.settings.probe_interval_s)
    while True:
        unanswered = routers.members_to_ask(
            env.membership.members.values(),
            env.settings.failure_domain,
            answered,
            {vm.name for vm in env.vms},
        )
        if not unanswered:
            break
        for member in unanswered:
            await send_join(env, member, answered)
        await curio.sleep(JOIN_RETRY_S)
    env.is_joined = True
    logs.event('joined', members=len(answered))


async def send_join(env, member, answered):
    """Send a join to one daemon; add it to ``answered`` if it replies."""
    request = peer_pb2.JoinRequest(vm=env.settings.vm)
    try:
        reply = await env.peers.call(member.peer_address, 'Join', request)
    except peers.PeerUnavailable:
        env.membership.on_timeout(member.vm, time.monotonic())
        return
    for drained in reply.drained:
        drain_version = (drained.token, drained.number)
        env.router.drain(drained.engine, drain_version)
    answered.add(member.vm)


async def leave(env):
    """Announce to some members that this daemon is stopping."""
    env.membership.leave()
    members = env.membership.alive()[1 : LEAVE_PROBES + 1]
    message = env.membership.message(time.monotonic(), sends_all=True)
    for member in members:
        try:
            await env.peers.call(
                member.peer_address, 'Probe', peers.message_to_proto(message)
            )
        except peers.PeerUnavailable:
            continue
