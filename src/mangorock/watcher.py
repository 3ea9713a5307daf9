"""Keeps the routing tables and the VM list up to date.

In each failure domain the two daemons ranked first watch the platform; the
others fetch new revisions from their peers as deltas.  A daemon without any
tables asks the platform and its peers regardless of its rank.
"""

import curio
import orjson

from mangorock import errors
from mangorock import logs
from mangorock import membership
from mangorock import peer_pb2
from mangorock import peers
from mangorock import platform
from mangorock import tables

WATCHERS_PER_DOMAIN = 2
# A change of the tables is in force on all daemons within this time, also if
# the response to a watch was lost when it was made.
IN_FORCE_S = 15.0
# Part of it for reading the tables again and telling the other daemons.
SPREAD_S = 3.0
RETRY_S = 2.0
MAX_RETRY_S = 1.5 * RETRY_S
# The platform ends a watch without changes after this time.
WATCH_WAIT_S = IN_FORCE_S - SPREAD_S - MAX_RETRY_S - platform.CALL_TIMEOUT_S
VMS_INTERVAL_S = 5.0
STANDBY_INTERVAL_S = 3.0


def is_watcher(env):
    """Say whether this daemon watches the platform for its domain.

    The ranking is the same on every daemon with the same member list.
    """
    domain = env.settings.failure_domain
    vms = [m.vm for m in env.membership.alive(domain)]
    ranked = membership.rank('watch tables', vms)
    return env.settings.vm in ranked[:WATCHERS_PER_DOMAIN]


async def watch_tables(env):
    """Watch the key of the tables in an endless loop."""
    version = 0
    while True:
        if env.tables.revision and not is_watcher(env):
            await curio.sleep(STANDBY_INTERVAL_S)
            continue
        try:
            entry = await env.platform.watch(tables.KEY, version, WATCH_WAIT_S)
        except errors.PlatformUnavailable as exc:
            logs.warning('platform_unavailable', error=exc.message)
            await curio.sleep(RETRY_S * (0.5 + env.rng.random()))
            continue
        version = entry.version
        if entry.version:
            load_tables(env, entry.value)


def load_tables(env, text):
    """Parse the stored tables and adopt them if they are newer."""
    try:
        newer = tables.from_data(orjson.loads(text))
    except (errors.InvalidTables, orjson.JSONDecodeError) as exc:
        logs.warning('tables_rejected', error=str(exc))
        return
    adopt_tables(env, newer, 'platform')


def adopt_tables(env, newer, source):
    """Make ``newer`` the current tables and log the change."""
    if env.update_tables(newer):
        logs.event('tables_taken', revision=newer.revision, source=source)


async def fetch_from_peer(env, address):
    """Fetch newer tables from the daemon at ``address``.

    A delta that does not apply is replaced by the whole tables.
    """
    request = peer_pb2.TablesRequest(revision=env.tables.revision)
    reply = await env.peers.call(address, 'FetchTables', request)
    if reply.revision <= env.tables.revision or not reply.data:
        return
    try:
        newer = tables_from_reply(env.tables, reply)
    except errors.Conflict:
        request = peer_pb2.TablesRequest(revision=0)
        reply = await env.peers.call(address, 'FetchTables', request)
        newer = tables_from_reply(env.tables, reply)
    adopt_tables(env, newer, address)


def tables_from_reply(current, reply):
    """Return the `tables.Tables` of a reply, from whole tables or a delta."""
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


def make_tables_reply(env, request):
    """Return what a daemon at ``request.revision`` lacks.

    That is nothing, a delta or the whole tables.
    """
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
    """Poll the platform's VM list in an endless loop."""
    while True:
        try:
            vms = await env.platform.list_vms()
        except errors.PlatformUnavailable:
            await curio.sleep(RETRY_S)
            continue
        env.vms = vms
        env.router.update_vms(vms)
        await curio.sleep(VMS_INTERVAL_S * (0.5 + env.rng.random()))


async def catch_up(env, vm, revision):
    """Fetch the tables of ``vm`` if its ``revision`` is newer."""
    if revision <= env.tables.revision:
        return
    member = env.membership.members.get(vm)
    if member is None:
        return
    try:
        await fetch_from_peer(env, member.peer_address)
    except (peers.PeerUnavailable, errors.InvalidTables) as exc:
        logs.warning('tables_not_fetched', peer=vm, error=str(exc))
