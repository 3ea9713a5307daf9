"""Shows operators what was learned of the capacity of servers."""

import itertools

import attrs

from mangorock import logs

# Interval of the reports, and the lines written at a time; the remaining
# changes follow the next time.
INTERVAL_S = 5.0
MAX_LINES = 10


@attrs.define
class CapacityReports:
    """Reports the limits that a VM has learned, at most every 5 s."""

    reported_s: float = float('-inf')

    def report(self, placer, schedulers, metrics, now):
        """Log changed limits of servers and set the gauge of limited ones.

        ``by`` says whether this VM learned a limit from its own requests
        (``vm``) or as scheduler for all VMs (``scheduler``).
        """
        if now - self.reported_s < INTERVAL_S:
            return
        self.reported_s = now
        found = [('vm', *item) for item in placer.learned_limits()]
        for scheduler in schedulers:
            found += [
                ('scheduler', *item) for item in scheduler.learned_limits()
            ]
        limited = [
            learned.limit(slots, now) < slots for _, _, slots, learned in found
        ]
        metrics.gauge('capacity_limited', sum(limited))
        changes = (
            (by, incarnation, slots, limit)
            for by, incarnation, slots, learned in found
            if (limit := learned.take_change(slots, now)) is not None
        )
        for by, incarnation, slots, limit in itertools.islice(
            changes, MAX_LINES
        ):
            metrics.add('capacity_learned')
            logs.event(
                'capacity_learned',
                server=incarnation[0],
                limit=round(limit, 1),
                slots=slots,
                by=by,
            )
