"""Keeps the tables and the VM list fresh.

In each failure domain the two daemons ranked first watch the platform; the
others learn new revisions from their neighbours as deltas.  A daemon that
knows no tables yet asks the platform and its peers whatever its rank.
"""

import curio
import orjson

from mangorock import errors
from mangorock import logs
from mangorock import membership
from mangorock import peer_pb2
from mangorock import peers
from mangorock import tables

WATCHERS = 2
WATCH_WAIT_S = 20.0
RETRY_S = 2.0
VMS_EVERY_S = 5.0
NOT_MY_TURN_S = 3.0


def is_watcher(env):
    """Say whether this daemon watches the platform for its domain."""
    domain = env.settings.failure_domain
    vms = [m.vm for m in env.membership.alive(domain)]
    ranked = membership.rank('watch tables', vms)
    return env.settings.vm in ranked[:WATCHERS]


async def watch_tables(env):
    """Follow the tables' key for ever."""
    version = 0
    while True:
        if env.tables.revision and not is_watcher(env):
            await curio.sleep(NOT_MY_TURN_S)
            continue
        try:
            entry = await env.platform.watch(tables.KEY, version, WATCH_WAIT_S)
        except errors.PlatformUnavailable as exc:
            logs.warning('platform_unavailable', error=exc.message)
            await curio.sleep(RETRY_S * (0.5 + env.random.random()))
            continue
        version = entry.version
        if entry.version:
            take_value(env, entry.value)


def take_value(env, text):
    """Take the tables' value as the platform keeps it."""
    try:
        newer = tables.from_data(orjson.loads(text))
    except (errors.InvalidTables, orjson.JSONDecodeError) as exc:
        logs.warning('tables_rejected', error=str(exc))
        return
    log_taken(env, newer, 'platform')


def log_taken(env, newer, source):
    """Move to newer tables and log it."""
    if env.update_tables(newer):
        logs.event('tables_taken', revision=newer.revision, source=source)


async def fetch_from_peer(env, address):
    """Ask a daemon for its newer tables."""
    request = peer_pb2.TablesRequest(revision=env.tables.revision)
    reply = await env.peers.call(address, 'FetchTables', request)
    if reply.revision <= env.tables.revision or not reply.data:
        return
    try:
        newer = from_reply(env.tables, reply)
    except errors.Conflict:
        request = peer_pb2.TablesRequest(revision=0)
        reply = await env.peers.call(address, 'FetchTables', request)
        newer = from_reply(env.tables, reply)
    log_taken(env, newer, address)


def from_reply(current, reply):
    """Return the `tables.Tables` in a reply."""
    data = orjson.loads(reply.data)
    if not reply.base:
        return tables.from_data(data)
    delta = tables.Delta(
        reply.base,
        reply.revision,
        data['put'],
        tuple(data['deleted']),
        data['digest'],
    )
    return tables.apply_delta(current, delta)


def answer_fetch(env, request):
    """Return the reply to a daemon at ``request.revision``."""
    delta = env.tables_history.changes_since(request.revision)
    if delta is None:
        return peer_pb2.TablesReply(revision=env.tables.revision)
    if isinstance(delta, tables.Tables):
        data = orjson.dumps(delta.to_data())
        return peer_pb2.TablesReply(revision=delta.revision, data=data)
    data = orjson.dumps(
        {
            'put': delta.put,
            'deleted': list(delta.deleted),
            'digest': delta.digest,
        }
    )
    return peer_pb2.TablesReply(
        base=delta.base, revision=delta.revision, data=data
    )


async def watch_vms(env):
    """Follow the platform's VM list for ever."""
    while True:
        try:
            vms = await env.platform.list_vms()
        except errors.PlatformUnavailable:
            await curio.sleep(RETRY_S)
            continue
        env.vms = vms
        env.router.update_vms(vms)
        await curio.sleep(VMS_EVERY_S * (0.5 + env.random.random()))


async def catch_up(env, message_vm, revision):
    """Fetch the tables when a daemon tells of a newer revision."""
    if revision <= env.tables.revision:
        return
    member = env.membership.members.get(message_vm)
    if member is None:
        return
    try:
        await fetch_from_peer(env, member.peer_address)
    except (peers.PeerUnavailable, errors.InvalidTables) as exc:
        logs.warning('tables_not_fetched', peer=message_vm, error=str(exc))
