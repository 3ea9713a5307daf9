"""Passes a request to a daemon of another failure domain.

Engines are routed to by the daemons of their own failure domain only.  A
daemon whose domain has no server for the pool passes the request on, once:
a request that was passed on is never passed on again.
"""

import hmac

import attrs

from mangorock import calls
from mangorock import identify


@attrs.frozen
class Target:
    """Where a request is sent and in which words."""

    address: str
    method: str
    path: str
    headers: tuple
    body: bytes


def is_from_peer(env, headers):
    """Say whether another daemon sent the request (constant time)."""
    given = headers.get(calls.PEER_HEADER, '').encode()
    return hmac.compare_digest(given, env.settings.peer_key.encode())


def identify_caller(env, call, headers):
    """Return the `identify.Identity` of the caller.

    A daemon has checked the key of what it passes on, and names the
    account.
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
    """Return a `membership.Member` that can reach the pool, or ``None``."""
    domains = {
        server.failure_domain
        for server in pool.servers.values()
        if not server.is_draining
    }
    if env.is_joined:
        domains.discard(env.settings.failure_domain)
    members = [
        m
        for m in env.membership.alive()
        if m.failure_domain in domains
        and m.vm != env.settings.vm
        and m.caller_address not in excluded
    ]
    return env.random.choice(members) if members else None


def headers_for_peer(env, call, identity, left_s):
    """Return the headers that one daemon sends another."""
    return (
        ('content-type', 'application/json'),
        (calls.PEER_HEADER, env.settings.peer_key),
        (calls.PEER_ACCOUNT_HEADER, identity.account),
        (calls.PEER_REQUEST_HEADER, call.internal_id),
        (calls.REQUEST_ID_HEADER, call.request_id),
        (calls.DEADLINE_HEADER, str(max(1, int(left_s * 1000)))),
    )
