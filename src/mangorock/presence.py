"""Presence and number of the entry VMs.

Each VM holds a key under a lease in the platform's store, whose value gives
the address for messages from other VMs, and periodically lists the keys of
all VMs.  The number of VMs determines each VM's share of the limits.  After
an outage of the store, leases lapse together and the keys come back one by
one, so the number shrinks only to the largest of the last
`COUNTS_TO_SHRINK` counts.

A VM uses its part of what all VMs share only while its key certainly exists
and its count is recent: a VM that is cut off from the store is soon no longer
counted by the others, who then use its part (`SlackShare`).

`VmCounter` and `SlackShare` are state machines, `announce` and `count_vms` are
the loops.
"""

import attrs
import curio

from mangorock import clocks
from mangorock import errors
from mangorock import logs

PREFIX = 'mangorock/vms/'
LEASE_S = 15.0  # A VM that is gone is still counted for up to this time.
RENEW_S = LEASE_S / 3  # Tolerates the loss of two renewals.
REACQUIRE_DELAY_S = 0.2  # Before a lost lease is replaced by a new one.
COUNT_INTERVAL_S = 4.0
COUNTS_TO_SHRINK = 4  # Takes longer than a lapsed VM needs to come back.
# A VM's key and its count are trusted for this time after they were renewed:
# long before the lease lapses and the other VMs use what was this VM's part.
TRUSTED_S = 8.0
# Age of the keys that the store may answer a listing with.
STALE_S = 4.0


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


@attrs.define
class SlackShare:
    """This VM's part of a slack that all VMs have together.

    ``held_since_s`` is when its key was written, None if it may have lapsed
    since, ``renewed_s`` the time of the last renewal that succeeded, and
    ``counts`` the recent (time, number of VMs).

    Example::

        share = SlackShare()
        share.on_renewed(0.0, 0.1)
        share.on_count(8, 4.0)
        share.part(settle_s=11.0, now=6.0)     # 0.0, others may not know it
        share.on_renewed(20.0, 20.1)
        share.on_count(8, 22.0)
        share.part(settle_s=11.0, now=24.0)    # 0.125
    """

    held_since_s: float | None = None
    renewed_s: float = 0.0
    counts: list = attrs.field(factory=list)

    def on_renewed(self, sent_s, done_s):
        """Record that a call from ``sent_s`` to ``done_s`` renewed the key.

        Others may see a new key only after the call, and its lease may end as
        early as if it had begun with the call.
        """
        if self.held_since_s is None or sent_s - self.renewed_s > LEASE_S:
            self.held_since_s = done_s
        self.renewed_s = sent_s

    def on_lost(self):
        """Record that the key is gone."""
        self.held_since_s = None

    def on_count(self, vms, now):
        """Record the number of VMs that share the slack."""
        self.counts.append((now, vms))

    def part(self, settle_s, now):
        """Return this VM's part, from 0 to 1.

        What VMs do counts for ``settle_s``, so a part passes from one to
        another no sooner than that after its last use.  It is 0 until the key
        has existed for so long after all others have counted it: those that
        have not do not trust their counts any more.  It grows only that long
        after VMs that are no longer counted do not trust their keys.
        """
        kept_s = TRUSTED_S + settle_s
        while self.counts and now - self.counts[0][0] > kept_s:
            self.counts.pop(0)
        if self.held_since_s is None or not self.counts:
            return 0.0
        is_settled = now - self.held_since_s >= kept_s + STALE_S
        oldest_s = min(self.renewed_s, self.counts[-1][0])
        if not is_settled or now - oldest_s > TRUSTED_S:
            return 0.0
        return 1.0 / max(vms for _, vms in self.counts)


async def announce(store, vm, value, rng, share, has_new_era):
    """Keep this VM's key alive in an endless loop; ``value`` is bytes.

    ``share`` is the `SlackShare` that depends on it.  The event
    ``has_new_era`` has the key written anew at once.
    """
    lease = None
    while True:
        sent_s = clocks.boot_clock()
        try:
            if lease is None:
                granted = await store.grant_lease(LEASE_S)
                await store.put(PREFIX + vm, value, granted)
                lease = granted
                logs.event('presence_announced', lease=lease)
            else:
                await store.keep_lease(lease)
            share.on_renewed(sent_s, clocks.boot_clock())
        except LeaseLost:
            logs.event('presence_lost', lease=lease)
            lease = None
            share.on_lost()
            await curio.sleep(REACQUIRE_DELAY_S)
            continue
        except errors.MangorockError as exc:
            # The mirrors log that the store is unavailable.
            logs.debug('presence_not_renewed', error=exc.message)
        pause_s = RENEW_S * (0.75 + 0.5 * rng.random())
        async with curio.ignore_after(pause_s):
            await has_new_era.wait()
        has_new_era.clear()


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
