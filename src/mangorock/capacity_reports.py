"""Shows operators what was learned of the capacity of servers."""

import itertools

from mangorock import logs

# Lines written at a time; the remaining changes follow the next time.
MAX_LINES = 10


def report(placer, schedulers, metrics, now):
    """Log changed limits of servers and set the gauge of limited ones.

    ``by`` says whether this VM learned a limit from its own requests
    (``vm``) or as scheduler for all VMs (``scheduler``).
    """
    found = [('vm', *limit) for limit in placer.learned_limits()]
    for scheduler in schedulers:
        found += [('scheduler', *item) for item in scheduler.learned_limits()]
    metrics.gauge(
        'capacity_limited',
        sum(
            learned.limit(slots, now) < slots for _, _, slots, learned in found
        ),
    )
    changes = (
        (by, incarnation, slots, limit)
        for by, incarnation, slots, learned in found
        if (limit := learned.take_change(slots, now)) is not None
    )
    for by, (server_id, _), slots, limit in itertools.islice(
        changes, MAX_LINES
    ):
        metrics.add('capacity_learned')
        logs.event(
            'capacity_learned',
            server=server_id,
            limit=round(limit, 1),
            slots=slots,
            by=by,
        )
