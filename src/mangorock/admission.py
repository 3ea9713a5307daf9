"""Decides whether a request may be served, at its arrival and at each send.

A request needs a route, a VM that does not stop before its deadline, and
where the configuration has client accounts, a key that certainly is valid.
What forbids a request may become known while it waits, so that it is checked
again before each send.
"""

import time

from mangorock import clocks
from mangorock import context as contexts
from mangorock import errors
from mangorock import refusals

# Short while this VM stops, since another VM can take the request at once.
STOP_RETRY_AFTER_S = 0.05
# Until the first configuration is read.
START_RETRY_AFTER_S = 0.5


def accept(gateway, request, reply):
    """Return the `context.RequestContext` of a request that is served.

    ``gateway`` is the `gateway.Gateway`.  Raises the error that refuses the
    request.
    """
    catalog = gateway.catalog
    if not catalog.version:
        raise errors.NoTables(
            'no configuration has been loaded yet; check the platform',
            retry_after_s=START_RETRY_AFTER_S,
        )
    route = catalog.find_route(request.host, request.path)
    if route is None:
        raise errors.NoRoute(
            f'no route matches host {request.host!r} and path '
            f'{request.path!r}; check the address'
        )
    account = _identify(gateway, request, route)
    wait_s = route.timeout_s
    if request.deadline_s is not None:
        wait_s = min(wait_s, request.deadline_s)
    deadline_s = request.received_s + wait_s
    if gateway.stops_at_s is not None and deadline_s > gateway.stops_at_s:
        raise errors.ShuttingDown(
            'this VM stops before the deadline of the request; send it '
            'again, the load balancer will pick another VM',
            retry_after_s=STOP_RETRY_AFTER_S,
        )
    service = route.pick_service(gateway.rng.random())
    ledger = gateway.budgets.open(service, clocks.boot_clock())
    context = contexts.RequestContext(
        request, route, reply, deadline_s, service, ledger, account
    )
    _check_quarantine(gateway, context)
    gateway.demand.on_open(service)
    return context


def _identify(gateway, request, route):
    """Return the `catalog.Account` of a request, None if it needs none.

    Raises `errors.Unauthenticated` for a request without a valid key, and
    `errors.NoTables` if the keys are not certain.
    """
    if gateway.catalog.accounts is None or route.is_public:
        return None
    if request.key is None:
        raise refusals.unauthenticated()
    if not gateway.keys.is_certain(clocks.boot_clock()):
        raise refusals.keys_unconfirmed(gateway.retry_after_s())
    account = gateway.catalog.find_account(request.key)
    if account is None:
        raise refusals.unauthenticated()
    return account


def check_sendable(gateway, context):
    """Raise the error of a request that must not reach a server now.

    Its key may have been removed since it was accepted, or a part of its
    prompt been recognised as one that crashes engines, or all servers may
    have begun to refuse requests for a time.
    """
    _check_key(gateway, context)
    _check_quarantine(gateway, context)
    _check_wanted(gateway, context)


def _check_key(gateway, context):
    catalog, account = gateway.catalog, context.account
    if catalog.accounts is None or account is None:
        return
    if context.reply.is_started:
        return
    holder = catalog.find_account(context.request.key)
    if holder is None or holder.name != account.name:
        raise refusals.key_removed(context)


def _check_wanted(gateway, context):
    """Refuse a request rather than let it wait while no server wants any.

    A response that was begun cannot be refused.
    """
    if context.reply.is_started:
        return
    service = context.service
    wanted_in_s = gateway.registry.seconds_until_wanted(
        service, time.monotonic()
    )
    if wanted_in_s is not None:
        raise refusals.no_backend(context, gateway.retry_after_s(service))


def _check_quarantine(gateway, context):
    found = gateway.quarantine.find(context.request.prompt, time.monotonic())
    if found is not None:
        raise refusals.quarantined(context, found.part_id, found.left_s)
