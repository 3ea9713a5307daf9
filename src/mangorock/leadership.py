"""The right of one VM at a time to give orders, held through a lease.

The right is a key in the platform's store that exists only while its lease is
renewed, and whose position is the fencing token of every order.  It is never
released early, so that the orders of two leaders are never close together,
also where nobody checks the token.

`Leadership` is the state machine, without sockets or clocks; `LeaseHolder`
makes the calls.
"""

import attrs

from mangorock import clocks
from mangorock import logs
from mangorock import presence


@attrs.define
class Leadership:
    """The right to act alone in a matter, held through a lease.

    The lease runs for ``lease_s`` from before each call that renewed it.  No
    order is sent in its second half, so that the next leader's first order
    comes at least half a lease after this one's last.  Times are of a clock
    that also advances while the VM is suspended.

    Example::

        leadership = Leadership(lease_s=6.0)
        leadership.begin('lease-7', 100.0)
        leadership.acquire(41)
        leadership.may_order(102.9)      # True
        leadership.may_order(103.1)      # False, until `renew`
    """

    lease_s: float
    lease: object = None
    fence: int | None = None
    renewed_s: float = 0.0

    def begin(self, lease, now):
        """Start with a lease that was requested at ``now``."""
        self.lease, self.fence, self.renewed_s = lease, None, now

    def acquire(self, fence):
        """Record that this VM owns the key, with this fencing token."""
        self.fence = fence

    def renew(self, now):
        """Record that a call sent at ``now`` renewed the lease."""
        self.renewed_s = now

    def lose(self):
        """Drop the lease and the token; the lease expires by itself."""
        self.lease = self.fence = None

    @property
    def is_held(self):
        """Return whether the key was acquired and not lost since."""
        return self.fence is not None

    def needs_renewal(self, now):
        """Return whether more than a third of the lease has passed."""
        return now - self.renewed_s > self.lease_s / 3

    def is_expired(self, now):
        """Return whether the lease may have expired."""
        return now - self.renewed_s > self.lease_s

    def may_order(self, now):
        """Return whether an order may be sent now."""
        return self.is_held and now - self.renewed_s < self.lease_s / 2


@attrs.frozen
class Events:
    """The names of the log events of a `LeaseHolder`."""

    won: str = 'tenure_won'
    lost: str = 'tenure_lost'
    over: str = 'tenure_over'


@attrs.define
class LeaseHolder:
    """Acquires and renews the leadership of one matter.

    ``key`` is the key in ``store`` whose holder is the leader.  ``fields``
    are added to the log events.  ``store.eras`` are its `eras.Eras`: a lease
    of an earlier era is lost, and no order is sent before the leases of all
    other VMs in that era have run out.

    Example::

        holder = make_lease_holder('vm-1', 'mangorock/duties', 6.0, store)
        if await holder.ensure():
            ...
            if holder.may_act():        # directly before each order
                send(fence=holder.fence)
    """

    vm: str
    key: str
    store: object
    leadership: Leadership
    clock: object = clocks.boot_clock
    events: Events = attrs.field(factory=Events)
    fields: dict = attrs.field(factory=dict)
    era: int = 0

    @property
    def fence(self):
        """Return the fencing token, None if this VM doesn't lead."""
        return self.leadership.fence

    @property
    def lease(self):
        """Return the id of the lease, or None."""
        return self.leadership.lease

    def may_act(self):
        """Return whether an order may be sent now."""
        eras, now = self.store.eras, self.clock()
        return (
            self.era == eras.era
            and eras.may_lead(self.leadership.lease_s, now)
            and self.leadership.may_order(now)
        )

    def lose(self):
        """Give the leadership up, as another VM has a higher token."""
        self.leadership.lose()

    def drop_expired(self):
        """Drop a lease that may have expired."""
        leadership = self.leadership
        if leadership.lease is None:
            return
        if self.era != self.store.eras.era:
            self._on_lost()
        elif leadership.is_expired(self.clock()):
            if self.fence is not None:
                logs.event(self.events.over, **self.fields, fence=self.fence)
            leadership.lose()

    async def ensure(self):
        """Acquire or renew the leadership; return whether orders may be sent.

        Raises `errors.PlatformUnavailable` if the store doesn't respond.
        """
        self.drop_expired()
        if not self.leadership.is_held:
            await self._acquire()
        elif self.leadership.needs_renewal(self.clock()):
            await self._renew()
        return self.may_act()

    async def _acquire(self):
        """Create the key, or read who owns it."""
        leadership = self.leadership
        if leadership.lease is None:
            sent_s = self.clock()
            lease = await self.store.grant_lease(leadership.lease_s)
            self.era = self.store.eras.era
            leadership.begin(lease, sent_s)
            value = f'{self.vm} {lease}'.encode()
            try:
                revision = await self.store.create(self.key, value, lease)
            except presence.LeaseLost:
                # The store was so slow that the lease had expired.
                self._on_lost()
                return
        else:
            # The answer to the creation was lost, or another VM was first.
            item = await self.store.read(self.key)
            own_value = f'{self.vm} {leadership.lease}'.encode()
            is_own = item is not None and item.value == own_value
            revision = item.revision if is_own else None
        if revision is not None:
            leadership.acquire(revision)
            logs.event(self.events.won, **self.fields, fence=revision)

    async def _renew(self):
        sent_s = self.clock()
        try:
            await self.store.keep_lease(self.lease)
        except presence.LeaseLost:
            self._on_lost()
            return
        self.leadership.renew(sent_s)

    def _on_lost(self):
        logs.event(self.events.lost, **self.fields, fence=self.fence)
        self.leadership.lose()


def make_lease_holder(vm, key, lease_s, store, **options):
    """Return a `LeaseHolder` that has no lease yet."""
    return LeaseHolder(vm, key, store, Leadership(lease_s), **options)
