"""Lets a request wait for a server with a free slot, or refuses it.

`waiting.WaitQueue` decides who is next and who waits in vain.
"""

import time

import curio

from mangorock import admission
from mangorock import errors
from mangorock import limit_refusals
from mangorock import refusals
from mangorock import waiting

# Requests per service that may wait for a server with a free slot.
MAX_QUEUED_REQUESTS = 64


async def wait_for_placement(gateway, context, place, wait=None):
    """Return the result of ``place()``, waiting while it is None.

    ``gateway`` is the `gateway.Gateway`, ``wait`` a `waiting.Wait`, by
    default that of a new request.  Raises `errors.Overloaded` if the queue is
    full or the wait is over.
    """
    wait = wait or waiting.wait_of_new_request(context)
    queue = gateway.wait_queues.setdefault(
        context.service, waiting.WaitQueue(MAX_QUEUED_REQUESTS)
    )
    if queue.is_first(wait.priority, account=wait.account):
        found = place()
        if found is not None:
            queue.shares.on_placed_at_once(wait.flow)
            return found
    own_place = place if wait.is_resumed else None
    if not wait.is_resumed:
        ahead = len(queue.waiters)
        limit_refusals.check_turn(gateway, context, wait.until_s, ahead)
    now = time.monotonic()
    ticket = queue.add(
        wait.priority, now, wait.until_s, own_place, wait.account
    )
    if ticket is None:
        gateway.metrics.add('refused_without_wait')
        refusal = overloaded(gateway, queue, wait, context)
        until_s = now + (refusal.retry_after_s or 0.0)
        request_id = context.request.request_id
        queue.shares.on_refusal(wait.flow, request_id, now, until_s)
        raise refusal
    is_served = None
    try:
        found = await _wait_in_queue(gateway, queue, ticket, place, context)
        is_served = True
        return found
    except errors.MangorockError:
        is_served = False
        raise
    finally:
        queue.remove(ticket, is_served, time.monotonic())
        await gateway.notify_first_waiter(context.service)


async def _wait_in_queue(gateway, queue, ticket, place, context):
    while True:
        now = time.monotonic()
        if queue.is_lost(ticket, now):
            raise overloaded(gateway, queue, ticket, context)
        ticket.wakeup.clear()
        admission.check_sendable(gateway, context)
        if queue.is_first(ticket.priority, ticket):
            found = place()
            if found is not None:
                return found
        wait_s = min(ticket.expires_at_s - now, waiting.RECHECK_S)
        async with curio.ignore_after(wait_s):
            await ticket.wakeup.wait()


def overloaded(gateway, queue, wait, context):
    """Return the error that tells when the queue will have room."""
    room_s = queue.room_after_s(wait, context.route.target_s, time.monotonic())
    if room_s is None:
        retry_after_s = gateway.retry_after_s(context.service)
    else:
        retry_after_s = gateway.spread(room_s)
    return refusals.overloaded(context, retry_after_s)
