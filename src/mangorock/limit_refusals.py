"""Decides who waits while the servers of a service state limits.

A request waits if a server will take it before it has waited too long, by the
slots that this VM has.  Others are refused at once, and told when the next
one would be due.
"""

import time

from mangorock import refusals


def check_turn(gateway, context, until_s, ahead):
    """Return if a request may be served at its turn.

    ``until_s`` is until when it may wait, ``ahead`` how many wait before it.
    Raises `errors.Overloaded` if all servers that it may use have limits
    under which its turn comes later.
    """
    rates = gateway.registry.rates
    if not rates.limits:
        return
    servers = _running_servers(gateway, context)
    wait_s = rates.queue_wait_s(servers, ahead, time.time())
    if wait_s and time.monotonic() + wait_s > until_s:
        gateway.metrics.add('refused_at_server_limit')
        raise refusals.overloaded(context, gateway.spread(wait_s))


def check_any(gateway, context, until_s):
    """Return if one of the servers of a request will take it in time.

    Raises `errors.NoBackend` if there is none, and `errors.Overloaded` like
    `check_turn`.
    """
    if not _running_servers(gateway, context):
        raise refusals.no_backend(
            context, gateway.retry_after_s(context.service)
        )
    check_turn(gateway, context, until_s, 0)


def _running_servers(gateway, context):
    """Return the untried servers that run requests, not only prefill them."""
    servers = gateway.untried_servers(context)
    return [server for server in servers if not server.is_prefill_only]
