"""Forwards a request to a daemon of another failure domain.

Only the daemons of an engine's own failure domain send requests to it.  A
daemon whose failure domain has no server of the pool forwards the request to
another daemon.  A forwarded request is never forwarded again.
"""

import hmac

import attrs

from mangorock import calls
from mangorock import identify


@attrs.frozen
class Target:
    """The address and the content of a request to be sent."""

    address: str
    method: str
    path: str
    headers: tuple
    body: bytes


def is_from_peer(env, headers):
    """Return whether another daemon sent the request.

    The peer key is compared in constant time.
    """
    given_key = headers.get(calls.PEER_HEADER, '').encode()
    return hmac.compare_digest(given_key, env.settings.peer_key.encode())


def identify_caller(env, call, headers):
    """Return the `identify.Identity` of the caller.

    A daemon that forwards a request has already checked the caller's key
    and names the account in a header.
    """
    if not is_from_peer(env, headers):
        return identify.authorize(env.tables, call.route, headers)
    route = env.tables.routes.get(call.route)
    if route is None:
        return identify.authorize(env.tables, call.route, headers)
    name = headers.get(calls.PEER_ACCOUNT_HEADER, '')
    account = route.accounts.get(name)
    return identify.Identity(route, name, account.share if account else 1)


def choose_peer(env, pool, excluded):
    """Return a random `membership.Member` that can reach the pool.

    Returns None if there is none.
    """
    domains = {
        server.failure_domain
        for server in pool.servers.values()
        if not server.is_draining
    }
    if env.is_joined:
        domains.discard(env.settings.failure_domain)
    members = [
        member
        for member in env.membership.alive()
        if member.failure_domain in domains
        and member.vm != env.settings.vm
        and member.caller_address not in excluded
    ]
    return env.rng.choice(members) if members else None


def headers_for_peer(env, call, identity, left_s):
    """Return the headers of a request that is forwarded to a daemon."""
    return (
        ('content-type', 'application/json'),
        (calls.PEER_HEADER, env.settings.peer_key),
        (calls.PEER_ACCOUNT_HEADER, identity.account),
        (calls.PEER_REQUEST_HEADER, call.internal_id),
        (calls.REQUEST_ID_HEADER, call.request_id),
        (calls.DEADLINE_HEADER, str(max(1, int(left_s * 1000)))),
    )
