"""Presence and number of the entry VMs.

Each VM holds a key under a lease in the platform's store, whose value gives
the address for messages from other VMs, and periodically lists the keys of
all VMs.  The number of VMs determines each VM's share of the limits.  After
an outage of the store, leases lapse together and the keys come back one by
one, so the number shrinks only to the largest of the last
`COUNTS_TO_SHRINK` counts.

`VmCounter` is the state machine, `announce` and `count_vms` are the loops.
"""

import attrs
import curio

from mangorock import errors
from mangorock import logs

PREFIX = 'mangorock/vms/'
LEASE_S = 15.0  # A VM that is gone is still counted for up to this time.
RENEW_S = LEASE_S / 3  # Tolerates the loss of two renewals.
REACQUIRE_DELAY_S = 0.2  # Before a lost lease is replaced by a new one.
COUNT_INTERVAL_S = 4.0
COUNTS_TO_SHRINK = 4  # Takes longer than a lapsed VM needs to come back.


class LeaseLost(Exception):
    """The lease has ended, and its keys were removed with it."""


@attrs.define
class VmCounter:
    """The number of VMs, smoothed over the last `COUNTS_TO_SHRINK` counts.

    Until there are as many, the number is at least ``expected``.

    Example::

        counter = VmCounter(expected=8)
        counter.add_count(3)    # 8: keys come one by one at the start
        counter.add_count(8)    # 8
        counter.add_count(1)    # 8 for now
    """

    expected: int = 8
    recent_counts: list = attrs.field(factory=list)

    def add_count(self, counted):
        """Add a count and return the number of VMs to use."""
        self.recent_counts = [*self.recent_counts, counted][-COUNTS_TO_SHRINK:]
        return self.vms

    @property
    def vms(self):
        """Return the number of VMs that share the limits, at least 1."""
        if len(self.recent_counts) < COUNTS_TO_SHRINK:
            return max(1, self.expected, *self.recent_counts)
        return max(1, *self.recent_counts)


async def announce(store, vm, value, rng):
    """Keep this VM's key alive in an endless loop; ``value`` is bytes."""
    lease = None
    while True:
        try:
            if lease is None:
                granted = await store.grant_lease(LEASE_S)
                await store.put(PREFIX + vm, value, granted)
                lease = granted
                logs.event('presence_announced', lease=lease)
            else:
                await store.keep_lease(lease)
        except LeaseLost:
            logs.event('presence_lost', lease=lease)
            lease = None
            await curio.sleep(REACQUIRE_DELAY_S)
            continue
        except errors.MangorockError as exc:
            # The mirrors log that the store is unavailable.
            logs.debug('presence_not_renewed', error=exc.message)
        await curio.sleep(RENEW_S * (0.75 + 0.5 * rng.random()))


async def count_vms(store, counter, on_count, rng):
    """Count the VMs' keys in an endless loop.

    ``on_count(vms, items)`` receives the number of VMs that share the limits
    and the `mirror.Item` of each key, which ends with the name of its VM.
    """
    while True:
        await curio.sleep(COUNT_INTERVAL_S * (0.75 + 0.5 * rng.random()))
        try:
            items = await list_items(store)
        except errors.MangorockError as exc:
            logs.debug('vms_not_counted', error=exc.message)
            continue
        before = counter.vms
        if counter.add_count(len(items)) != before:
            logs.event('vms_counted', vms=counter.vms, counted=len(items))
        on_count(counter.vms, items)


async def list_items(store):
    """Return the items of all VMs' keys; they may be seconds old."""
    items, after = [], ''
    while True:
        page = await store.list_page(PREFIX, after, is_stale_allowed=True)
        items += page.items
        if not page.has_more or not page.items:
            return items
        after = page.items[-1].key
