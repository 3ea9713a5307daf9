"""Queues requests while every suitable server is full.

A burst can exceed the capacity of a service within a fraction of a second.
The excess requests wait in one bounded queue per service, ordered by
priority and then by arrival.  A request leaves the queue as soon as it can
no longer be served in time.
"""

import attrs
import curio


@attrs.define(eq=False)
class Waiter:
    """A queued request; ``wakeup`` is set when it may try again."""

    priority: int
    queued_at_s: float
    expires_at_s: float
    wakeup: curio.Event = attrs.field(factory=curio.Event)

    @property
    def sort_key(self):
        """Return the key that orders the queue."""
        return self.priority, self.queued_at_s


@attrs.define
class WaitQueue:
    """The waiting requests of one service."""

    max_waiters: int
    waiters: list = attrs.field(factory=list)

    def add(self, priority, now, expires_at_s):
        """Return a new `Waiter`, or None if the queue is full."""
        if len(self.waiters) >= self.max_waiters:
            return None
        waiter = Waiter(priority, now, expires_at_s)
        self.waiters.append(waiter)
        return waiter

    def remove(self, waiter):
        """Remove a waiter from the queue."""
        self.waiters.remove(waiter)

    def is_first(self, priority, waiter=None):
        """Return whether the request is next.

        Without ``waiter`` the request is a new one, which goes after all
        waiters of the same or a more urgent priority.
        """
        if waiter is None:
            return all(t.priority > priority for t in self.waiters)
        return all(
            t is waiter or t.sort_key > waiter.sort_key for t in self.waiters
        )

    def first(self):
        """Return the first waiter, or None if the queue is empty."""
        return min(self.waiters, key=lambda t: t.sort_key, default=None)
