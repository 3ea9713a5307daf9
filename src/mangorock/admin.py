"""The administration API, used by mangorockctl.

Every call but ``/healthz`` and ``/readyz`` needs the operators' token.
Edits go to the platform's service by compare-and-swap; a lost answer is
settled by reading the value back and looking for the change's id.
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

MAX_SWAPS = 8
# Asks for the revision alone: no daemon can have a newer one.
NEWEST = 2**63


async def handle(env, request, responder):
    """Answer one request of the administration API."""
    try:
        data = await answer(env, request)
        await responder.respond(200, data)
    except errors.MangorockError as exc:
        env.metrics.refused(exc.reason)
        await http.send_error(responder, exc)


async def answer(env, request):
    """Return the JSON-able answer to a request."""
    path = request.path.partition('?')[0]
    match request.method, path:
        case 'GET', '/healthz':
            return {'is_alive': True}
        case 'GET', '/readyz':
            env.check_ready()
            return {'is_ready': True, 'revision': env.tables.revision}
    check_operator(env, request)
    match request.method, path.strip('/').split('/'):
        case 'GET', ['v1', 'tables']:
            return (await read(env))[0].to_data()
        case 'POST', ['v1', 'tables', 'check']:
            return check(request.json())
        case 'POST', ['v1', 'changes']:
            return await change(env, request.json())
        case 'GET', ['v1', 'status']:
            return status(env)
        case 'GET', ['v1', 'revisions']:
            return await revisions(env)
        case 'GET', ['v1', 'metrics']:
            return env.metrics.counts
    raise errors.NotFound(
        f'no call {request.method} {path}; see docs/operators.rst'
    )


def check_operator(env, request):
    """Raise unless the request carries the operators' token."""
    token = env.settings.operator_token
    if token and not identify.has_bearer_token(request.headers, token):
        raise errors.Unauthenticated(
            'operator token missing or wrong; set MANGOROCK_OPERATOR_TOKEN'
        )


def check(data):
    """Validate whole tables without applying them."""
    if not isinstance(data, dict):
        raise errors.BadRequest('the body is no JSON object; send one')
    tables.from_data({t: data.get(t, {}) for t in rows.TABLES})
    return {'is_valid': True}


async def read(env):
    """Return the platform's ``(Tables, version)``.

    Raises `errors.PlatformUnavailable`.
    """
    entry = await env.platform.get(tables.KEY)
    if not entry.version:
        return tables.empty(), 0
    return tables.from_data(orjson.loads(entry.value)), entry.version


async def change(env, data):
    """Apply edits and return the revision in which they are accepted.

    Edits of other rows by other operators rebase: the swap is tried again
    on the newer value.  Raises `errors.Conflict`, `errors.InvalidTables`,
    `errors.PlatformUnavailable` or `errors.OutcomeUnknown`.
    """
    edits, change_id, author = parse_change(data)
    for _ in range(MAX_SWAPS):
        current, version = await read(env)
        logged = current.find_change(change_id)
        if logged is not None:
            return accepted(logged.revision, change_id)
        newer = tables.apply(current, edits, change_id, author)
        text = orjson.dumps(newer.to_data()).decode()
        try:
            done, _ = await env.platform.compare_and_swap(
                tables.KEY, text, version
            )
        except errors.OutcomeUnknown:
            # The next round reads back and finds the change id, or not.
            continue
        if done:
            watcher.adopt_tables(env, newer, 'change')
            logs.event(
                'change_accepted', change=change_id, revision=newer.revision
            )
            return accepted(newer.revision, change_id)
    raise errors.OutcomeUnknown(
        f'change {change_id} was not settled after {MAX_SWAPS} tries; send '
        'it again with the same id'
    )


def accepted(revision, change_id):
    """Return the answer to an accepted change."""
    return {'revision': revision, 'change_id': change_id}


def parse_change(data):
    """Return (edits, change id, author) of a change's body."""
    if not isinstance(data, dict):
        raise errors.BadRequest('the body is no JSON object; send one')
    change_id, author = data.get('change_id'), data.get('author', '')
    if not isinstance(change_id, str) or not change_id:
        raise errors.BadRequest(
            '"change_id" is missing; send one that is new for each change'
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
                'an edit lacks table, name, row or expected; send all four'
            )
    if not edits:
        raise errors.BadRequest('"edits" is empty; send one or more')
    return edits, change_id, str(author)


async def revisions(env):
    """Ask every live daemon for its revision; -1 where none answers.

    Daemons that the platform's list shows are asked as well, so one that
    is cut off is named rather than left out.
    """
    addresses = {
        vm.name: vm.peer_address
        for vm in env.vms
        if vm.kind == gossip.ENTRY_KIND and vm.state == 'live'
    }
    for member in env.membership.alive():
        addresses[member.vm] = member.peer_address
    found = {}
    async with curio.TaskGroup() as group:
        for vm, address in addresses.items():
            await group.spawn(ask_revision, env, vm, address, found)
    return found


async def ask_revision(env, vm, address, found):
    """Put one daemon's revision into ``found``."""
    if vm == env.settings.vm:
        found[vm] = env.tables.revision
        return
    newest = peer_pb2.TablesRequest(revision=NEWEST)
    try:
        reply = await env.peers.call(address, 'FetchTables', newest)
    except peers.PeerUnavailable:
        found[vm] = -1
        return
    found[vm] = reply.revision


def status(env):
    """Return what this daemon knows: members, servers and duties."""
    return {
        'vm': env.settings.vm,
        'failure_domain': env.settings.failure_domain,
        'revision': env.tables.revision,
        'is_stopping': env.is_stopping,
        'is_joined': env.is_joined,
        'in_flight': env.in_flight,
        'members': [member_status(env, m) for m in members(env)],
        'servers': [server_status(env, v) for v in env.router.views.values()],
        'duties': [env.owner.status()] if env.owner else [],
    }


def members(env):
    """Return this daemon and the members it knows."""
    return [env.membership.me, *env.membership.members.values()]


def member_status(env, member):
    """Return one member as JSON-able data."""
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


def server_status(env, view):
    """Return what the router knows of one backend server."""
    return {
        'pool': view.pool,
        'name': view.name,
        'address': view.address,
        'role': view.role,
        'in_flight': len(view.in_flight),
        'is_draining': view.is_draining
        or view.address in env.router.drain_marks,
        'is_leaving': view.is_shutting_down(),
        'prefill_tps': round(view.prefill_tps),
        'step_ms': round(view.step_s * 1000, 1),
    }
