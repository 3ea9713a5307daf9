"""The administration API, used by mangorockctl.

All calls except ``/healthz`` and ``/readyz`` require the operator token.
Edits are written to the platform's key-value service by compare-and-swap.  If
the response to a write is lost, the value is read back and searched for the
id of the change, to determine whether the write took effect.
"""

import curio
import orjson

from mangorock import errors
from mangorock import gossip
from mangorock import http
from mangorock import identify
from mangorock import logs
from mangorock import peer_pb2
from mangorock import peers
from mangorock import rows
from mangorock import tables
from mangorock import watcher

MAX_SWAP_ATTEMPTS = 8
# No daemon has a newer revision, so a request with this one returns only the
# revision of the daemon and no tables.
MAX_REVISION = 2**63


async def handle(env, request, responder):
    """Send the response to a request of the administration API."""
    try:
        data = await dispatch(env, request)
        await responder.respond(200, data)
    except errors.MangorockError as exc:
        env.metrics.count_refusal(exc.reason)
        await http.send_error(responder, exc)


async def dispatch(env, request):
    """Return the response to a request as JSON-serializable data."""
    path = request.path.partition('?')[0]
    match request.method, path:
        case 'GET', '/healthz':
            return {'is_alive': True}
        case 'GET', '/readyz':
            env.check_ready()
            return {'is_ready': True, 'revision': env.tables.revision}
    check_token(env, request)
    match request.method, path.strip('/').split('/'):
        case 'GET', ['v1', 'tables']:
            return (await read_tables(env))[0].to_data()
        case 'POST', ['v1', 'tables', 'check']:
            return check_tables(request.json())
        case 'POST', ['v1', 'changes']:
            return await apply_change(env, request.json())
        case 'GET', ['v1', 'status']:
            return describe_daemon(env)
        case 'GET', ['v1', 'revisions']:
            return await collect_revisions(env)
        case 'GET', ['v1', 'metrics']:
            return env.metrics.counts
    raise errors.NotFound(
        f'{request.method} {path} does not exist; see docs/operators.rst'
    )


def check_token(env, request):
    """Raise `errors.Unauthenticated` unless the operator token is valid.

    No token is required if none is configured.
    """
    token = env.settings.operator_token
    if token and not identify.has_bearer_token(request.headers, token):
        raise errors.Unauthenticated(
            'operator token is missing or wrong; set MANGOROCK_OPERATOR_TOKEN'
        )


def check_tables(data):
    """Validate complete tables without applying them."""
    if not isinstance(data, dict):
        raise errors.BadRequest('the body is not a JSON object')
    tables.from_data({t: data.get(t, {}) for t in rows.TABLES})
    return {'is_valid': True}


async def read_tables(env):
    """Return the ``(Tables, version)`` stored in the platform.

    Raises `errors.PlatformUnavailable`.
    """
    entry = await env.platform.get(tables.KEY)
    if not entry.version:
        return tables.empty(), 0
    return tables.from_data(orjson.loads(entry.value)), entry.version


async def apply_change(env, data):
    """Apply edits and return the revision that contains them.

    If another operator has changed other rows in the meantime, the edits are
    applied to the new value and the swap is retried.

    Raises `errors.Conflict`, `errors.InvalidTables`,
    `errors.PlatformUnavailable` or `errors.OutcomeUnknown`.
    """
    edits, change_id, author = parse_change(data)
    for _ in range(MAX_SWAP_ATTEMPTS):
        current, version = await read_tables(env)
        previous = current.find_change(change_id)
        if previous is not None:
            return change_reply(previous.revision, change_id)
        updated = tables.apply(current, edits, change_id, author)
        value = orjson.dumps(updated.to_data()).decode()
        try:
            is_swapped, _ = await env.platform.compare_and_swap(
                tables.KEY, value, version
            )
        except errors.OutcomeUnknown:
            # The next iteration reads the tables back and searches them for
            # the change id.
            continue
        if is_swapped:
            watcher.adopt_tables(env, updated, 'change')
            logs.event(
                'change_accepted', change=change_id, revision=updated.revision
            )
            return change_reply(updated.revision, change_id)
    raise errors.OutcomeUnknown(
        f'the outcome of change {change_id} is unknown after '
        f'{MAX_SWAP_ATTEMPTS} attempts; send it again with the same id'
    )


def change_reply(revision, change_id):
    """Return the response to an accepted change."""
    return {'revision': revision, 'change_id': change_id}


def parse_change(data):
    """Return (edits, change id, author) from the body of a change."""
    if not isinstance(data, dict):
        raise errors.BadRequest('the body is not a JSON object')
    change_id, author = data.get('change_id'), data.get('author', '')
    if not isinstance(change_id, str) or not change_id:
        raise errors.BadRequest(
            '"change_id" is missing; send a unique id for each change'
        )
    edits = []
    for item in data.get('edits') or ():
        try:
            edits.append(
                tables.Edit(
                    item['table'],
                    item['name'],
                    item['row'],
                    int(item['expected']),
                )
            )
        except (LookupError, TypeError, ValueError):
            raise errors.BadRequest(
                'an edit requires the fields table, name, row and expected'
            )
    if not edits:
        raise errors.BadRequest('"edits" is empty; send at least one edit')
    return edits, change_id, str(author)


async def collect_revisions(env):
    """Return the revision of each live daemon, or -1 if it is unreachable.

    The daemons are those in the platform's list of VMs and the live members.
    A daemon that is partitioned from the others is thus reported with -1
    instead of being omitted.
    """
    addresses = {
        vm.name: vm.peer_address
        for vm in env.vms
        if vm.kind == gossip.ENTRY_KIND and vm.state == 'live'
    }
    for member in env.membership.alive():
        addresses[member.vm] = member.peer_address
    revisions = {}
    async with curio.TaskGroup() as group:
        for vm, address in addresses.items():
            await group.spawn(fetch_revision, env, vm, address, revisions)
    return revisions


async def fetch_revision(env, vm, address, revisions):
    """Store the revision of a daemon in ``revisions``."""
    if vm == env.settings.vm:
        revisions[vm] = env.tables.revision
        return
    request = peer_pb2.TablesRequest(revision=MAX_REVISION)
    try:
        reply = await env.peers.call(address, 'FetchTables', request)
    except peers.PeerUnavailable:
        revisions[vm] = -1
        return
    revisions[vm] = reply.revision


def describe_daemon(env):
    """Return the status of this daemon: members, servers and duties."""
    return {
        'vm': env.settings.vm,
        'failure_domain': env.settings.failure_domain,
        'revision': env.tables.revision,
        'is_stopping': env.is_stopping,
        'is_joined': env.is_joined,
        'in_flight': env.in_flight,
        'members': [describe_member(env, m) for m in members(env)],
        'servers': [
            describe_server(env, v) for v in env.router.views.values()
        ],
        'duties': [env.owner.status()] if env.owner else [],
    }


def members(env):
    """Return this daemon and all other known members."""
    return [env.membership.me, *env.membership.members.values()]


def describe_member(env, member):
    """Return a member as JSON-serializable data."""
    revision = env.membership.revisions.get(member.vm, 0)
    if member.vm == env.settings.vm:
        revision = env.tables.revision
    return {
        'vm': member.vm,
        'failure_domain': member.failure_domain,
        'state': member.state.name.lower(),
        'revision': revision,
        'caller_address': member.caller_address,
    }


def describe_server(env, view):
    """Return the router's view of a backend server."""
    return {
        'pool': view.pool,
        'name': view.name,
        'address': view.address,
        'role': view.role,
        'in_flight': len(view.in_flight),
        'is_draining': view.is_draining
        or view.address in env.router.drain_versions,
        'is_leaving': view.is_shutting_down(),
        'prefill_tps': round(view.prefill_tps),
        'step_ms': round(view.step_s * 1000, 1),
    }
